package once

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// What instances of other builds read, or have written.
func TestFormats(t *testing.T) {
	formattest.Check[Claim](t, "claim")
	formattest.Check[Record](t, "record")
	formattest.Check[BeginResp](t, "begin")
	formattest.Check[NoteResp](t, "note")
	formattest.Check[TakeReq](t, "take")
	formattest.Check[Notes](t, "notes")
}
