package escrow

import "testing"

// FuzzPage searches for pages that crash the process, grow without bound, or change when they are decoded and encoded.
func FuzzPage(f *testing.F) {
	p, _ := DecodePage(nil)
	p.Holders["node-1/1"] = Report{Node: "node-1", Boot: "b", Clock: 1, Count: 2, Wall: 3}
	p.account("north").Rows["node-1/1"] = Row{Granted: 10, Spent: 4}
	raw, err := p.Encode()
	if err != nil {
		f.Fatal(err)
	}
	compressed, err := compress(append(make([]byte, minCompressSize), raw...))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(compressed)
	f.Add([]byte{0xa1, 0x18, 90, 1}) // an unknown field
	f.Add([]byte{0x1f, 0x8b})
	f.Add([]byte{0xa1, 0x01, 0xa1, 0x61, 'n', 0xf6}) // an account that is null
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := DecodePage(raw)
		if err != nil {
			return
		}
		for _, a := range p.Accounts {
			_, _ = a.Spent(), a.Committed()
		}
		p.SettlePredecessors("node-1/2", Report{Node: "node-1"})
		out, err := p.Encode()
		if err != nil {
			return // unknown fields that cannot be encoded again: the page is not written
		}
		again, err := DecodePage(out)
		if err != nil {
			t.Fatalf("%x was encoded as %x, which cannot be decoded: %v", raw, out, err)
		}
		if len(again.Accounts) != len(p.Accounts) || len(again.Holders) != len(p.Holders) {
			t.Fatalf("%d accounts and %d holders became %d and %d", len(p.Accounts), len(p.Holders), len(again.Accounts), len(again.Holders))
		}
	})
}
