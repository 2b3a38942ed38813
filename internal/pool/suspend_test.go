package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/boottime"
	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// A machine that was suspended for eight seconds took all that it had heard of endpoints for eight seconds fresher than it was, by a clock that stands
// still meanwhile: loads of others that were long gone, pauses and rests that were long over.
func TestEndpointsAcrossSuspension(t *testing.T) {
	const suspended = 8 * time.Second
	type known struct {
		*Pool
		sleep func()
	}
	begin := func(counts bool) known {
		boot := time.Hour
		clock := boottime.New(boottime.WithRead(func() (time.Duration, error) { return boot, nil }))
		p := New("a", WithNow(clock.Now), WithRandom(func(int) int { return 0 }))
		p.SetWarmups(map[string]slowstart.Warmup{"s": {Time: 5 * time.Second, PerSecond: 1}})
		p.Put(Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 4})
		return known{p, func() {
			if counts {
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
		before func(p *Pool)
		awake  func(p *Pool) bool // as it has to be after the suspension
	}{
		"what others have under way is old": {
			func(p *Pool) { p.SetPeerLoads(Loads{p.byID["e"].key(): {Open: 9}}) },
			func(p *Pool) bool { return p.PeerLoads() == nil },
		},
		"a pause is over": {
			func(p *Pool) { p.Pick(Query{Service: "s"}).Done(EndBroken) },
			takes,
		},
		"a rest is over": {
			func(p *Pool) {
				lease := p.Pick(Query{Service: "s"})
				lease.ObserveNotice(Notice{Rest: 3 * time.Second}, Answer{})
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
		"an answer that was owed is overdue": {
			func(p *Pool) { p.Pick(Query{Service: "s"}) },
			func(p *Pool) bool { return !takes(p) },
		},
	} {
		Convey("After a suspension "+name, t, func() {
			k := begin(true)
			c.before(k.Pool)
			So(c.awake(k.Pool), ShouldBeFalse)
			k.sleep()
			So(c.awake(k.Pool), ShouldBeTrue)

			Convey("which a clock that leaves it out does not tell", func() {
				k := begin(false)
				c.before(k.Pool)
				k.sleep()
				So(c.awake(k.Pool), ShouldBeFalse)
			})
		})
	}
}
