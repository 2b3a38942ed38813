package escrow

import "time"

// warmupTime is how long after the first request measurements are not yet meaningful.
const warmupTime = 3 * time.Second

// need computes what the holder requests of a customer's account. The caller holds mu.
func (h *Holder) need(name string, a *account, holders int) Need {
	role := h.role(name)
	horizon := h.policy.Horizon
	if role == RolePooled {
		horizon = h.policy.PooledHorizon
	}
	if h.stopping {
		horizon = min(horizon, stoppingHorizon)
	}
	n := Need{Spent: a.used(), Urgent: a.urgent}
	if n.Urgent > 0 {
		n.Urgent = max(n.Urgent, a.waiting)
	}
	policy := h.policy
	f := h.flow(a, role)
	if role == RolePooled || h.stopping {
		// The pool absorbs unevenness, and callers of a stopping instance move to others. If the store is unreachable
		// at the end of the stop, everything that this holder has is lost to the budget.
		policy.Deviations, policy.BurstDeviations, policy.ReserveFactor = 0, 0, 1
	}
	n.Demand, n.Burst, n.Rate = policy.size(f, horizon, policy.abundance(a.unspent(), a.prepaid))
	if role == RolePooled && float64(n.Demand) < f.weightedSize {
		n.Demand, n.Burst, n.Rate = 0, 0, 0 // too little for a single request
	}
	if h.warmingUp() && !h.stopping && role != RolePooled {
		n = h.startNeed(n, a, role, max(1, holders))
	}
	n.Burst = max(n.Burst, n.Urgent)
	return n
}

// startNeed adds to a need what the holder requests while too little is measured: a share for an outage of the store,
// released over the horizon. The demand of others does not raise what is spendable at once, since their measurements may
// be as short. The caller holds mu.
func (h *Holder) startNeed(n Need, a *account, role Role, holders int) Need {
	share := h.startShare(a, role, holders)
	burst, rate := h.policy.releaseSchedule(share)
	if a.othersDemand > 0 && role == RoleStandalone {
		share = a.othersDemand
		_, rate = h.policy.releaseSchedule(share)
	}
	if role == RoleStandalone && h.measuredInterval() {
		burst = 0
	}
	n.Demand, n.Burst, n.Rate = max(n.Demand, share), max(n.Burst, burst), max(n.Rate, rate)
	return n
}

// measuredInterval reports whether an entire interval was measured here. A pool's zone reports its demand later. The
// caller holds mu.
func (h *Holder) measuredInterval() bool {
	return !h.firstDemand.IsZero() && h.now().Sub(h.firstDemand) >= h.times.RefreshInterval
}

// warmingUp reports whether too little is measured yet, here or in the zone for which this holder pools tokens. The
// caller holds mu.
func (h *Holder) warmingUp() bool {
	if h.firstDemand.IsZero() && h.hasDemand() {
		h.firstDemand = h.now()
	}
	return h.firstDemand.IsZero() || h.now().Sub(h.firstDemand) < warmupTime
}

// hasDemand reports whether there was any request yet. The caller holds mu.
func (h *Holder) hasDemand() bool {
	if h.localMeter.sizeSum > 0 {
		return true
	}
	for _, a := range h.accounts {
		if a.zoneRate > 0 {
			return true
		}
	}
	return false
}

// startShare returns this holder's part of the unspent amount while nothing is measured. The caller holds mu.
func (h *Holder) startShare(a *account, role Role, holders int) int64 {
	remaining := float64(max(0, a.remaining))
	if role == RolePool {
		return int64(remaining * h.policy.PoolStartShare * min(1, float64(h.fleet.ZoneSize())/float64(max(holders, h.fleet.Size()))))
	}
	if h.fleet != nil {
		holders = max(holders, h.fleet.Size()) // some may not have joined the page yet
	}
	return int64(remaining * h.policy.StartShare / float64(holders))
}

// flow estimates a customer's use at this holder. It weights the rate measured here by how many of the customer's
// requests were seen. The remaining weight goes to this holder's share of what all holders report, as if the customer's
// callers were distributed like all callers. For a pool the rate is the zone's demand. The caller holds mu.
func (h *Holder) flow(a *account, role Role) flow {
	local := a.meter.rate()
	total, customerRate := h.fleetMeter.rate(), a.fleetMeter.rate()
	if a.led {
		total, customerRate = h.leaderRate, a.leaderRate
	}
	f := flow{rate: local, fleetRate: customerRate, weightedSize: h.localMeter.weightedSize()}
	switch {
	case role == RolePool:
		f.rate = max(a.zoneRate, local)
	case total > 0 && f.weightedSize > 0: // a holder without requests has no request size
		part := min(1, h.localMeter.rate()/total)
		seen := customerRate * meterWindow.Seconds()
		confidence := seen / (seen + priorRequests*f.weightedSize)
		f.rate = confidence*local + (1-confidence)*part*customerRate
	}
	if recent := h.recentRate(a, f.weightedSize); recent > resumedFactor*f.rate {
		f.rate = recent
	}
	return f
}

// resumedFactor is how many times the measured rate the recent one is if a flow has just begun, or begins again.
const resumedFactor = 2

// recentRate returns the tokens requested since the last tick, including those of waiting requests, per second of an
// entire interval. It excludes the size of one request. The caller holds mu.
func (h *Holder) recentRate(a *account, weightedSize float64) float64 {
	return max(0, a.meter.pending+float64(a.waiting)-weightedSize) / h.times.RefreshInterval.Seconds()
}

// priorRequests is the weight of the assumption that a customer's callers are distributed over the holders like all
// callers, as a number of the customer's requests at all holders. If measurements did not outweigh it, a customer whose
// callers use one instance would have as much held at instances that they never use.
const priorRequests = 4
