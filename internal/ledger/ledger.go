// Package ledger records charges: each holder has a journal in the store, which it writes in batches.
package ledger

import (
	"sort"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/compat"
)

// Prefix is the key prefix of all journals. The zone and the holder follow it.
const Prefix = "journal/"

// Key returns the store key of a holder's journal.
func Key(zone, holder string) string { return Prefix + zone + "/" + holder }

// Charge is the bill for one request. A request is charged once.
type Charge struct {
	Request string `json:"request"`
	Budget  string `json:"budget"`
	Tokens  int64  `json:"tokens"`
	Run     string `json:"run"`    // the run at the endpoint that is billed
	Holder  string `json:"holder"` // the holder that made the charge durable
}

// Journal is a holder's value in the store. It also serves as the holder's heartbeat.
type Journal struct {
	Holder  string           `cbor:"1,keyasint"`
	Zone    string           `cbor:"2,keyasint"`
	Seq     uint64           `cbor:"3,keyasint"` // increases with every write
	Fenced  string           `cbor:"4,keyasint"` // the successor that fenced the journal, or empty
	Clients []string         `cbor:"5,keyasint"` // instances that may have reservations at this holder
	Pages   []uint16         `cbor:"6,keyasint"` // pages on which the holder may have grants
	Settled map[string]int64 `cbor:"7,keyasint"` // total spent by budget, where the page does not contain it yet
	Recent  []string         `cbor:"8,keyasint"` // charged requests that a client may still report

	unknown compat.UnknownFields // fields written by a newer build
}

// Decode decodes a stored journal.
func Decode(b []byte) (*Journal, error) {
	var j Journal
	var err error
	if j.unknown, err = compat.Decode(b, &j); err != nil {
		return nil, eris.Wrap(err, "decoding a journal")
	}
	return &j, nil
}

// Encode returns the stored form of the journal.
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

// Book contains a holder's charges in memory. It is not safe for concurrent use; the holder's lock guards it.
type Book struct {
	pending         []Charge            // not in the store yet
	pendingByBudget map[string]int      // number of pending charges by budget
	recent          map[string]struct{} // in the store, but a client may still report them
	settled         map[string]int64    // total spent by budget, where the page does not contain it yet
	inJournal       map[string]bool     // budgets that the journal in the store references
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{recent: make(map[string]struct{}), settled: make(map[string]int64), inJournal: make(map[string]bool), pendingByBudget: make(map[string]int)}
}

// Charge adds a charge and sets the budget's total. The caller has closed the request's reservation, so that each
// request is charged once.
func (b *Book) Charge(c Charge, total int64) {
	b.pending = append(b.pending, c)
	b.pendingByBudget[c.Budget]++
	b.settled[c.Budget] = total
}

// Pending returns the number of charges that are not in the store.
func (b *Book) Pending() int { return len(b.pending) }

// PendingCharges returns the charges that are not known to be in the store.
func (b *Book) PendingCharges() []Charge { return append([]Charge(nil), b.pending...) }

// Stored reports whether a charge is in the store.
func (b *Book) Stored(request string) bool {
	_, ok := b.recent[request]
	return ok
}

// Confirm drops stored charges that their clients have dropped too.
func (b *Book) Confirm(requests []string) {
	for _, r := range requests {
		delete(b.recent, r)
	}
}

// PageWritten drops a budget's total once the page contains it.
func (b *Book) PageWritten(budget string, total int64) {
	if b.settled[budget] == total && b.pendingByBudget[budget] == 0 {
		delete(b.settled, budget)
	}
}

// References reports whether the journal in the store, or its next write, contains anything of a budget.
func (b *Book) References(budget string) bool {
	_, ok := b.settled[budget]
	return ok || b.inJournal[budget]
}

// Snapshot is the data that one write of the journal makes durable.
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

// Flushed records that a snapshot's charges are in the store.
func (b *Book) Flushed(s Snapshot) {
	b.pending = append([]Charge(nil), b.pending[len(s.Charges):]...)
	b.inJournal = make(map[string]bool, len(s.Settled))
	for id := range s.Settled {
		b.inJournal[id] = true
	}
	for _, c := range s.Charges {
		b.recent[c.Request] = struct{}{}
		if b.pendingByBudget[c.Budget]--; b.pendingByBudget[c.Budget] == 0 {
			delete(b.pendingByBudget, c.Budget)
		}
	}
}
