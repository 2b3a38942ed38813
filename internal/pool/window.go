package pool

import (
	"math"
	"time"
)

// window bounds this instance's open requests at an endpoint that has asked for a back-off, like a congestion window.
// It starts at one request and grows by one with each response, up to a share of the requests that were open when the
// endpoint asked for the back-off. Beyond that it grows slowly.
//
// It prevents a cascade: while one endpoint gets no work, the others get more than they can sustain and ask for a
// back-off in turn, and each is overloaded again as it returns. TestBackoffCascade reproduces it.
type window struct {
	size      float64   // requests open at once
	threshold float64   // size up to which it grows by one with each response
	since     time.Time // when it takes effect; zero: with its first request
}

const (
	minThreshold    = 2               // requests: fewer do not indicate an endpoint's capacity
	linearIncrease  = 0.1             // requests by which it grows beyond that, for as many responses as its size
	doublingTime    = 8 * time.Second // time in which it doubles by itself, since an endpoint's capacity changes
	expiryDoublings = 5               // doublings after which it expires
	mergePeriod     = time.Second     // time within which several back-offs count as one
)

// shrunk returns the window of an endpoint that asks for a back-off, or is busy, while some requests are open. Several
// such responses within mergePeriod count once.
func (w *window) shrunk(now time.Time, open int, decrease float64) *window {
	switch {
	case decrease <= 0:
		return nil
	case w != nil && now.Sub(w.since) < mergePeriod:
		return &window{size: 1, threshold: w.threshold, since: now}
	}
	return &window{size: 1, threshold: max(minThreshold, decrease*float64(open)), since: now}
}

// probeWindow returns the window of an endpoint that gets work again although nothing indicates that it accepts any.
// The window takes effect with the first request.
func probeWindow() *window { return &window{size: 1, threshold: minThreshold} }

// start makes the window take effect with its first request.
func (w *window) start(now time.Time) {
	if w != nil && w.since.IsZero() {
		w.since = now
	}
}

// grow enlarges the window after a response.
func (w *window) grow() {
	if w.size < w.threshold {
		w.size++
		return
	}
	w.size += linearIncrease / w.size
}

// limit is the number of requests that may be open.
func (w *window) limit(now time.Time) int {
	if w.since.IsZero() {
		return int(w.size)
	}
	return int(w.size * math.Exp2(now.Sub(w.since).Seconds()/doublingTime.Seconds()))
}

// expired reports whether there is no window, or it no longer applies.
func (w *window) expired(now time.Time) bool {
	return w == nil || (!w.since.IsZero() && now.Sub(w.since) > expiryDoublings*doublingTime)
}
