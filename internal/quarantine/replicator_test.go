package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

// testFleet is a fleet with two instances in each availability zone, which replicate crash records.
type testFleet struct {
	ctx     context.Context //nolint:containedctx // of the test
	net     *meshtest.Net
	store   *memkv.Store
	now     time.Time
	crashes int
	nodes   []*Replicator
	peers   []mesh.Peer
	fleet   []peerstest.Instance
}

func newTestFleet(n, large int) *testFleet {
	f := &testFleet{ctx: context.Background(), net: meshtest.New(), store: memkv.New(), now: time.Unix(1_000_000, 0)}
	for i := range n {
		f.peers = append(f.peers, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i/2)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	var err error
	f.fleet, err = peerstest.Fleet(f.ctx, f.net, f.clock, large, f.peers)
	So(err, ShouldBeNil)
	for i := range f.fleet {
		f.nodes = append(f.nodes, nil)
		f.restart(i)
	}
	return f
}

func (f *testFleet) clock() time.Time { return f.now }

// restart replaces an instance by a new process without records.
func (f *testFleet) restart(i int) {
	var x *Replicator
	tracker := New(WithNow(f.clock), OnChange(func(c Change) {
		if c.Local {
			x.ScheduleSave()
		}
	}))
	x = NewReplicator(tracker, f.fleet[i].Dir, f.store, "fleet/", f.fleet[i].Router, WithWallClock(f.clock))
	f.nodes[i] = x
}

// crash records a crash of an endpoint under the request at an instance.
func (f *testFleet) crash(i int) {
	f.crashes++
	began := f.now
	f.now = f.now.Add(80 * time.Millisecond)
	f.nodes[i].tracker.RecordCrash(crashing, "north", Crash{Run: fmt.Sprintf("e-%d", f.crashes), Began: began, Ended: f.now})
	f.now = f.now.Add(time.Second)
}

// push sends and saves recent changes of an instance.
func (f *testFleet) push(i int) {
	f.nodes[i].push(f.ctx)
	f.nodes[i].save(f.ctx)
}

// exchange makes one load exchange: members with their leaders, and leaders with each other.
func (f *testFleet) exchange() {
	for i, x := range f.nodes {
		to := f.fleet[i].Dir.Coordinators()
		if len(to) == 0 {
			to = f.fleet[i].Dir.OtherZoneLeaders()
		}
		for _, p := range to {
			for j, q := range f.peers {
				if q.ID == p.ID {
					f.nodes[j].Receive(f.peers[i].ID, x.Payload(q.ID))
					x.Receive(q.ID, f.nodes[j].Payload(f.peers[i].ID))
				}
			}
		}
	}
}

// quarantining lists the instances that have quarantined the request.
func (f *testFleet) quarantining() []int {
	var out []int
	for i, x := range f.nodes {
		if x.tracker.Quarantined(crashing) {
			out = append(out, i)
		}
	}
	return out
}

func TestReplicator(t *testing.T) {
	Convey("Three crashes, each observed by another instance", t, func() {
		Convey("make a small fleet quarantine the request at once", func() {
			f := newTestFleet(4, 99)
			for i := range 3 {
				f.crash(i)
				f.push(i)
			}
			So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3})

			Convey("also on a restarted instance, which receives the records of the others, even if it has sent a record itself", func() {
				f.restart(3)
				f.nodes[3].tracker.RecordCrash(DigestOf("north", "GET", "h", "/", nil), "north", Crash{Run: "x", Began: f.now, Ended: f.now})
				f.exchange()
				f.push(3)
				f.exchange()
				So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3})
			})

			Convey("also after a power failure of all instances, through the store", func() {
				for i := range f.nodes {
					f.restart(i)
					f.nodes[i].load(f.ctx)
				}
				So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3})
			})

			Convey("until a run of it succeeds on any instance", func() {
				f.nodes[2].tracker.RecordSuccess(crashing)
				f.push(2)
				f.exchange()
				So(f.quarantining(), ShouldBeEmpty)
				for i := range f.nodes {
					f.restart(i)
					f.nodes[i].load(f.ctx)
				}
				So(f.quarantining(), ShouldBeEmpty)
			})
		})

		Convey("are not sent back to the instance that reported them, unless it has restarted since", func() {
			f := newTestFleet(2, 99)
			f.exchange()
			f.crash(0)
			f.push(0)
			u, _ := f.nodes[1].nextUpdate(f.peers[0].ID)
			So(u.Records, ShouldBeEmpty)
			f.nodes[1].receive(f.peers[0].ID, update{Hello: true})
			u, _ = f.nodes[1].nextUpdate(f.peers[0].ID)
			So(len(u.Records), ShouldEqual, 1)
		})

		Convey("make disconnected instances quarantine it, through the store", func() {
			f := newTestFleet(4, 99)
			f.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			for i := range 3 {
				f.crash(i)
				f.push(i)
			}
			for _, x := range f.nodes {
				x.load(f.ctx)
			}
			So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3})
		})

		Convey("make all availability zones of a large fleet quarantine it after two exchanges", func() {
			f := newTestFleet(6, 2)
			for i, at := range []int{1, 3, 5} {
				f.crash(at)
				f.push(at)
				_ = i
			}
			f.exchange()
			f.exchange()
			So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3, 4, 5})
			So(f.store.Calls(), ShouldBeLessThan, 20)
		})

		Convey("make disconnected leaders read the store", func() {
			f := newTestFleet(6, 2)
			f.net.SetCut(func(a, b mesh.Peer) bool { return a.Zone != b.Zone })
			for _, at := range []int{1, 3, 5} {
				f.crash(at)
				f.push(at)
				f.push(at - 1)
			}
			for _, leader := range []int{0, 2, 4} {
				So(f.nodes[leader].isolated(), ShouldBeTrue)
				f.nodes[leader].load(f.ctx)
			}
			f.exchange()
			So(f.quarantining(), ShouldResemble, []int{0, 1, 2, 3, 4, 5})
		})

		Convey("are written later if the store was unavailable", func() {
			f := newTestFleet(4, 99)
			f.store.SetDown(true)
			for i := range 3 {
				f.crash(i)
				f.push(i)
			}
			f.store.SetDown(false)
			for _, x := range f.nodes {
				x.save(f.ctx)
			}
			f.restart(0)
			f.nodes[0].load(f.ctx)
			So(f.nodes[0].tracker.Quarantined(crashing), ShouldBeTrue)
		})
	})

	Convey("Crashes that a restored store has lost are written again, by the leaders of a large fleet, and nothing is written without records", t, func() {
		for _, large := range []int{2, 99} {
			f := newTestFleet(4, large)
			restored := func() int64 {
				f.store.RestoreTo(0)
				for _, x := range f.nodes {
					x.onStoreRestored(external.Restoration{})
					x.saveRestored()
					x.save(f.ctx)
				}
				return f.store.Number()
			}
			So(restored(), ShouldEqual, 0)
			for i := range 3 {
				f.crash(i)
				f.push(i)
			}
			f.exchange()
			f.exchange()
			So(restored(), ShouldBeGreaterThan, 0)
			f.restart(0)
			f.nodes[0].load(f.ctx)
			So(f.nodes[0].tracker.Quarantined(crashing), ShouldBeTrue)
		}
	})

	Convey("If no endpoint has crashed, nothing is sent after the first messages, and the store is not called", t, func() {
		f := newTestFleet(4, 99)
		f.exchange()
		f.exchange()
		for i, x := range f.nodes {
			for j, p := range f.peers {
				if i != j && f.fleet[i].Dir.Coordinators() != nil {
					raw := x.Payload(p.ID)
					So(len(raw), ShouldBeLessThan, 4)
				}
			}
			x.save(f.ctx)
		}
		So(f.store.Calls(), ShouldEqual, 0)
	})
}
