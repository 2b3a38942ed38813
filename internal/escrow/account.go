package escrow

import (
	"fmt"
	"time"
)

// issuedRow is a row of this holder that is, or may be, in the store.
type issuedRow struct {
	row       Row
	clock     time.Duration // reading of the steady clock in the holder's report
	remaining int64         // unspent part of the entire account, with this row
	ungranted int64         // part of the entire account, granted to nobody, with this row
	// unproven is Account.Unproven with this row.
	unproven int64
}

func (i issuedRow) ceiling(now time.Duration) int64 { return i.row.Ceiling(now - i.clock) }

// account is the holder's state of one customer's account.
type account struct {
	spent           int64 // by settled requests, since the holder's start
	reserved        int64 // by open reservations
	urgent          int64 // unspent tokens that the largest waiting request needs
	waiting         int64 // unspent tokens that all requests waiting for a refresh need
	meter           meter
	fleetMeter      meter            // use by all holders, as reported
	reportedSpent   map[string]int64 // by holder, as last read
	othersDemand    int64            // mean demand of the other holders
	shortAt         time.Time        // when a refresh last brought too little
	refusedAt       time.Time        // when a loan was last refused
	refusedTokens   int64            // tokens that were requested then
	lenderExhausted bool             // that loan was refused because the budget is exhausted
	confirmed       issuedRow        // last row that the store is known to have
	unconfirmed     []issuedRow      // written with unknown outcome, may be older than confirmed
	prepaid         int64            // as last configured; Unlimited: no limit
	remaining       int64            // unspent part of the entire account, as last read
	ungranted       int64            // part of the entire account, granted to nobody, as last read
	// unproven is Account.Unproven, as last read.
	unproven int64

	closed bool // nothing more is spent here: this holder leaves, or its row was settled

	// led is set once the zone's leader has returned a receipt, which sets the fields below.
	led        bool
	target     int64   // what this holder should have unspent
	leaderRate float64 // tokens per second that all holders use
	zoneRate   float64 // tokens per second requested in the zone
}

// used returns the tokens that are spent or reserved.
func (a *account) used() int64 { return a.spent + a.reserved }

// unspent returns the unspent part of the entire account, as far as this holder has observed it.
func (a *account) unspent() int64 {
	if a.closed {
		return a.remaining // what this holder has used may be settled, and is not counted twice
	}
	return a.remaining - max(0, a.used()-a.confirmed.row.Spent)
}

// exhaustedDetail explains the rejection of a request because the budget is exhausted. If instances were lost, it
// includes the tokens that count as spent but are not reported.
func (a *account) exhaustedDetail() string {
	const text = "what remains of the budget cannot hold the request"
	if a.unproven == 0 {
		return text
	}
	return fmt.Sprintf("%s; %d tokens of it count as spent by instances that were lost", text, a.unproven)
}

// headroom returns the tokens that can be reserved now without exceeding any row that may be in force.
func (a *account) headroom(now time.Duration) int64 {
	if a.closed {
		return 0
	}
	limit := a.confirmed.ceiling(now)
	for _, u := range a.unconfirmed {
		limit = min(limit, u.ceiling(now))
	}
	return limit - a.used()
}

// confirm sets the row that the store has now. Older rows can no longer come into force.
func (a *account) confirm(i issuedRow) {
	a.confirmed = i
	a.unconfirmed = a.unconfirmed[:0]
}

// observe updates the account with what all holders have reported, and returns the use since the previous reports.
func (a *account) observe(acc *Account, self string) (used int64) {
	reports := make(map[string]int64, len(acc.Rows))
	a.othersDemand = 0
	for id, r := range acc.Rows {
		reports[id] = r.Spent
		if previous, ok := a.reportedSpent[id]; ok {
			used += max(0, r.Spent-previous)
		}
		if id != self && r.Spent > 0 { // the demand of a holder without use is a copy of that of others
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
