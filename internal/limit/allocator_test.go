package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	simStep     = 50 * time.Millisecond
	simExchange = 500 * time.Millisecond // between two exchanges of an instance
	simEndpoint = 7
	simWindow   = 4 * time.Second
)

// sim is a fleet in virtual time whose instances send as many requests to one endpoint as they may. Instances are in
// availability zones. The first reachable instance of a zone leads it, and the first leader leads the fleet, as in
// package peers.
type sim struct {
	now      time.Time
	limit    Rate
	nodes    []*simNode
	zones    int
	cutZones map[[2]int]bool // disconnected pairs of zones; a zone with itself: its instances reach no other
	lossRate float64         // fraction of requests, and of responses, that is lost
	rng      *rand.Rand

	sent        []time.Time
	peakGranted float64 // highest total granted at a time, as a fraction of the limit
}

type simNode struct {
	name           string
	zone           int
	allocator      *Allocator
	bucket         Bucket
	demand         float64
	startedAt      time.Time
	restarted      bool
	dead           bool
	knownInstances int // including itself
	nextExchange   time.Time
}

func newSim(instances, zones int, l Rate) *sim {
	s := &sim{now: time.Unix(1000, 0), limit: l, zones: zones, cutZones: make(map[[2]int]bool), rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for range instances {
		s.join()
	}
	for _, n := range s.nodes {
		n.knownInstances = instances
	}
	return s
}

func (s *sim) join() *simNode {
	n := &simNode{
		name: fmt.Sprint(len(s.nodes)), zone: len(s.nodes) % s.zones, allocator: NewAllocator(), demand: 10, startedAt: s.now, knownInstances: len(s.nodes) + 1,
		nextExchange: s.now.Add(time.Duration(s.rng.Int64N(int64(simExchange)))),
	}
	s.nodes = append(s.nodes, n)
	return n
}

// restart replaces the process of an instance.
func (s *sim) restart(n *simNode) {
	n.allocator, n.bucket, n.startedAt, n.restarted, n.dead = NewAllocator(), Bucket{}, s.now, true, false
}

func (s *sim) reaches(a, b *simNode) bool {
	return !b.dead && !s.cutZones[[2]int{min(a.zone, b.zone), max(a.zone, b.zone)}]
}

// upstream returns the instance to which n sends its claims: the first reachable instance before it in its zone, or
// else the first reachable instance of an earlier zone. It returns nil if there is none, so that n leads the fleet.
func (s *sim) upstream(n *simNode) *simNode {
	for _, x := range s.nodes {
		if x == n {
			break
		}
		if x.zone == n.zone && s.reaches(n, x) {
			return x
		}
	}
	for zone := range n.zone {
		for _, x := range s.nodes {
			if x.zone == zone && s.reaches(n, x) {
				return x
			}
		}
	}
	return nil
}

// evenShare returns the fraction of the limit that is the instance's own share. A restarted instance has none for the
// duration of settle.
func (n *simNode) evenShare(now time.Time, settle time.Duration) float64 {
	if n.restarted && now.Sub(n.startedAt) < settle {
		return 0
	}
	return 1 / float64(n.knownInstances)
}

func (n *simNode) rates(s *sim) map[uint32]Rate {
	if n.evenShare(s.now, LeaseDuration) == 0 {
		return nil
	}
	return map[uint32]Rate{simEndpoint: s.limit}
}

// exchange performs the exchange that an instance makes twice a second.
func (s *sim) exchange(n *simNode) {
	n.allocator.SetLocal(Claims{simEndpoint: {Demand: n.demand, Offer: n.evenShare(s.now, SettleTime) * s.limit.Bound()}}, s.now)
	if up := s.upstream(n); up != nil {
		claims := n.allocator.Aggregate(up.name, s.now)
		if s.rng.Float64() >= s.lossRate {
			up.allocator.Observe(n.name, claims, s.now)
			grants := up.allocator.Grant(n.name, up.rates(s), s.now)
			if s.rng.Float64() >= s.lossRate {
				n.allocator.AcceptGrants(grants, s.now)
			}
		}
	}
	for _, l := range n.allocator.LocalLeases(n.rates(s), s.now) {
		n.bucket.Set(l, s.limit, s.now)
	}
}

// run simulates a duration. beforeStep is called at each step.
func (s *sim) run(d time.Duration, beforeStep func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		beforeStep()
		granted := 0.0
		for _, n := range s.nodes {
			if n.dead {
				continue
			}
			if !s.now.Before(n.nextExchange) {
				s.exchange(n)
				n.nextExchange = s.now.Add(simExchange)
			}
			for n.demand > 0 && n.bucket.Has(s.limit, s.now) {
				n.bucket.Take(s.now)
				s.sent = append(s.sent, s.now)
			}
			granted += n.bucket.Rate(s.limit, s.now)
		}
		s.peakGranted = max(s.peakGranted, granted/s.limit.Bound())
	}
}

// peak returns the greatest number of requests in any window.
func (s *sim) peak() int {
	peak, first := 0, 0
	for i, t := range s.sent {
		for t.Sub(s.sent[first]) >= simWindow {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// allowedRequests returns how many requests an endpoint may receive in a window.
func allowedRequests(r Rate) int { return int(1.5*r.PerSecond()*simWindow.Seconds() + 5) }

const simTolerance = 1e-9

func TestAllocator(t *testing.T) {
	for _, instances := range []int{1, 3, 6, 30, 300} {
		for _, rate := range []float64{0, 0.3, 1, 1.3, 10, 100} {
			name := fmt.Sprintf("%d instances share a limit of %v requests per second", instances, rate)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				Convey(name, t, func() {
					testAllocation("all instances have requests", instances, instances, rate)
					testAllocation("one instance has all requests", instances, 1, rate)
				})
			})
		}
	}
}

// testAllocation simulates a fleet without faults, in which the last instances, as many as callers, have requests.
func testAllocation(name string, instances, callers int, rate float64) {
	const settle, length = 5 * time.Second, 20 * time.Second
	r, noFaults := PerSecond(rate), func() {}
	s := newSim(instances, 3, r)
	for _, n := range s.nodes[:instances-callers] {
		n.demand = 0
	}
	s.run(settle, noFaults)
	s.sent = nil
	s.run(length, noFaults)
	So(s.peakGranted, ShouldBeLessThanOrEqualTo, 1+simTolerance)
	So(s.peak(), ShouldBeLessThanOrEqualTo, allowedRequests(r))
	SoMsg(name, float64(len(s.sent)), ShouldBeGreaterThanOrEqualTo, math.Floor(0.8*rate*length.Seconds()))
}

// TestDivisionUnderFaults checks that the rates that are granted at any time never exceed the limit, whatever the order
// of partitions, lost messages, crashes and restarts.
func TestDivisionUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		r := PerSecond(rapid.SampledFrom([]float64{0, 0.7, 1.3, 6, 40}).Draw(t, "limit"))
		s := newSim(rapid.IntRange(1, 14).Draw(t, "instances"), zones, r)
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		s.run(4*time.Second, func() { s.injectFault() })
		s.run(16*time.Second, func() { s.injectFault() })
		if s.peakGranted > 1+simTolerance {
			t.Fatalf("%v times the limit was granted at once", s.peakGranted)
		}
		if s.peak() > allowedRequests(r) {
			t.Fatalf("%d requests in %v, %d are allowed", s.peak(), simWindow, allowedRequests(r))
		}
	})
}

// injectFault injects or repairs a fault at random times, or changes the demand of an instance.
func (s *sim) injectFault() {
	if s.rng.Float64() > simStep.Seconds() { // one per second on average
		return
	}
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	a, b := s.rng.IntN(s.zones), s.rng.IntN(s.zones)
	switch s.rng.IntN(6) {
	case 0:
		n.dead = true
	case 1:
		if n.dead {
			s.restart(n)
		}
	case 2:
		s.cutZones[[2]int{min(a, b), max(a, b)}] = true
	case 3:
		clear(s.cutZones)
	case 4:
		s.lossRate = s.rng.Float64() / 2
	case 5:
		n.demand = float64(s.rng.IntN(20))
	}
}

// TestAllocatorJoiningInstances covers instances that join and are known to the others some seconds later. Until then
// the sum of all shares exceeds the limit, which the tolerance allows for. Connected instances still grant no more than
// the limit.
func TestAllocatorJoiningInstances(t *testing.T) {
	Convey("A fleet that grows from 6 to 30 instances at once stays within the limit", t, func() {
		r := PerSecond(4)
		s := newSim(6, 3, r)
		s.run(5*time.Second, func() {})
		for range 24 {
			s.join()
		}
		s.run(5*time.Second, func() {})
		for _, n := range s.nodes {
			n.knownInstances = len(s.nodes)
		}
		s.run(5*time.Second, func() {})
		So(s.peakGranted, ShouldBeLessThanOrEqualTo, 1+simTolerance)
		So(s.peak(), ShouldBeLessThanOrEqualTo, allowedRequests(r))
	})
}
