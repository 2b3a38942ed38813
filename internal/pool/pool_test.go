package pool

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type testClock struct{ at time.Time }

func (c *testClock) now() time.Time       { return c.at }
func (c *testClock) pass(d time.Duration) { c.at = c.at.Add(d) }

func newPool(c *testClock, n int) *Pool {
	p := New("a", WithNow(c.now))
	for i := range n {
		p.Put(Endpoint{ID: fmt.Sprintf("e-%d", i), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Slots: 8})
	}
	return p
}

func TestPick(t *testing.T) {
	Convey("A pool of four endpoints", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := newPool(clock, 4)
		pick := func(affinity string) *Lease { return p.Pick(Query{Service: "models", Affinity: affinity}) }

		Convey("sends requests with the same prompt to one endpoint until it is loaded", func() {
			first := pick("prompt")
			So(first.Reason(), ShouldEqual, ReasonAffinity)
			second := pick("prompt")
			So(second.Endpoint().ID, ShouldEqual, first.Endpoint().ID)
			var last *Lease
			for range 6 {
				last = pick("prompt")
			}
			So(last.Endpoint().ID, ShouldNotEqual, first.Endpoint().ID)
			So(last.Reason(), ShouldEqual, ReasonSpill)
		})

		Convey("spreads requests without affinity, and never exceeds the slots", func() {
			seen := make(map[string]int)
			for range 32 {
				seen[pick("").Endpoint().ID]++
			}
			So(len(seen), ShouldEqual, 4)
			So(seen["e-0"], ShouldEqual, 8)
			So(pick(""), ShouldBeNil)
		})

		Convey("sends nothing to endpoints that drain, are removed, or have been tried", func() {
			p.Put(Endpoint{ID: "e-0", Service: "models", Addr: "10.0.0.0:80", Zone: "a", Draining: true})
			So(p.Remove("e-1"), ShouldBeTrue)
			lease := p.Pick(Query{Service: "models", Tried: map[string]bool{"e-2": true}})
			So(lease.Endpoint().ID, ShouldEqual, "e-3")
			So(p.Len(), ShouldEqual, 2)
		})

		Convey("avoids an endpoint that broke a request, and tries it again later", func() {
			lease := pick("prompt")
			lease.Done(EndBroken)
			So(pick("prompt").Endpoint().ID, ShouldNotEqual, lease.Endpoint().ID)
			clock.pass(p.policy.FirstPause + time.Millisecond)
			So(pick("prompt").Endpoint().ID, ShouldEqual, lease.Endpoint().ID)
		})

		Convey("avoids an endpoint that owes a response and is silent", func() {
			lease := pick("prompt")
			clock.pass(p.policy.MinResponseTimeout + time.Millisecond)
			So(lease.Silent(), ShouldBeTrue)
			So(pick("prompt").Endpoint().ID, ShouldNotEqual, lease.Endpoint().ID)
			lease.Received()
			So(lease.Silent(), ShouldBeFalse)
		})

		Convey("avoids an endpoint that fails often, until its failures have decayed", func() {
			var id string
			for range 6 {
				lease := pick("prompt")
				if id == "" {
					id = lease.Endpoint().ID
				}
				lease.Done(EndFailed)
			}
			So(pick("prompt").Endpoint().ID, ShouldNotEqual, id)
			clock.pass(3 * errorDecay)
			So(pick("prompt").Endpoint().ID, ShouldEqual, id)
		})

		Convey("avoids a zone whose endpoints cannot be reached, except for an occasional probe", func() {
			for i := range 3 {
				p.Put(Endpoint{ID: fmt.Sprintf("far-%d", i), Service: "models", Addr: "10.1.0.1:80", Zone: "b", Slots: 8})
			}
			var far []*Lease
			for i := range 60 {
				if lease := pick(fmt.Sprintf("prompt-%d", i)); lease != nil && lease.Endpoint().Zone == "b" {
					far = append(far, lease)
				} else if lease != nil {
					lease.Done(EndNeutral)
				}
			}
			for _, lease := range far {
				lease.Done(EndUnreachable)
			}
			clock.pass(2 * p.policy.FirstPause)
			tried := 0
			for i := range 60 {
				lease := pick(fmt.Sprintf("prompt-%d", i))
				if lease.Endpoint().Zone == "b" {
					tried++
				}
				lease.Done(EndNeutral)
			}
			So(tried, ShouldBeBetweenOrEqual, 0, 1)
		})

		Convey("still sends work when all endpoints are suspect", func() {
			for range 4 {
				pick("").Done(EndBroken)
			}
			So(pick(""), ShouldNotBeNil)
			So(pick("prompt"), ShouldNotBeNil)
		})

		Convey("excludes an endpoint whose address another one has", func() {
			lease := pick("prompt")
			lease.Done(EndMoved)
			So(pick("prompt").Endpoint().ID, ShouldNotEqual, lease.Endpoint().ID)
			So(p.Len(), ShouldEqual, 3)
		})

		Convey("keeps the record of a lease as of the pick while records change", func() {
			lease := pick("prompt")
			picked := lease.Endpoint()
			var g sync.WaitGroup
			g.Go(func() {
				for i := range 100 {
					e := picked
					e.Draining = i%2 == 0
					p.Put(e)
				}
			})
			for range 100 {
				So(lease.Endpoint(), ShouldResemble, picked)
			}
			g.Wait()
		})

		Convey("counts a lease that ends twice once", func() {
			lease := pick("")
			lease.Done(EndGood)
			lease.Done(EndGood)
			So(lease.member.open, ShouldEqual, 0)
		})
	})

	Convey("A list replaces all endpoints, and the addresses of removed ones are reported", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		var closed []string
		p := New("a", WithNow(clock.now), OnRemoved(func(addr string) { closed = append(closed, addr) }))
		p.Replace([]Endpoint{{ID: "x", Service: "s", Addr: "1:1"}, {ID: "y", Service: "s", Addr: "2:2"}})
		added, removed := p.Replace([]Endpoint{{ID: "y", Service: "s", Addr: "2:2"}, {ID: "z", Service: "s", Addr: "1:1"}})
		So(added, ShouldEqual, 1)
		So(removed, ShouldEqual, 1)
		So(closed, ShouldResemble, []string{"1:1"})
	})
}

func TestResponseTimeout(t *testing.T) {
	Convey("An endpoint that reads a long prompt", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := newPool(clock, 4)
		long := Query{Service: "models", Affinity: "prompt", Prompt: 10_000}
		for range 10 {
			lease := p.Pick(long)
			clock.pass(500 * time.Millisecond)
			lease.ObserveFirstEvent(long.Prompt, 500*time.Millisecond)
			lease.Received()
			lease.Done(EndGood)
		}
		lease := p.Pick(long)

		Convey("may be silent for a multiple of the time that such a prompt takes", func() {
			So(lease.ResponseTimeout(), ShouldEqual, 2*time.Second)
			clock.pass(1900 * time.Millisecond)
			So(lease.Silent(), ShouldBeFalse)
			clock.pass(200 * time.Millisecond)
			So(lease.Silent(), ShouldBeTrue)
		})

		Convey("may be silent for no longer than any other once that prompt is done", func() {
			lease.Done(EndGood)
			short := p.Pick(Query{Service: "models", Affinity: "prompt", Prompt: 500})
			So(short.ResponseTimeout(), ShouldEqual, p.policy.MinResponseTimeout)
			clock.pass(p.policy.MinResponseTimeout + time.Millisecond)
			So(short.Silent(), ShouldBeTrue)
		})

		Convey("has a bounded response timeout, however long its prompt is", func() {
			So(p.Pick(Query{Service: "models", Prompt: 1 << 30}).ResponseTimeout(), ShouldEqual, maxResponseTimeout)
		})
	})
}

// TestExpireState checks that expired state of an endpoint is cleared, so that picks need not evaluate the endpoint
// again.
func TestExpireState(t *testing.T) {
	Convey("An endpoint for which state is tracked is pristine again in time", t, func() {
		for _, affect := range []func(*Pool, *Lease){
			func(_ *Pool, l *Lease) { l.Done(EndBroken) },
			func(_ *Pool, l *Lease) { l.Done(EndBusy) },
			func(_ *Pool, l *Lease) { l.Done(EndFailed) },
			func(_ *Pool, l *Lease) { l.Done(EndUnreachable) },
			func(_ *Pool, l *Lease) {
				l.ObserveNotice(Notice{Backoff: time.Second}, ResponseInfo{})
				l.Done(EndBusy)
			},
			func(p *Pool, l *Lease) { l.Done(EndGood); p.markCold(p.byID["e-0"], p.now(), time.Second) },
		} {
			clock := &testClock{at: time.Unix(1000, 0)}
			p := newPool(clock, 1)
			m := p.byID["e-0"]
			So(m.pristine(), ShouldBeTrue)
			affect(p, p.Pick(Query{Service: "models"}))
			So(m.pristine(), ShouldBeFalse)
			clock.pass(3 * time.Minute)
			p.Pick(Query{Service: "models"}).Done(EndNeutral)
			p.Pick(Query{Service: "models"}).Done(EndNeutral)
			So(m.pristine(), ShouldBeTrue)
		}
	})
}
