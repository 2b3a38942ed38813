package quarantine

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// Encodings that instances of other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[update](t, "news")
	formattest.Check[snapshot](t, "together")
}
