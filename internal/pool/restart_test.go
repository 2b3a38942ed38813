package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An endpoint came back under its ID and address. Its record was taken for that of the process before: its pause, its share of failures, the
// requests counted as open there and what others had under way all went on, and an older record that came late put the dead process back.
func TestEndpointRestart(t *testing.T) {
	Convey("An endpoint that has seen requests", t, func() {
		now := time.Unix(1000, 0)
		gone := 0
		l := New("a", WithNow(func() time.Time { return now }), OnRemoved(func(string) { gone++ }))
		at := func(born int64) Endpoint {
			return Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 1, StartedAt: born}
		}
		l.Put(at(100))
		lease := l.Pick(Query{Service: "s"})
		So(lease, ShouldNotBeNil)
		So(l.Pick(Query{Service: "s"}), ShouldBeNil) // its only slot is taken
		l.SetPeerLoads(Loads{l.byID["e"].key(): {Open: 7, Failed: 5, Ended: 5}})

		Convey("is another one once it tells of a later start: nothing of before counts there", func() {
			So(l.Put(at(200)), ShouldBeTrue)
			So(gone, ShouldEqual, 1)
			So(lease.ProcessState(), ShouldEqual, ProcessEnded)
			m := l.byID["e"]
			So(m.open, ShouldEqual, 0)
			So(m.peerLoad, ShouldResemble, Load{})
			again := l.Pick(Query{Service: "s"})
			So(again, ShouldNotBeNil)

			Convey("a use of the process before ends without a trace", func() {
				lease.Done(EndBroken)
				So(m.open, ShouldEqual, 1)
				So(m.pause, ShouldEqual, 0)
			})

			Convey("an earlier start that is told late changes nothing, alone or among all", func() {
				So(l.Put(at(100)), ShouldBeFalse)
				came, went := l.Replace([]Endpoint{at(100)})
				So(came+went, ShouldEqual, 0)
				So(l.byID["e"], ShouldEqual, m)
				So(m.StartedAt, ShouldEqual, 200)
			})

			Convey("a word without a start tells nothing of it", func() {
				So(l.Put(at(0)), ShouldBeFalse)
				So(l.byID["e"], ShouldEqual, m)
				So(m.StartedAt, ShouldEqual, 200)
			})
		})

		Convey("stays what it is while it tells of the same start, or tells of its start for the first time", func() {
			l.Put(at(100))
			So(lease.ProcessState(), ShouldEqual, ProcessRunning)
			So(l.byID["e"].open, ShouldEqual, 1)
		})

		Convey("is leaving once it drains or its record is gone", func() {
			e := at(100)
			e.Draining = true
			l.Put(e)
			So(lease.ProcessState(), ShouldEqual, ProcessLeaving)
			l.Remove("e")
			So(lease.ProcessState(), ShouldEqual, ProcessLeaving)
		})
	})
}
