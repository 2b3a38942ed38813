package ledger

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats checks the encodings that instances of other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[Journal](t, "journal")
}
