// Package pressure tells when an instance's own link is crowded, by the bytes that it carries and by how long connections to
// endpoints take to come up.
//
// A single slow connection says nothing, as endpoints fail too. But if even the fastest of the last ones was slow, what waits is on
// this side. An instance under pressure is to call itself not ready, so that new callers go to others, and to send those that it
// has there. It does so well before the link is full: callers take seconds to move, and a full link serves nobody.
package pressure

import (
	"sync"
	"sync/atomic"
	"time"
)

// Policy holds the figures by which a link is judged.
type Policy struct {
	Window        time.Duration // samples older than this say nothing
	MinSamples    int           // samples within the window that are needed
	SlowDial      time.Duration // connections that take longer wait for the link
	Onset         time.Duration // the link must be crowded for so long before callers are sent away
	BusyShare     float64       // of the link's bytes from which it is about to be crowded
	CountInterval time.Duration // over which bytes are counted
	HoldTime      time.Duration // callers are sent away for so long after the link was crowded last, at first
	MaxHoldTime   time.Duration // the most that Rest grows to, as the link is crowded again soon after
}

// DefaultPolicy suits links on which a connection comes up in a few milliseconds.
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

// mark is how many bytes had passed at a moment.
type mark struct {
	at      time.Time
	in, out int64
}

// Monitor watches one instance's link.
type Monitor struct {
	policy Policy
	now    func() time.Time
	link   float64 // bytes a second each way; 0: not known
	in     atomic.Int64
	out    atomic.Int64

	mu      sync.Mutex
	mark    mark
	busy    bool
	samples []sample
	since   time.Time // the link is crowded without a break since then; zero: it is not
	until   time.Time // callers are sent away until then
	rest    time.Duration
	changed func(away bool)
	away    bool
}

// Option changes a Gauge.
type Option func(*Monitor)

// WithPolicy replaces the figures.
func WithPolicy(p Policy) Option { return func(g *Monitor) { g.policy = p } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(g *Monitor) { g.now = now } }

// WithLink sets what the link carries each way, in megabits a second.
func WithLink(mbps float64) Option {
	const bytesPerMegabit = 1e6 / 8
	return func(g *Monitor) { g.link = mbps * bytesPerMegabit }
}

// OnChange sets what is told when the instance begins and ends to send callers away.
func OnChange(f func(away bool)) Option { return func(g *Monitor) { g.changed = f } }

// New makes a gauge of a calm link.
func New(opts ...Option) *Monitor {
	g := &Monitor{policy: DefaultPolicy(), now: time.Now, changed: func(bool) {}}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// ObserveDial takes the time that one connection took to come up, or to be given up.
func (g *Monitor) ObserveDial(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.samples = append(g.samples, sample{at: now, took: took})
	g.judge(now)
}

// Diverting reports whether callers are to be sent to other instances.
func (g *Monitor) Diverting() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.judge(now)
	return g.away
}

// Congested reports whether the link is crowded now.
func (g *Monitor) Congested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.judge(now)
	return !g.since.IsZero()
}

// judge brings the verdict up to date. The caller holds mu.
func (g *Monitor) judge(now time.Time) {
	g.weigh(now)
	crowded := g.crowded(now)
	switch {
	case !crowded:
		g.since = time.Time{}
	case g.since.IsZero():
		g.since = now
	}
	if g.busy || (crowded && now.Sub(g.since) >= g.policy.Onset) {
		g.extend(now)
	}
	if away := now.Before(g.until); away != g.away {
		g.away = away
		g.changed(away)
	}
}

// weigh holds the bytes of the last span against the link. The caller holds mu.
func (g *Monitor) weigh(now time.Time) {
	span := now.Sub(g.mark.at)
	if g.link <= 0 || span < g.policy.CountInterval {
		return
	}
	next := mark{at: now, in: g.in.Load(), out: g.out.Load()}
	carried := max(next.in-g.mark.in, next.out-g.mark.out)
	g.busy = !g.mark.at.IsZero() && float64(carried) > g.policy.BusyShare*g.link*span.Seconds()
	g.mark = next
}

// extend sends callers away from now on. The caller holds mu.
func (g *Monitor) extend(now time.Time) {
	if !now.Before(g.until) {
		g.rest = max(g.policy.HoldTime, min(2*g.rest, g.policy.MaxHoldTime))
	}
	g.until = now.Add(g.rest)
}

// crowded reports whether even the fastest of the last connections waited for the link. The caller holds mu.
func (g *Monitor) crowded(now time.Time) bool {
	kept := g.samples[:0]
	fastest := g.policy.SlowDial
	for _, s := range g.samples {
		if now.Sub(s.at) > g.policy.Window {
			continue
		}
		kept = append(kept, s)
		fastest = min(fastest, s.took)
	}
	g.samples = kept
	return len(kept) >= g.policy.MinSamples && fastest >= g.policy.SlowDial
}
