package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPickLeastCost(t *testing.T) {
	Convey("If the loads of other instances are known", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := newPool(clock, 8)
		short := func(i int) Query {
			return Query{Service: "models", Affinity: fmt.Sprint("topic-", i), Prompt: 800, Shared: 200, Target: time.Second}
		}
		// other instances have much load at all endpoints but one
		idle := p.byID["e-3"]
		others := make(Loads)
		for _, m := range p.byID {
			if m != idle {
				others[m.key()] = Load{Interference: 0.4}
			}
		}
		p.SetPeerLoads(others)
		picks := func(q func(int) Query) map[string]int {
			seen := make(map[string]int)
			for i := range 64 {
				lease := p.Pick(q(i))
				seen[lease.Endpoint().ID]++
				lease.Done(EndGood)
			}
			return seen
		}

		Convey("short prompts go where few long ones are read, though not all to one endpoint", func() {
			seen := picks(short)
			So(seen[idle.ID], ShouldBeGreaterThan, 20)
			So(len(seen), ShouldBeGreaterThan, 3)
		})

		Convey("full endpoints get none of them while others have capacity", func() {
			p.SetPeerLoads(Loads{idle.key(): {Open: 8}})
			So(picks(short)[idle.ID], ShouldEqual, 0)
		})

		Convey("prompts of which much may be cached follow their affinity", func() {
			seen := picks(func(i int) Query {
				q := short(0)
				q.Prompt, q.Shared = 12_000, 9000
				return q
			})
			So(len(seen), ShouldEqual, 1)
		})

		Convey("short prompts follow their affinity once the loads have expired", func() {
			clock.pass(PeerLoadsTTL + time.Millisecond)
			So(len(picks(func(int) Query { return short(0) })), ShouldEqual, 1)
		})
	})

	Convey("An endpoint at which requests of other instances fail is avoided by an instance that has sent it none", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := newPool(clock, 4)
		long := Query{Service: "models", Affinity: "topic", Prompt: 12_000, Shared: 9000}
		first := p.Pick(long)
		m := first.member
		first.Done(EndNeutral)
		report := func(ended, failed float64) { p.SetPeerLoads(Loads{m.key(): {Ended: ended, Failed: failed}}) }

		report(1, 0.6)
		So(p.Pick(long).Endpoint().ID, ShouldNotEqual, m.ID)
		Convey("but not for a few failures among many, nor for one alone", func() {
			report(1, 0.1)
			So(p.Pick(long).Endpoint().ID, ShouldEqual, m.ID)
			report(0.1, 0.1)
			So(p.Pick(long).Endpoint().ID, ShouldEqual, m.ID)
		})
		Convey("nor once the reported load has expired", func() {
			clock.pass(PeerLoadsTTL + time.Millisecond)
			So(p.Pick(long).Endpoint().ID, ShouldEqual, m.ID)
		})
	})

	Convey("A prompt stalls the streams beside it more than in proportion to its length", t, func() {
		So(stallProbability(300*time.Millisecond, defaultGap), ShouldBeLessThan, 0.05)
		So(stallProbability(600*time.Millisecond, defaultGap), ShouldBeBetween, 0.15, 0.3)
		So(stallProbability(2*time.Second, defaultGap), ShouldEqual, 1)
	})
}
