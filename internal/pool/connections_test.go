package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleetMember is the place of an instance in a fleet in which all instances are discovered. The order for a key is that
// of the places, rotated by the key.
type fleetMember struct{ place, size int }

func (fleetMember) IsDiscovered() bool     { return true }
func (o fleetMember) Position() (int, int) { return o.place, o.size }
func (o fleetMember) Size() int            { return o.size }
func (o fleetMember) Owns(key string, first int) bool {
	return (o.place+int(key[len(key)-1]))%o.size < first
}

// TestConnections guards against opening more connections to an endpoint than it accepts from all callers together.
// The endpoint resets those beyond that. When each instance bounded its open requests by the endpoint's slots alone,
// 100 instances had 800 requests open at an endpoint that accepts 100 connections.
func TestConnections(t *testing.T) {
	const accepted = 100
	for _, instances := range []int{1, 6, 100, 300} {
		Convey(fmt.Sprintf("%d instances in a burst open no more connections to an endpoint than it accepts from all of them", instances), t, func() {
			clock := &testClock{at: time.Unix(1000, 0)}
			opened := make(map[string]int)
			for i := range instances {
				p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: i, size: instances}))
				p.SetConnections(map[string]int{"s": accepted})
				for _, id := range []string{"e-1", "e-2"} {
					p.Put(Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8})
				}
				for lease := p.Pick(Query{Service: "s"}); lease != nil; lease = p.Pick(Query{Service: "s"}) {
					opened[lease.Endpoint().ID]++
				}
				So(p.Availability(Query{Service: "s"}).Open, ShouldBeFalse)
			}
			for id, n := range opened {
				SoMsg(id, n, ShouldBeLessThanOrEqualTo, accepted)
			}
			So(slices.Max([]int{opened["e-1"], opened["e-2"]}), ShouldBeGreaterThanOrEqualTo, min(8*instances, accepted/2))
		})
	}
	Convey("An instance without a share still opens a connection while all instances together have few there, as far as reported", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithOwners(fleetMember{place: 299, size: 300}))
		p.SetConnections(map[string]int{"s": accepted})
		e := Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8}
		for p.Put(e); p.Pick(Query{Service: "s"}) != nil; p.Put(e) {
			p.Remove("e-1") // until an endpoint is found at which this instance has no share
			e.ID += "1"
		}
		for _, c := range []struct {
			open int
			want bool
		}{{0, true}, {44, true}, {45, false}, {100, false}} {
			p.SetPeerLoads(Loads{runKey(e): {Open: c.open}})
			So(p.Availability(Query{Service: "s"}).Open, ShouldEqual, c.want)
		}
		clock.pass(2 * PeerLoadsTTL)
		So(p.Availability(Query{Service: "s"}).Open, ShouldBeFalse)
	})
	Convey("Connections to endpoints are not bounded if no number is set for their service", t, func() {
		p := New("a", WithOwners(fleetMember{size: 300}))
		p.SetConnections(map[string]int{"s": 0})
		p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8})
		for range 8 {
			So(p.Pick(Query{Service: "s"}), ShouldNotBeNil)
		}
	})
}
