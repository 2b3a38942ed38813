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

// cascade simulates some instances in front of a few endpoints. Full endpoints reject requests and ask for a
// back-off. It runs in virtual time.
type cascade struct {
	clock              *testClock
	random             *rand.Rand
	pools              []*Pool
	running            []int // requests at each endpoint
	events             eventQueue
	at                 time.Duration
	served             int
	rejected           int           // by endpoints
	refused            int           // by instances, since no endpoint accepts work
	backoff            time.Duration // that a full endpoint asks for
	load               float64       // share of the capacity of all endpoints
	forcedBackoff      int           // asks for a back-off whatever its load, until forcedBackoffUntil; -1: none
	forcedBackoffUntil time.Duration
	degraded           int  // the endpoint whose capacity falls to a quarter; -1: none
	announceLimits     bool // endpoints announce limits
}

// The capacity and the load of the simulated endpoints.
const (
	cascadeInstances   = 6
	cascadeEndpoints   = 5
	cascadeCapacity    = 20 // requests that an endpoint runs at once
	cascadeDuration    = time.Second
	cascadeHeaderDelay = 50 * time.Millisecond // from a request to the header of its response
	cascadeBackoff     = 2 * time.Second
	cascadeLoad        = 0.9
	cascadeLength      = 30 * time.Second
	cascadeAffinities  = 40
	cascadeExchange    = 500 * time.Millisecond
)

// event is an action at a moment of the simulation.
type event struct {
	at time.Duration
	n  int // orders events of the same moment by when they were scheduled
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
	c := &cascade{clock: &testClock{at: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, seed)), running: make([]int, cascadeEndpoints), forcedBackoff: -1, backoff: cascadeBackoff, load: cascadeLoad, degraded: -1}
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

// run generates requests at random until the time is up. One endpoint asks for a back-off after two
// seconds.
func (c *cascade) run() {
	perSecond := c.load * cascadeEndpoints * cascadeCapacity / cascadeDuration.Seconds()
	var arrive func()
	arrive = func() {
		c.send(c.pools[c.random.IntN(len(c.pools))])
		c.after(time.Duration(c.random.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	var exchange func()
	exchange = func() {
		for i, p := range c.pools {
			others := make(Loads)
			for j, o := range c.pools {
				if i != j {
					others.Add(o.Loads())
				}
			}
			p.SetPeerLoads(others)
		}
		c.after(cascadeExchange, exchange)
	}
	c.after(0, arrive)
	c.after(0, exchange)
	c.after(2*time.Second, func() { c.forcedBackoff, c.forcedBackoffUntil = 0, c.at+100*time.Millisecond })
	for len(c.events) > 0 && c.events[0].at < cascadeLength {
		e := heap.Pop(&c.events).(event)
		c.clock.pass(e.at - c.at)
		c.at = e.at
		e.do()
	}
}

// send sends one request through an instance, and to a second endpoint if the first one rejects it.
func (c *cascade) send(p *Pool) {
	q := Query{Service: "models", Affinity: fmt.Sprint(c.random.IntN(cascadeAffinities)), Tried: make(map[string]bool)}
	for range 2 {
		lease := p.Pick(q)
		if lease == nil {
			c.refused++
			return
		}
		q.Tried[lease.Endpoint().ID] = true
		var i int
		_, _ = fmt.Sscanf(lease.Endpoint().ID, "e-%d", &i)
		if c.running[i] >= c.capacity(i) || (c.forcedBackoff == i && c.at < c.forcedBackoffUntil) {
			c.rejected++
			lease.ObserveNotice(Notice{Backoff: c.backoff, Limit: c.announcedLimit(i)}, ResponseInfo{})
			lease.Done(EndBusy)
			continue
		}
		c.running[i]++
		c.after(cascadeHeaderDelay, func() {
			lease.Accepted()
			lease.ObserveNotice(Notice{Limit: c.announcedLimit(i)}, ResponseInfo{})
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

// capacity is how many requests an endpoint runs at once. That of the degraded one falls to a quarter after two
// seconds.
func (c *cascade) capacity(i int) int {
	if i == c.degraded && c.at > 2*time.Second {
		return cascadeCapacity / 4
	}
	return cascadeCapacity
}

// announcedLimit is the limit that an endpoint announces if it is degraded or nearly full: its capacity.
func (c *cascade) announcedLimit(i int) limit.Rate {
	if !c.announceLimits || (i != c.degraded && c.running[i] < c.capacity(i)-2) || c.at < 2*time.Second {
		return limit.Rate{}
	}
	return limit.PerSecond(float64(c.capacity(i)) / cascadeDuration.Seconds())
}

// TestLimitCascade covers an endpoint whose capacity falls to a quarter. It leaves the rest of its work to four
// others, which already run at 80% of their capacity and announce limits in turn. Requests for which no capacity is
// left must be refused at once, not be rejected by one endpoint after the other.
func TestLimitCascade(t *testing.T) {
	Convey("Five endpoints at 80% of their capacity, one of which limits itself to a quarter, reject fewer requests if they announce limits", t, func() {
		const seeds = 8
		simulate := func(announceLimits bool) (served, rejected, refused int) {
			for seed := range uint64(seeds) {
				c := newCascade(seed+1, DefaultPolicy())
				c.announceLimits, c.degraded, c.backoff, c.load = announceLimits, 0, 0, 0.8
				for _, p := range c.pools {
					p.owners = fleetOf(cascadeInstances)
				}
				c.run()
				served, rejected, refused = served+c.served, rejected+c.rejected, refused+c.refused
			}
			return served, rejected, refused
		}
		servedWithout, rejectedWithout, _ := simulate(false)
		served, rejected, refused := simulate(true)
		t.Logf("no limits: %d served, %d rejected; limits: %d served, %d rejected, %d refused", servedWithout, rejectedWithout, served, rejected, refused)
		So(rejected, ShouldBeLessThan, rejectedWithout)
		So(float64(served), ShouldBeGreaterThan, 0.9*float64(servedWithout))
	})
}

// TestBackoffCascade covers an endpoint that asks for a back-off. It leaves its work to four others, which already run
// at 90% of their capacity and ask for a back-off in turn. Without a window, all instances return at the same moment
// and send at once all requests whose affinity prefers the endpoint, so that it asks for a back-off again.
func TestBackoffCascade(t *testing.T) {
	Convey("Five endpoints at 90% of their capacity, one of which asks for a back-off, serve more requests with a window than without", t, func() {
		const seeds = 8
		simulate := func(edit func(*Policy)) (served, rejected, refused int) {
			for seed := range uint64(seeds) {
				policy := DefaultPolicy()
				edit(&policy)
				c := newCascade(seed+1, policy)
				c.run()
				served, rejected, refused = served+c.served, rejected+c.rejected, refused+c.refused
			}
			return served, rejected, refused
		}
		unbounded, rejectedUnbounded, _ := simulate(func(p *Policy) { p.BackoffDecrease = 0 })
		served, rejected, refused := simulate(func(*Policy) {})
		t.Logf("unbounded: %d served, %d rejected; bounded: %d served, %d rejected, %d refused", unbounded, rejectedUnbounded, served, rejected, refused)
		So(rejected, ShouldBeLessThan, rejectedUnbounded)
		So(served, ShouldBeGreaterThan, unbounded)
		So(served, ShouldBeGreaterThan, refused)
	})
}
