// Package fleettime bounds the fleet's time of day by the clocks of its instances.
//
// A machine's own time of day may step by seconds, and its steady clock starts again after a loss of power. The time on
// which most clocks of a fleet agree does not step while fewer than seven in ten of them step. It therefore tells how
// much time has passed across a loss of power. One instance is the coordinator: the others report their clocks to it,
// some of them through relays, and it replies with the bounds.
package fleettime

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// KindReport reports an instance's clock and requests the bounds.
const KindReport mesh.Kind = "fleettime.ask"

const (
	initialSyncInterval = 200 * time.Millisecond // between requests until the time is known
	syncInterval        = time.Second            // between requests later on
	syncTimeout         = 300 * time.Millisecond
	maxDelay            = 100 * time.Millisecond // replies that took longer are too inaccurate
	minClocks           = 3                      // minimum number of clocks for bounds
	minClockShare       = 0.6                    // likewise, as a share of the coordinator's group of instances
	trimShare           = 0.3                    // share of the clocks below the lower bound, and likewise above the upper one
	readingLifetime     = 5 * time.Second        // how long a clock's reading counts
	maxForwarded        = 128                    // clocks in a report besides the sender's
)

// clockReport is the time of day of the sender's clock, and of the clocks that were reported to the sender.
type clockReport struct {
	WallMs  int64   `cbor:"1,keyasint"`
	AheadMs []int64 `cbor:"2,keyasint,omitempty"` // how far those clocks are ahead of the sender's
}

// boundsReply bounds the fleet's time. 0: not known yet.
type boundsReply struct {
	LowMs  int64 `cbor:"1,keyasint,omitempty"`
	HighMs int64 `cbor:"2,keyasint,omitempty"`
}

// Bounds are the earliest and the latest possible time of day.
type Bounds struct {
	Low  time.Time
	High time.Time
}

// reading is the time of day of a clock, with the time of this instance's steady clock at which it was received.
type reading struct {
	wall   time.Time
	steady time.Duration
}

// at returns the clock's time of day now, unless it has stepped since.
func (r reading) at(steady time.Duration) time.Time { return r.wall.Add(steady - r.steady) }

// Clock is the service that tracks the fleet's time.
type Clock struct {
	dir    *peers.Directory
	self   string
	steady func() time.Duration
	wall   func() time.Time

	mu       sync.Mutex
	readings map[string][]reading // by instance that reported them; the first one is of its own clock
	known    bool
	low      reading
	high     reading
}

// Option changes a Clock.
type Option func(*Clock)

// WithSteady replaces the steady clock.
func WithSteady(f func() time.Duration) Option { return func(c *Clock) { c.steady = f } }

// WithWall replaces the time of day.
func WithWall(f func() time.Time) Option { return func(c *Clock) { c.wall = f } }

// New makes a clock and registers its message handler.
func New(dir *peers.Directory, self string, router *mesh.Router, opts ...Option) *Clock {
	start := time.Now()
	c := &Clock{
		dir: dir, self: self, readings: make(map[string][]reading), wall: time.Now,
		steady: func() time.Duration { return time.Since(start) },
	}
	for _, opt := range opts {
		opt(c)
	}
	mesh.Handle(router, KindReport, c.handleReport)
	return c
}

// Name implements kernel.Service.
func (*Clock) Name() string { return "fleettime" }

// Run implements kernel.Service.
func (c *Clock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.Sync(ctx)
		wait := syncInterval
		if _, known := c.Now(); !known {
			wait = initialSyncInterval
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// Now returns the bounds of the fleet's time; false while they are not known.
func (c *Clock) Now() (Bounds, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.steady()
	return Bounds{Low: c.low.at(steady), High: c.high.at(steady)}, c.known
}

// Sync updates the bounds from the first coordinator that answers. An instance with no coordinator ranked before it
// computes them itself.
func (c *Clock) Sync(ctx context.Context) {
	coordinators := c.dir.Coordinators()
	if len(coordinators) == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if b, ok := c.bounds(); ok {
			c.setBounds(b)
		}
		return
	}
	for _, p := range coordinators {
		if c.syncWith(ctx, p) {
			return
		}
	}
}

func (c *Clock) syncWith(ctx context.Context, coordinator mesh.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	start := c.steady()
	reply, err := peers.Call[clockReport, boundsReply](ctx, c.dir, coordinator, KindReport, c.report())
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.LowMs != 0 && c.steady()-start <= maxDelay {
		c.setBounds(Bounds{Low: time.UnixMilli(reply.LowMs), High: time.UnixMilli(reply.HighMs)})
	}
	return true
}

// report returns this instance's clock and those that were reported to it.
func (c *Clock) report() clockReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady, wall := c.steady(), c.wall()
	r := clockReport{WallMs: wall.UnixMilli()}
	for id, list := range c.readings {
		if id == c.self || steady-list[0].steady > readingLifetime {
			continue
		}
		for _, x := range list {
			r.AheadMs = append(r.AheadMs, x.at(steady).Sub(wall).Milliseconds())
		}
	}
	r.AheadMs = r.AheadMs[:min(len(r.AheadMs), maxForwarded)]
	return r
}

// handleReport records other instances' clocks and replies with the bounds. A relay replies with those that it has
// received itself: it knows only a part of the clocks.
func (c *Clock) handleReport(_ context.Context, from mesh.Peer, report clockReport) (boundsReply, error) {
	relay := c.dir.IsRelay()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(from.ID, report)
	b, ok := Bounds{Low: c.low.at(c.steady()), High: c.high.at(c.steady())}, c.known
	if !relay {
		b, ok = c.bounds()
	}
	if !ok {
		return boundsReply{}, nil
	}
	return boundsReply{LowMs: b.Low.UnixMilli(), HighMs: b.High.UnixMilli()}, nil
}

// record stores the clocks of a report. The caller holds mu.
func (c *Clock) record(from string, report clockReport) {
	wall, steady := time.UnixMilli(report.WallMs), c.steady()
	ahead := report.AheadMs[:min(len(report.AheadMs), maxForwarded)]
	list := make([]reading, 0, 1+len(ahead))
	list = append(list, reading{wall: wall, steady: steady})
	for _, ms := range ahead {
		list = append(list, reading{wall: wall.Add(time.Duration(ms) * time.Millisecond), steady: steady})
	}
	c.readings[from] = list
}

// bounds computes the times between which most clocks lie. The caller holds mu.
func (c *Clock) bounds() (Bounds, bool) {
	steady := c.steady()
	c.readings[c.self] = []reading{{wall: c.wall(), steady: steady}}
	times := make([]time.Time, 0, len(c.readings))
	for id, list := range c.readings {
		if steady-list[0].steady > readingLifetime {
			delete(c.readings, id)
			continue
		}
		for _, r := range list {
			times = append(times, r.at(steady))
		}
	}
	if float64(len(times)) < max(minClocks, minClockShare*float64(c.dir.GroupSize())) {
		return Bounds{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	trimmed := int(trimShare * float64(len(times)))
	return Bounds{Low: times[trimmed], High: times[len(times)-1-trimmed]}, true
}

// setBounds sets the bounds. The caller holds mu.
func (c *Clock) setBounds(b Bounds) {
	steady := c.steady()
	c.low, c.high, c.known = reading{wall: b.Low, steady: steady}, reading{wall: b.High, steady: steady}, true
}
