package limit

import "time"

// burstTime is how much of its rate an instance may send at once.
const burstTime = 250 * time.Millisecond

// Lease is a rate that an instance may send at until a moment.
type Lease struct {
	limit     float64 // under which it was granted, in requests a second
	perSecond float64
	until     time.Time
	holders   int     // among how many it may be divided
	fleet     float64 // requests a second that all instances have for the endpoint's service
	few       bool    // other instances that have requests were lent nothing
}

// NewLease makes a lease, of a part of a limit.
func NewLease(r Rate, perSecond float64, until time.Time) Lease {
	return Lease{limit: r.Bound(), perSecond: perSecond, until: until}
}

// PerSecond is the rate, in requests a second.
func (l Lease) PerSecond() float64 { return l.perSecond }

// under is the lease's rate where another limit holds than the one under which it was granted: a lower one counts at once.
func (l Lease) under(r Rate) float64 {
	if l.limit <= 0 {
		return 0
	}
	return l.perSecond * min(1, r.Bound()/l.limit)
}

// Bucket counts what this instance may still send to one endpoint. It starts empty, also after a time without a lease: else each instance that is
// given a lease in turn could send a request at once.
type Bucket struct {
	lease Lease
	level float64 // requests, as of at
	at    time.Time
	ready time.Time // since when a request may be sent; zero: none may
	sent  time.Time // the last one
}

// Set replaces the lease.
func (b *Bucket) Set(l Lease, r Rate, now time.Time) {
	b.fill(r, now)
	b.lease = l
}

// fill brings the level to a moment.
func (b *Bucket) fill(r Rate, now time.Time) {
	if !now.Before(b.lease.until) {
		b.level, b.at, b.ready = 0, now, time.Time{}
		return
	}
	rate := b.lease.under(r)
	level := min(burst(rate), b.level+rate*max(0, now.Sub(b.at).Seconds()))
	if b.ready.IsZero() && level >= 1 {
		b.ready = b.at.Add(time.Duration((1 - b.level) / rate * float64(time.Second)))
	}
	b.level, b.at = level, now
}

// burst is the number of requests that may be sent at once.
func burst(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }

// Has reports whether a request may be sent now.
func (b *Bucket) Has(r Rate, now time.Time) bool {
	b.fill(r, now)
	return b.level >= 1
}

// Take counts a request.
func (b *Bucket) Take(now time.Time) {
	b.sent = now
	if b.level--; b.level < 1 {
		b.ready = time.Time{}
	}
}

// Return takes a request back that was counted and not sent.
func (b *Bucket) Return() { b.level++ }

// unusedFor is how long a request may be sent that no session of the endpoint's own asks for, before one of others is to take its place.
const unusedFor = 500 * time.Millisecond

// Underused reports whether the instance is to send any request there that it has, since one may be sent that nobody uses: it is one of few that are lent a
// part, so what they send by themselves is not what all would send. It draws no more than an endpoint's even share of what all have, so that a high
// limit draws nothing: even is that part of all requests for the service. Without, an endpoint of hundreds would get next to nothing, and nobody would
// hear that it takes more again.
func (b *Bucket) Underused(r Rate, even float64, now time.Time) bool {
	if !b.lease.few || !b.Has(r, now) || now.Sub(b.ready) < unusedFor {
		return false
	}
	rate := b.lease.under(r) * min(1, even*b.lease.fleet/r.Bound())
	return now.Sub(b.sent).Seconds()*rate >= 1
}

// Rate is what may be sent a second, now.
func (b *Bucket) Rate(r Rate, now time.Time) float64 {
	if !now.Before(b.lease.until) {
		return 0
	}
	return b.lease.under(r)
}
