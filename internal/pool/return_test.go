package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestStaggeredReturn guards against all instances returning to an endpoint at once. The endpoint asks all of them for
// a back-off at about the same time. They used to return within a tenth of the back-off with a request each: 300 at
// once at an endpoint that works on 32. So they return in steps, in an order that all instances compute, twice as many
// in each step.
func TestStaggeredReturn(t *testing.T) {
	const slots, backoff = 32, time.Second
	for _, instances := range []int{6, 30, 300} {
		Convey(fmt.Sprintf("%d instances return to an endpoint after its back-off, no more at once than it has slots, all within seconds", instances), t, func() {
			clock := &testClock{at: time.Unix(1000, 0)}
			pools := make([]*Pool, 0, instances)
			for i := range instances {
				p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: i, size: instances}))
				p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: slots})
				lease := p.Pick(Query{Service: "s"})
				lease.ObserveNotice(Notice{Backoff: backoff}, ResponseInfo{})
				lease.Done(EndBusy)
				pools = append(pools, p)
			}
			const step = 100 * time.Millisecond
			returned := make([]bool, instances)
			all, inFirstStep := 0, 0
			for at := time.Duration(0); at < 6*time.Second; at += step {
				clock.pass(step)
				for i, p := range pools {
					if lease := p.Pick(Query{Service: "s"}); lease != nil {
						lease.Done(EndGood)
						if !returned[i] {
							returned[i] = true
							all++
							if at < backoff+returnStep {
								inFirstStep++
							}
						}
					}
				}
			}
			So(inFirstStep, ShouldBeLessThanOrEqualTo, slots)
			So(all, ShouldEqual, instances)
		})
	}
}
