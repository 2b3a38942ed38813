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

// scene is what a fault acts on.
type scene struct {
	f        *fleet
	callers  *callers
	operator *operatorClient

	mu        sync.Mutex
	drains    []drainMark
	stopFails int
}

// drainMark says from when on an endpoint must not get new work.
type drainMark struct {
	endpoint string
	from, to time.Time
}

// fault begins with start and ends with heal; length is the time between them as a share of the demo.
type fault struct {
	start func(ctx context.Context, s *scene) error
	heal  func(ctx context.Context, s *scene) error
}

func nothing(context.Context, *scene) error { return nil }

// faults are the faults by name.
func faults() map[string]fault {
	return map[string]fault{
		"store-down":              storeFault(kv.Down),
		"store-slow":              storeFault(kv.Slow),
		"store-answer-lost":       storeFault(kv.AnswerLost),
		"zone-cut":                {start: cutZones(true), heal: cutZones(false)},
		"zone-cut-from-store":     {start: cutStore(true), heal: cutStore(false)},
		"instance-crash":          {start: crash(leastHome), heal: replace},
		"home-crash":              {start: crash(mostHome), heal: replace},
		"instance-pause":          {start: pauseOne(leastHome), heal: resumeAll},
		"home-pause":              {start: pauseOne(mostHome), heal: resumeAll},
		"endpoint-crash":          {start: crashEngine(true), heal: crashEngine(false)},
		"endpoint-slow":           engineFault(engine.Slow, plain.Slow),
		"endpoint-refuse":         engineFault(engine.Refuse, plain.Refuse),
		"endpoint-late-answer":    engineFault(engine.LateAnswer, plain.Slow),
		"endpoint-crossed-answer": engineFault(engine.CrossedAnswer, plain.Crossed),
		"endpoint-truncate":       engineFault(engine.Truncate, plain.Crash),
		"cache-events-gap":        engineFault(engine.CacheGap, ""),
		"list-lag":                {start: lagList(2 * time.Second), heal: lagList(0)},
		"caller-disconnect":       habitFault(func(h *habits, on bool) { h.hangUp = on }),
		"caller-retry":            habitFault(func(h *habits, on bool) { h.comeBack = on }),
		"caller-retry-other-zone": habitFault(func(h *habits, on bool) { h.comeBack, h.elsewhere = on, on }),
		"operator-race":           {start: nothing, heal: nothing},
		"drain":                   {start: drain, heal: activate},
		"rolling-stop":            {start: rollingStop, heal: nothing},
	}
}

// FaultNames lists the faults, sorted.
func FaultNames() []string {
	out := make([]string, 0, len(faults()))
	for name := range faults() {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func storeFault(f kv.Fault) fault {
	set := func(on bool) func(context.Context, *scene) error {
		return func(_ context.Context, s *scene) error {
			s.f.kv.Set(f, on)
			return nil
		}
	}
	return fault{start: set(true), heal: set(false)}
}

func cutZones(cut bool) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		s.f.setZoneCut(cut)
		return nil
	}
}

func cutStore(cut bool) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		for _, n := range s.f.all() {
			if n.zone == zoneNames[1] {
				n.brake.setCutStore(cut)
			}
		}
		return nil
	}
}

// mostHome picks the instance that holds the most reservations; leastHome the one with the fewest.
func mostHome(nodes []*node) *node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if n.in.Holder().Stats().Reserved > best.in.Holder().Stats().Reserved {
			best = n
		}
	}
	return best
}

func leastHome(nodes []*node) *node {
	best := nodes[0]
	for _, n := range nodes[1:] {
		if n.in.Holder().Stats().Reserved < best.in.Holder().Stats().Reserved {
			best = n
		}
	}
	return best
}

func crash(choose func([]*node) *node) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		live := s.f.live(zoneNames[0])
		if len(live) == 0 {
			return nil
		}
		s.f.kill(choose(live))
		return nil
	}
}

// replace starts instances until every zone has its number again.
func replace(_ context.Context, s *scene) error {
	for _, zone := range zoneNames {
		for len(s.f.live(zone)) < instancesPerZone {
			if err := s.f.startNode(zone); err != nil {
				return err
			}
		}
	}
	return nil
}

func pauseOne(choose func([]*node) *node) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		live := s.f.live(zoneNames[0])
		if len(live) == 0 {
			return nil
		}
		choose(live).brake.pause()
		return nil
	}
}

func resumeAll(_ context.Context, s *scene) error {
	for _, n := range s.f.all() {
		n.brake.resume()
	}
	return nil
}

// The faulty endpoint is the first zone's first engine; plain services fail in the first zone.
func crashEngine(on bool) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		s.f.engines[0].engine.SetCrash(on)
		return nil
	}
}

func engineFault(ef engine.Fault, pf plain.Fault) fault {
	set := func(on bool) func(context.Context, *scene) error {
		return func(_ context.Context, s *scene) error {
			s.f.engines[0].engine.Set(ef, on)
			s.f.plains[zoneNames[0]].Set(pf, on)
			return nil
		}
	}
	return fault{start: set(true), heal: set(false)}
}

func lagList(d time.Duration) func(context.Context, *scene) error {
	return func(_ context.Context, s *scene) error {
		s.f.list.SetLag(d)
		if d == 0 {
			return nil
		}
		// A lag shows only when something changes: one instance goes as planned, another comes.
		live := s.f.live(zoneNames[0])
		if len(live) > 1 {
			_ = s.f.stop(live[0])
			return s.f.startNode(zoneNames[0])
		}
		return nil
	}
}

func habitFault(set func(h *habits, on bool)) fault {
	turn := func(on bool) func(context.Context, *scene) error {
		return func(_ context.Context, s *scene) error {
			s.callers.habits.set(func(h *habits) { set(h, on) })
			return nil
		}
	}
	return fault{start: turn(true), heal: turn(false)}
}

// promptly is how soon after its confirmation a drain must be in force.
const promptly = 3 * time.Second

func drain(ctx context.Context, s *scene) error {
	name := s.f.engines[0].name
	if _, err := s.operator.change(ctx, &intent.Intent{Note: "drain", Drain: []string{name}}); err != nil {
		return eris.Wrap(err, "draining")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drains = append(s.drains, drainMark{endpoint: name, from: time.Now().Add(promptly)})
	return nil
}

func activate(ctx context.Context, s *scene) error {
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

// rollingStop replaces every instance, one after another, as planned.
func rollingStop(_ context.Context, s *scene) error {
	for _, n := range s.f.live("") {
		if err := s.f.startNode(n.zone); err != nil {
			return err
		}
		time.Sleep(3 * listEvery)
		if err := s.f.stop(n); err != nil {
			s.mu.Lock()
			s.stopFails++
			s.mu.Unlock()
		}
	}
	return nil
}
