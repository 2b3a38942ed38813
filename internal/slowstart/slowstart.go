// Package slowstart decides how much work an endpoint gets that has just started, or has turned cold: it is slow for some seconds, keeps no
// prompts, and fails when it is sent more than it can bear.
//
// The load that it answers: an availability zone comes back at once with all its endpoints cold, a quarter of a service's endpoints restart
// together, or the operator takes an evacuation back. Affinity would send all their sessions there in the same second, from every
// instance. The bound on what one cold endpoint gets holds for all instances together, also for those that reach neither the store nor each other, so
// nothing can be asked: a few instances own each cold endpoint, by an order that all come to alone, and each of them sends a fixed small share.
// Replays: TestColdZone in internal/pool, TestShare here.
package slowstart

import (
	"math"
	"time"
)

// Warmup is what a service says of endpoints that have just started.
type Warmup struct {
	Time      time.Duration // for so long they are cold
	PerSecond float64       // requests that a cold one bears; 0: not bounded
}

// Bounds are the operator's tolerance: in no second may a cold endpoint get more than PerSecond times Overage, and Slack more.
type Bounds struct {
	Overage float64
	Slack   float64 // requests
}

const (
	safety   = 0.7 // part of the bound that is planned for: instances may differ on who the owners are
	burst    = 1.0 // requests that an owner may send at once
	mostRate = 2.0 // requests a second of one owner: one that knows few others may be wrong
)

// Share is what each of the owners of a cold endpoint may send.
type Share struct {
	Owners    int
	PerSecond float64
}

// Plan divides what a cold endpoint may get among owners, of a fleet of some instances. In the worst second an owner sends its burst and
// what a second brings.
func Plan(w Warmup, b Bounds, instances int) Share {
	most := safety * (w.PerSecond*max(1, b.Overage) + b.Slack)
	owners := max(1, min(instances, int(most/(burst+1))))
	rate := min(mostRate, most/float64(owners)-burst, w.PerSecond/float64(owners))
	return Share{Owners: owners, PerSecond: max(0, rate)}
}

// Bucket counts what this instance may still send to one cold endpoint. Its zero value is full.
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

// level is how much of the burst is in use.
func (b *Bucket) level(now time.Time, s Share) float64 {
	return math.Max(0, b.used-now.Sub(b.at).Seconds()*s.PerSecond)
}
