package escrow

import (
	"context"
	"fmt"
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

// BenchmarkPage reads and writes a page of 24 customers and 86 holders.
func BenchmarkPage(b *testing.B) {
	p, _ := DecodePage(nil)
	for h := range 86 {
		id := fmt.Sprintf("front-zone-%d/01j%023d", h, h)
		p.Holders[id] = Report{Node: fmt.Sprintf("front-zone-%d", h), Boot: "2b1f0c5e-0c1e-4b5f-8f57-3b1f6f0c5e0c", Clock: 1, Count: 2, Wall: 3}
		for c := range 24 {
			p.account(fmt.Sprintf("customer-%d", c)).Rows[id] = Row{Granted: 1000, Spent: int64(h * c), Want: 5, Burst: 70, Rate: 30}
		}
	}
	raw, err := p.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		p, err := DecodePage(raw)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := p.Encode(); err != nil {
			b.Fatal(err)
		}
	}
}
