package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// oneOf is the place of an instance in a fleet that all know; the order for a key is that of places, turned by the key.
type oneOf struct{ place, size int }

func (oneOf) IsDiscovered() bool     { return true }
func (o oneOf) Position() (int, int) { return o.place, o.size }
func (o oneOf) Size() int            { return o.size }
func (o oneOf) Owns(key string, first int) bool {
	return (o.place+int(key[len(key)-1]))%o.size < first
}

// An endpoint takes some connections from all callers together, and resets what is beyond. Each instance bounded what it has open there by the
// endpoint's slots alone, as if it were by itself: 100 instances had 800 requests open at an endpoint that takes 100 connections.
func TestConnections(t *testing.T) {
	const most = 100
	for _, instances := range []int{1, 6, 100, 300} {
		Convey(fmt.Sprintf("%d instances in a burst open no more connections to an endpoint than it takes from all", instances), t, func() {
			clock := &testClock{at: time.Unix(1000, 0)}
			opened := make(map[string]int)
			for i := range instances {
				p := New("a", WithNow(clock.now), WithOwners(oneOf{place: i, size: instances}))
				p.SetConnections(map[string]int{"s": most})
				for _, id := range []string{"e-1", "e-2"} {
					p.Put(Endpoint{ID: id, Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8})
				}
				for lease := p.Pick(Query{Service: "s"}); lease != nil; lease = p.Pick(Query{Service: "s"}) {
					opened[lease.Endpoint().ID]++
				}
				So(p.Opens(Query{Service: "s"}).Open, ShouldBeFalse)
			}
			for id, n := range opened {
				SoMsg(id, n, ShouldBeLessThanOrEqualTo, most)
			}
			So(slices.Max([]int{opened["e-1"], opened["e-2"]}), ShouldBeGreaterThanOrEqualTo, min(8*instances, most/2))
		})
	}
	Convey("An instance that has no part opens a connection all the same while all together have few there, as far as others tell", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithOwners(oneOf{place: 299, size: 300}))
		p.SetConnections(map[string]int{"s": most})
		e := Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8}
		for p.Put(e); p.Pick(Query{Service: "s"}) != nil; p.Put(e) {
			p.Remove("e-1") // until one is found that others have their part of
			e.ID += "1"
		}
		for _, c := range []struct {
			open int
			want bool
		}{{0, true}, {44, true}, {45, false}, {100, false}} {
			p.SetOthers(Loads{runKey(e): {Open: c.open}})
			So(p.Opens(Query{Service: "s"}).Open, ShouldEqual, c.want)
		}
		clock.pass(2 * OthersLife)
		So(p.Opens(Query{Service: "s"}).Open, ShouldBeFalse)
	})
	Convey("A service that names no number bounds none", t, func() {
		p := New("a", WithOwners(oneOf{size: 300}))
		p.SetConnections(map[string]int{"s": 0})
		p.Put(Endpoint{ID: "e-1", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 8})
		for range 8 {
			So(p.Pick(Query{Service: "s"}), ShouldNotBeNil)
		}
	})
}
