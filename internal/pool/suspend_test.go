package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/boottime"
	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// TestEndpointsAcrossSuspension guards against a clock that stands still while the machine is suspended. After a
// suspension of eight seconds, all that was received about endpoints seemed eight seconds fresher than it was: loads
// of other instances that were outdated, and pauses and back-offs that were long over.
func TestEndpointsAcrossSuspension(t *testing.T) {
	const suspended = 8 * time.Second
	type suspendable struct {
		*Pool
		suspend func()
	}
	newPool := func(countsSuspension bool) suspendable {
		boot := time.Hour
		clock := boottime.New(boottime.WithRead(func() (time.Duration, error) { return boot, nil }))
		p := New("a", WithNow(clock.Now), WithRandom(func(int) int { return 0 }))
		p.SetWarmups(map[string]slowstart.Warmup{"s": {Time: 5 * time.Second, PerSecond: 1}})
		p.Put(Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 4})
		return suspendable{p, func() {
			if countsSuspension {
				boot += suspended
				clock.Check()
			}
		}}
	}
	takes := func(p *Pool) bool {
		lease := p.Pick(Query{Service: "s", HealthyOnly: true})
		if lease == nil {
			return false
		}
		lease.Done(EndNeutral)
		return true
	}
	for name, c := range map[string]struct {
		before   func(p *Pool)
		expected func(p *Pool) bool // what must be true after the suspension
	}{
		"the loads of other instances have expired": {
			func(p *Pool) { p.SetPeerLoads(Loads{p.byID["e"].key(): {Open: 9}}) },
			func(p *Pool) bool { return p.PeerLoads() == nil },
		},
		"a pause is over": {
			func(p *Pool) { p.Pick(Query{Service: "s"}).Done(EndBroken) },
			takes,
		},
		"a back-off is over": {
			func(p *Pool) {
				lease := p.Pick(Query{Service: "s"})
				lease.ObserveNotice(Notice{Backoff: 3 * time.Second}, ResponseInfo{})
				lease.Done(EndBusy)
			},
			takes,
		},
		"a cold endpoint is warm": {
			func(p *Pool) {
				p.markCold(p.byID["e"], p.now(), 5*time.Second)
				for takes(p) {
				}
			},
			takes,
		},
		"a response is overdue": {
			func(p *Pool) { p.Pick(Query{Service: "s"}) },
			func(p *Pool) bool { return !takes(p) },
		},
	} {
		Convey("After a suspension "+name, t, func() {
			k := newPool(true)
			c.before(k.Pool)
			So(c.expected(k.Pool), ShouldBeFalse)
			k.suspend()
			So(c.expected(k.Pool), ShouldBeTrue)

			Convey("but not with a clock that does not count the suspension", func() {
				k := newPool(false)
				c.before(k.Pool)
				k.suspend()
				So(c.expected(k.Pool), ShouldBeFalse)
			})
		})
	}
}
