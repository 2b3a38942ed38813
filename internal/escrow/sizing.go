package escrow

import (
	"math"
	"time"
)

// Policy sizes what a holder asks for.
type Policy struct {
	Horizon         time.Duration // how long the holder, or the zone by its pools, shall serve without the store
	ReserveFactor   float64       // how many times the use of the horizon is held: in a cut callers come back, and use grows
	PooledHorizon   time.Duration // how long a holder shall serve without its zone's pools, if it expects several requests meanwhile
	Surge           float64       // how much faster than the measured rate a customer may become
	Deviations      float64       // standard deviations of the use held beside its mean
	BurstDeviations float64       // standard deviations spendable at once
	StartShare      float64       // part of the unspent rest that all holders together ask for while nothing is measured
	PoolStartShare  float64       // the same, for all pools together
	ScarceBelow     float64       // part of the prepaid figure below which an unspent rest counts as scarce, more so as it falls
	// OutageReserve is the part of what was granted when the store was last heard that is kept for a customer's first ranks in a cut.
	OutageReserve float64
}

// DefaultPolicy outlives a cut of ten seconds.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 10 * time.Second, ReserveFactor: 1.4, PooledHorizon: 3 * time.Second, Surge: 1.1, Deviations: 2, BurstDeviations: 1.2, StartShare: 0.15, PoolStartShare: 0.3, ScarceBelow: 0.5,
		OutageReserve: 0.25,
	}
}

// burstHorizon is the use that is spendable at once: until the Grace of a report is over, and a little more.
const burstHorizon = Grace + 500*time.Millisecond

// flow is the measured use of one customer here.
type flow struct {
	rate         float64 // tokens a second
	fleetRate    float64 // tokens a second at all holders that hold for it, this one included
	weightedSize float64 // tokens; see meter.grain
}

// amount is the use in a time, with this holder's part of the spread of what all use: sizes of requests vary, so the use of a few of
// them is uneven. Holders lend each other what one of them lacks, and a loss of power of all takes the sum, which
// is much more where each holds its own spread than the spread of what all use.
func (p Policy) amount(f flow, d time.Duration, deviations float64) float64 {
	mean := f.rate * p.Surge * d.Seconds()
	if mean <= 0 {
		return 0
	}
	fleetUse := max(f.fleetRate, f.rate) * p.Surge * d.Seconds()
	return mean + deviations*math.Sqrt(fleetUse*f.weightedSize)*mean/fleetUse
}

// scarceHorizon is the use that is held of a budget that is nearly used up: what holders keep to themselves then is what a loss of power
// takes from the customer's last requests. Draws for single requests do the rest.
const scarceHorizon = 600 * time.Millisecond

// abundance reports how far an unspent rest is from scarce: 1 is plenty, 0 is nothing.
func (p Policy) abundance(remaining, prepaid int64) float64 {
	if prepaid <= 0 || p.ScarceBelow <= 0 {
		return 1
	}
	return min(1, max(0, float64(remaining)/(p.ScarceBelow*float64(prepaid))))
}

// size turns a measured flow into what is asked for: all of it is spendable once the horizon has passed.
func (p Policy) size(f flow, horizon time.Duration, abundance float64) (want, burst, rate int64) {
	burstSpan := scarceHorizon + time.Duration(float64(burstHorizon-scarceHorizon)*abundance)
	horizon = max(burstSpan, time.Duration(float64(horizon)*abundance))
	b := p.amount(f, burstSpan, p.BurstDeviations*abundance)
	w := max(b, p.amount(f, time.Duration(p.ReserveFactor*float64(horizon)), p.Deviations*abundance))
	if span := (horizon - Grace).Seconds(); span > 0 {
		rate = int64((w - b) / span)
	} else {
		w = b
	}
	return int64(w), int64(b), rate
}

// releaseSchedule spreads a share over the horizon: what is spendable at once, and in each second later. A holder that dies early is known
// not to have spent the rest.
func (p Policy) releaseSchedule(share int64) (burst, rate int64) {
	if p.Horizon <= burstHorizon {
		return share, 0
	}
	burst = int64(float64(share) * burstHorizon.Seconds() / p.Horizon.Seconds())
	return burst, int64(float64(share-burst) / (p.Horizon - Grace).Seconds())
}

// Need is what a holder asks for of one account.
type Need struct {
	Spent    int64 `cbor:"1,keyasint,omitempty"` // spent or reserved so far
	Demand   int64 `cbor:"2,keyasint,omitempty"` // to hold unspent
	Burst    int64 `cbor:"3,keyasint,omitempty"`
	Rate     int64 `cbor:"4,keyasint,omitempty"`
	Urgent   int64 `cbor:"5,keyasint,omitempty"` // the least that a waiting request needs unspent; 0: none waits
	MinGrant int64 `cbor:"6,keyasint,omitempty"` // the holder counts on a grant of this much already
}

// Grant sets a holder's row of an account so that nothing is overspent, and returns it. prepaid < 0 is no limit.
//
// A holder gets what it wants while mostOut of the unspent rest covers what all want, else its part of that. What it holds beyond
// that goes back. A row never falls below what is spent already.
func (a *Account) Grant(holder string, n Need, prepaid int64) Row {
	others := a.sums().minus(a.Rows[holder])
	row, _ := a.setRow(holder, n, prepaid, others, prepaid-a.Settled-others.granted)
	return row
}

// setRow is Grant where the sums of all other rows are known, and free, which the row may reach, counted from the holder's start; target is what the
// holder should have unspent.
func (a *Account) setRow(holder string, n Need, prepaid int64, others sums, ungranted int64) (row Row, target int64) {
	row = Row{Spent: n.Spent, Demand: n.Demand, Burst: n.Burst, Rate: n.Rate}
	target = a.share(n, prepaid, others)
	row.Granted = max(n.Spent, n.MinGrant, min(n.Spent+max(target, n.Urgent), ungranted))
	if row == (Row{}) {
		delete(a.Rows, holder) // in a large fleet most holders have nothing of most customers
		return row, target
	}
	a.Rows[holder] = row
	return row, target
}

// maxOutstanding is the part of a budget's unspent rest that all holders may have together, but for what requests wait for: a loss of power of
// all takes what they have.
const maxOutstanding = 0.4

// share is the part of the unspent rest that a holder may keep, beside others.
func (a *Account) share(n Need, prepaid int64, others sums) int64 {
	remaining := prepaid - a.Settled - others.spent - n.Spent
	demand := others.want + n.Demand
	if remaining <= 0 {
		return 0
	}
	remaining = int64(maxOutstanding * float64(remaining))
	if remaining >= demand || demand == 0 {
		return n.Demand
	}
	return int64(float64(remaining) * float64(n.Demand) / float64(demand))
}
