package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// fleetOf is a fleet of that many instances, each of which owns every key.
type fleetOf int

func (fleetOf) IsDiscovered() bool     { return true }
func (n fleetOf) Size() int            { return int(n) }
func (fleetOf) Owns(string, int) bool  { return true }
func (n fleetOf) Position() (int, int) { return 0, int(n) }

// countTaken counts the requests that the endpoint gets in a period, of 100 a second.
func (p *noticePool) countTaken(d time.Duration) int {
	const step = 10 * time.Millisecond
	n := 0
	for range d / step {
		p.clock.pass(step)
		if p.takes() {
			n++
		}
	}
	return n
}

func TestLimitNotice(t *testing.T) {
	two := Notice{Limit: limit.PerSecond(2)}
	Convey("An endpoint that announces a limit in a response", t, func() {
		p := newNoticePool()
		lease := p.lease()
		p.clock.pass(time.Second)
		lease.ObserveNotice(two, ResponseInfo{Request: "r", Status: 200})
		lease.Done(EndGood)

		Convey("gets that rate from a single instance even as the only endpoint, and is reported once", func() {
			So(p.takes(), ShouldBeFalse)
			So(p.countTaken(10*time.Second), ShouldBeBetween, 17, 21)
			So(len(p.notices), ShouldEqual, 1)
			So(p.notices[0].Notice, ShouldResemble, two)
			So(p.Len(), ShouldEqual, 1)
		})
		Convey("gets an even share from one of four instances", func() {
			p.owners = fleetOf(4)
			So(p.countTaken(40*time.Second), ShouldBeBetween, 16, 21)
		})
		Convey("gets what the instance is granted, if limits are granted", func() {
			p.leased, p.byID["e"].announced.limits.bucket = true, limit.Bucket{}
			So(p.countTaken(10*time.Second), ShouldEqual, 0)
			key := runKey(p.record(0, false))
			p.SetLeases(map[uint32]limit.Lease{key: limit.NewLease(two.Limit, 1, p.clock.now().Add(5*time.Second))})
			So(p.countTaken(10*time.Second), ShouldBeBetween, 3, 5)
		})
		Convey("shows why it gets nothing, and which rate callers may expect", func() {
			So(p.Statuses()[0].Exclusion, ShouldEqual, ExcludedLimited)
			availability := p.Availability(Query{Service: "s"})
			So(availability, ShouldResemble, Availability{Limited: true, Rate: 2})
		})
		Convey("is not charged for requests that did not reach it", func() {
			p.clock.pass(time.Second)
			for _, end := range []End{EndUnreachable, EndUnsent} {
				lease := p.lease()
				So(p.takes(), ShouldBeFalse)
				lease.Done(end)
				p.byID["e"].pausedUntil = time.Time{}
				So(p.takes(), ShouldBeTrue)
				p.clock.pass(time.Second)
			}
		})
		Convey("is subject to a back-off as well: neither bound cancels the other", func() {
			p.clock.pass(time.Second)
			rejected := p.lease()
			rejected.ObserveNotice(Notice{Backoff: 3 * time.Second, Limit: two.Limit}, ResponseInfo{})
			rejected.Done(EndBusy)
			So(p.countTaken(2900*time.Millisecond), ShouldEqual, 0)
			So(p.countTaken(10*time.Second), ShouldBeBetween, 15, 21)
		})
		Convey("keeps its limit when its record is repeated, or removed and added again, and loses it with a later start", func() {
			for _, update := range []func(){
				func() { p.Put(p.record(0, false)) },
				func() { p.Remove("e"); p.Put(p.record(0, false)) },
				func() { p.Replace(nil); p.Replace([]Endpoint{p.record(0, false)}) },
				func() { p.Put(p.record(400, false)) }, // the start of this run, reported for the first time
			} {
				update()
				So(p.takes(), ShouldBeFalse)
			}
			p.Put(p.record(8000, false))
			So(p.countTaken(time.Second), ShouldEqual, 100)
		})
		Convey("keeps its limit after a response to a request that was sent before the limit was announced", func() {
			lease.ObserveNotice(Notice{}, ResponseInfo{})
			So(p.takes(), ShouldBeFalse)
		})
		Convey("has no limit any more once a later response announces none, which is reported", func() {
			p.clock.pass(time.Second)
			later := p.lease()
			p.clock.pass(time.Second)
			later.ObserveNotice(Notice{}, ResponseInfo{})
			later.Done(EndGood)
			So(p.countTaken(time.Second), ShouldEqual, 100)
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeLifted})
			So(p.byID["e"].announced, ShouldBeNil)

			Convey("also if another instance reports a limit that it received before", func() {
				key := runKey(p.record(0, false))
				p.ObserveLimits(Limits{key: limit.NewState(two.Limit, p.clock.now().Add(-2500*time.Millisecond), time.Time{})})
				So(p.countTaken(time.Second), ShouldEqual, 100)
				p.ObserveLimits(Limits{key: limit.NewState(two.Limit, p.clock.now(), time.Time{})})
				So(p.countTaken(time.Second), ShouldBeLessThan, 3)
			})
		})
		Convey("has its limit respected by an instance that receives it from another one", func() {
			other := newNoticePool()
			other.ObserveLimits(p.Limits())
			So(other.takes(), ShouldBeFalse)
			So(other.notices[0].FromPeer, ShouldBeTrue)
			So(other.Limits(), ShouldBeEmpty) // only its own observations are reported

			Convey("also if the endpoint's record arrives later", func() {
				late := newNoticePool()
				late.Remove("e")
				late.ObserveLimits(p.Limits())
				late.Put(late.record(0, false))
				So(late.takes(), ShouldBeFalse)
			})
		})
	})
	Convey("A request that was picked before its endpoint announced a limit is sent only within that limit", t, func() {
		p := newNoticePool()
		first, second := p.lease(), p.lease()
		p.clock.pass(time.Second)
		first.ObserveNotice(two, ResponseInfo{})
		So(second.StillValid(), ShouldBeFalse)
		p.clock.pass(time.Second)
		So(second.StillValid(), ShouldBeTrue)
		So(p.takes(), ShouldBeFalse)
		second.Done(EndUnsent)
		So(p.takes(), ShouldBeTrue)
	})
	Convey("Requests that an endpoint does not accept go to the next one in their affinity order at once", t, func() {
		p := newNoticePool()
		e := p.record(0, false)
		e.ID, e.Addr = "f", "10.0.0.2:80"
		p.Put(e)
		for range 100 {
			lease := p.Pick(Query{Service: "s", Affinity: "a"})
			So(lease, ShouldNotBeNil)
			lease.ObserveNotice(Notice{Limit: limit.PerSecond(0)}, ResponseInfo{})
			lease.Done(EndGood)
			if lease.Endpoint().ID == "f" {
				So(lease.Exclusion(), ShouldBeIn, ExcludedLimited, NotExcluded)
			}
			p.byID["f"].announced = nil // only the first endpoint is under a limit
		}
	})
}
