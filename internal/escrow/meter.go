package escrow

import (
	"math"
	"time"
)

// meter measures the rate and the unevenness of a flow of tokens.
type meter struct {
	perSecond float64
	pending   float64
	squareSum float64 // of the requests' sizes
	sizeSum   float64 // of the requests' sizes
	at        time.Time
	age       time.Duration
}

// Time constants of a meter.
const (
	meterWindow = 6 * time.Second  // of the rate
	sizeDecay   = 30 * time.Second // of the request sizes
)

// add counts a request with the most tokens that it can use.
func (m *meter) add(tokens int64) {
	x := float64(tokens)
	m.pending += x
	m.sizeSum += x
	m.squareSum += x * x
}

// tick updates the rate. A meter starts with the first requests of any customer; idle reports that there were none yet.
func (m *meter) tick(now time.Time, idle bool) {
	if m.at.IsZero() || idle {
		m.at = now
		return
	}
	dt := now.Sub(m.at)
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt.Seconds() / meterWindow.Seconds())
	m.perSecond = m.perSecond*decay + m.pending/dt.Seconds()*(1-decay)
	sizeDecayFactor := math.Exp(-dt.Seconds() / sizeDecay.Seconds())
	m.sizeSum *= sizeDecayFactor
	m.squareSum *= sizeDecayFactor
	m.pending = 0
	m.at = now
	m.age += dt
}

// rate returns the flow in tokens per second, corrected if the meter is younger than its window.
func (m *meter) rate() float64 {
	seen := 1 - math.Exp(-m.age.Seconds()/meterWindow.Seconds())
	if seen <= 0 {
		return 0
	}
	return m.perSecond / seen
}

// weightedSize returns the request size that determines the unevenness of the flow: the mean size, weighted by size.
func (m *meter) weightedSize() float64 {
	if m.sizeSum <= 0 {
		return 0
	}
	return m.squareSum / m.sizeSum
}
