package mesh

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats guards the encodings that instances exchange with instances of other builds.
func TestFormats(t *testing.T) {
	formattest.Check[request](t, "request")
	formattest.Check[reply](t, "reply")
}
