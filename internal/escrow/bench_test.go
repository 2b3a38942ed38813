package escrow

import (
	"context"
	"fmt"
	"testing"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

// BenchmarkReserve reserves tokens from a grant and settles them.
func BenchmarkReserve(b *testing.B) {
	h := New(memkv.New(), "p/", 1, "node", "node/1")
	h.SetPrepaid([]Prepaid{{Customer: "north", Tokens: 1 << 50}})
	h.startRound()
	h.refresh(context.Background(), h.pages[0])
	b.ReportAllocs()
	for b.Loop() {
		r, err := h.Reserve(context.Background(), "north", 10, 0)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(0)
	}
}

// BenchmarkPage decodes and encodes a page of 24 customers and 86 holders.
func BenchmarkPage(b *testing.B) {
	p, _ := DecodePage(nil)
	for h := range 86 {
		id := fmt.Sprintf("front-zone-%d/01j%023d", h, h)
		p.Holders[id] = Report{Node: fmt.Sprintf("front-zone-%d", h), Boot: "2b1f0c5e-0c1e-4b5f-8f57-3b1f6f0c5e0c", Clock: 1, Count: 2, Wall: 3}
		for c := range 24 {
			p.account(fmt.Sprintf("customer-%d", c)).Rows[id] = Row{Granted: 1000, Spent: int64(h * c), Demand: 5, Burst: 70, Rate: 30}
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

// BenchmarkPrepare computes the page that the leader of the entire fleet writes: 300 holders, each with new rows for 10
// customers. It took 38 ms when accounts were summed for each holder, and takes 3.6 ms since they are summed once.
func BenchmarkPrepare(b *testing.B) {
	const holders, customers = 300, 10
	h := New(memkv.New(), "p/", 1, "node", "node/1")
	prepaid := make([]Prepaid, 0, customers)
	rows := make(map[string]Need)
	for c := range customers {
		name := fmt.Sprintf("customer-%d", c)
		prepaid = append(prepaid, Prepaid{Customer: name, Tokens: 1 << 40})
		rows[name] = Need{Spent: 10, Demand: 1000, Burst: 100, Rate: 10}
	}
	h.SetPrepaid(prepaid)
	h.startRound()
	h.refresh(context.Background(), h.pages[0])
	p := h.pages[0]
	for i := range holders {
		node := fmt.Sprintf("front-zone-%d", i)
		p.pending = append(p.pending, &pendingPart{
			holder: node + "/1", arrived: h.now(), done: make(chan struct{}), part: Part{Report: Report{Node: node, Count: 1, Wall: 1}, Rows: rows},
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		w, err := h.prepare(p)
		if err != nil {
			b.Fatal(err)
		}
		h.abandon([]pageWrite{w})
		for _, x := range p.pending {
			x.arrived = h.now()
		}
	}
}
