package pool

import (
	"math"
	"time"
)

// comeback bounds what this instance has open at an endpoint that had asked it for rest: as a congestion window does, one at first, one more
// with each answer up to half of what it had open there when it asked, then slowly more.
//
// The load that it answers: one endpoint rests, the others have more than they bear and rest in turn, and each is sent too much again as it
// comes back. Replayed by TestRestCascade.
type comeback struct {
	room   float64   // requests open at once
	until  float64   // room up to which it grows with each answer
	turned time.Time // it counts from then on; zero: from its first request on
}

const (
	leastUntil = 2               // requests: fewer tell nothing of what an endpoint bears
	growth     = 0.1             // of a request, by as many answers as there is room for, beyond that
	forgetting = 8 * time.Second // in which the bound doubles by itself: what an endpoint bears changes
	forgotten  = 5               // times that it has doubled when it does not count any more
	askedOnce  = time.Second     // in which several answers that ask for rest count as one
)

// after is the bound from the moment on at which an endpoint has asked for rest with some requests open. What it asks for several times at once
// counts once.
func (c *comeback) after(now time.Time, open int, cut float64) *comeback {
	switch {
	case cut <= 0:
		return nil
	case c != nil && now.Sub(c.turned) < askedOnce:
		return &comeback{room: 1, until: c.until, turned: now}
	}
	return &comeback{room: 1, until: max(leastUntil, cut*float64(open)), turned: now}
}

// firstAgain is the bound on an endpoint that gets work again though nothing has said that it wants any. It counts from its first request on.
func firstAgain() *comeback { return &comeback{room: 1, until: leastUntil} }

// begin notes a request.
func (c *comeback) begin(now time.Time) {
	if c != nil && c.turned.IsZero() {
		c.turned = now
	}
}

// answered lets the bound grow with an answer.
func (c *comeback) answered() {
	if c.room < c.until {
		c.room++
		return
	}
	c.room += growth / c.room
}

// bound is the number of requests that may be open.
func (c *comeback) bound(now time.Time) int {
	if c.turned.IsZero() {
		return int(c.room)
	}
	return int(c.room * math.Exp2(now.Sub(c.turned).Seconds()/forgetting.Seconds()))
}

// over reports whether there is no bound, or it does not count any more.
func (c *comeback) over(now time.Time) bool {
	return c == nil || (!c.turned.IsZero() && now.Sub(c.turned) > forgotten*forgetting)
}
