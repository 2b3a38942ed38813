package gateway

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// What instances of other builds read, or have written.
func TestFormats(t *testing.T) {
	formattest.Check[AttachReq](t, "attach-request")
	formattest.Check[AttachItem](t, "attach-item")
}
