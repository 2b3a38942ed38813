package follow

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// script is a Source that answers as it is told.
type script struct {
	snapshots, changes int
	whole, change      Update
	err                error
	during             func() // a call for changes
}

func (s *script) Snapshot(context.Context, Cursor) (Update, error) {
	s.snapshots++
	return s.whole, s.err
}

func (s *script) Changes(context.Context, Cursor, bool) (Update, error) {
	s.changes++
	if s.during != nil {
		s.during()
	}
	return s.change, s.err
}

func TestFollower(t *testing.T) {
	Convey("A follower", t, func() {
		now := time.Unix(1000, 0)
		src := &script{whole: Update{
			At: 10, Config: &route.Config{Version: 5}, Endpoints: []pool.Endpoint{{ID: "a", Service: "s", Addr: "1:1"}},
		}}
		p := pool.New("z")
		f := New(src, p, WithNow(func() time.Time { return now }))
		step := func() error { return f.Step(context.Background()) }
		So(step(), ShouldBeNil)
		So(f.Table().Version(), ShouldEqual, 5)

		Convey("asks for what has changed, and never takes an older configuration", func() {
			src.change = Update{At: 12, Events: 2, Config: &route.Config{Version: 4}, Removed: []string{"a"}}
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
			So(f.Table().Version(), ShouldEqual, 5)
			So(p.Len(), ShouldEqual, 0)
			So(f.since.At, ShouldEqual, 12)
		})

		Convey("has heard nothing since a suspension in which the answer to an earlier call came", func() {
			woke := time.Time{}
			src.during = func() {
				now = now.Add(8 * time.Second)
				woke = now
			}
			So(step(), ShouldBeNil)
			So(f.LastContact(), ShouldHappenBefore, woke)
			src.during = nil
			now = now.Add(time.Millisecond)
			So(step(), ShouldBeNil)
			So(f.LastContact(), ShouldHappenAfter, woke)
		})

		Convey("has not heard lately what another instance heard long ago", func() {
			now = now.Add(10 * time.Second)
			src.change = Update{At: 12, Events: 1, FromPeer: true, Age: 5 * time.Second}
			So(step(), ShouldBeNil)
			So(now.Sub(f.LastContact()), ShouldEqual, 5*time.Second)
		})

		Convey("keeps what it has when a configuration cannot be compiled", func() {
			src.change = Update{At: 12, Events: 1, Config: &route.Config{Version: 6, Routes: []route.Route{{Prefix: "x"}}}}
			So(step(), ShouldBeNil)
			So(f.Table().Version(), ShouldEqual, 5)
		})

		Convey("keeps work off an availability zone that the operator evacuates, and tells others so", func() {
			takes := func() bool {
				lease := p.Pick(pool.Query{Service: "s"})
				if lease != nil {
					lease.Done(pool.EndNeutral)
				}
				return lease != nil
			}
			src.whole.Endpoints[0].Zone = "far"
			src.change = Update{At: 12, Events: 1, Endpoints: src.whole.Endpoints}
			So(step(), ShouldBeNil)
			So(takes(), ShouldBeTrue)
			evacuated := Update{At: 14, OperatorAt: 14, Events: 1, Evacuations: []evacuation.Order{{Zone: "far", On: true, Revision: 14}}}
			src.change = evacuated
			So(step(), ShouldBeNil)
			So(takes(), ShouldBeFalse)
			u, ok := f.UpdateSince(Cursor{})
			So(ok, ShouldBeTrue)
			So(*u.Evacuated, ShouldResemble, evacuation.Set{At: 14, Zones: []string{"far"}})

			Convey("while the store is away", func() {
				src.err = errors.New("no answer")
				now = now.Add(time.Minute)
				So(step(), ShouldNotBeNil)
				So(takes(), ShouldBeFalse)
			})

			Convey("until that is taken back, which what is told late does not undo", func() {
				src.change = Update{At: 20, OperatorAt: 20, Events: 1, Evacuations: []evacuation.Order{{Zone: "far", Revision: 20}}}
				So(step(), ShouldBeNil)
				So(takes(), ShouldBeTrue)
				src.change = evacuated
				So(step(), ShouldBeNil)
				So(takes(), ShouldBeTrue)
				So(f.since.OperatorAt, ShouldEqual, 20)
			})

			Convey("and learns that it was taken back from a read of everything, when history is gone", func() {
				src.err = external.ErrHistoryGone
				So(step(), ShouldNotBeNil)
				src.err = nil
				src.whole.At, src.whole.OperatorAt, src.whole.Evacuated = 30, 30, &evacuation.Set{At: 30}
				f.deaf = true
				So(step(), ShouldBeNil)
				So(takes(), ShouldBeTrue)
			})
		})

		Convey("does not tell others of an endpoint that is only a little less cold than before", func() {
			cold := func(d time.Duration) {
				src.change.Endpoints = []pool.Endpoint{{ID: "a", Service: "s", Addr: "1:1", Cold: d}}
			}
			told := func(since int64) int {
				u, _ := f.UpdateSince(Cursor{At: since})
				return len(u.Endpoints)
			}
			src.change = Update{At: 12, Events: 1}
			cold(3 * time.Second)
			So(step(), ShouldBeNil)
			So(told(10), ShouldEqual, 1)
			src.change.At = 14
			cold(2 * time.Second)
			So(step(), ShouldBeNil)
			So(told(12), ShouldEqual, 0)
			src.change.At = 16
			cold(0)
			So(step(), ShouldBeNil)
			So(told(14), ShouldEqual, 1)
		})

		Convey("reads everything when history is gone", func() {
			src.err = external.ErrHistoryGone
			So(step(), ShouldNotBeNil)
			So(src.snapshots, ShouldEqual, 2)
		})

		Convey("reads everything when answers tell nothing for too long", func() {
			src.change = Update{At: 10}
			So(step(), ShouldBeNil)
			now = now.Add(f.times.Silence + time.Millisecond)
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 2)
		})

		Convey("asks for changes, not for everything, after a call that failed", func() {
			src.err = errors.New("no answer")
			now = now.Add(time.Minute)
			So(step(), ShouldNotBeNil)
			src.err, src.change = nil, Update{At: 11, Events: 1}
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
		})

		Convey("reads everything once in three calls while what has changed cannot be read", func() {
			src.err = errors.New("too much for the time of a call")
			for range 6 {
				So(step(), ShouldNotBeNil)
			}
			So(src.changes, ShouldEqual, 4)
			So(src.snapshots, ShouldEqual, 3)
		})
	})
}

func TestFollowerAfterRestoration(t *testing.T) {
	Convey("A follower of a store that is restored from an older copy", t, func() {
		now := time.Unix(1000, 0)
		endpoint := func(id string, draining bool) pool.Endpoint {
			return pool.Endpoint{ID: id, Service: "s", Addr: id + ":1", Zone: id, Draining: draining}
		}
		at := external.Revision
		src := &script{whole: Update{
			At: at(1, 100), OperatorAt: at(1, 100), Config: &route.Config{Version: 5}, Evacuated: &evacuation.Set{At: at(1, 100)},
			Endpoints: []pool.Endpoint{endpoint("stays", false), endpoint("leaves", false), endpoint("ends", false)},
		}}
		p := pool.New("z")
		f := New(src, p, WithNow(func() time.Time { return now }))
		step := func() { So(f.Step(context.Background()), ShouldBeNil) }
		ready := func(id string) bool {
			for _, e := range f.history.endpoints {
				if e.ID == id {
					return !e.Draining
				}
			}
			return false
		}
		step()
		src.change = Update{
			At: at(1, 120), Events: 4, Endpoints: []pool.Endpoint{endpoint("leaves", true), endpoint("new", false)}, Removed: []string{"ends"},
			OperatorAt: at(1, 120), Evacuations: []evacuation.Order{{Zone: "new", On: true, Revision: at(1, 119)}},
		}
		step()
		f.failed = mostFailed
		src.whole.At, src.whole.OperatorAt, src.whole.Evacuated = at(2, 90), at(2, 90), &evacuation.Set{At: at(2, 90), Zones: []string{"stays"}}
		step()

		Convey("lets no record of the copy undo what is known of endpoints", func() {
			So(ready("stays"), ShouldBeTrue)
			So(ready("leaves"), ShouldBeFalse)
			So(ready("ends"), ShouldBeFalse)
			So(ready("new"), ShouldBeTrue)
			So(p.Len(), ShouldEqual, 2)
		})

		Convey("takes what endpoints write anew", func() {
			src.change = Update{At: at(2, 95), Events: 2, Endpoints: []pool.Endpoint{endpoint("leaves", false), endpoint("ends", false)}}
			step()
			So(ready("leaves"), ShouldBeTrue)
			So(ready("ends"), ShouldBeTrue)
		})

		Convey("reads everything again once its records are reliable, and then takes what is missing for gone", func() {
			src.change = Update{At: at(2, 95), Events: 1}
			before := src.snapshots
			now = now.Add(returnWait)
			step()
			So(src.snapshots, ShouldEqual, before+1)
			So(ready("new"), ShouldBeFalse)
			So(ready("leaves"), ShouldBeFalse)
			So(ready("ends"), ShouldBeFalse)
			now = now.Add(lapseWait - returnWait)
			step()
			So(src.snapshots, ShouldEqual, before+2)
			So(ready("leaves"), ShouldBeTrue)
			So(ready("ends"), ShouldBeTrue)
			now = now.Add(time.Second)
			step()
			So(src.snapshots, ShouldEqual, before+2)
		})

		Convey("keeps the operator's orders that the copy lacks, until the operator has had time to write them again", func() {
			zones := func() []string { return f.history.evacuated.Zones() }
			So(zones(), ShouldResemble, []string{"new", "stays"})
			src.change = Update{At: at(2, 96), OperatorAt: at(2, 96), Events: 1, Evacuations: []evacuation.Order{{Zone: "stays", Revision: at(2, 96)}}}
			step()
			So(zones(), ShouldResemble, []string{"new"})
			src.whole.Evacuated = &evacuation.Set{At: at(2, 97)}
			now = now.Add(returnWait)
			step()
			So(zones(), ShouldBeEmpty)
		})

		Convey("tells an instance that follows the epoch before everything, and nothing to one that follows a later epoch", func() {
			u, ok := f.UpdateSince(Cursor{At: at(1, 120), ConfigAt: at(1, 100)})
			So(ok, ShouldBeTrue)
			So(u.Complete, ShouldBeTrue)
			So(u.At, ShouldEqual, at(2, 90))
			_, ok = f.UpdateSince(Cursor{At: at(3, 1)})
			So(ok, ShouldBeFalse)
		})
	})
}
