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

// scriptedSource is a Source whose responses a test sets.
type scriptedSource struct {
	snapshots, changes int
	snapshot, update   Update
	err                error
	duringChanges      func() // runs within a call for changes, if it is set
}

func (s *scriptedSource) Snapshot(context.Context, Cursor, Part) (Update, error) {
	s.snapshots++
	return s.snapshot, s.err
}

func (s *scriptedSource) Changes(context.Context, Cursor, bool) (Update, error) {
	s.changes++
	if s.duringChanges != nil {
		s.duringChanges()
	}
	return s.update, s.err
}

func TestFollower(t *testing.T) {
	Convey("A follower", t, func() {
		now := time.Unix(1000, 0)
		src := &scriptedSource{snapshot: Update{
			At: 10, Config: &route.Config{Version: 5}, Endpoints: []pool.Endpoint{{ID: "a", Service: "s", Addr: "1:1"}},
		}}
		p := pool.New("z")
		f := New(src, p, WithNow(func() time.Time { return now }))
		step := func() error { return f.Step(context.Background()) }
		So(step(), ShouldBeNil)
		So(f.Table().Version(), ShouldEqual, 5)

		Convey("reads changes, and never applies an older configuration", func() {
			src.update = Update{At: 12, Events: 2, Config: &route.Config{Version: 4}, Removed: []string{"a"}}
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
			So(f.Table().Version(), ShouldEqual, 5)
			So(p.Len(), ShouldEqual, 0)
			So(f.since.At, ShouldEqual, 12)
		})

		Convey("does not count a response that arrived during a suspension as contact after it", func() {
			resumed := time.Time{}
			src.duringChanges = func() {
				now = now.Add(8 * time.Second)
				resumed = now
			}
			So(step(), ShouldBeNil)
			So(f.LastContact(), ShouldHappenBefore, resumed)
			src.duringChanges = nil
			now = now.Add(time.Millisecond)
			So(step(), ShouldBeNil)
			So(f.LastContact(), ShouldHappenAfter, resumed)
		})

		Convey("dates its last contact by the age of an update from another instance", func() {
			now = now.Add(10 * time.Second)
			src.update = Update{At: 12, Events: 1, FromPeer: true, Age: 5 * time.Second}
			So(step(), ShouldBeNil)
			So(now.Sub(f.LastContact()), ShouldEqual, 5*time.Second)
		})

		Convey("keeps the current configuration when a newer one cannot be compiled", func() {
			src.update = Update{At: 12, Events: 1, Config: &route.Config{Version: 6, Routes: []route.Route{{Prefix: "x"}}}}
			So(step(), ShouldBeNil)
			So(f.Table().Version(), ShouldEqual, 5)
		})

		Convey("sends no work to an availability zone that the operator evacuates, and passes the order on", func() {
			picks := func() bool {
				lease := p.Pick(pool.Query{Service: "s"})
				if lease != nil {
					lease.Done(pool.EndNeutral)
				}
				return lease != nil
			}
			src.snapshot.Endpoints[0].Zone = "far"
			src.update = Update{At: 12, Events: 1, Endpoints: src.snapshot.Endpoints}
			So(step(), ShouldBeNil)
			So(picks(), ShouldBeTrue)
			evacuated := Update{At: 14, OperatorAt: 14, Events: 1, Evacuations: []evacuation.Order{{Zone: "far", On: true, Revision: 14}}}
			src.update = evacuated
			So(step(), ShouldBeNil)
			So(picks(), ShouldBeFalse)
			u, ok := f.UpdateSince(Cursor{})
			So(ok, ShouldBeTrue)
			So(*u.Evacuated, ShouldResemble, evacuation.Set{At: 14, Zones: []string{"far"}})

			Convey("while the store does not answer", func() {
				src.err = errors.New("no answer")
				now = now.Add(time.Minute)
				So(step(), ShouldNotBeNil)
				So(picks(), ShouldBeFalse)
			})

			Convey("until the operator withdraws the order, which a delayed older order does not undo", func() {
				src.update = Update{At: 20, OperatorAt: 20, Events: 1, Evacuations: []evacuation.Order{{Zone: "far", Revision: 20}}}
				So(step(), ShouldBeNil)
				So(picks(), ShouldBeTrue)
				src.update = evacuated
				So(step(), ShouldBeNil)
				So(picks(), ShouldBeTrue)
				So(f.since.OperatorAt, ShouldEqual, 20)
			})

			Convey("and finds the order withdrawn in a snapshot, when the history is unavailable", func() {
				src.err = external.ErrHistoryGone
				So(step(), ShouldNotBeNil)
				src.err = nil
				src.snapshot.At, src.snapshot.OperatorAt, src.snapshot.Evacuated = 30, 30, &evacuation.Set{At: 30}
				f.historySuspect = true
				So(step(), ShouldBeNil)
				So(picks(), ShouldBeTrue)
			})
		})

		Convey("does not pass on an endpoint that is only a little less cold than before", func() {
			setCold := func(d time.Duration) {
				src.update.Endpoints = []pool.Endpoint{{ID: "a", Service: "s", Addr: "1:1", Cold: d}}
			}
			updatesSince := func(since int64) int {
				u, _ := f.UpdateSince(Cursor{At: since})
				return len(u.Endpoints)
			}
			src.update = Update{At: 12, Events: 1}
			setCold(3 * time.Second)
			So(step(), ShouldBeNil)
			So(updatesSince(10), ShouldEqual, 1)
			src.update.At = 14
			setCold(2 * time.Second)
			So(step(), ShouldBeNil)
			So(updatesSince(12), ShouldEqual, 0)
			src.update.At = 16
			setCold(0)
			So(step(), ShouldBeNil)
			So(updatesSince(14), ShouldEqual, 1)
		})

		Convey("reads everything when the history is unavailable", func() {
			src.err = external.ErrHistoryGone
			So(step(), ShouldNotBeNil)
			So(src.snapshots, ShouldEqual, 2)
		})

		Convey("reads everything when responses report no change for too long", func() {
			src.update = Update{At: 10}
			So(step(), ShouldBeNil)
			now = now.Add(f.times.Silence + time.Millisecond)
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 2)
		})

		Convey("reads changes, not everything, after a failed call", func() {
			src.err = errors.New("no answer")
			now = now.Add(time.Minute)
			So(step(), ShouldNotBeNil)
			src.err, src.update = nil, Update{At: 11, Events: 1}
			So(step(), ShouldBeNil)
			So(src.snapshots, ShouldEqual, 1)
		})

		Convey("reads everything in every third call while changes cannot be read", func() {
			src.err = errors.New("too much for the timeout of a call")
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
		src := &scriptedSource{snapshot: Update{
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
		src.update = Update{
			At: at(1, 120), Events: 4, Endpoints: []pool.Endpoint{endpoint("leaves", true), endpoint("new", false)}, Removed: []string{"ends"},
			OperatorAt: at(1, 120), Evacuations: []evacuation.Order{{Zone: "new", On: true, Revision: at(1, 119)}},
		}
		step()
		f.failed = maxFailedChanges
		src.snapshot.At, src.snapshot.OperatorAt, src.snapshot.Evacuated = at(2, 90), at(2, 90), &evacuation.Set{At: at(2, 90), Zones: []string{"stays"}}
		step()

		Convey("lets no record of the copy override the cached state of endpoints", func() {
			So(ready("stays"), ShouldBeTrue)
			So(ready("leaves"), ShouldBeFalse)
			So(ready("ends"), ShouldBeFalse)
			So(ready("new"), ShouldBeTrue)
			So(p.Len(), ShouldEqual, 2)
		})

		Convey("applies what endpoints write in the new epoch", func() {
			src.update = Update{At: at(2, 95), Events: 2, Endpoints: []pool.Endpoint{endpoint("leaves", false), endpoint("ends", false)}}
			step()
			So(ready("leaves"), ShouldBeTrue)
			So(ready("ends"), ShouldBeTrue)
		})

		Convey("reads everything again once the store's records are reliable, and then removes what they lack", func() {
			src.update = Update{At: at(2, 95), Events: 1}
			before := src.snapshots
			now = now.Add(missingGrace)
			step()
			So(src.snapshots, ShouldEqual, before+1)
			So(ready("new"), ShouldBeFalse)
			So(ready("leaves"), ShouldBeFalse)
			So(ready("ends"), ShouldBeFalse)
			now = now.Add(staleGrace - missingGrace)
			step()
			So(src.snapshots, ShouldEqual, before+2)
			So(ready("leaves"), ShouldBeTrue)
			So(ready("ends"), ShouldBeTrue)
			now = now.Add(time.Second)
			step()
			So(src.snapshots, ShouldEqual, before+2)
		})

		Convey("retains the operator's orders that the copy lacks, until the operator has had time to write them again", func() {
			zones := func() []string { return f.history.evacuated.Zones() }
			So(zones(), ShouldResemble, []string{"new", "stays"})
			src.update = Update{At: at(2, 96), OperatorAt: at(2, 96), Events: 1, Evacuations: []evacuation.Order{{Zone: "stays", Revision: at(2, 96)}}}
			step()
			So(zones(), ShouldResemble, []string{"new"})
			src.snapshot.Evacuated = &evacuation.Set{At: at(2, 97)}
			now = now.Add(missingGrace)
			step()
			So(zones(), ShouldBeEmpty)
		})

		Convey("sends everything to an instance that follows the previous epoch, and nothing to one that follows a later epoch", func() {
			u, ok := f.UpdateSince(Cursor{At: at(1, 120), ConfigAt: at(1, 100)})
			So(ok, ShouldBeTrue)
			So(u.Complete, ShouldBeTrue)
			So(u.At, ShouldEqual, at(2, 90))
			_, ok = f.UpdateSince(Cursor{At: at(3, 1)})
			So(ok, ShouldBeFalse)
		})
	})
}
