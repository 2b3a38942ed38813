package escrow

import (
	"context"
	"testing"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

// BenchmarkReserve reserves and settles from a grant.
func BenchmarkReserve(b *testing.B) {
	h := New(memkv.New(), "p/", 1, "node", "node/1")
	h.SetPrepaid([]Prepaid{{Customer: "north", Tokens: 1 << 50}})
	h.startBeat()
	h.draw(context.Background(), h.pages[0])
	b.ReportAllocs()
	for b.Loop() {
		r, err := h.Reserve(context.Background(), "north", 10, 0)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(0)
	}
}
