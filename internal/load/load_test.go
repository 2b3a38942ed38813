package load

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// testFleet has two instances in each of two availability zones, and all of them have the same endpoints. If the fleet
// is large, the first instance of each zone is its leader.
type testFleet struct {
	net   *meshtest.Net
	now   time.Time
	pools []*pool.Pool
	nodes []*Exchange
}

const zoneNodes = 2

func newTestFleet(ctx context.Context, large int) *testFleet {
	f := &testFleet{net: meshtest.New(), now: time.Unix(1_000_000, 0)}
	clock := func() time.Time { return f.now }
	list := make([]mesh.Peer, 0, 2*zoneNodes)
	for i := range 2 * zoneNodes {
		list = append(list, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i/zoneNodes)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	fleet, err := peerstest.Fleet(ctx, f.net, clock, large, list)
	So(err, ShouldBeNil)
	for _, x := range fleet {
		p := pool.New(x.Self.Zone, pool.WithNow(clock))
		for e := range 8 {
			p.Put(pool.Endpoint{ID: fmt.Sprintf("e-%d", e), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", e), Zone: "a", Slots: 8})
		}
		f.pools = append(f.pools, p)
		f.nodes = append(f.nodes, New(x.Dir, p, x.Router, WithNow(clock)))
	}
	return f
}

// exchange runs three load exchanges of every instance, one summaryLifetime apart.
func (f *testFleet) exchange(ctx context.Context) {
	for range 3 {
		f.now = f.now.Add(summaryLifetime)
		for _, x := range f.nodes {
			x.Sync(ctx)
		}
	}
}

// openRequests sums the open requests at all endpoints.
func openRequests(loads pool.Loads) int {
	n := 0
	for _, l := range loads {
		n += l.Open
	}
	return n
}

func TestExchange(t *testing.T) {
	ctx := context.Background()
	for _, fleet := range []struct {
		name  string
		large int
	}{{"small fleet", 9}, {"large fleet with zone leaders", 2}} {
		Convey("In a "+fleet.name, t, func() {
			f := newTestFleet(ctx, fleet.large)
			for i, p := range f.pools {
				for range i + 1 {
					So(p.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
				}
			}
			const all = 1 + 2 + 3 + 4
			f.exchange(ctx)

			Convey("each instance receives the load of all others, without its own", func() {
				for i, p := range f.pools {
					So(openRequests(p.PeerLoads()), ShouldEqual, all-(i+1))
				}
			})

			Convey("the report of an instance expires once the instance is silent", func() {
				f.net.SetDown("i-3:1", true)
				f.now = f.now.Add(reportLifetime + time.Millisecond)
				for range 3 {
					f.now = f.now.Add(summaryLifetime)
					for _, x := range f.nodes[:3] {
						x.Sync(ctx)
					}
				}
				So(openRequests(f.pools[0].PeerLoads()), ShouldEqual, all-1-4)
			})

			Convey("an isolated instance discards the reports that it has received", func() {
				f.net.SetCut(func(_, _ mesh.Peer) bool { return true })
				f.now = f.now.Add(reportLifetime + time.Millisecond)
				f.exchange(ctx)
				So(openRequests(f.pools[3].PeerLoads()), ShouldEqual, 0)
			})
		})
	}
}

func TestSummary(t *testing.T) {
	ctx := context.Background()
	Convey("With a zone leader", t, func() {
		f := newTestFleet(ctx, 2)
		for i, p := range f.pools {
			for range 3 * (i + 1) {
				So(p.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
			}
		}
		f.exchange(ctx)
		leader := f.nodes[0]

		Convey("each instance receives the sum without its own part, for each endpoint", func() {
			f.now = f.now.Add(summaryLifetime)
			got, err := leader.handleReport(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, pack(f.nodes[1].localReport(), f.now))
			So(err, ShouldBeNil)
			exact := leader.reportExcept("i-1")
			exact.add(leader.localReport())
			received := got.unpack(f.now).loads
			for key, want := range exact.loads {
				So(received[key].Open, ShouldEqual, want.Open)
			}
			So(openRequests(received), ShouldEqual, openRequests(exact.loads))
		})

		Convey("an instance whose load has grown since the summary receives no negative figure", func() {
			f.now = f.now.Add(summaryLifetime)
			_, err := leader.handleReport(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			got, err := leader.handleReport(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{Lines: []line{{Endpoint: 1, Open: 1000}}})
			So(err, ShouldBeNil)
			for _, l := range got.Lines {
				So(l.Open, ShouldBeGreaterThanOrEqualTo, 0)
			}
		})

		Convey("an instance does not receive its own report of a leaving endpoint back once it has withdrawn it", func() {
			key := packLeaving(pool.Leaving{7: time.Second})
			f.now = f.now.Add(summaryLifetime)
			got, err := leader.handleReport(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{Leaving: key})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldBeEmpty)
			got, err = leader.handleReport(ctx, mesh.Peer{ID: "i-9", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldHaveLength, 1)
			_, err = leader.handleReport(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			got, err = leader.handleReport(ctx, mesh.Peer{ID: "i-9", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldBeEmpty)
		})
	})
}
