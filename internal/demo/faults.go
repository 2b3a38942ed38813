package demo

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
)

// scenario is the fleet with its callers and its operator, on which faults act.
type scenario struct {
	f        *fleet
	callers  *callers
	operator *operatorClient

	mu          sync.Mutex
	drains      []drainWindow
	failedStops int
}

// drainWindow is a time span in which a drained endpoint must not get new work.
type drainWindow struct {
	endpoint string
	from, to time.Time
}

// fault is a failure that start injects and heal ends. Its length, the time between them, is a share of the demo's
// duration: from faultStart to faultEnd.
type fault struct {
	start func(ctx context.Context, s *scenario) error
	heal  func(ctx context.Context, s *scenario) error
}

func noAction(context.Context, *scenario) error { return nil }

// faults returns the faults by name.
func faults() map[string]fault {
	return map[string]fault{
		"store-down":              storeFault(kv.Down),
		"store-slow":              storeFault(kv.Slow),
		"store-answer-lost":       storeFault(kv.ResponseLost),
		"zone-cut":                {start: cutZones(true), heal: cutZones(false)},
		"zone-cut-from-store":     {start: cutStore(true), heal: cutStore(false)},
		"instance-crash":          {start: crashOne(leastReserved), heal: replaceCrashed},
		"home-crash":              {start: crashOne(mostReserved), heal: replaceCrashed},
		"instance-pause":          {start: pauseOne(leastReserved), heal: resumeAll},
		"home-pause":              {start: pauseOne(mostReserved), heal: resumeAll},
		"endpoint-crash":          {start: crashEngine(true), heal: crashEngine(false)},
		"endpoint-slow":           engineFault(engine.Slow, plain.Slow),
		"endpoint-refuse":         engineFault(engine.Refuse, plain.Refuse),
		"endpoint-late-answer":    engineFault(engine.StaleChunk, plain.Slow),
		"endpoint-crossed-answer": engineFault(engine.ForeignChunk, plain.MismatchedID),
		"endpoint-truncate":       engineFault(engine.Truncate, plain.Crash),
		"cache-events-gap":        engineFault(engine.CacheGap, ""),
		"list-lag":                {start: delayList(2 * time.Second), heal: delayList(0)},
		"caller-disconnect":       callerFault(func(b *behavior, on bool) { b.disconnect = on }),
		"caller-retry":            callerFault(func(b *behavior, on bool) { b.retryDisconnected = on }),
		"caller-retry-other-zone": callerFault(func(b *behavior, on bool) { b.retryDisconnected, b.retryElsewhere = on, on }),
		"operator-race":           {start: noAction, heal: noAction},
		"drain":                   {start: drain, heal: activate},
		"rolling-stop":            {start: rollingStop, heal: noAction},
	}
}

// FaultNames returns the sorted names of the faults.
func FaultNames() []string {
	out := make([]string, 0, len(faults()))
	for name := range faults() {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func storeFault(f kv.Fault) fault {
	set := func(on bool) func(context.Context, *scenario) error {
		return func(_ context.Context, s *scenario) error {
			s.f.kv.Set(f, on)
			return nil
		}
	}
	return fault{start: set(true), heal: set(false)}
}

func cutZones(cut bool) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		s.f.setZoneCut(cut)
		return nil
	}
}

func cutStore(cut bool) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		for _, n := range s.f.all() {
			if n.zone == zoneNames[1] {
				n.gate.setCutStore(cut)
			}
		}
		return nil
	}
}

// mostReserved picks the instance that holds the most reservations.
func mostReserved(nodes []*node) *node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if n.in.Holder().Stats().Reserved > best.in.Holder().Stats().Reserved {
			best = n
		}
	}
	return best
}

// leastReserved picks the instance that holds the fewest reservations.
func leastReserved(nodes []*node) *node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if n.in.Holder().Stats().Reserved < best.in.Holder().Stats().Reserved {
			best = n
		}
	}
	return best
}

func crashOne(pick func([]*node) *node) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		live := s.f.live(zoneNames[0])
		if len(live) == 0 {
			return nil
		}
		s.f.kill(pick(live))
		return nil
	}
}

// replaceCrashed starts instances until every zone has instancesPerZone again.
func replaceCrashed(_ context.Context, s *scenario) error {
	for _, zone := range zoneNames {
		for len(s.f.live(zone)) < instancesPerZone {
			if err := s.f.startNode(zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func pauseOne(pick func([]*node) *node) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		live := s.f.live(zoneNames[0])
		if len(live) == 0 {
			return nil
		}
		pick(live).gate.pause()
		return nil
	}
}

func resumeAll(_ context.Context, s *scenario) error {
	for _, n := range s.f.all() {
		n.gate.resume()
	}
	return nil
}

// crashEngine crashes or restarts the first zone's first engine, which is the faulty endpoint of all endpoint faults.
// Plain services fail in the first zone.
func crashEngine(on bool) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		s.f.engines[0].engine.SetCrash(on)
		return nil
	}
}

func engineFault(ef engine.Fault, pf plain.Fault) fault {
	set := func(on bool) func(context.Context, *scenario) error {
		return func(_ context.Context, s *scenario) error {
			s.f.engines[0].engine.Set(ef, on)
			s.f.plainServices[zoneNames[0]].Set(pf, on)
			return nil
		}
	}
	return fault{start: set(true), heal: set(false)}
}

func delayList(d time.Duration) func(context.Context, *scenario) error {
	return func(_ context.Context, s *scenario) error {
		s.f.list.SetLag(d)
		if d == 0 {
			return nil
		}
		// A delayed list matters only when something changes: stop one instance gracefully and start another.
		live := s.f.live(zoneNames[0])
		if len(live) > 1 {
			s.stop(live[0])
			return s.f.startNode(zoneNames[0])
		}
		return nil
	}
}

func callerFault(set func(b *behavior, on bool)) fault {
	apply := func(on bool) func(context.Context, *scenario) error {
		return func(_ context.Context, s *scenario) error {
			s.callers.behavior.set(func(b *behavior) { set(b, on) })
			return nil
		}
	}
	return fault{start: apply(true), heal: apply(false)}
}

// drainTimeout is the time after its confirmation within which a drain must be in force.
const drainTimeout = 3 * time.Second

func drain(ctx context.Context, s *scenario) error {
	name := s.f.engines[0].name
	if _, err := s.operator.change(ctx, &intent.Intent{Note: "drain", Drain: []string{name}}); err != nil {
		return eris.Wrap(err, "draining")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = append(s.drains, drainWindow{endpoint: name, from: time.Now().Add(drainTimeout)})
	return nil
}

func activate(ctx context.Context, s *scenario) error {
	s.mu.Lock()
	for i := range s.drains {
		if s.drains[i].to.IsZero() {
			s.drains[i].to = time.Now()
		}
	}
	s.mu.Unlock()
	_, err := s.operator.change(ctx, &intent.Intent{Note: "take it back", Activate: []string{s.f.engines[0].name}})
	return eris.Wrap(err, "activating")
}

// rollingStop replaces the instances one after another, with graceful stops.
func rollingStop(_ context.Context, s *scenario) error {
	for _, n := range s.f.live("") {
		if err := s.f.startNode(n.zone); err != nil {
			return err
		}
		time.Sleep(3 * listInterval)
		s.stop(n)
	}
	return nil
}

// stop stops an instance gracefully, and counts the stop if it has left something.
func (s *scenario) stop(n *node) {
	if err := s.f.stop(n); err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedStops++
}
