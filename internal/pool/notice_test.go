package pool

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// noticePool is a pool of one endpoint, with the notices that the pool reports.
type noticePool struct {
	*Pool
	clock   *testClock
	notices []NoticeTaken
	ended   []NoticeEnd
}

func newNoticePool() *noticePool {
	p := &noticePool{clock: &testClock{at: time.Unix(1000, 0)}}
	p.Pool = New("a", WithNow(p.clock.now), WithWall(func() time.Time { return noticeTime }), WithRandom(func(int) int { return 0 }),
		OnNotice(func(n NoticeTaken) { p.notices = append(p.notices, n) }), OnNoticeEnded(func(n NoticeEnded) { p.ended = append(p.ended, n.Why) }))
	p.Put(p.record(0, false))
	return p
}

// noticeTime is the wall-clock time at which notices are received.
var noticeTime = time.UnixMilli(5000)

// record returns a record of the endpoint.
func (*noticePool) record(startedAt int64, draining bool) Endpoint {
	return Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 64, StartedAt: startedAt, Draining: draining}
}

// lease picks the endpoint, which must accept work.
func (p *noticePool) lease() *Lease {
	lease := p.Pick(Query{Service: "s"})
	So(lease, ShouldNotBeNil)
	return lease
}

// takes reports whether the endpoint gets a request, and ends the request at once.
func (p *noticePool) takes() bool {
	lease := p.Pick(Query{Service: "s"})
	if lease == nil {
		return false
	}
	lease.Done(EndNeutral)
	return true
}

func TestLeavingNotice(t *testing.T) {
	leaving := Notice{Leaving: true}
	Convey("An endpoint that has announced in a response that it leaves gets nothing new, even as the only one", t, func() {
		p := newNoticePool()
		lease := p.lease()
		So(p.Len(), ShouldEqual, 1)
		p.clock.pass(time.Second)
		lease.ObserveNotice(leaving, ResponseInfo{Request: "r", Status: 200})
		lease.Done(EndGood)
		So(p.takes(), ShouldBeFalse)
		So(p.Len(), ShouldEqual, 0)
		So(lease.ProcessState(), ShouldEqual, ProcessLeaving)
		So(p.notices, ShouldResemble, []NoticeTaken{{Endpoint: p.record(0, false), Notice: leaving, Response: ResponseInfo{Request: "r", Status: 200}, Age: time.Second}})

		Convey("also if its record reports it ready again: alone, in a list, removed and added again, or with a start not reported before", func() {
			for _, update := range []func(){
				func() { p.Put(p.record(0, false)) },
				func() { p.Replace([]Endpoint{p.record(0, false)}) },
				func() { p.Remove("e"); p.Put(p.record(0, false)) },
				func() { p.Replace(nil); p.Replace([]Endpoint{p.record(0, false)}) },
				func() { p.Put(p.record(500, false)) },
				func() { p.Put(p.record(400, false)) }, // a late record of an earlier start
				func() { p.Put(p.record(0, true)) },
			} {
				update()
				So(p.takes(), ShouldBeFalse)
			}
			So(len(p.notices), ShouldEqual, 1)
			So(p.ended, ShouldBeEmpty)
		})

		Convey("announces it again without another report", func() {
			lease.ObserveNotice(leaving, ResponseInfo{})
			So(len(p.notices), ShouldEqual, 1)
		})

		Convey("until its record, which reported draining too, reports it ready: the drain was canceled", func() {
			p.Put(p.record(0, true))
			So(p.takes(), ShouldBeFalse)
			p.Put(p.record(0, false))
			So(p.takes(), ShouldBeTrue)
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeCanceled})

			Convey("which an earlier notice to other instances does not undo, and a later one does", func() {
				key := p.byID["e"].key()
				p.clock.pass(5 * time.Second)
				p.ObserveLeaving(Leaving{key: 6 * time.Second})
				So(p.takes(), ShouldBeTrue)
				p.ObserveLeaving(Leaving{key: time.Second})
				So(p.takes(), ShouldBeFalse)
			})
		})

		Convey("until it restarts; a late notice from the previous run does not apply to this one", func() {
			p.Put(p.record(500, false))
			So(p.takes(), ShouldBeFalse) // the same run, which reports its start now
			p.Put(p.record(900, false))
			So(p.takes(), ShouldBeTrue)
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeRestarted})
			lease.ObserveNotice(leaving, ResponseInfo{})
			So(p.takes(), ShouldBeTrue)
		})

		Convey("until it reports a start after the notice, where it reported none before", func() {
			p.Put(p.record(noticeTime.UnixMilli()+1, false))
			So(p.takes(), ShouldBeTrue)
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeRestarted})
		})

		Convey("until it is at another address", func() {
			e := p.record(0, false)
			e.Addr = "10.0.0.2:80"
			p.Put(e)
			So(p.takes(), ShouldBeTrue)
		})

		Convey("until the notice expires; then it gets one request at first", func() {
			p.clock.pass(leavingTTL - time.Millisecond)
			So(p.takes(), ShouldBeFalse)
			p.clock.pass(time.Millisecond)
			again := p.lease()
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeExpired})
			So(p.takes(), ShouldBeFalse)
			again.ObserveNotice(leaving, ResponseInfo{})
			again.Done(EndGood)
			So(p.takes(), ShouldBeFalse)
			So(len(p.notices), ShouldEqual, 2)
		})
	})

	Convey("An endpoint whose address another one has gets nothing new either, whatever its record reports", t, func() {
		p := newNoticePool()
		p.lease().Done(EndMoved)
		p.Put(p.record(0, false))
		So(p.takes(), ShouldBeFalse)
	})

	Convey("A request that is not sent yet is invalid once its endpoint leaves, asks for a back-off, drains, restarts, is removed or is evacuated", t, func() {
		for _, end := range []func(*noticePool, *Lease){
			func(_ *noticePool, l *Lease) { l.ObserveNotice(Notice{Leaving: true}, ResponseInfo{}) },
			func(_ *noticePool, l *Lease) { l.ObserveNotice(Notice{Backoff: time.Second}, ResponseInfo{}) },
			func(p *noticePool, _ *Lease) { p.Put(p.record(7, true)) },
			func(p *noticePool, _ *Lease) { p.Put(p.record(8, false)) },
			func(p *noticePool, _ *Lease) { p.Remove("e") },
			func(p *noticePool, _ *Lease) { p.SetEvacuated([]string{"a"}) },
		} {
			p := newNoticePool()
			p.Put(p.record(7, false))
			other, lease := p.lease(), p.lease()
			So(lease.StillValid(), ShouldBeTrue)
			end(p, other)
			So(lease.StillValid(), ShouldBeFalse)
		}
	})
}

func TestLeavingFromPeers(t *testing.T) {
	Convey("An instance reports which endpoints have announced to it that they leave", t, func() {
		p, other := newNoticePool(), newNoticePool()
		So(p.Leaving(), ShouldBeEmpty)
		p.lease().ObserveNotice(Notice{Leaving: true}, ResponseInfo{})
		p.clock.pass(2 * time.Second)
		reported := p.Leaving()
		So(reported, ShouldResemble, Leaving{p.byID["e"].key(): 2 * time.Second})

		Convey("but no longer once the endpoint's record reports that itself, or is removed", func() {
			p.Put(p.record(0, true))
			So(p.Leaving(), ShouldBeEmpty)
			p.Remove("e")
			So(p.Leaving(), ShouldBeEmpty)
		})

		Convey("and other instances that receive this send nothing there, and do not report it as their own observation", func() {
			other.ObserveLeaving(reported)
			So(other.takes(), ShouldBeFalse)
			So(other.notices[0].FromPeer, ShouldBeTrue)
			So(other.Leaving(), ShouldBeEmpty)
			other.ObserveLeaving(reported)
			other.ObserveLeaving(nil)
			So(other.takes(), ShouldBeFalse)
			So(len(other.notices), ShouldEqual, 1)
			other.clock.pass(leavingTTL - 2*time.Second)
			So(other.takes(), ShouldBeTrue)
		})

		Convey("also instances to which the endpoint is still unknown, or at which its record is removed and added again", func() {
			other.Remove("e")
			other.ObserveLeaving(reported)
			other.Put(other.record(0, false))
			So(other.takes(), ShouldBeFalse)
			other.Remove("e")
			other.Put(other.record(0, false))
			So(other.takes(), ShouldBeFalse)
		})

		Convey("and it does not apply to a later run", func() {
			other.Put(other.record(500, false))
			other.ObserveLeaving(reported)
			So(other.takes(), ShouldBeTrue)
		})
	})

	Convey("Of several notices of one endpoint the newest counts", t, func() {
		l := Leaving{1: 5 * time.Second, 2: time.Second}
		l.Add(Leaving{1: time.Second, 2: 5 * time.Second, 3: 0})
		So(l, ShouldResemble, Leaving{1: time.Second, 2: time.Second, 3: 0})
	})
}

func TestBackoffNotice(t *testing.T) {
	Convey("An endpoint that has asked for a back-off gets nothing meanwhile, even as the only one", t, func() {
		p := newNoticePool()
		first, second := p.lease(), p.lease()
		first.ObserveNotice(Notice{Backoff: 3 * time.Second}, ResponseInfo{Status: 503})
		first.Done(EndBusy)
		p.clock.pass(time.Second)
		So(p.takes(), ShouldBeFalse)
		So(p.Len(), ShouldEqual, 1) // it still counts as accepting work
		So(p.Availability(Query{Service: "s"}), ShouldResemble, Availability{Backoff: 2 * time.Second})
		So(second.ProcessState(), ShouldEqual, ProcessRunning)

		Convey("the longest of the times that it asks for counts, and is reported once", func() {
			second.ObserveNotice(Notice{Backoff: time.Second}, ResponseInfo{})
			p.clock.pass(1900 * time.Millisecond)
			So(p.takes(), ShouldBeFalse)
			second.ObserveNotice(Notice{Backoff: time.Second}, ResponseInfo{})
			p.clock.pass(900 * time.Millisecond)
			So(p.takes(), ShouldBeFalse)
			So(len(p.notices), ShouldEqual, 1)
			p.clock.pass(100 * time.Millisecond)
			second.Done(EndBusy)
			So(p.takes(), ShouldBeTrue)
			So(p.ended, ShouldResemble, []NoticeEnd{NoticeExpired})
		})

		Convey("also if its record is removed and added again; it does not apply to a later run", func() {
			p.Remove("e")
			p.Put(p.record(0, false))
			So(p.takes(), ShouldBeFalse)
			p.Put(p.record(500, false))
			p.Put(p.record(900, false))
			So(p.takes(), ShouldBeTrue)
		})

		Convey("then it gets one request at first, one more with each response, and eventually as many as its slots and the requests still open allow", func() {
			second.Done(EndGood)
			p.clock.pass(2 * time.Second)
			open := func() (out []*Lease) {
				for {
					lease := p.Pick(Query{Service: "s"})
					if lease == nil {
						return out
					}
					out = append(out, lease)
				}
			}
			all := open()
			So(len(all), ShouldEqual, 1)
			So(p.Availability(Query{Service: "s"}), ShouldResemble, Availability{Full: true})
			all[0].Accepted()
			So(len(open()), ShouldEqual, 1)
			p.clock.pass(expiryDoublings * doublingTime)
			So(len(open()), ShouldEqual, 62)
		})
	})

	Convey("Instances that receive the notice at the same time return at different times", t, func() {
		p := newNoticePool()
		p.random = func(n int) int { return n - 1 }
		p.lease().ObserveNotice(Notice{Backoff: 10 * time.Second}, ResponseInfo{})
		p.clock.pass(10*time.Second + 900*time.Millisecond)
		So(p.takes(), ShouldBeFalse)
		p.clock.pass(100 * time.Millisecond)
		So(p.takes(), ShouldBeTrue)
	})

	Convey("A service is available again when the first of its endpoints is", t, func() {
		p := newNoticePool()
		p.Put(Endpoint{ID: "f", Service: "s", Addr: "10.0.0.2:80", Zone: "a", Slots: 1})
		for range 2 {
			lease := p.lease()
			backoff := map[string]time.Duration{"e": 4 * time.Second, "f": time.Second}[lease.Endpoint().ID]
			lease.ObserveNotice(Notice{Backoff: backoff}, ResponseInfo{})
		}
		So(p.Availability(Query{Service: "s"}), ShouldResemble, Availability{Backoff: time.Second})
		So(p.Availability(Query{Service: "none"}), ShouldResemble, Availability{})
	})
}

// TestNoticesHoldProperty checks that a run that has announced that it leaves, or has asked for a back-off, gets no
// request while that applies, in whatever order records arrive, are removed and are repeated.
func TestNoticesHoldProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithRandom(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }))
		newest := 1
		// record returns a record of the newest run, or a late one of an earlier run. After the newest run's record
		// is removed, no earlier one follows: the store preserves their order.
		record := func() Endpoint {
			first := 1
			if p.byID["e"] == nil {
				first = newest
			}
			run := rapid.IntRange(first, newest+1).Draw(t, "run")
			newest = max(newest, run)
			return Endpoint{ID: "e", Service: "s", Addr: "10.0.0.1:80", Zone: "a", Slots: 4, StartedAt: int64(run) * 100}
		}
		leaving, backingOff := make(map[int64]time.Time), make(map[int64]time.Time) // until when, by the run's start
		var open []*Lease
		t.Repeat(map[string]func(*rapid.T){
			"record":  func(*rapid.T) { p.Put(record()) },
			"list":    func(*rapid.T) { p.Replace([]Endpoint{record()}) },
			"gone":    func(*rapid.T) { p.Remove("e") },
			"nothing": func(*rapid.T) { p.Replace(nil) },
			"time":    func(t *rapid.T) { clock.pass(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"word": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "lease")
				lease := open[i]
				open = append(open[:i], open[i+1:]...)
				run := lease.Endpoint().StartedAt
				if rapid.Bool().Draw(t, "leaving") {
					lease.ObserveNotice(Notice{Leaving: true}, ResponseInfo{})
					leaving[run] = clock.at.Add(leavingTTL)
				} else {
					backoff := time.Duration(rapid.IntRange(1, 3000).Draw(t, "rest")) * time.Millisecond
					lease.ObserveNotice(Notice{Backoff: backoff}, ResponseInfo{})
					if until := clock.at.Add(backoff); until.After(backingOff[run]) {
						backingOff[run] = until
					}
				}
				lease.Done(EndBusy)
			},
			"pick": func(t *rapid.T) {
				lease := p.Pick(Query{Service: "s"})
				if lease == nil {
					return
				}
				open = append(open, lease)
				run := lease.Endpoint().StartedAt
				if clock.at.Before(leaving[run]) || clock.at.Before(backingOff[run]) {
					t.Fatalf("run %d leaves until %v, has a back-off until %v, and got a request at %v", run, leaving[run], backingOff[run], clock.at)
				}
			},
		})
	})
}
