package escrow

import (
	"math"
	"time"
)

// meter measures a flow of tokens: how fast it is and how uneven.
type meter struct {
	perSecond float64
	pending   float64
	squareSum float64 // of the requests' sizes
	sizeSum   float64 // their sum
	at        time.Time
	age       time.Duration
}

// Time constants of a meter.
const (
	meterWindow = 6 * time.Second  // of the rate
	sizeDecay   = 30 * time.Second // of what is known of sizes
)

// add counts a request, in tokens at its most.
func (m *meter) add(tokens int64) {
	x := float64(tokens)
	m.pending += x
	m.sizeSum += x
	m.squareSum += x * x
}

// tick brings the rate up to date. A meter begins with the first requests, whatever they are: idle reports that there were none yet.
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

// rate is the flow in tokens a second, corrected for a meter that is younger than its window.
func (m *meter) rate() float64 {
	seen := 1 - math.Exp(-m.age.Seconds()/meterWindow.Seconds())
	if seen <= 0 {
		return 0
	}
	return m.perSecond / seen
}

// weightedSize is the size of request that makes the flow uneven: the mean size, larger requests counting more.
func (m *meter) weightedSize() float64 {
	if m.sizeSum <= 0 {
		return 0
	}
	return m.squareSum / m.sizeSum
}
