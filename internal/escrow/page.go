// Package escrow lets each instance spend prepaid budgets on its own while it reaches neither the store nor any other
// instance.
//
// An instance holds grants: amounts that a page in the store reserves for it before it spends them. The grants of all
// holders and the settled amounts together never exceed the prepaid amount, so no combination of faults overspends a
// budget. A grant becomes spendable in steps, counted from the holder's last report. This bounds what a holder that
// ends soon after a report can have spent.
//
// The instances of package router use it: each has a Holder, from which its own requests reserve tokens. Package budget
// is the counterpart for the chat edge. It has its own Holder, Page, Row, Report and View with other meanings,
// and neither package uses the other. Here, a Row is one holder's part of a customer's account.
package escrow

import (
	"bytes"
	"errors"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/compat"
)

// Row is one holder's part of an account. Amounts are in tokens. Granted and Spent are counted from the holder's start.
type Row struct {
	Granted int64 `cbor:"1,keyasint,omitempty"` // upper limit of what the holder spends
	Spent   int64 `cbor:"2,keyasint,omitempty"` // spent or reserved at the holder's last report
	Demand  int64 `cbor:"3,keyasint,omitempty"` // unspent amount that the holder requests
	Burst   int64 `cbor:"4,keyasint,omitempty"` // spendable at once in addition to Spent
	Rate    int64 `cbor:"5,keyasint,omitempty"` // additionally spendable per second, from Grace after the report
}

// Grace is the time after a report in which a holder spends only its burst. A holder that reaches the store reports
// more often.
const Grace = 2 * time.Second

// Ceiling returns the most that the holder can have spent when its report is of the given age.
func (r Row) Ceiling(age time.Duration) int64 {
	return min(r.Granted, r.Spent+r.Burst+int64(float64(r.Rate)*max(0, (age-Grace).Seconds())))
}

// Account is one customer's part of a page.
type Account struct {
	Settled int64          `cbor:"1,keyasint,omitempty"` // spent by holders that have ended
	Rows    map[string]Row `cbor:"2,keyasint,omitempty"` // by holder
	// Unproven is the part of Settled that no holder has reported: what lost holders may have spent after their last
	// reports.
	Unproven int64 `cbor:"3,keyasint,omitempty"`
}

// Spent returns the sum of the settled amounts and of what the holders have reported as spent.
func (a *Account) Spent() int64 {
	return a.Settled + a.sums().spent
}

// Committed returns the sum of the settled and the granted amounts. No more than this can be spent in any case.
func (a *Account) Committed() int64 {
	return a.Settled + a.sums().granted
}

// Report identifies a holder and states when it last wrote.
type Report struct {
	Node  string `cbor:"1,keyasint"`           // the name that a holder shares with its successors
	Boot  string `cbor:"2,keyasint,omitempty"` // identifies the boot of the machine; empty: unknown
	Clock int64  `cbor:"3,keyasint,omitempty"` // steady clock, in ms
	Count int64  `cbor:"4,keyasint,omitempty"` // number of this holder's writes
	Wall  int64  `cbor:"5,keyasint,omitempty"` // wall clock, in ms
	// FleetTime bounds the fleet's time in ms; 0 if unknown. A holder's report has the lower bound, a successor's start
	// report has the upper bound.
	FleetTime int64 `cbor:"6,keyasint,omitempty"`
	// FleetTimePending is set in a successor's start report if FleetTime will be known soon.
	FleetTimePending bool `cbor:"7,keyasint,omitempty"`
	// Epoch is the store's epoch that was current for the holder when it stated its rows; 0: the store has no epochs.
	Epoch int64 `cbor:"8,keyasint,omitempty"`
}

// Page holds the accounts of some customers in one value of the store.
type Page struct {
	Accounts map[string]*Account `cbor:"1,keyasint,omitempty"`
	Holders  map[string]Report   `cbor:"2,keyasint,omitempty"`
	Epoch    int64               `cbor:"3,keyasint,omitempty"` // of the store at the last write; 0: none
	// RestoredEpoch is the first epoch of the store after its last restoration; 0: never restored.
	RestoredEpoch int64 `cbor:"4,keyasint,omitempty"`
	// RestoredAt is the wall clock, in ms, at the page's first write in that epoch.
	RestoredAt int64 `cbor:"5,keyasint,omitempty"`
	// Ended has the holders whose rows were settled, with the wall clock in ms at that time; see endedRetention.
	Ended map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Pages is the number of pages among which the accounts are distributed; 0: written by a build that does not state it.
	Pages int `cbor:"7,keyasint,omitempty"`

	unknown compat.UnknownFields // fields written by a later build
}

// DecodePage decodes a page, compressed or not. Empty input is an empty page.
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

// ErrInvalidPage reports that no holder can have written a page. Such a page must neither stop an instance nor free
// tokens.
var ErrInvalidPage = errors.New("invalid escrow page")

// check returns an error if no holder can have written the page: an account without a value, or a negative amount.
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

// Encode encodes the page. It compresses a large page, which consists mostly of holder names that occur many times.
func (p *Page) Encode() ([]byte, error) {
	b, err := compat.Encode(p, p.unknown)
	if err != nil {
		return nil, eris.Wrap(err, "encoding an escrow page")
	}
	return compress(b)
}

// account returns a customer's account and creates it if it does not exist.
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

// Settlement is the outcome of settling an earlier holder's grants, in tokens.
type Settlement struct {
	Holder   string
	AgeKnown bool          // the clocks give Age
	Age      time.Duration // from that report to the start of the successor
	Spent    int64         // as last reported
	Granted  int64
	Settled  int64 // counted as spent; the rest is available again
	// The parts of Unproven, by what let the holder spend them.
	Burst   int64 // spendable at once after its report
	Accrued int64 // became spendable with the age of its report
	Whole   int64 // entire grants, since the age of its report is not known or its rows are stale
	Demand  int64 // unspent amount that the holder requested
}

// Unproven returns the tokens that were counted as spent beyond the last report.
func (s Settlement) Unproven() int64 { return s.Settled - s.Spent }

// add adds a row that is settled at its ceiling, or at the entire grant if whole is set. It returns what counts as spent.
func (s *Settlement) add(row Row, whole bool) int64 {
	spent := row.Granted
	if whole {
		s.Whole += spent - row.Spent
	} else {
		spent = row.Ceiling(s.Age)
		burst := min(spent-row.Spent, row.Burst)
		s.Burst += burst
		s.Accrued += spent - row.Spent - burst
	}
	s.Spent += row.Spent
	s.Granted += row.Granted
	s.Settled += spent
	s.Demand += row.Demand
	return spent
}

// SettlePredecessors settles the rows of a node's earlier holders. These had ended when the successor's process
// started; start is the report of that moment. If the clocks give the time between a holder's last report and start,
// the holder can have spent at most its Ceiling. Otherwise, and if its rows are stale, everything granted to it counts
// as spent. Rows stay if start.FleetTime will soon give their age more exactly.
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

// awaitsFleetTime reports whether a better bound of the age of a report at a successor's start will be known soon.
func (r Report) awaitsFleetTime(start Report) bool {
	return start.FleetTimePending && start.FleetTime == 0 && r.FleetTime != 0 && !sameBoot(r, start)
}

// hasSuccessor reports whether a part is of a process that has ended: the page lacks its holder, and another holder of the
// node has reported after the part was made, by the steady clock of the same boot. Such a part arrives late. The rows of
// the other holder are not those of an earlier process, and must not be settled.
func (p *Page) hasSuccessor(holder string, part Report) bool {
	if _, present := p.Holders[holder]; present {
		return false
	}
	for _, r := range p.Holders {
		if r.Node == part.Node && r.Boot == part.Boot && r.Clock > part.Clock {
			return true
		}
	}
	return false
}

func (p *Page) settlePredecessor(id string, start Report) Settlement {
	s, stale := Settlement{Holder: id}, p.stale(id)
	s.Age, s.AgeKnown = ageOf(p.Holders[id], start)
	for _, a := range p.Accounts {
		row, ok := a.Rows[id]
		if !ok {
			continue
		}
		spent := s.add(row, stale || !s.AgeKnown)
		a.Settled += spent
		a.Unproven += spent - row.Spent
		delete(a.Rows, id)
	}
	p.end(id, start.Wall)
	return s
}

// Largest deviation of clocks between two readings.
const (
	ClockError     = 3 * time.Second        // of one machine's wall clock, by steps and drift
	FleetTimeError = 600 * time.Millisecond // of the bounds of the fleet's time, by message delays
)

// ageOf returns the longest time that can have passed between two reports of one machine. Within one boot of the
// machine the steady clock measures it. Across a power loss the fleet's time does; without it, the machine's wall
// clock, which may have been stepped.
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

// sameBoot reports whether two reports are from the same boot of a machine and its clocks do not contradict each other.
func sameBoot(then, now Report) bool {
	steady := time.Duration(now.Clock-then.Clock) * time.Millisecond
	off := time.Duration(now.Wall-then.Wall)*time.Millisecond - steady
	return then.Boot != "" && then.Boot == now.Boot && steady >= 0 && -ClockError < off && off < ClockError
}

// Leave settles what a holder has spent and releases the rest, unless it was settled before. The holder spends nothing
// afterwards. If the page may lack the holder's last rows (incomplete), everything that it has spent is settled, whatever
// its rows are. wall is the wall clock, in ms.
func (p *Page) Leave(holder string, spent map[string]int64, incomplete bool, wall int64) {
	if p.hasEnded(holder) {
		return
	}
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
	p.end(holder, wall)
	if !incomplete {
		return
	}
	for customer, n := range spent {
		p.account(customer).Settled += n
	}
}
