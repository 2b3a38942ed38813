// Package ledger records what was billed: each holder's journal in the store, written in batches.
package ledger

import (
	"sort"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/compat"
)

// Prefix begins the key of every journal; the zone and the holder follow.
const Prefix = "journal/"

// Key is the store's key of a holder's journal.
func Key(zone, holder string) string { return Prefix + zone + "/" + holder }

// Charge is one bill: a request is charged once.
type Charge struct {
	Request string `cbor:"1,keyasint" json:"request"`
	Budget  string `cbor:"2,keyasint" json:"budget"`
	Tokens  int64  `cbor:"3,keyasint" json:"tokens"`
}

// Journal is a holder's value in the store. It doubles as the holder's sign of life.
type Journal struct {
	Holder  string           `cbor:"1,keyasint"`
	Zone    string           `cbor:"2,keyasint"`
	Seq     uint64           `cbor:"3,keyasint"` // rises with every write
	Fenced  string           `cbor:"4,keyasint"` // the successor that closed the journal, or empty
	Clients []string         `cbor:"5,keyasint"` // instances that may hold reservations of this holder
	Pages   []uint16         `cbor:"6,keyasint"` // pages on which the holder may have grants
	Settled map[string]int64 `cbor:"7,keyasint"` // spent in all, by budget, where the page does not say so yet
	Recent  []string         `cbor:"8,keyasint"` // charged requests that a client may still report

	unknown compat.UnknownFields // what a later build has put there
}

// Decode reads a stored journal.
func Decode(b []byte) (*Journal, error) {
	var j Journal
	var err error
	if j.unknown, err = compat.Decode(b, &j); err != nil {
		return nil, eris.Wrap(err, "decoding a journal")
	}
	return &j, nil
}

// Encode writes a journal as it is stored.
func (j *Journal) Encode() ([]byte, error) {
	b, err := compat.Encode(j, j.unknown)
	return b, eris.Wrap(err, "encoding a journal")
}

// Charged reports whether a request is among the recent ones.
func (j *Journal) Charged(request string) bool {
	for _, r := range j.Recent {
		if r == request {
			return true
		}
	}
	return false
}

// Book is a holder's charges in memory. It is not safe for concurrent use; the holder's lock guards it.
type Book struct {
	pending []Charge            // not in the store yet
	waiting map[string]int      // how many of these by budget
	recent  map[string]struct{} // in the store, but a client may still report them
	settled map[string]int64    // spent in all by budget, where the page does not say so yet
	written map[string]bool     // budgets that the journal in the store mentions
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{recent: make(map[string]struct{}), settled: make(map[string]int64), written: make(map[string]bool), waiting: make(map[string]int)}
}

// Charge adds a charge. The caller has closed the request's reservation, so it comes once.
func (b *Book) Charge(c Charge, total int64) {
	b.pending = append(b.pending, c)
	b.waiting[c.Budget]++
	b.settled[c.Budget] = total
}

// Pending is the number of charges that are not in the store.
func (b *Book) Pending() int { return len(b.pending) }

// Stored reports whether a charge is in the store.
func (b *Book) Stored(request string) bool {
	_, ok := b.recent[request]
	return ok
}

// Confirm forgets stored charges that their client has forgotten too.
func (b *Book) Confirm(requests []string) {
	for _, r := range requests {
		delete(b.recent, r)
	}
}

// Written forgets a budget's total once the page carries it.
func (b *Book) Written(budget string, total int64) {
	if b.settled[budget] == total && b.waiting[budget] == 0 {
		delete(b.settled, budget)
	}
}

// Mentions reports whether the next journal will carry anything of a budget.
func (b *Book) Mentions(budget string) bool {
	_, ok := b.settled[budget]
	return ok || b.written[budget]
}

// Snapshot is what one write of the journal will make durable.
type Snapshot struct {
	Charges []Charge
	Settled map[string]int64
	Recent  []string
}

// Snapshot copies the book's state for a write.
func (b *Book) Snapshot() Snapshot {
	s := Snapshot{
		Charges: append([]Charge(nil), b.pending...),
		Settled: make(map[string]int64, len(b.settled)),
		Recent:  make([]string, 0, len(b.recent)+len(b.pending)),
	}
	for id, n := range b.settled {
		s.Settled[id] = n
	}
	for r := range b.recent {
		s.Recent = append(s.Recent, r)
	}
	for _, c := range b.pending {
		s.Recent = append(s.Recent, c.Request)
	}
	sort.Strings(s.Recent)
	return s
}

// Flushed notes that a snapshot's charges are in the store.
func (b *Book) Flushed(s Snapshot) {
	b.pending = append([]Charge(nil), b.pending[len(s.Charges):]...)
	b.written = make(map[string]bool, len(s.Settled))
	for id := range s.Settled {
		b.written[id] = true
	}
	for _, c := range s.Charges {
		b.recent[c.Request] = struct{}{}
		if b.waiting[c.Budget]--; b.waiting[c.Budget] == 0 {
			delete(b.waiting, c.Budget)
		}
	}
}
