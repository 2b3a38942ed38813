package budget

import (
	"testing"

	"github.com/ledgemount/ledgemount/internal/compat/formattest"
)

// TestFormats checks the encodings that instances of other builds read or have written.
func TestFormats(t *testing.T) {
	formattest.Check[Row](t, "row")
	formattest.Check[ReserveReq](t, "reserve")
	formattest.Check[ReserveResp](t, "reserved")
	formattest.Check[UpdateReq](t, "update")
	formattest.Check[SettleReq](t, "settle")
	formattest.Check[SyncReq](t, "sync")
	formattest.Check[SyncResp](t, "synced")
	formattest.Check[FenceReq](t, "fence")
	formattest.Check[FenceResp](t, "fenced")
	formattest.Check[RecallReq](t, "recall")
	formattest.Check[RecallResp](t, "recalled")
	formattest.Check[UnreportedReq](t, "unreported")
}
