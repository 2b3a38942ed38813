package once

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats checks the encodings that instances of other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[Claim](t, "claim")
	formattest.Check[Record](t, "record")
	formattest.Check[BeginResp](t, "begin")
	formattest.Check[UpdateResp](t, "note")
	formattest.Check[TakeOverReq](t, "take")
	formattest.Check[Transfer](t, "notes")
	formattest.Check[CollectReq](t, "collect")
	formattest.Check[CollectResp](t, "collected")
}
