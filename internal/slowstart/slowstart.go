// Package slowstart limits the requests to an endpoint that has just started, or has become cold. Such an endpoint is
// slow for some seconds, has no cached prompts, and fails when it receives more requests than it can serve.
//
// This matters when an availability zone comes back with all its endpoints cold, when a quarter of the endpoints of a
// service restart together, or when the operator withdraws an evacuation: affinity would send all their sessions back
// there in the same second, from every instance. The bound on the requests to one cold endpoint holds for all
// instances together, even if some reach neither the store nor each other, so it cannot depend on communication.
// Instead, a few instances own each cold endpoint. Every instance computes the owners by itself, and each owner sends a
// fixed small share. Tests: TestColdZone in internal/pool, TestShare here.
package slowstart

import (
	"math"
	"time"
)

// Warmup describes the endpoints of a service that have just started, as the service declares it.
type Warmup struct {
	Time      time.Duration // how long they stay cold
	PerSecond float64       // requests per second that a cold endpoint sustains; 0: not bounded
}

// Bounds is the operator's tolerance: in no second may a cold endpoint receive more than PerSecond times Overage,
// plus Slack.
type Bounds struct {
	Overage float64
	Slack   float64 // requests
}

const (
	safetyMargin = 0.7 // fraction of the bound that is planned for: instances may differ on who the owners are
	burst        = 1.0 // requests that an owner may send at once
	maxOwnerRate = 2.0 // requests per second of one owner: one that has discovered few instances may overestimate it
)

// Share is the number of owners of a cold endpoint, and what each of them may send.
type Share struct {
	Owners    int
	PerSecond float64
}

// Plan divides the requests to a cold endpoint among owners, in a fleet of the given number of instances. In the
// worst second an owner sends its burst and the requests that accrue within a second.
func Plan(w Warmup, b Bounds, instances int) Share {
	budget := safetyMargin * (w.PerSecond*max(1, b.Overage) + b.Slack)
	owners := max(1, min(instances, int(budget/(burst+1))))
	rate := min(maxOwnerRate, budget/float64(owners)-burst, w.PerSecond/float64(owners))
	return Share{Owners: owners, PerSecond: max(0, rate)}
}

// Bucket is a token bucket that limits the requests of this instance to one cold endpoint. The zero value is full.
type Bucket struct {
	used float64 // requests, as of at
	at   time.Time
}

// Has reports whether a request may be sent now.
func (b *Bucket) Has(now time.Time, s Share) bool { return b.level(now, s) <= burst-1 }

// Take counts a request.
func (b *Bucket) Take(now time.Time, s Share) {
	b.used, b.at = b.level(now, s)+1, now
}

// level returns how much of the burst is in use.
func (b *Bucket) level(now time.Time, s Share) float64 {
	return math.Max(0, b.used-now.Sub(b.at).Seconds()*s.PerSecond)
}
