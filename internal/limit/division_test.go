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

// sim is a fleet in virtual time whose instances send to one endpoint whatever they may. Instances are in zones; the first of a zone that another one
// reaches leads it, and the first leader leads the fleet, as in package peers.
type sim struct {
	now   time.Time
	limit Rate
	nodes []*simNode
	zones int
	cut   map[[2]int]bool // pairs of zones; a zone with itself: its instances reach nobody
	lose  float64         // part of the messages, and of the answers, that is lost
	rng   *rand.Rand

	sent  []time.Time
	inUse float64 // the most that was lent at a time, as a part of the limit
}

type simNode struct {
	name      string
	zone      int
	div       *Allocator
	bucket    Bucket
	demand    float64
	born      time.Time
	restarted bool
	dead      bool
	knows     int // instances
	next      time.Time
}

func newSim(instances, zones int, l Rate) *sim {
	s := &sim{now: time.Unix(1000, 0), limit: l, zones: zones, cut: make(map[[2]int]bool), rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for range instances {
		s.join()
	}
	for _, n := range s.nodes {
		n.knows = instances
	}
	return s
}

func (s *sim) join() *simNode {
	n := &simNode{
		name: fmt.Sprint(len(s.nodes)), zone: len(s.nodes) % s.zones, div: NewAllocator(), demand: 10, born: s.now, knows: len(s.nodes) + 1,
		next: s.now.Add(time.Duration(s.rng.Int64N(int64(simExchange)))),
	}
	s.nodes = append(s.nodes, n)
	return n
}

// restart ends an instance's process and starts another one.
func (s *sim) restart(n *simNode) {
	n.div, n.bucket, n.born, n.restarted, n.dead = NewAllocator(), Bucket{}, s.now, true, false
}

func (s *sim) reaches(a, b *simNode) bool {
	return !b.dead && !s.cut[[2]int{min(a.zone, b.zone), max(a.zone, b.zone)}]
}

// above is the instance that one asks; nil: none.
func (s *sim) above(n *simNode) *simNode {
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

func (n *simNode) part(now time.Time, settle time.Duration) float64 {
	if n.restarted && now.Sub(n.born) < settle {
		return 0
	}
	return 1 / float64(n.knows)
}

func (n *simNode) rates(s *sim) map[uint32]Rate {
	if n.part(s.now, LeaseDuration) == 0 {
		return nil
	}
	return map[uint32]Rate{simEndpoint: s.limit}
}

// exchange is what an instance does twice a second.
func (s *sim) exchange(n *simNode) {
	n.div.SetLocal(Claims{simEndpoint: {Demand: n.demand, Offer: n.part(s.now, SettleTime) * s.limit.Bound()}}, s.now)
	if up := s.above(n); up != nil {
		asks := n.div.Aggregate(up.name, s.now)
		if s.rng.Float64() >= s.lose {
			up.div.Observe(n.name, asks, s.now)
			grants := up.div.Lend(n.name, up.rates(s), s.now)
			if s.rng.Float64() >= s.lose {
				n.div.AcceptGrants(grants, s.now)
			}
		}
	}
	for _, l := range n.div.LocalLeases(n.rates(s), s.now) {
		n.bucket.Set(l, s.limit, s.now)
	}
}

// run plays some time. strike is called at each step.
func (s *sim) run(d time.Duration, strike func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		strike()
		lent := 0.0
		for _, n := range s.nodes {
			if n.dead {
				continue
			}
			if !s.now.Before(n.next) {
				s.exchange(n)
				n.next = s.now.Add(simExchange)
			}
			for n.demand > 0 && n.bucket.Has(s.limit, s.now) {
				n.bucket.Take(s.now)
				s.sent = append(s.sent, s.now)
			}
			lent += n.bucket.Rate(s.limit, s.now)
		}
		s.inUse = max(s.inUse, lent/s.limit.Bound())
	}
}

// most is the greatest number of requests in any window.
func (s *sim) most() int {
	most, first := 0, 0
	for i, t := range s.sent {
		for t.Sub(s.sent[first]) >= simWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// promised is what an endpoint may get in a window.
func promised(r Rate) int { return int(1.5*r.PerSecond()*simWindow.Seconds() + 5) }

const simRounding = 1e-9

func TestDivision(t *testing.T) {
	for _, instances := range []int{1, 3, 6, 30, 300} {
		for _, rate := range []float64{0, 0.3, 1, 1.3, 10, 100} {
			name := fmt.Sprintf("%d instances send what an endpoint takes that names %v requests a second", instances, rate)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				Convey(name, t, func() {
					playDivision("all have requests", instances, instances, rate)
					playDivision("all callers are at one instance", instances, 1, rate)
				})
			})
		}
	}
}

// playDivision plays a fleet of which the last so many have requests, and nothing fails.
func playDivision(name string, instances, callers int, rate float64) {
	const settle, length = 5 * time.Second, 20 * time.Second
	r, quiet := PerSecond(rate), func() {}
	s := newSim(instances, 3, r)
	for _, n := range s.nodes[:instances-callers] {
		n.demand = 0
	}
	s.run(settle, quiet)
	s.sent = nil
	s.run(length, quiet)
	So(s.inUse, ShouldBeLessThanOrEqualTo, 1+simRounding)
	So(s.most(), ShouldBeLessThanOrEqualTo, promised(r))
	SoMsg(name, float64(len(s.sent)), ShouldBeGreaterThanOrEqualTo, math.Floor(0.8*rate*length.Seconds()))
}

// Whatever is cut, lost, killed and started again, in whatever order: the rates that are lent at a time never exceed the limit.
func TestDivisionUnderFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 4).Draw(t, "zones")
		r := PerSecond(rapid.SampledFrom([]float64{0, 0.7, 1.3, 6, 40}).Draw(t, "limit"))
		s := newSim(rapid.IntRange(1, 14).Draw(t, "instances"), zones, r)
		s.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		s.run(4*time.Second, func() { s.strike() })
		s.run(16*time.Second, func() { s.strike() })
		if s.inUse > 1+simRounding {
			t.Fatalf("%v times the limit were lent at once", s.inUse)
		}
		if s.most() > promised(r) {
			t.Fatalf("%d requests in %v, %d are allowed", s.most(), simWindow, promised(r))
		}
	})
}

// strike lets a fault strike now and then, or heal.
func (s *sim) strike() {
	if s.rng.Float64() > simStep.Seconds() { // one a second
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
		s.cut[[2]int{min(a, b), max(a, b)}] = true
	case 3:
		clear(s.cut)
	case 4:
		s.lose = s.rng.Float64() / 2
	case 5:
		n.demand = float64(s.rng.IntN(20))
	}
}

// Instances that join are known to the others some seconds later. Until then their parts are too many, which is what the tolerance is for, and those
// who are linked lend no more than the whole all the same.
func TestDivisionJoiners(t *testing.T) {
	Convey("A fleet that grows from 6 to 30 instances at once keeps to the limit", t, func() {
		r := PerSecond(4)
		s := newSim(6, 3, r)
		s.run(5*time.Second, func() {})
		for range 24 {
			s.join()
		}
		s.run(5*time.Second, func() {})
		for _, n := range s.nodes {
			n.knows = len(s.nodes)
		}
		s.run(5*time.Second, func() {})
		So(s.inUse, ShouldBeLessThanOrEqualTo, 1+simRounding)
		So(s.most(), ShouldBeLessThanOrEqualTo, promised(r))
	})
}
