package pool

import (
	"math"
	"time"
)

// window bounds what this instance has open at an endpoint that had asked it for rest: as a congestion window does, one at first, one more
// with each answer up to half of what it had open there when it asked, then slowly more.
//
// The load that it answers: one endpoint rests, the others have more than they bear and rest in turn, and each is sent too much again as it
// comes back. Replayed by TestRestCascade.
type window struct {
	size      float64   // requests open at once
	threshold float64   // room up to which it grows with each answer
	since     time.Time // it counts from then on; zero: from its first request on
}

const (
	minThreshold    = 2               // requests: fewer tell nothing of what an endpoint bears
	linearIncrease  = 0.1             // of a request, by as many answers as there is room for, beyond that
	doublingTime    = 8 * time.Second // in which the bound doubles by itself: what an endpoint bears changes
	expiryDoublings = 5               // times that it has doubled when it does not count any more
	mergePeriod     = time.Second     // in which several answers that ask for rest count as one
)

// shrunk is the bound from the moment on at which an endpoint has asked for rest with some requests open. What it asks for several times at once
// counts once.
func (c *window) shrunk(now time.Time, open int, cut float64) *window {
	switch {
	case cut <= 0:
		return nil
	case c != nil && now.Sub(c.since) < mergePeriod:
		return &window{size: 1, threshold: c.threshold, since: now}
	}
	return &window{size: 1, threshold: max(minThreshold, cut*float64(open)), since: now}
}

// probeWindow is the bound on an endpoint that gets work again though nothing has said that it wants any. It counts from its first request on.
func probeWindow() *window { return &window{size: 1, threshold: minThreshold} }

// start notes a request.
func (c *window) start(now time.Time) {
	if c != nil && c.since.IsZero() {
		c.since = now
	}
}

// grow lets the bound grow with an answer.
func (c *window) grow() {
	if c.size < c.threshold {
		c.size++
		return
	}
	c.size += linearIncrease / c.size
}

// limit is the number of requests that may be open.
func (c *window) limit(now time.Time) int {
	if c.since.IsZero() {
		return int(c.size)
	}
	return int(c.size * math.Exp2(now.Sub(c.since).Seconds()/doublingTime.Seconds()))
}

// expired reports whether there is no bound, or it does not count any more.
func (c *window) expired(now time.Time) bool {
	return c == nil || (!c.since.IsZero() && now.Sub(c.since) > expiryDoublings*doublingTime)
}
