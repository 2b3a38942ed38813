package budget

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/compat"
	"github.com/ledgemount/ledgemount/internal/external"
)

// Pages is the number of pages over which budgets are spread by hash. It is the same in the whole fleet for ever:
// docs/design/escrow.md reports why this many.
const Pages = 256

// PagePrefix begins the key of every page.
const PagePrefix = "budget/"

// Page is one stored value: the rows of the budgets that hash to it. Rows are decoded when they are asked for.
type Page struct {
	raw  map[string]cbor.RawMessage
	rows map[string]*Row
}

// PageOf is the number of the page that holds a budget.
func PageOf(budget string) uint16 {
	return uint16(xxhash.Sum64String(budget) % Pages) //nolint:gosec // below Pages
}

// PageKey is the store's key of a page.
func PageKey(n uint16) string { return fmt.Sprintf("%s%04d", PagePrefix, n) }

// Row returns a budget's row, or ErrUnknown. Changes of the row are part of what Encode writes.
func (p *Page) Row(budget string) (*Row, error) {
	if r, ok := p.rows[budget]; ok {
		return r, nil
	}
	raw, ok := p.raw[budget]
	if !ok {
		return nil, ErrUnknown
	}
	var r Row
	unknown, err := compat.Decode(raw, &r)
	if err != nil {
		return nil, eris.Wrapf(err, "decoding the row of budget %s", budget)
	}
	r.unknown = unknown
	p.Put(budget, &r)
	return &r, nil
}

// Put adds or replaces a row.
func (p *Page) Put(budget string, r *Row) {
	if p.rows == nil {
		p.rows = make(map[string]*Row)
	}
	p.rows[budget] = r
}

// Budgets lists the page's budgets, sorted.
func (p *Page) Budgets() []string {
	out := make([]string, 0, len(p.raw)+len(p.rows))
	for id := range p.raw {
		out = append(out, id)
	}
	for id := range p.rows {
		if _, ok := p.raw[id]; !ok {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// DecodePage reads a stored page; an absent one is empty.
func DecodePage(e external.Entry) (*Page, error) {
	var p Page
	if len(e.Data) == 0 {
		return &p, nil
	}
	if err := cbor.Unmarshal(e.Data, &p.raw); err != nil {
		return nil, eris.Wrapf(err, "decoding page %s", e.Key)
	}
	return &p, nil
}

// Encode writes a page as it is stored.
func (p *Page) Encode() ([]byte, error) {
	if p.raw == nil {
		p.raw = make(map[string]cbor.RawMessage, len(p.rows))
	}
	for id, r := range p.rows {
		b, err := compat.Encode(r, r.unknown)
		if err != nil {
			return nil, eris.Wrapf(err, "encoding the row of budget %s", id)
		}
		p.raw[id] = b
	}
	b, err := cbor.Marshal(p.raw)
	return b, eris.Wrap(err, "encoding a page")
}
