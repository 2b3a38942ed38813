package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// fleetOf is a fleet of some instances.
type fleetOf int

func (fleetOf) IsDiscovered() bool     { return true }
func (n fleetOf) Size() int            { return int(n) }
func (fleetOf) Owns(string, int) bool  { return true }
func (n fleetOf) Position() (int, int) { return 0, int(n) }

// taken counts the requests that the endpoint gets in some time.
func (w *words) taken(d time.Duration) int {
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

func TestLimitWord(t *testing.T) {
	two := Notice{Limit: limit.PerSecond(2)}
	Convey("An endpoint that names a limit in an answer", t, func() {
		w := newWords()
		lease := w.lease()
		w.clock.pass(time.Second)
		lease.Said(two, Answer{Request: "r", Status: 200})
		lease.Done(EndGood)

		Convey("gets that from an instance that is by itself, though it is the only endpoint, and is told of once", func() {
			So(w.takes(), ShouldBeFalse)
			So(w.taken(10*time.Second), ShouldBeBetween, 17, 21)
			So(len(w.heard), ShouldEqual, 1)
			So(w.heard[0].Word, ShouldResemble, two)
			So(w.Len(), ShouldEqual, 1)
		})
		Convey("gets an even part from one of four", func() {
			w.owners = fleetOf(4)
			So(w.taken(40*time.Second), ShouldBeBetween, 16, 21)
		})
		Convey("gets what is lent of it, where it is lent", func() {
			w.leased, w.byID["e"].announced.limits.bucket = true, limit.Bucket{}
			So(w.taken(10*time.Second), ShouldEqual, 0)
			key := runKey(w.record(0, false))
			w.SetLeases(map[uint32]limit.Lease{key: limit.NewLease(two.Limit, 1, w.clock.now().Add(5*time.Second))})
			So(w.taken(10*time.Second), ShouldBeBetween, 3, 5)
		})
		Convey("tells why it gets nothing, and what callers may hope for", func() {
			So(w.Statuses()[0].Kept, ShouldEqual, KeptLimited)
			o := w.Opens(Query{Service: "s"})
			So(o, ShouldResemble, Opening{Limited: true, Rate: 2})
		})
		Convey("is not counted what did not reach it", func() {
			w.clock.pass(time.Second)
			for _, end := range []End{EndUnreachable, EndUnsent} {
				lease := w.lease()
				So(w.takes(), ShouldBeFalse)
				lease.Done(end)
				w.byID["e"].pausedTil = time.Time{}
				So(w.takes(), ShouldBeTrue)
				w.clock.pass(time.Second)
			}
		})
		Convey("gets what is left of other bounds, too: they do not undo each other", func() {
			w.clock.pass(time.Second)
			turned := w.lease()
			turned.Said(Notice{Rest: 3 * time.Second, Limit: two.Limit}, Answer{})
			turned.Done(EndBusy)
			So(w.taken(2900*time.Millisecond), ShouldEqual, 0)
			So(w.taken(10*time.Second), ShouldBeBetween, 15, 21)
		})
		Convey("keeps its limit when its record is told again, goes and comes back, and loses it with a later start", func() {
			for _, tell := range []func(){
				func() { w.Put(w.record(0, false)) },
				func() { w.Remove("e"); w.Put(w.record(0, false)) },
				func() { w.Replace(nil); w.Replace([]Endpoint{w.record(0, false)}) },
				func() { w.Put(w.record(400, false)) }, // the start of this run, told for the first time
			} {
				tell()
				So(w.takes(), ShouldBeFalse)
			}
			w.Put(w.record(8000, false))
			So(w.taken(time.Second), ShouldEqual, 100)
		})
		Convey("is not freed by an answer to a request that was sent before", func() {
			lease.Said(Notice{}, Answer{})
			So(w.takes(), ShouldBeFalse)
		})
		Convey("is free again once a later answer names none, and tells so", func() {
			w.clock.pass(time.Second)
			later := w.lease()
			w.clock.pass(time.Second)
			later.Said(Notice{}, Answer{})
			later.Done(EndGood)
			So(w.taken(time.Second), ShouldEqual, 100)
			So(w.ended, ShouldResemble, []NoticeEnd{WordLifted})
			So(w.byID["e"].announced, ShouldBeNil)

			Convey("also where another instance was told before, and tells it", func() {
				key := runKey(w.record(0, false))
				w.ObserveLimits(Limits{key: limit.Reported(two.Limit, w.clock.now().Add(-2500*time.Millisecond), time.Time{})})
				So(w.taken(time.Second), ShouldEqual, 100)
				w.ObserveLimits(Limits{key: limit.Reported(two.Limit, w.clock.now(), time.Time{})})
				So(w.taken(time.Second), ShouldBeLessThan, 3)
			})
		})
		Convey("is kept to by an instance that is told", func() {
			other := newWords()
			other.ObserveLimits(w.Limits())
			So(other.takes(), ShouldBeFalse)
			So(other.heard[0].Told, ShouldBeTrue)
			So(other.Limits(), ShouldBeEmpty) // it tells only what it has observed itself

			Convey("also where its record comes later", func() {
				late := newWords()
				late.Remove("e")
				late.ObserveLimits(w.Limits())
				late.Put(late.record(0, false))
				So(late.takes(), ShouldBeFalse)
			})
		})
	})
	Convey("A request that was picked before an endpoint named its limit is sent only if it is within it", t, func() {
		w := newWords()
		first, second := w.lease(), w.lease()
		w.clock.pass(time.Second)
		first.Said(two, Answer{})
		So(second.Wanted(), ShouldBeFalse)
		w.clock.pass(time.Second)
		So(second.Wanted(), ShouldBeTrue)
		So(w.takes(), ShouldBeFalse)
		second.Done(EndUnsent)
		So(w.takes(), ShouldBeTrue)
	})
	Convey("Others serve what an endpoint does not take, and the request's affinity names its next choice at once", t, func() {
		w := newWords()
		e := w.record(0, false)
		e.ID, e.Addr = "f", "10.0.0.2:80"
		w.Put(e)
		for range 100 {
			lease := w.Pick(Query{Service: "s", Affinity: "a"})
			So(lease, ShouldNotBeNil)
			lease.Said(Notice{Limit: limit.PerSecond(0)}, Answer{})
			lease.Done(EndGood)
			if lease.Endpoint().ID == "f" {
				So(lease.Kept(), ShouldBeIn, KeptLimited, KeptNot)
			}
			w.byID["f"].announced = nil // only the first endpoint is under a limit
		}
	})
}
