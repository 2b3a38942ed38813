package gateway

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats guards the encodings that instances exchange with instances of other builds.
func TestFormats(t *testing.T) {
	formattest.Check[AttachReq](t, "attach-request")
	formattest.Check[AttachItem](t, "attach-item")
}
