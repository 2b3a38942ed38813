package escrow

import (
	"math"
	"time"
)

// meter measures how fast a customer's tokens are asked for here.
type meter struct {
	perSecond float64
	pending   float64
	largest   float64
	at        time.Time
}

// Time constants of a meter.
const (
	meterWindow  = 6 * time.Second  // of the rate
	largestDecay = 30 * time.Second // of the largest request
)

// add counts tokens that a request may use at its most.
func (m *meter) add(tokens int64) {
	m.pending += float64(tokens)
	m.largest = max(m.largest, float64(tokens))
}

// tick brings the rate up to date.
func (m *meter) tick(now time.Time) {
	if m.at.IsZero() {
		m.at = now
		return
	}
	dt := now.Sub(m.at).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp(-dt / meterWindow.Seconds())
	m.perSecond = m.perSecond*keep + m.pending/dt*(1-keep)
	m.largest *= math.Exp(-dt / largestDecay.Seconds())
	m.pending = 0
	m.at = now
}
