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

// Pages is the number of pages over which budgets are distributed by hash. It must be the same in the whole fleet and
// can never change; docs/design/escrow.md gives the reasons for this number.
const Pages = 256

// PagePrefix is the key prefix of all pages.
const PagePrefix = "budget/"

// Page is one stored value: the rows of the budgets that hash to it. Rows are decoded on first access.
type Page struct {
	raw  map[string]cbor.RawMessage
	rows map[string]*Row
}

// PageOf returns the number of the page that contains a budget.
func PageOf(budget string) uint16 {
	return uint16(xxhash.Sum64String(budget) % Pages) //nolint:gosec // below Pages
}

// PageKey returns the store key of a page.
func PageKey(n uint16) string { return fmt.Sprintf("%s%04d", PagePrefix, n) }

// Row returns a budget's row, or ErrUnknown. Encode includes changes that are made to the row.
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

// DecodePage decodes a stored page. A missing entry is an empty page.
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

// Encode returns the stored form of the page.
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
