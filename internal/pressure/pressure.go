// Package pressure detects congestion of an instance's own network link, by the bytes that the link carries and by
// the time that connections to endpoints take to be established.
//
// A single slow connection does not indicate congestion, since endpoints fail too. If even the fastest of the last
// connections was slow, the delay is on this side. An instance under pressure must report that it is not ready, so
// that new callers go to other instances, and must redirect its present callers. It does so well before the link is
// full: callers take seconds to move, and a full link serves no requests.
package pressure

import (
	"sync"
	"sync/atomic"
	"time"
)

// Policy holds the thresholds for the link.
type Policy struct {
	Window        time.Duration // samples older than this are ignored
	MinSamples    int           // samples that are needed within Window
	SlowDial      time.Duration // a connection that takes this long was delayed by the link
	Onset         time.Duration // the link must be congested for this long before callers are diverted
	BusyShare     float64       // fraction of the link's capacity above which callers are diverted
	CountInterval time.Duration // over which bytes are counted
	HoldTime      time.Duration // callers are diverted for this long after the last congestion, at first
	MaxHoldTime   time.Duration // upper limit of the hold time, which doubles each time the link is congested again
}

// DefaultPolicy suits links on which a connection is established in a few milliseconds.
func DefaultPolicy() Policy {
	return Policy{
		Window: 700 * time.Millisecond, MinSamples: 3, SlowDial: 50 * time.Millisecond, Onset: 250 * time.Millisecond,
		BusyShare: 0.55, CountInterval: 500 * time.Millisecond,
		HoldTime: 20 * time.Second, MaxHoldTime: 60 * time.Second,
	}
}

type sample struct {
	at   time.Time
	took time.Duration
}

// byteCount is the number of bytes carried up to a moment.
type byteCount struct {
	at      time.Time
	in, out int64
}

// Monitor monitors the link of one instance.
type Monitor struct {
	policy   Policy
	now      func() time.Time
	linkRate float64 // bytes per second in each direction; 0: not known
	in       atomic.Int64
	out      atomic.Int64

	mu             sync.Mutex
	lastCount      byteCount
	busy           bool
	samples        []sample
	congestedSince time.Time // start of the current congestion; zero: none
	divertUntil    time.Time // callers are diverted until then
	holdTime       time.Duration
	onChange       func(diverting bool)
	diverting      bool
}

// Option configures a Monitor.
type Option func(*Monitor)

// WithPolicy replaces the thresholds.
func WithPolicy(p Policy) Option { return func(m *Monitor) { m.policy = p } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(m *Monitor) { m.now = now } }

// WithLink sets the capacity of the link in each direction, in megabits per second.
func WithLink(mbps float64) Option {
	const bytesPerMegabit = 1e6 / 8
	return func(m *Monitor) { m.linkRate = mbps * bytesPerMegabit }
}

// OnChange sets a function that is called when the instance starts and stops diverting callers.
func OnChange(f func(diverting bool)) Option { return func(m *Monitor) { m.onChange = f } }

// New returns a Monitor of a link without congestion.
func New(opts ...Option) *Monitor {
	m := &Monitor{policy: DefaultPolicy(), now: time.Now, onChange: func(bool) {}}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// ObserveDial records the time that one connection took to be established, or to be given up.
func (m *Monitor) ObserveDial(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.samples = append(m.samples, sample{at: now, took: took})
	m.update(now)
}

// Diverting reports whether callers must be sent to other instances.
func (m *Monitor) Diverting() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.update(now)
	return m.diverting
}

// Congested reports whether the link is congested now.
func (m *Monitor) Congested() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.update(now)
	return !m.congestedSince.IsZero()
}

// update updates the state to now. The caller holds mu.
func (m *Monitor) update(now time.Time) {
	m.updateBusy(now)
	slow := m.dialsSlow(now)
	switch {
	case !slow:
		m.congestedSince = time.Time{}
	case m.congestedSince.IsZero():
		m.congestedSince = now
	}
	if m.busy || (slow && now.Sub(m.congestedSince) >= m.policy.Onset) {
		m.extendHold(now)
	}
	if diverting := now.Before(m.divertUntil); diverting != m.diverting {
		m.diverting = diverting
		m.onChange(diverting)
	}
}

// updateBusy compares the bytes of the last interval with the capacity of the link. The caller holds mu.
func (m *Monitor) updateBusy(now time.Time) {
	span := now.Sub(m.lastCount.at)
	if m.linkRate <= 0 || span < m.policy.CountInterval {
		return
	}
	next := byteCount{at: now, in: m.in.Load(), out: m.out.Load()}
	carried := max(next.in-m.lastCount.in, next.out-m.lastCount.out)
	m.busy = !m.lastCount.at.IsZero() && float64(carried) > m.policy.BusyShare*m.linkRate*span.Seconds()
	m.lastCount = next
}

// extendHold diverts callers for the hold time from now on. The caller holds mu.
func (m *Monitor) extendHold(now time.Time) {
	if !now.Before(m.divertUntil) {
		m.holdTime = max(m.policy.HoldTime, min(2*m.holdTime, m.policy.MaxHoldTime))
	}
	m.divertUntil = now.Add(m.holdTime)
}

// dialsSlow reports whether even the fastest of the recent connections was slow. The caller holds mu.
func (m *Monitor) dialsSlow(now time.Time) bool {
	recent := m.samples[:0]
	fastest := m.policy.SlowDial
	for _, s := range m.samples {
		if now.Sub(s.at) > m.policy.Window {
			continue
		}
		recent = append(recent, s)
		fastest = min(fastest, s.took)
	}
	m.samples = recent
	return len(recent) >= m.policy.MinSamples && fastest >= m.policy.SlowDial
}
