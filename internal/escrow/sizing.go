package escrow

import (
	"math"
	"time"
)

// Policy determines what a holder requests.
type Policy struct {
	Horizon time.Duration // how long the holder, or the zone through its pools, can serve without the store
	// ReserveFactor is how many times the use within the horizon is held, since use grows during an outage, when
	// callers retry.
	ReserveFactor float64
	// PooledHorizon is how long a holder can serve without its zone's pools, if it expects several requests in this
	// time.
	PooledHorizon   time.Duration
	Surge           float64 // factor by which a customer's rate may exceed the measured one
	Deviations      float64 // standard deviations of the use that are held in addition to its mean
	BurstDeviations float64 // standard deviations that are spendable at once
	StartShare      float64 // part of the unspent amount that all holders together request while nothing is measured
	PoolStartShare  float64 // the same for all pools together
	// ScarceBelow is the part of the prepaid amount below which the unspent rest counts as scarce, increasingly as it
	// falls.
	ScarceBelow float64
	// OutageReserve is the part of the grant at the last contact with the store that is reserved for a customer's first
	// ranks during an outage.
	OutageReserve float64
}

// DefaultPolicy returns a policy that bridges outages of the store of ten seconds.
func DefaultPolicy() Policy {
	return Policy{
		Horizon: 10 * time.Second, ReserveFactor: 1.4, PooledHorizon: 3 * time.Second, Surge: 1.1, Deviations: 2, BurstDeviations: 1.2, StartShare: 0.15, PoolStartShare: 0.3, ScarceBelow: 0.5,
		OutageReserve: 0.25,
	}
}

// burstHorizon is the time whose use is spendable at once: until Grace has passed after a report, and a little more.
const burstHorizon = Grace + 500*time.Millisecond

// flow is the measured use of one customer at this holder.
type flow struct {
	rate         float64 // tokens per second
	fleetRate    float64 // tokens per second at all holders, this one included
	weightedSize float64 // tokens; see meter.weightedSize
}

// amount returns the use within a time. It includes this holder's part of the deviation of the fleet's use:
// request sizes vary, so the use of a few requests is uneven. Holders lend each other what one of them lacks. A power
// loss of all holders loses the sum of their grants, which would be much larger if each held the deviation of its own
// use.
func (p Policy) amount(f flow, d time.Duration, deviations float64) float64 {
	mean := f.rate * p.Surge * d.Seconds()
	if mean <= 0 {
		return 0
	}
	fleetUse := max(f.fleetRate, f.rate) * p.Surge * d.Seconds()
	return mean + deviations*math.Sqrt(fleetUse*f.weightedSize)*mean/fleetUse
}

// scarceHorizon is the time whose use is held of a nearly exhausted budget. A power loss takes the grants that holders
// have then from the customer's last requests. Refreshes for single requests bring the rest.
const scarceHorizon = 600 * time.Millisecond

// abundance rates an unspent amount from 0 (nothing is left) to 1 (it is not scarce).
func (p Policy) abundance(remaining, prepaid int64) float64 {
	if prepaid <= 0 || p.ScarceBelow <= 0 {
		return 1
	}
	return min(1, max(0, float64(remaining)/(p.ScarceBelow*float64(prepaid))))
}

// size computes what to request for a measured flow. All of it is spendable once the horizon has passed.
func (p Policy) size(f flow, horizon time.Duration, abundance float64) (demand, burst, rate int64) {
	burstSpan := scarceHorizon + time.Duration(float64(burstHorizon-scarceHorizon)*abundance)
	horizon = max(burstSpan, time.Duration(float64(horizon)*abundance))
	b := p.amount(f, burstSpan, p.BurstDeviations*abundance)
	held := max(b, p.amount(f, time.Duration(p.ReserveFactor*float64(horizon)), p.Deviations*abundance))
	if span := (horizon - Grace).Seconds(); span > 0 {
		rate = int64((held - b) / span)
	} else {
		held = b
	}
	return int64(held), int64(b), rate
}

// releaseSchedule spreads a share over the horizon: what is spendable at once, and per second later. This bounds what a
// holder that ends early can have spent.
func (p Policy) releaseSchedule(share int64) (burst, rate int64) {
	if p.Horizon <= burstHorizon {
		return share, 0
	}
	burst = int64(float64(share) * burstHorizon.Seconds() / p.Horizon.Seconds())
	return burst, int64(float64(share-burst) / (p.Horizon - Grace).Seconds())
}

// Need is what a holder requests of one account.
type Need struct {
	Spent    int64 `cbor:"1,keyasint,omitempty"` // spent or reserved so far
	Demand   int64 `cbor:"2,keyasint,omitempty"` // to hold unspent
	Burst    int64 `cbor:"3,keyasint,omitempty"`
	Rate     int64 `cbor:"4,keyasint,omitempty"`
	Urgent   int64 `cbor:"5,keyasint,omitempty"` // unspent amount that the waiting requests need; 0: none waits
	MinGrant int64 `cbor:"6,keyasint,omitempty"` // the holder already relies on a grant of this much
}

// Grant sets a holder's row of an account so that nothing is overspent, and returns it. prepaid < 0 means no limit.
//
// A holder gets its demand while maxOutstanding of the unspent rest covers the demand of all, otherwise its
// proportional part. Any excess is released. A row never falls below what is already spent.
func (a *Account) Grant(holder string, n Need, prepaid int64) Row {
	others := a.sums().minus(a.Rows[holder])
	row, _ := a.setRow(holder, n, prepaid, others, prepaid-a.Settled-others.granted)
	return row
}

// setRow implements Grant, given the sums of all other rows. ungranted is the upper limit of the row, counted from the
// holder's start; target is what the holder should have unspent.
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

// maxOutstanding is the part of a budget's unspent rest that all holders together may have, apart from what requests
// wait for. A power loss of all holders loses what they have.
const maxOutstanding = 0.4

// share returns the part of the unspent rest that a holder may have beside the others.
func (a *Account) share(n Need, prepaid int64, others sums) int64 {
	remaining := prepaid - a.Settled - others.spent - n.Spent
	demand := others.demand + n.Demand
	if remaining <= 0 {
		return 0
	}
	remaining = int64(maxOutstanding * float64(remaining))
	if remaining >= demand || demand == 0 {
		return n.Demand
	}
	return int64(float64(remaining) * float64(n.Demand) / float64(demand))
}
