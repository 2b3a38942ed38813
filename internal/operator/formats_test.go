package operator

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats checks the encoding of messages that other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[BurnSeries](t, "burn")
}
