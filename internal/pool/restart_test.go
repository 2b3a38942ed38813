package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEndpointRestart guards against taking the record of a restarted endpoint, with the same ID and address, for
// that of the previous process. Its pause, its share of failures, its open requests and the loads of other instances
// would carry over, and a late record would bring the previous process back.
func TestEndpointRestart(t *testing.T) {
	Convey("An endpoint that has run requests", t, func() {
		now := time.Unix(1000, 0)
		removals := 0
		p := New("a", WithNow(func() time.Time { return now }), OnRemoved(func(string) { removals++ }))
		at := func(startedAt int64) Endpoint {
			return Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 1, StartedAt: startedAt}
		}
		p.Put(at(100))
		lease := p.Pick(Query{Service: "s"})
		So(lease, ShouldNotBeNil)
		So(p.Pick(Query{Service: "s"}), ShouldBeNil) // its only slot is in use
		p.SetPeerLoads(Loads{p.byID["e"].key(): {Open: 7, Failed: 5, Ended: 5}})

		Convey("counts as a new one once it reports a later start: no earlier state applies", func() {
			So(p.Put(at(200)), ShouldBeTrue)
			So(removals, ShouldEqual, 1)
			So(lease.ProcessState(), ShouldEqual, ProcessEnded)
			m := p.byID["e"]
			So(m.open, ShouldEqual, 0)
			So(m.peerLoad, ShouldResemble, Load{})
			again := p.Pick(Query{Service: "s"})
			So(again, ShouldNotBeNil)

			Convey("a lease of the previous process ends without effect", func() {
				lease.Done(EndBroken)
				So(m.open, ShouldEqual, 1)
				So(m.pause, ShouldEqual, 0)
			})

			Convey("a late record of an earlier start changes nothing, alone or in a list", func() {
				So(p.Put(at(100)), ShouldBeFalse)
				added, removed := p.Replace([]Endpoint{at(100)})
				So(added+removed, ShouldEqual, 0)
				So(p.byID["e"], ShouldEqual, m)
				So(m.StartedAt, ShouldEqual, 200)
			})

			Convey("a record without a start time keeps the known one", func() {
				So(p.Put(at(0)), ShouldBeFalse)
				So(p.byID["e"], ShouldEqual, m)
				So(m.StartedAt, ShouldEqual, 200)
			})
		})

		Convey("keeps its state while it reports the same start", func() {
			p.Put(at(100))
			So(lease.ProcessState(), ShouldEqual, ProcessRunning)
			So(p.byID["e"].open, ShouldEqual, 1)
		})

		Convey("is leaving once it drains or its record is removed", func() {
			e := at(100)
			e.Draining = true
			p.Put(e)
			So(lease.ProcessState(), ShouldEqual, ProcessLeaving)
			p.Remove("e")
			So(lease.ProcessState(), ShouldEqual, ProcessLeaving)
		})
	})
}
