package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// All instances are told at about the same time that an endpoint wants rest, and came back within a tenth of it, with a request each: 300 at once at an
// endpoint that works on 32. So those that are later in an order that all know come back later, twice as many in each step.
func TestStaggeredReturn(t *testing.T) {
	const slots, rest = 32, time.Second
	for _, instances := range []int{6, 30, 300} {
		Convey(fmt.Sprintf("%d instances come back to an endpoint after its rest, no more at once than it bears, all in some seconds", instances), t, func() {
			clock := &testClock{at: time.Unix(1000, 0)}
			pools := make([]*Pool, 0, instances)
			for i := range instances {
				p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: i, size: instances}))
				p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: slots})
				lease := p.Pick(Query{Service: "s"})
				lease.ObserveNotice(Notice{Rest: rest}, Answer{})
				lease.Done(EndBusy)
				pools = append(pools, p)
			}
			const step = 100 * time.Millisecond
			back := make([]bool, instances)
			all, inSecond := 0, 0
			for at := time.Duration(0); at < 6*time.Second; at += step {
				clock.pass(step)
				for i, p := range pools {
					if lease := p.Pick(Query{Service: "s"}); lease != nil {
						lease.Done(EndGood)
						if !back[i] {
							back[i] = true
							all++
							if at < rest+returnStep {
								inSecond++
							}
						}
					}
				}
			}
			So(inSecond, ShouldBeLessThanOrEqualTo, slots)
			So(all, ShouldEqual, instances)
		})
	}
}
