package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// announceRejections makes an endpoint announce how many rejections in a second it tolerates.
func announceRejections(p *Pool, service string, perSecond float64) {
	l := p.Pick(Query{Service: service})
	l.ObserveNotice(Notice{Rejections: limit.PerSecond(perSecond)}, ResponseInfo{})
	l.Done(EndGood)
}

func TestRejectionLimit(t *testing.T) {
	const slots, endpoints = 12, 4
	for _, instances := range []int{1, 6, 30, 300, 984} {
		Convey(fmt.Sprintf("While endpoints tolerate few rejections, %d instances in a burst send each no more than it runs at once", instances), t, func() {
			clock := &testClock{at: time.Unix(1000, 0)}
			opened := make(map[string]int)
			for i := range instances {
				p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: i, size: instances}))
				for k := range endpoints {
					p.Put(Endpoint{ID: fmt.Sprint("e-", k), Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: slots})
				}
				announceRejections(p, "s", 3)
				for lease := p.Pick(Query{Service: "s"}); lease != nil; lease = p.Pick(Query{Service: "s"}) {
					opened[lease.Endpoint().ID]++
				}
				So(p.Availability(Query{Service: "s"}).Open, ShouldBeFalse)
			}
			for id, n := range opened {
				SoMsg(id, n, ShouldBeLessThanOrEqualTo, slots)
			}
			So(len(opened), ShouldEqual, endpoints)
		})
	}
	Convey("After a rejection, an instance sends the endpoint nothing for as long as its part of the tolerated number takes", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: 1, size: 10}))
		p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 64})
		announceRejections(p, "s", 4)
		p.Pick(Query{Service: "s"}).Done(EndBusy)
		clock.pass(2400 * time.Millisecond)
		So(p.Pick(Query{Service: "s"}), ShouldBeNil)
		So(p.Availability(Query{Service: "s"}).Backoff, ShouldBeGreaterThan, 0)
		clock.pass(time.Second)
		So(p.Pick(Query{Service: "s"}), ShouldNotBeNil)
	})
	Convey("The limit ends some seconds after the last announcement", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: 0, size: 100}))
		p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8})
		announceRejections(p, "s", 4)
		for range 2 {
			p.Pick(Query{Service: "s"})
		}
		So(p.Pick(Query{Service: "s"}), ShouldBeNil)
		clock.pass(rejectionLimitTTL + time.Second)
		So(p.Pick(Query{Service: "s"}), ShouldNotBeNil)
	})
}
