// Package fleettime bounds the fleet's time of day by what its instances' clocks say.
//
// A machine's own time of day may step by seconds, and its steady clock starts anew when it loses power. What most clocks of a fleet
// agree on does not step while fewer than seven in ten of them do, so it tells how much time has passed across a loss of power.
// One instance keeps it: the others tell it what their clocks say, and it tells them the bounds.
package fleettime

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// KindAsk tells a clock and asks for the bounds.
const KindAsk mesh.Kind = "fleettime.ask"

const (
	askSoon   = 200 * time.Millisecond // between questions until the time is known
	askEvery  = time.Second            // later on
	askLimit  = 300 * time.Millisecond
	mostDelay = 100 * time.Millisecond // an answer that took longer tells too little
	leastSeen = 3                      // clocks that bounds need
	leastPart = 0.6                    // part of the instances of the zone, or of a small fleet, of which clocks are needed
	lowRank   = 0.3                    // the part of clocks that are before the lower bound, and after the upper one
	seenLife  = 5 * time.Second        // what a clock has said counts for so long
)

// question is what the asking instance's clock says.
type question struct {
	WallMs int64 `cbor:"1,keyasint"`
}

// answer bounds the fleet's time; 0: not known yet.
type answer struct {
	LowMs  int64 `cbor:"1,keyasint,omitempty"`
	HighMs int64 `cbor:"2,keyasint,omitempty"`
}

// Bounds are the earliest and the latest that the time of day may be.
type Bounds struct {
	Low  time.Time
	High time.Time
}

// reading is what a clock said at a moment of this instance's steady clock.
type reading struct {
	wall   time.Time
	steady time.Duration
}

// at is what the clock says now, if it has not stepped since.
func (r reading) at(steady time.Duration) time.Time { return r.wall.Add(steady - r.steady) }

// Clock is the service that follows the fleet's time.
type Clock struct {
	dir    *peers.Directory
	self   string
	steady func() time.Duration
	wall   func() time.Time

	mu    sync.Mutex
	seen  map[string]reading // by instance
	known bool
	low   reading
	high  reading
}

// Option changes a Clock.
type Option func(*Clock)

// WithSteady replaces the steady clock.
func WithSteady(f func() time.Duration) Option { return func(c *Clock) { c.steady = f } }

// WithWall replaces the time of day.
func WithWall(f func() time.Time) Option { return func(c *Clock) { c.wall = f } }

// New makes a clock and registers its message.
func New(dir *peers.Directory, self string, router *mesh.Router, opts ...Option) *Clock {
	begun := time.Now()
	c := &Clock{
		dir: dir, self: self, seen: make(map[string]reading), wall: time.Now,
		steady: func() time.Duration { return time.Since(begun) },
	}
	for _, opt := range opts {
		opt(c)
	}
	mesh.Handle(router, KindAsk, c.tell)
	return c
}

// Name implements kernel.Service.
func (*Clock) Name() string { return "fleettime" }

// Run implements kernel.Service.
func (c *Clock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.Sync(ctx)
		wait := askEvery
		if _, known := c.Now(); !known {
			wait = askSoon
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

// Now bounds the fleet's time; false while it is not known.
func (c *Clock) Now() (Bounds, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	steady := c.steady()
	return Bounds{Low: c.low.at(steady), High: c.high.at(steady)}, c.known
}

// Sync brings the bounds up to date, by the first keeper that answers; an instance that has none before it keeps them itself.
func (c *Clock) Sync(ctx context.Context) {
	keepers := c.dir.Coordinators()
	if len(keepers) == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if b, ok := c.bounds(); ok {
			c.take(b)
		}
		return
	}
	for _, p := range keepers {
		if c.ask(ctx, p) {
			return
		}
	}
}

func (c *Clock) ask(ctx context.Context, keeper mesh.Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	begun := c.steady()
	a, err := peers.Call[question, answer](ctx, c.dir, keeper, KindAsk, question{WallMs: c.wall().UnixMilli()})
	if err != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.LowMs != 0 && c.steady()-begun <= mostDelay {
		c.take(Bounds{Low: time.UnixMilli(a.LowMs), High: time.UnixMilli(a.HighMs)})
	}
	return true
}

// tell notes what another instance's clock says and answers with the bounds.
func (c *Clock) tell(_ context.Context, from mesh.Peer, q question) (answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[from.ID] = reading{wall: time.UnixMilli(q.WallMs), steady: c.steady()}
	b, ok := c.bounds()
	if !ok {
		return answer{}, nil
	}
	return answer{LowMs: b.Low.UnixMilli(), HighMs: b.High.UnixMilli()}, nil
}

// bounds are the times that most clocks lie between. The caller holds mu.
func (c *Clock) bounds() (Bounds, bool) {
	steady := c.steady()
	c.seen[c.self] = reading{wall: c.wall(), steady: steady}
	times := make([]time.Time, 0, len(c.seen))
	for id, r := range c.seen {
		if steady-r.steady > seenLife {
			delete(c.seen, id)
			continue
		}
		times = append(times, r.at(steady))
	}
	if float64(len(times)) < max(leastSeen, leastPart*float64(c.dir.GroupSize())) {
		return Bounds{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	before := int(lowRank * float64(len(times)))
	return Bounds{Low: times[before], High: times[len(times)-1-before]}, true
}

// take sets the bounds. The caller holds mu.
func (c *Clock) take(b Bounds) {
	steady := c.steady()
	c.low, c.high, c.known = reading{wall: b.Low, steady: steady}, reading{wall: b.High, steady: steady}, true
}
