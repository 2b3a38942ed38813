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

// bed is two instances in each of two zones, which know the same endpoints. The first of each zone leads it where the fleet is large.
type bed struct {
	net   *meshtest.Net
	now   time.Time
	pools []*pool.Pool
	nodes []*Exchange
}

const zoneNodes = 2

func newBed(ctx context.Context, large int) *bed {
	b := &bed{net: meshtest.New(), now: time.Unix(1_000_000, 0)}
	clock := func() time.Time { return b.now }
	list := make([]mesh.Peer, 0, 2*zoneNodes)
	for i := range 2 * zoneNodes {
		list = append(list, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i/zoneNodes)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	fleet, err := peerstest.Fleet(ctx, b.net, clock, large, list)
	So(err, ShouldBeNil)
	for _, x := range fleet {
		p := pool.New(x.Self.Zone, pool.WithNow(clock))
		for e := range 8 {
			p.Put(pool.Endpoint{ID: fmt.Sprintf("e-%d", e), Service: "models", Addr: fmt.Sprintf("10.0.0.%d:80", e), Zone: "a", Slots: 8})
		}
		b.pools = append(b.pools, p)
		b.nodes = append(b.nodes, New(x.Dir, p, x.Router, WithNow(clock)))
	}
	return b
}

// sync lets all exchange three times, as far apart as a sum is told to many.
func (b *bed) sync(ctx context.Context) {
	for range 3 {
		b.now = b.now.Add(sumFor)
		for _, x := range b.nodes {
			x.Sync(ctx)
		}
	}
}

// open sums what a pool knows to be open at endpoints.
func open(loads pool.Loads) int {
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
	}{{"small fleet", 9}, {"large fleet, whose zones are led", 2}} {
		Convey("In a "+fleet.name, t, func() {
			b := newBed(ctx, fleet.large)
			for i, p := range b.pools {
				for range i + 1 {
					So(p.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
				}
			}
			const all = 1 + 2 + 3 + 4
			b.sync(ctx)

			Convey("each instance knows what all others have under way, and its own not twice", func() {
				for i, p := range b.pools {
					So(open(p.PeerLoads()), ShouldEqual, all-(i+1))
				}
			})

			Convey("what an instance said counts no longer once it is silent", func() {
				b.net.SetDown("i-3:1", true)
				b.now = b.now.Add(life + time.Millisecond)
				for range 3 {
					b.now = b.now.Add(sumFor)
					for _, x := range b.nodes[:3] {
						x.Sync(ctx)
					}
				}
				So(open(b.pools[0].PeerLoads()), ShouldEqual, all-1-4)
			})

			Convey("an instance that reaches nobody forgets what it was told", func() {
				b.net.SetCut(func(_, _ mesh.Peer) bool { return true })
				b.now = b.now.Add(life + time.Millisecond)
				b.sync(ctx)
				So(open(b.pools[3].PeerLoads()), ShouldEqual, 0)
			})
		})
	}
}

func TestSummary(t *testing.T) {
	ctx := context.Background()
	Convey("Where a zone is led", t, func() {
		b := newBed(ctx, 2)
		for i, p := range b.pools {
			for range 3 * (i + 1) {
				So(p.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
			}
		}
		b.sync(ctx)
		leader := b.nodes[0]

		Convey("each instance is told the sum without its own part, endpoint by endpoint", func() {
			b.now = b.now.Add(sumFor)
			got, err := leader.tell(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, pack(b.nodes[1].own(), b.now))
			So(err, ShouldBeNil)
			exact := leader.sum("i-1")
			exact.add(leader.own())
			told := got.unpack(b.now).loads
			for key, want := range exact.loads {
				So(told[key].Open, ShouldEqual, want.Open)
			}
			So(open(told), ShouldEqual, open(exact.loads))
		})

		Convey("an instance that tells more than when the sum was made is not told a negative figure", func() {
			b.now = b.now.Add(sumFor)
			_, err := leader.tell(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			got, err := leader.tell(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{Lines: []line{{Endpoint: 1, Open: 1000}}})
			So(err, ShouldBeNil)
			for _, l := range got.Lines {
				So(l.Open, ShouldBeGreaterThanOrEqualTo, 0)
			}
		})

		Convey("its own word that an endpoint leaves does not come back to it once it has called it off", func() {
			key := packLeaving(pool.Leaving{7: time.Second})
			b.now = b.now.Add(sumFor)
			got, err := leader.tell(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{Leaving: key})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldBeEmpty)
			got, err = leader.tell(ctx, mesh.Peer{ID: "i-9", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldHaveLength, 1)
			_, err = leader.tell(ctx, mesh.Peer{ID: "i-1", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			got, err = leader.tell(ctx, mesh.Peer{ID: "i-9", Zone: "a"}, digest{})
			So(err, ShouldBeNil)
			So(got.Leaving, ShouldBeEmpty)
		})
	})
}
