package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// fleetOf is a fleet of that many instances, each of which owns every key.
type fleetOf int

func (fleetOf) Known() bool           { return true }
func (n fleetOf) Size() int           { return int(n) }
func (fleetOf) Owns(string, int) bool { return true }
func (n fleetOf) Place() (int, int)   { return 0, int(n) }

// countTaken counts the requests that the endpoint gets in a period, of 100 a second.
func (w *noticePool) countTaken(d time.Duration) int {
	const step = 10 * time.Millisecond
	n := 0
	for range d / step {
		w.clock.pass(step)
		if w.takes() {
			n++
		}
	}
	return n
}

func TestLimitNotice(t *testing.T) {
	two := Notice{Limit: limit.PerSecond(2)}
	Convey("An endpoint that names a limit in a response", t, func() {
		w := newNoticePool()
		lease := w.lease()
		w.clock.pass(time.Second)
		lease.ObserveNotice(two, Answer{Request: "r", Status: 200})
		lease.Done(EndGood)

		Convey("gets that rate from a single instance even as the only endpoint, and is reported once", func() {
			So(w.takes(), ShouldBeFalse)
			So(w.countTaken(10*time.Second), ShouldBeBetween, 17, 21)
			So(len(w.notices), ShouldEqual, 1)
			So(w.notices[0].Notice, ShouldResemble, two)
			So(w.Len(), ShouldEqual, 1)
		})
		Convey("gets an even share from one of four instances", func() {
			w.owners = fleetOf(4)
			So(w.countTaken(40*time.Second), ShouldBeBetween, 16, 21)
		})
		Convey("gets what the instance is granted, if limits are granted", func() {
			w.leased, w.byID["e"].announced.limits.bucket = true, limit.Bucket{}
			So(w.countTaken(10*time.Second), ShouldEqual, 0)
			key := runKey(w.record(0, false))
			w.SetLeases(map[uint32]limit.Lease{key: limit.NewLease(two.Limit, 1, w.clock.now().Add(5*time.Second))})
			So(w.countTaken(10*time.Second), ShouldBeBetween, 3, 5)
		})
		Convey("shows why it gets nothing, and which rate callers may expect", func() {
			So(w.Statuses()[0].Exclusion, ShouldEqual, ExcludedLimited)
			o := w.Availability(Query{Service: "s"})
			So(o, ShouldResemble, Availability{Limited: true, Rate: 2})
		})
		Convey("is not charged for requests that did not reach it", func() {
			w.clock.pass(time.Second)
			for _, end := range []End{EndUnreachable, EndUnsent} {
				lease := w.lease()
				So(w.takes(), ShouldBeFalse)
				lease.Done(end)
				w.byID["e"].pausedUntil = time.Time{}
				So(w.takes(), ShouldBeTrue)
				w.clock.pass(time.Second)
			}
		})
		Convey("is subject to a rest as well: neither bound cancels the other", func() {
			w.clock.pass(time.Second)
			rejected := w.lease()
			rejected.ObserveNotice(Notice{Rest: 3 * time.Second, Limit: two.Limit}, Answer{})
			rejected.Done(EndBusy)
			So(w.countTaken(2900*time.Millisecond), ShouldEqual, 0)
			So(w.countTaken(10*time.Second), ShouldBeBetween, 15, 21)
		})
		Convey("keeps its limit when its record is repeated, or removed and added again, and loses it with a later start", func() {
			for _, update := range []func(){
				func() { w.Put(w.record(0, false)) },
				func() { w.Remove("e"); w.Put(w.record(0, false)) },
				func() { w.Replace(nil); w.Replace([]Endpoint{w.record(0, false)}) },
				func() { w.Put(w.record(400, false)) }, // the start of this run, reported for the first time
			} {
				update()
				So(w.takes(), ShouldBeFalse)
			}
			w.Put(w.record(8000, false))
			So(w.countTaken(time.Second), ShouldEqual, 100)
		})
		Convey("keeps its limit after a response to a request that was sent before the limit was named", func() {
			lease.ObserveNotice(Notice{}, Answer{})
			So(w.takes(), ShouldBeFalse)
		})
		Convey("has no limit any more once a later response names none, which is reported", func() {
			w.clock.pass(time.Second)
			later := w.lease()
			w.clock.pass(time.Second)
			later.ObserveNotice(Notice{}, Answer{})
			later.Done(EndGood)
			So(w.countTaken(time.Second), ShouldEqual, 100)
			So(w.ended, ShouldResemble, []NoticeEnd{NoticeLifted})
			So(w.byID["e"].announced, ShouldBeNil)

			Convey("also if another instance reports a limit that it received before", func() {
				key := runKey(w.record(0, false))
				w.ObserveLimits(Limits{key: limit.Reported(two.Limit, w.clock.now().Add(-2500*time.Millisecond), time.Time{})})
				So(w.countTaken(time.Second), ShouldEqual, 100)
				w.ObserveLimits(Limits{key: limit.Reported(two.Limit, w.clock.now(), time.Time{})})
				So(w.countTaken(time.Second), ShouldBeLessThan, 3)
			})
		})
		Convey("has its limit respected by an instance that receives it from another one", func() {
			other := newNoticePool()
			other.ObserveLimits(w.Limits())
			So(other.takes(), ShouldBeFalse)
			So(other.notices[0].FromPeer, ShouldBeTrue)
			So(other.Limits(), ShouldBeEmpty) // it reports only what it has observed itself

			Convey("also if the endpoint's record arrives later", func() {
				late := newNoticePool()
				late.Remove("e")
				late.ObserveLimits(w.Limits())
				late.Put(late.record(0, false))
				So(late.takes(), ShouldBeFalse)
			})
		})
	})
	Convey("A request that was picked before its endpoint named a limit is sent only within that limit", t, func() {
		w := newNoticePool()
		first, second := w.lease(), w.lease()
		w.clock.pass(time.Second)
		first.ObserveNotice(two, Answer{})
		So(second.StillValid(), ShouldBeFalse)
		w.clock.pass(time.Second)
		So(second.StillValid(), ShouldBeTrue)
		So(w.takes(), ShouldBeFalse)
		second.Done(EndUnsent)
		So(w.takes(), ShouldBeTrue)
	})
	Convey("Requests that an endpoint does not accept go to the next one in their affinity order at once", t, func() {
		w := newNoticePool()
		e := w.record(0, false)
		e.ID, e.Addr = "f", "10.0.0.2:80"
		w.Put(e)
		for range 100 {
			lease := w.Pick(Query{Service: "s", Affinity: "a"})
			So(lease, ShouldNotBeNil)
			lease.ObserveNotice(Notice{Limit: limit.PerSecond(0)}, Answer{})
			lease.Done(EndGood)
			if lease.Endpoint().ID == "f" {
				So(lease.Exclusion(), ShouldBeIn, ExcludedLimited, NotExcluded)
			}
			w.byID["f"].announced = nil // only the first endpoint is under a limit
		}
	})
}
