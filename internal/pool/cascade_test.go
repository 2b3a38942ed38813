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
	clock     *testClock
	random    *rand.Rand
	pools     []*Pool
	running   []int // at each endpoint
	events    calendar
	at        time.Duration
	served    int
	turned    int           // away by endpoints
	refused   int           // by instances, with no endpoint that takes work
	rest      time.Duration // that a full endpoint asks for
	load      float64       // part of what all endpoints bear
	forced    int           // the endpoint that rests whatever it runs, until forcedTil
	forcedTil time.Duration
	needs     int  // the endpoint that takes a quarter of what it did; -1: none
	names     bool // endpoints name limits
}

// What the model's endpoints bear, and how they are loaded.
const (
	cascadeInstances = 6
	cascadeEndpoints = 5
	cascadeRoom      = 20 // requests that an endpoint runs at once
	cascadeRuns      = time.Second
	cascadeAnswers   = 50 * time.Millisecond // from a request to the head of its answer
	cascadeRest      = 2 * time.Second
	cascadeLoad      = 0.9
	cascadeLength    = 30 * time.Second
	cascadeSubjects  = 40
	cascadeTell      = 500 * time.Millisecond
)

// event is something that happens at a moment of the model.
type event struct {
	at time.Duration
	n  int // events of one moment happen in the order in which they were planned
	do func()
}

type calendar []event

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at < c[j].at || (c[i].at == c[j].at && c[i].n < c[j].n)
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(event)) }
func (c *calendar) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

func newCascade(seed uint64, policy Policy) *cascade {
	c := &cascade{clock: &testClock{at: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, seed)), running: make([]int, cascadeEndpoints), forced: -1, rest: cascadeRest, load: cascadeLoad, needs: -1}
	for range cascadeInstances {
		p := New("a", WithNow(c.clock.now), WithPolicy(policy), WithRandom(c.random.IntN))
		for i := range cascadeEndpoints {
			p.Put(Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 4 * cascadeRoom})
		}
		c.pools = append(c.pools, p)
	}
	return c
}

func (c *cascade) after(d time.Duration, do func()) {
	heap.Push(&c.events, event{at: c.at + d, n: len(c.events), do: do})
}

// play lets requests come at random until the time is up. One endpoint asks for rest after a second.
func (c *cascade) play() {
	perSecond := c.load * cascadeEndpoints * cascadeRoom / cascadeRuns.Seconds()
	var arrive func()
	arrive = func() {
		c.ask(c.pools[c.random.IntN(len(c.pools))])
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
		c.after(cascadeTell, tell)
	}
	c.after(0, arrive)
	c.after(0, tell)
	c.after(2*time.Second, func() { c.forced, c.forcedTil = 0, c.at+100*time.Millisecond })
	for len(c.events) > 0 && c.events[0].at < cascadeLength {
		e := heap.Pop(&c.events).(event)
		c.clock.pass(e.at - c.at)
		c.at = e.at
		e.do()
	}
}

// ask sends one request through an instance, and to a second endpoint if the first turns it away.
func (c *cascade) ask(p *Pool) {
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
		if c.running[i] >= c.room(i) || (c.forced == i && c.at < c.forcedTil) {
			c.turned++
			lease.ObserveNotice(Notice{Rest: c.rest, Limit: c.limit(i)}, Answer{})
			lease.Done(EndBusy)
			continue
		}
		c.running[i]++
		c.after(cascadeAnswers, func() {
			lease.Accepted()
			lease.ObserveNotice(Notice{Limit: c.limit(i)}, Answer{})
		})
		c.after(cascadeRuns, func() {
			c.running[i]--
			c.served++
			lease.Done(EndGood)
		})
		return
	}
	c.refused++
}

// room is how many requests an endpoint runs at once: the one in need a quarter of what it did.
func (c *cascade) room(i int) int {
	if i == c.needs && c.at > 2*time.Second {
		return cascadeRoom / 4
	}
	return cascadeRoom
}

// limit is what an endpoint names that is in need, or nearly full: what it bears.
func (c *cascade) limit(i int) limit.Rate {
	if !c.names || (i != c.needs && c.running[i] < c.room(i)-2) || c.at < 2*time.Second {
		return limit.Rate{}
	}
	return limit.PerSecond(float64(c.room(i)) / cascadeRuns.Seconds())
}

// An endpoint that takes a quarter of what it did leaves the rest to four others, which have 80 in 100 of what they bear already, and name limits in
// turn. Callers for whom there is no place are refused at once, and not turned away by one endpoint after the other.
func TestLimitCascade(t *testing.T) {
	Convey("Five endpoints at eight tenths of what they bear, one of which limits itself to a quarter, then the others", t, func() {
		const seeds = 8
		play := func(names bool) (served, turned, refused int) {
			for seed := range uint64(seeds) {
				c := newCascade(seed+1, DefaultPolicy())
				c.names, c.needs, c.rest, c.load = names, 0, 0, 0.8
				for _, p := range c.pools {
					p.owners = fleetOf(cascadeInstances)
				}
				c.play()
				served, turned, refused = served+c.served, turned+c.turned, refused+c.refused
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
				c.play()
				served, turned, refused = served+c.served, turned+c.turned, refused+c.refused
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
