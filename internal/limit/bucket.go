package limit

import "time"

// burstWindow is the duration whose requests, at the leased rate, an instance may send at once.
const burstWindow = 250 * time.Millisecond

// Lease is a rate at which an instance may send until a given time.
type Lease struct {
	limit       float64 // limit under which it was granted, in requests per second
	perSecond   float64
	until       time.Time
	holders     int     // number of instances among which it may be divided
	fleetDemand float64 // requests per second of all instances for the service of the endpoint
	partial     bool    // some instances with requests were granted nothing
}

// NewLease returns a lease of perSecond requests per second under the limit r.
func NewLease(r Rate, perSecond float64, until time.Time) Lease {
	return Lease{limit: r.Bound(), perSecond: perSecond, until: until}
}

// PerSecond returns the rate, in requests per second.
func (l Lease) PerSecond() float64 { return l.perSecond }

// rateUnder returns the rate of the lease under the current limit. If that is lower than the limit under which the
// lease was granted, the rate is reduced in proportion at once. A higher limit does not raise it.
func (l Lease) rateUnder(r Rate) float64 {
	if l.limit <= 0 {
		return 0
	}
	return l.perSecond * min(1, r.Bound()/l.limit)
}

// Bucket counts the requests that this instance may still send to one endpoint. It starts empty, also after a time
// without a lease: otherwise each instance that receives a lease in turn could send a request at once.
type Bucket struct {
	lease          Lease
	level          float64 // number of requests that may be sent, as of at
	at             time.Time
	availableSince time.Time // since when a request may be sent; zero: none may
	lastSent       time.Time
}

// Set replaces the lease.
func (b *Bucket) Set(l Lease, r Rate, now time.Time) {
	b.refill(r, now)
	b.lease = l
}

// refill updates the level to now.
func (b *Bucket) refill(r Rate, now time.Time) {
	if !now.Before(b.lease.until) {
		b.level, b.at, b.availableSince = 0, now, time.Time{}
		return
	}
	rate := b.lease.rateUnder(r)
	level := min(burst(rate), b.level+rate*max(0, now.Sub(b.at).Seconds()))
	if b.availableSince.IsZero() && level >= 1 {
		b.availableSince = b.at.Add(time.Duration((1 - b.level) / rate * float64(time.Second)))
	}
	b.level, b.at = level, now
}

// burst returns the number of requests that may be sent at once.
func burst(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

// Has reports whether a request may be sent now.
func (b *Bucket) Has(r Rate, now time.Time) bool {
	b.refill(r, now)
	return b.level >= 1
}

// Take counts a request that is about to be sent.
func (b *Bucket) Take(now time.Time) {
	b.lastSent = now
	if b.level--; b.level < 1 {
		b.availableSince = time.Time{}
	}
}

// Return restores a request that was counted but not sent.
func (b *Bucket) Return() { b.level++ }

// unusedAfter is how long a permitted request may stay unused by requests whose affinity prefers the endpoint, before
// any other request takes its place.
const unusedAfter = 500 * time.Millisecond

// Underused reports whether the instance should send any of its requests to the endpoint, because it has been permitted
// to send one for some time and has had none whose affinity prefers the endpoint. This concerns partial leases only:
// the few instances that hold one have fewer such requests than all instances together. Without this, one endpoint of
// hundreds would receive almost no requests, and no instance would discover that it accepts more again.
//
// evenShare is the fraction of all requests for the service that the endpoint would receive if they were distributed
// evenly. The instances together send such requests at no higher rate than that, so that a high limit attracts none.
func (b *Bucket) Underused(r Rate, evenShare float64, now time.Time) bool {
	if !b.lease.partial || !b.Has(r, now) || now.Sub(b.availableSince) < unusedAfter {
		return false
	}
	rate := b.lease.rateUnder(r) * min(1, evenShare*b.lease.fleetDemand/r.Bound())
	return now.Sub(b.lastSent).Seconds()*rate >= 1
}

// Rate returns the leased rate in requests per second, or 0 if the lease has expired.
func (b *Bucket) Rate(r Rate, now time.Time) float64 {
	if !now.Before(b.lease.until) {
		return 0
	}
	return b.lease.rateUnder(r)
}
