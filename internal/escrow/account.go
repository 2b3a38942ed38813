package escrow

import (
	"fmt"
	"time"
)

// issuedRow is a row of this holder that is, or may be, in the store.
type issuedRow struct {
	row       Row
	clock     time.Duration // the report's reading of the clock
	remaining int64         // of the whole account: unspent by anyone, with this row
	ungranted int64         // of the whole account: granted to nobody, with this row
	// unproven is Account.Unproven, with this row
	unproven int64
}

func (i issuedRow) ceiling(now time.Duration) int64 { return i.row.Ceiling(now - i.clock) }

// account is what the holder knows of one customer.
type account struct {
	spent           int64 // settled requests, from the holder's start
	reserved        int64 // reservations
	urgent          int64 // unspent tokens that the largest waiting request needs
	waiting         int64 // those that all requests need which wait for a draw
	meter           meter
	fleetMeter      meter            // use by all holders, as reported
	reportedSpent   map[string]int64 // spent, by holder, when last seen
	othersDemand    int64            // mean of what other holders want
	exhaustedAt     time.Time        // the last draw or loan that brought too little
	exhaustedTokens int64            // tokens that were asked for then
	confirmed       issuedRow        // confirmed
	unconfirmed     []issuedRow      // written with an unknown outcome, older than row or not
	prepaid         int64            // as last seen; Unlimited: no limit
	remaining       int64            // of the whole account when last seen: unspent by anyone
	ungranted       int64            // of the whole account when last seen: granted to nobody
	// unproven is Account.Unproven when last seen
	unproven int64

	led        bool    // by the zone's leader:
	target     int64   // what this holder's unspent part should be
	leaderRate float64 // tokens a second that all holders use
	zoneRate   float64 // tokens a second that the zone is asked for
}

// used is what is spent or reserved.
func (a *account) used() int64 { return a.spent + a.reserved }

// unspent is what nobody has spent of the whole account, as far as it is known here.
func (a *account) unspent() int64 { return a.remaining - max(0, a.used()-a.confirmed.row.Spent) }

// exhaustedDetail explains a refusal at a budget's end. Where instances were lost it reports how much of the budget nobody is known to have used.
func (a *account) exhaustedDetail() string {
	const text = "what remains of the budget cannot hold the request"
	if a.unproven == 0 {
		return text
	}
	return fmt.Sprintf("%s; %d tokens of it count as spent by instances that were lost", text, a.unproven)
}

// headroom is what may still be reserved at a moment: every row that may be in force is kept to.
func (a *account) headroom(now time.Duration) int64 {
	limit := a.confirmed.ceiling(now)
	for _, u := range a.unconfirmed {
		limit = min(limit, u.ceiling(now))
	}
	return limit - a.used()
}

// confirm takes a row that the store has now; older ones can no longer come into force.
func (a *account) confirm(i issuedRow) {
	a.confirmed = i
	a.unconfirmed = a.unconfirmed[:0]
}

// observe takes what all holders report of the account.
func (a *account) observe(acc *Account, self string) (used int64) {
	reports := make(map[string]int64, len(acc.Rows))
	a.othersDemand = 0
	for id, r := range acc.Rows {
		reports[id] = r.Spent
		if previous, ok := a.reportedSpent[id]; ok {
			used += max(0, r.Spent-previous)
		}
		if id != self {
			a.othersDemand += r.Demand
		}
	}
	if n := int64(len(acc.Rows)) - 1; n > 1 {
		a.othersDemand /= n
	}
	a.reportedSpent = reports
	a.fleetMeter.pending += float64(used)
	return used
}
