// Package escrow lets each instance spend prepaid budgets alone, cut off from the store and from all other instances.
//
// An instance holds grants: amounts that the store's page sets aside for it before it spends them. The grants of all holders
// and what is settled never exceed the prepaid figure, so no mixture of faults overspends. A grant becomes spendable step by
// step from the holder's last report on, so that a holder that dies early is known not to have spent all of it.
package escrow

import (
	"bytes"
	"errors"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/compat"
)

// Row is one holder's part of an account. Amounts are tokens and, but for Want and Rate, counted from the holder's start.
type Row struct {
	Granted int64 `cbor:"1,keyasint,omitempty"` // never spent beyond this
	Spent   int64 `cbor:"2,keyasint,omitempty"` // spent or reserved when the holder reported
	Demand  int64 `cbor:"3,keyasint,omitempty"` // what the holder would like to hold unspent
	Burst   int64 `cbor:"4,keyasint,omitempty"` // spendable beyond Spent at once
	Rate    int64 `cbor:"5,keyasint,omitempty"` // spendable beyond that, for each second from Grace after the report on
}

// Grace is how long after a report a holder spends its burst only. A holder that reaches the store reports more often.
const Grace = 2 * time.Second

// Ceiling is the most that the holder can have spent when its report is of that age.
func (r Row) Ceiling(age time.Duration) int64 {
	return min(r.Granted, r.Spent+r.Burst+int64(float64(r.Rate)*max(0, (age-Grace).Seconds())))
}

// Account is one customer's part of a page.
type Account struct {
	Settled int64          `cbor:"1,keyasint,omitempty"` // spent by holders that are gone
	Rows    map[string]Row `cbor:"2,keyasint,omitempty"` // by holder
	// Unproven is the part of Settled that no holder had reported: what lost holders may have spent after their last reports.
	Unproven int64 `cbor:"3,keyasint,omitempty"`
}

// Spent is what is settled and what holders have reported.
func (a *Account) Spent() int64 {
	return a.Settled + a.sums().spent
}

// Committed is what is settled or granted: no more than this can be spent in any case.
func (a *Account) Committed() int64 {
	return a.Settled + a.sums().granted
}

// Report reports who a holder is and when it last wrote.
type Report struct {
	Node  string `cbor:"1,keyasint"`           // the name under which a holder's successor starts
	Boot  string `cbor:"2,keyasint,omitempty"` // the machine's run; empty: not known
	Clock int64  `cbor:"3,keyasint,omitempty"` // steady clock, ms
	Count int64  `cbor:"4,keyasint,omitempty"` // writes of this holder
	Wall  int64  `cbor:"5,keyasint,omitempty"` // time of day, ms
	// FleetTime is a bound of the fleet's time of day in ms, 0 where it is not known: the lower one in a holder's report, the upper one
	// in what a successor reports its start.
	FleetTime int64 `cbor:"6,keyasint,omitempty"`
	// FleetTimePending says, of a successor's start, that Fleet will be known soon.
	FleetTimePending bool `cbor:"7,keyasint,omitempty"`
	// Epoch is the store's epoch as the holder knew it when it stated its rows; 0: the store names none.
	Epoch int64 `cbor:"8,keyasint,omitempty"`
}

// Page holds the accounts of some customers in one value of the store.
type Page struct {
	Accounts      map[string]*Account `cbor:"1,keyasint,omitempty"`
	Holders       map[string]Report   `cbor:"2,keyasint,omitempty"`
	Epoch         int64               `cbor:"3,keyasint,omitempty"` // of the store, when the page was last written; 0: it named none
	RestoredEpoch int64               `cbor:"4,keyasint,omitempty"` // the first epoch of the store after its last restoration; 0: there was none
	RestoredAt    int64               `cbor:"5,keyasint,omitempty"` // time of day, ms, of the page's first write in that epoch

	unknown compat.Unknown // what a later build has put there
}

// DecodePage reads a page, compressed or not; no bytes are an empty page.
func DecodePage(b []byte) (*Page, error) {
	p := &Page{}
	if bytes.HasPrefix(b, gzipMagic) {
		var err error
		if b, err = decompress(b); err != nil {
			return nil, err
		}
	}
	if len(b) > 0 {
		var err error
		if p.unknown, err = compat.Decode(b, p); err != nil {
			return nil, eris.Wrap(err, "decoding an escrow page")
		}
	}
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Accounts == nil {
		p.Accounts = make(map[string]*Account)
	}
	if p.Holders == nil {
		p.Holders = make(map[string]Report)
	}
	return p, nil
}

// ErrInvalidPage reports that no holder has written a page: it must neither stop an instance nor free a token.
var ErrInvalidPage = errors.New("the escrow page is none of a holder's")

// check reports what in a page cannot be a holder's: an account without a value, or an amount below 0.
func (p *Page) check() error {
	for name, a := range p.Accounts {
		if a == nil {
			return eris.Wrapf(ErrInvalidPage, "the account of %s has no value", name)
		}
		if a.Settled < 0 || a.Unproven < 0 {
			return eris.Wrapf(ErrInvalidPage, "the account of %s has settled %d, of it %d unproven", name, a.Settled, a.Unproven)
		}
		for holder, r := range a.Rows {
			if min(r.Granted, r.Spent, r.Demand, r.Burst, r.Rate) < 0 {
				return eris.Wrapf(ErrInvalidPage, "the row of %s in the account of %s has an amount below 0", holder, name)
			}
		}
	}
	return nil
}

// Encode writes the page. A large one is compressed: names of holders, which are most of it, stand in it many times.
func (p *Page) Encode() ([]byte, error) {
	b, err := compat.Encode(p, p.unknown)
	if err != nil {
		return nil, eris.Wrap(err, "encoding an escrow page")
	}
	return compress(b)
}

// account finds or makes a customer's account.
func (p *Page) account(customer string) *Account {
	a := p.Accounts[customer]
	if a == nil {
		a = &Account{}
		p.Accounts[customer] = a
	}
	if a.Rows == nil {
		a.Rows = make(map[string]Row)
	}
	return a
}

// Settlement tells what became of an earlier holder's grants, in tokens.
type Settlement struct {
	Holder   string
	AgeKnown bool          // one clock tells its last report and now
	Age      time.Duration // from that report to the start of the successor
	Spent    int64         // as last reported
	Granted  int64
	Settled  int64 // taken as spent; the rest is free again
}

// Unproven is what was taken as spent beyond the last report, in tokens.
func (f Settlement) Unproven() int64 { return f.Settled - f.Spent }

// SettlePredecessors settles the rows of a node's earlier holders. They had ended when the successor's process began, which begun tells: where
// that comes from the same clock, no more than Ceiling can have been spent; else all that was granted counts as spent. Rows that wait
// for begun.Fleet stay.
func (p *Page) SettlePredecessors(successor string, start Report) []Settlement {
	var predecessors []string
	for id, r := range p.Holders {
		if r.Node == start.Node && id != successor {
			predecessors = append(predecessors, id)
		}
	}
	sort.Strings(predecessors)
	out := make([]Settlement, 0, len(predecessors))
	for _, id := range predecessors {
		if !p.Holders[id].awaitsFleetTime(start) {
			out = append(out, p.settlePredecessor(id, start))
		}
	}
	return out
}

// awaitsFleetTime reports whether the age of a report at a successor's start will be known better soon.
func (r Report) awaitsFleetTime(start Report) bool {
	return start.FleetTimePending && start.FleetTime == 0 && r.FleetTime != 0 && !sameBoot(r, start)
}

func (p *Page) settlePredecessor(id string, start Report) Settlement {
	f, stale := Settlement{Holder: id}, p.stale(id)
	f.Age, f.AgeKnown = ageOf(p.Holders[id], start)
	for _, a := range p.Accounts {
		row, ok := a.Rows[id]
		if !ok {
			continue
		}
		spent := row.Granted
		if f.AgeKnown && !stale {
			spent = row.Ceiling(f.Age)
		}
		f.Spent += row.Spent
		f.Granted += row.Granted
		f.Settled += spent
		a.Settled += spent
		a.Unproven += spent - row.Spent
		delete(a.Rows, id)
	}
	delete(p.Holders, id)
	return f
}

// How far clocks may be off between two readings.
const (
	ClockError     = 3 * time.Second        // one machine's time of day, by steps and drift
	FleetTimeError = 600 * time.Millisecond // the bounds of the fleet's time, by the delay of messages
)

// ageOf is the longest time that can have passed between two reports of one machine. Within one run of the machine the steady
// clock tells it. Across a loss of power the fleet's time does, or else the machine's own time of day, which may have stepped.
func ageOf(then, now Report) (time.Duration, bool) {
	wall := time.Duration(now.Wall-then.Wall) * time.Millisecond
	if then.Wall == 0 || now.Wall == 0 {
		return 0, false
	}
	if sameBoot(then, now) {
		return time.Duration(now.Clock-then.Clock) * time.Millisecond, true
	}
	if wall < -ClockError {
		return 0, false
	}
	fleet := time.Duration(now.FleetTime-then.FleetTime) * time.Millisecond
	if then.FleetTime != 0 && now.FleetTime != 0 && fleet >= 0 {
		return max(wall, fleet+FleetTimeError), true
	}
	return wall + ClockError, true
}

// sameBoot reports whether two reports come from one run of a machine, as far as its clocks do not contradict each other.
func sameBoot(then, now Report) bool {
	steady := time.Duration(now.Clock-then.Clock) * time.Millisecond
	off := time.Duration(now.Wall-then.Wall)*time.Millisecond - steady
	return then.Boot != "" && then.Boot == now.Boot && steady >= 0 && -ClockError < off && off < ClockError
}

// Leave settles what a holder has spent and gives the rest back. The holder spends nothing afterwards. Where the page may lack the holder's last
// rows, what it has spent counts whatever its rows are.
func (p *Page) Leave(holder string, spent map[string]int64, incomplete bool) {
	for customer, a := range p.Accounts {
		row, ok := a.Rows[holder]
		if !ok {
			continue
		}
		if !incomplete {
			a.Settled += min(row.Granted, spent[customer])
		}
		delete(a.Rows, holder)
	}
	delete(p.Holders, holder)
	if !incomplete {
		return
	}
	for customer, n := range spent {
		p.account(customer).Settled += n
	}
}
