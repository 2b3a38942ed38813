package pool

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// cascade is some instances before a few endpoints that turn requests away, and ask for rest, when they are full. It plays in virtual time.
type cascade struct {
	clock           *testClock
	random          *rand.Rand
	pools           []*Pool
	running         []int // at each endpoint
	events          eventQueue
	at              time.Duration
	served          int
	rejected        int           // away by endpoints
	refused         int           // by instances, with no endpoint that takes work
	rest            time.Duration // that a full endpoint asks for
	load            float64       // part of what all endpoints bear
	forcedRest      int           // the endpoint that rests whatever it runs, until forcedTil
	forcedRestUntil time.Duration
	degraded        int  // the endpoint that takes a quarter of what it did; -1: none
	announceLimits  bool // endpoints name limits
}

// What the model's endpoints bear, and how they are loaded.
const (
	cascadeInstances = 6
	cascadeEndpoints = 5
	cascadeCapacity  = 20 // requests that an endpoint runs at once
	cascadeDuration  = time.Second
	cascadeHeadDelay = 50 * time.Millisecond // from a request to the head of its answer
	cascadeRest      = 2 * time.Second
	cascadeLoad      = 0.9
	cascadeLength    = 30 * time.Second
	cascadeSubjects  = 40
	cascadeExchange  = 500 * time.Millisecond
)

// event is something that happens at a moment of the model.
type event struct {
	at time.Duration
	n  int // events of one moment happen in the order in which they were planned
	do func()
}

type eventQueue []event

func (c eventQueue) Len() int { return len(c) }
func (c eventQueue) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].n < c[j].n)
}
func (c eventQueue) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventQueue) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

func newCascade(seed uint64, policy Policy) *cascade {
	c := &cascade{clock: &testClock{at: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, seed)), running: make([]int, cascadeEndpoints), forcedRest: -1, rest: cascadeRest, load: cascadeLoad, degraded: -1}
	for range cascadeInstances {
		p := New("a", WithNow(c.clock.now), WithPolicy(policy), WithRandom(c.random.IntN))
		for i := range cascadeEndpoints {
			p.Put(Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 4 * cascadeCapacity})
		}
		c.pools = append(c.pools, p)
	}
	return c
}

func (c *cascade) after(d time.Duration, do func()) {
	heap.Push(&c.events, event{at: c.at + d, n: len(c.events), do: do})
}

// run lets requests come at random until the time is up. One endpoint asks for rest after a second.
func (c *cascade) run() {
	perSecond := c.load * cascadeEndpoints * cascadeCapacity / cascadeDuration.Seconds()
	var arrive func()
	arrive = func() {
		c.send(c.pools[c.random.IntN(len(c.pools))])
		c.after(time.Duration(c.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	var tell func()
	tell = func() {
		for i, p := range c.pools {
			others := make(Loads)
			for j, o := range c.pools {
				if i != j {
					others.Add(o.Loads())
				}
			}
			p.SetPeerLoads(others)
		}
		c.after(cascadeExchange, tell)
	}
	c.after(0, arrive)
	c.after(0, tell)
	c.after(2*time.Second, func() { c.forcedRest, c.forcedRestUntil = 0, c.at+100*time.Millisecond })
	for len(c.events) > 0 && c.events[0].at < cascadeLength {
		e := heap.Pop(&c.events).(event)
		c.clock.pass(e.at - c.at)
		c.at = e.at
		e.do()
	}
}

// send sends one request through an instance, and to a second endpoint if the first turns it away.
func (c *cascade) send(p *Pool) {
	q := Query{Service: "models", Affinity: fmt.Sprint(c.random.IntN(cascadeSubjects)), Tried: make(map[string]bool)}
	for range 2 {
		lease := p.Pick(q)
		if lease == nil {
			c.refused++
			return
		}
		q.Tried[lease.Endpoint().ID] = true
		var i int
		_, _ = fmt.Sscanf(lease.Endpoint().ID, "e-%d", &i)
		if c.running[i] >= c.capacity(i) || (c.forcedRest == i && c.at < c.forcedRestUntil) {
			c.rejected++
			lease.ObserveNotice(Notice{Rest: c.rest, Limit: c.announcedLimit(i)}, Answer{})
			lease.Done(EndBusy)
			continue
		}
		c.running[i]++
		c.after(cascadeHeadDelay, func() {
			lease.Accepted()
			lease.ObserveNotice(Notice{Limit: c.announcedLimit(i)}, Answer{})
		})
		c.after(cascadeDuration, func() {
			c.running[i]--
			c.served++
			lease.Done(EndGood)
		})
		return
	}
	c.refused++
}

// capacity is how many requests an endpoint runs at once: the one in need a quarter of what it did.
func (c *cascade) capacity(i int) int {
	if i == c.degraded && c.at > 2*time.Second {
		return cascadeCapacity / 4
	}
	return cascadeCapacity
}

// announcedLimit is what an endpoint names that is in need, or nearly full: what it bears.
func (c *cascade) announcedLimit(i int) limit.Rate {
	if !c.announceLimits || (i != c.degraded && c.running[i] < c.capacity(i)-2) || c.at < 2*time.Second {
		return limit.Rate{}
	}
	return limit.PerSecond(float64(c.capacity(i)) / cascadeDuration.Seconds())
}

// An endpoint that takes a quarter of what it did leaves the rest to four others, which have 80 in 100 of what they bear already, and name limits in
// turn. Callers for whom there is no place are refused at once, and not turned away by one endpoint after the other.
func TestLimitCascade(t *testing.T) {
	Convey("Five endpoints at eight tenths of what they bear, one of which limits itself to a quarter, then the others", t, func() {
		const seeds = 8
		play := func(names bool) (served, turned, refused int) {
			for seed := range uint64(seeds) {
				c := newCascade(seed+1, DefaultPolicy())
				c.announceLimits, c.degraded, c.rest, c.load = names, 0, 0, 0.8
				for _, p := range c.pools {
					p.owners = fleetOf(cascadeInstances)
				}
				c.run()
				served, turned, refused = served+c.served, turned+c.rejected, refused+c.refused
			}
			return served, turned, refused
		}
		without, turnedWithout, _ := play(false)
		served, turned, refused := play(true)
		t.Logf("no limits: %d served, %d turned away; limits: %d served, %d turned away, %d refused", without, turnedWithout, served, turned, refused)
		So(turned, ShouldBeLessThan, turnedWithout)
		So(float64(served), ShouldBeGreaterThan, 0.9*float64(without))
	})
}

// An endpoint that asks for rest leaves its work to four others, which have 90 in 100 of what they bear already: they ask for rest in turn. All
// instances come back at the same moment, and send at once what its affinity names, so that it asks again.
func TestRestCascade(t *testing.T) {
	Convey("Five endpoints at nine tenths of what they bear, one of which asks for rest", t, func() {
		const seeds = 8
		play := func(edit func(*Policy)) (served, turned, refused int) {
			for seed := range uint64(seeds) {
				policy := DefaultPolicy()
				edit(&policy)
				c := newCascade(seed+1, policy)
				c.run()
				served, turned, refused = served+c.served, turned+c.rejected, refused+c.refused
			}
			return served, turned, refused
		}
		atOnce, turnedAtOnce, _ := play(func(p *Policy) { p.RestDecrease = 0 })
		served, turned, refused := play(func(*Policy) {})
		t.Logf("all at once: %d served, %d turned away; bounded: %d served, %d turned away, %d refused", atOnce, turnedAtOnce, served, turned, refused)
		So(turned, ShouldBeLessThan, turnedAtOnce)
		So(served, ShouldBeGreaterThan, atOnce)
		So(served, ShouldBeGreaterThan, refused)
	})
}
