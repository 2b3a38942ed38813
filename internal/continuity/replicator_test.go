package continuity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

// testFleet is a fleet whose instances follow endpoints of two software versions.
type testFleet struct {
	ctx   context.Context //nolint:containedctx // of the test
	net   *meshtest.Net
	now   time.Time
	peers []mesh.Peer
	fleet []peerstest.Instance
	store *memkv.Store
	// software holds the versions that an instance finds listed when it starts.
	software []string
	nodes    []*testNode
}

type testNode struct {
	*testTracker
	*Replicator
}

func newTestFleet(zones, perZone, large int) *testFleet {
	f := &testFleet{ctx: context.Background(), net: meshtest.New(), store: memkv.New(), software: []string{"v1", "v2"}, now: time.Unix(1_000_000, 0)}
	for i := range zones * perZone {
		f.peers = append(f.peers, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i/perZone)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	var err error
	f.fleet, err = peerstest.Fleet(f.ctx, f.net, func() time.Time { return f.now }, large, f.peers)
	So(err, ShouldBeNil)
	for i := range f.fleet {
		f.nodes = append(f.nodes, nil)
		f.restart(i)
	}
	return f
}

// restart replaces an instance by a new process without origins.
func (f *testFleet) restart(i int) {
	x := newTestTracker()
	for n, software := range f.software {
		x.list(fmt.Sprintf("e-%d", n+1), software)
	}
	archive := NewArchive(f.store, "fleet/", f.peers[i].ID, func() time.Time { return f.now })
	f.nodes[i] = &testNode{testTracker: x, Replicator: NewReplicator(x.Tracker, f.fleet[i].Dir, archive, f.fleet[i].Router, zerolog.Nop())}
}

// begin begins a stream at an instance and sends its origin.
func (f *testFleet) begin(i int, request, software string) {
	f.nodes[i].Begin(service, "north", request, software)
	f.nodes[i].sendOrigins(f.ctx)
	for _, x := range f.nodes { // holders pass origins on that were delegated to them
		x.sendOrigins(f.ctx)
	}
}

func (f *testFleet) resolve(i int, request string) Resolution {
	return f.nodes[i].Resolve(f.ctx, service, "north", request)
}

// save makes an instance write its history and pending origins to the store.
func (f *testFleet) save(i int) {
	x := f.nodes[i]
	x.now = x.now.Add(minStoreInterval)
	x.contact = x.now
	x.saveHistory(f.ctx)
	select {
	case <-x.archive.wake:
		x.saveOrigins(f.ctx)
	default:
	}
}

// watch passes all values of the store to an instance.
func (f *testFleet) watch(i int) {
	entries, _, err := f.store.ReadAll(f.ctx, "fleet/")
	So(err, ShouldBeNil)
	for _, e := range entries {
		f.nodes[i].Observe(e)
	}
}

// resolvedShare is the share of streams that all other instances resolve.
func (f *testFleet) resolvedShare(from, streams int, except func(i int) bool) float64 {
	known, all := 0, 0
	for n := range streams {
		for i := range f.nodes {
			if i == from || except(i) {
				continue
			}
			all++
			if res := f.resolve(i, fmt.Sprintf("r-%d-%d", from, n)); res.Software == "v2" {
				known++
			}
		}
	}
	return float64(known) / float64(all)
}

const testStreams = 30

func (f *testFleet) beginAll(from int) {
	for n := range testStreams {
		f.begin(from, fmt.Sprintf("r-%d-%d", from, n), "v2")
	}
}

func TestReplication(t *testing.T) {
	for _, size := range []struct {
		name                  string
		zones, perZone, large int
	}{{"a small fleet", 3, 2, 17}, {"a large fleet", 4, 9, 17}} {
		Convey("In "+size.name, t, func() {
			f := newTestFleet(size.zones, size.perZone, size.large)
			f.beginAll(0)
			down := func(ids ...int) func(int) bool {
				m := make(map[int]bool)
				for _, i := range ids {
					m[i] = true
					f.net.SetDown(f.peers[i].Addr, true)
				}
				return func(i int) bool { return m[i] }
			}

			Convey("every instance resolves every stream", func() {
				So(f.resolvedShare(0, testStreams, down()), ShouldEqual, 1)
			})

			Convey("also after the serving instance was lost", func() {
				So(f.resolvedShare(0, testStreams, down(0)), ShouldEqual, 1)
			})

			Convey("also after its whole availability zone was lost", func() {
				zone := make([]int, 0, size.perZone)
				for i := range size.perZone {
					zone = append(zone, i)
				}
				So(f.resolvedShare(0, testStreams, down(zone...)), ShouldEqual, 1)
			})

			Convey("also after it and an instance of another zone were lost", func() {
				So(f.resolvedShare(0, testStreams, down(0, size.perZone)), ShouldBeGreaterThanOrEqualTo, 0.8)
			})

			Convey("within an availability zone that is cut off", func() {
				f.net.SetCut(func(from, to mesh.Peer) bool { return (from.Zone == "a") != (to.Zone == "a") })
				So(f.resolvedShare(0, testStreams, func(i int) bool { return i >= size.perZone }), ShouldEqual, 1)
			})

			Convey("an unknown stream is resolved by none, and that is certain only if all answer", func() {
				res := f.resolve(1, "no such stream")
				So(res, ShouldResemble, Resolution{Source: SourceUnknown, Conclusive: true})
				for i := 2; i < len(f.peers); i++ {
					f.net.SetDown(f.peers[i].Addr, true)
				}
				res = f.resolve(1, "no such stream")
				So(res.Software, ShouldBeEmpty)
				So(res.Conclusive, ShouldBeFalse)
			})
		})
	}
}

func TestReplicationToUnreachable(t *testing.T) {
	Convey("An origin whose holder cannot be reached goes to another one", t, func() {
		f := newTestFleet(3, 2, 17)
		f.net.SetDown(f.peers[1].Addr, true)
		f.net.SetDown(f.peers[2].Addr, true)
		for n := range testStreams {
			f.nodes[0].Begin(service, "north", fmt.Sprintf("r-0-%d", n), "v2")
		}
		for range maxSends {
			f.nodes[0].sendOrigins(f.ctx)
		}
		So(f.resolvedShare(0, testStreams, func(i int) bool { return i == 1 || i == 2 }), ShouldEqual, 1)
	})

	Convey("An origin that no instance receives is written to the store, and costs nothing further", t, func() {
		f := newTestFleet(3, 2, 17)
		f.net.SetCut(func(from, to mesh.Peer) bool { return from.ID == "i-0" || to.ID == "i-0" })
		f.begin(0, "r-1", "v1")
		for range 2 * maxSends {
			f.nodes[0].sendOrigins(f.ctx)
		}
		calls := f.net.Calls(KindOrigins)
		f.nodes[0].sendOrigins(f.ctx)
		So(f.net.Calls(KindOrigins), ShouldEqual, calls)
		f.save(0)
		So(f.resolve(2, "r-1").Source, ShouldEqual, SourceStore)
		f.watch(3)
		So(f.resolve(3, "r-1"), ShouldResemble, Resolution{Service: service, Software: "v1", Source: SourceLocal, Age: minStoreInterval})
		revision := f.store.Number()
		f.save(0)
		So(f.store.Number(), ShouldEqual, revision)
	})
}

func TestSoleVersionCostsNothing(t *testing.T) {
	Convey("While a service has a sole software version, origins are not sent", t, func() {
		f := newTestFleet(3, 2, 17)
		for _, x := range f.nodes {
			x.pool.Remove("e-2")
			x.pass(2*testLifetime, true)
		}
		f.begin(0, "r-1", "v1")
		So(f.net.Calls(KindOrigins), ShouldEqual, 0)

		Convey("and every instance knows the version of a stream, also if the one that began it is lost", func() {
			f.net.SetDown(f.peers[0].Addr, true)
			So(f.resolve(3, "r-1"), ShouldResemble, Resolution{Software: "v1", Source: SourceSole})
		})

		Convey("and an instance that has not heard of a second version yet learns of it from the others", func() {
			f.nodes[0].list("e-2", "v2")
			f.begin(0, "r-2", "v2")
			So(f.resolve(3, "r-2").Software, ShouldEqual, "v2")
		})

		Convey("and an instance that starts then adopts that from another one, or asks", func() {
			f.restart(4)
			x := f.nodes[4]
			x.pool.Remove("e-2")
			f.net.SetDown(f.peers[0].Addr, true)
			res := f.resolve(4, "r-1")
			So(res.Software, ShouldEqual, "v1")
			So(res.Source, ShouldEqual, SourceSole)
			x.adoptHistory(f.ctx)
			So(x.ObservedForLifetime(), ShouldBeTrue)
			So(f.net.Calls(KindHistory), ShouldEqual, 1)
			x.adoptHistory(f.ctx)
			So(f.net.Calls(KindHistory), ShouldEqual, 1)
		})

		Convey("and a second version makes the streams under way known", func() {
			for _, x := range f.nodes {
				x.list("e-2", "v2")
			}
			f.nodes[0].sendOrigins(f.ctx)
			f.net.SetDown(f.peers[0].Addr, true)
			So(f.resolve(3, "r-1").Software, ShouldEqual, "v1")
		})
	})
}

func TestHistoryOutlivesAllInstances(t *testing.T) {
	Convey("After a restart of all instances, the history of versions is read from the store", t, func() {
		f := newTestFleet(3, 2, 17)
		f.software = []string{"v1"}
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].pass(time.Second, true)
		}
		for i := range f.nodes {
			f.save(i)
		}
		restartAll := func() {
			f.software = []string{"v1"}
			for i := range f.nodes {
				f.restart(i)
				f.nodes[i].pass(time.Second, true)
			}
		}

		Convey("so that a stream of the sole version is known", func() {
			restartAll()
			So(f.resolve(3, "r-1").Software, ShouldBeEmpty)
			for range maxPeerAsks + 1 {
				f.nodes[3].adoptHistory(f.ctx)
			}
			So(f.nodes[3].ObservedForLifetime(), ShouldBeTrue)
			So(f.resolve(3, "r-1"), ShouldResemble, Resolution{Software: "v1", Source: SourceSole})
		})

		Convey("and has versions that have gone meanwhile", func() {
			for i, x := range f.nodes {
				x.list("e-2", "v2")
				f.save(i)
			}
			restartAll()
			for range maxPeerAsks + 1 {
				f.nodes[3].adoptHistory(f.ctx)
			}
			So(f.resolve(3, "r-1").Software, ShouldBeEmpty)
			Convey("until no stream of theirs may last any more", func() {
				f.now = f.now.Add(time.Second)
				for i := range f.nodes {
					f.save(i)
					f.watch(i)
				}
				f.nodes[3].pass(testLifetime+time.Second, true)
				So(f.resolve(3, "r-1").Software, ShouldEqual, "v1")
			})
		})

		Convey("and is written only when it changes, by one instance", func() {
			for i := range f.nodes {
				f.watch(i)
			}
			revision := f.store.Number()
			for range 20 {
				for i := range f.nodes {
					f.save(i)
				}
			}
			So(f.store.Number(), ShouldEqual, revision)
		})

		Convey("and is written by another instance if the one that should does not", func() {
			for _, x := range f.nodes {
				x.list("e-3", "v3")
			}
			revision := f.store.Number()
			for range 2 + int(historyTakeover/minStoreInterval) {
				for i, x := range f.nodes {
					if !x.dir.Owns(historyOwner, 1) {
						f.save(i)
						f.watch(i)
					}
				}
			}
			So(f.store.Number(), ShouldEqual, revision+1)
		})
	})
}

func TestHistoryInLargeFleet(t *testing.T) {
	Convey("In a large fleet only a few instances call the store for the history of versions", t, func() {
		f := newTestFleet(3, 40, 17)
		f.software = []string{"v1"}
		calls := 0
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].pass(time.Second, true)
		}
		for range 2 + int(historyTakeover/minStoreInterval) {
			for i, x := range f.nodes {
				before := f.store.Calls()
				f.save(i)
				if f.store.Calls() > before {
					calls++
					So(x.dir.DelegatesCopies(), ShouldBeFalse)
				}
			}
		}
		So(calls, ShouldBeBetweenOrEqual, 1, 3*2)
	})
}

// An instance that was cut off took the only version in its old list for that of a stream that a newer endpoint had begun.
func TestCutInstanceDoesNotGuess(t *testing.T) {
	Convey("An availability zone is cut off while a second version appears elsewhere", t, func() {
		f := newTestFleet(3, 2, 17)
		f.software = []string{"v1"}
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].pass(2*testLifetime, true)
		}
		f.net.SetCut(func(from, to mesh.Peer) bool { return (from.Zone == "c") != (to.Zone == "c") })
		for _, i := range []int{4, 5} {
			f.nodes[i].pass(2*time.Second, false)
		}
		f.nodes[0].list("e-2", "v2")
		f.begin(0, "r-1", "v2")
		So(f.nodes[4].sole(), ShouldEqual, "v1")
		So(f.resolve(4, "r-1").Software, ShouldBeEmpty)
		So(f.resolve(1, "r-1").Software, ShouldEqual, "v2")
	})
}
