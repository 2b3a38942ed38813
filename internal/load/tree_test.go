package load

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// treeFleet is a fleet of two zones with relays. Each instance has the same endpoint.
type treeFleet struct {
	now   time.Time
	pools []*pool.Pool
	nodes []*Exchange
	fleet []peerstest.Instance
}

func newTreeFleet(ctx context.Context, instances int) *treeFleet {
	f := &treeFleet{now: time.Unix(1_000_000, 0)}
	clock := func() time.Time { return f.now }
	list := make([]mesh.Peer, 0, instances)
	for i := range instances {
		id := fmt.Sprintf("i-%03d", i)
		list = append(list, mesh.Peer{ID: id, Zone: string(rune('a' + i%2)), Addr: id + ":1"})
	}
	var err error
	f.fleet, err = peerstest.Fleet(ctx, meshtest.New(), clock, 17, list)
	So(err, ShouldBeNil)
	for _, x := range f.fleet {
		p := pool.New(x.Self.Zone, pool.WithNow(clock))
		p.Put(pool.Endpoint{ID: "e-1", Service: "models", Addr: "10.0.0.1:80", Zone: "a", Slots: 1000})
		f.pools = append(f.pools, p)
		f.nodes = append(f.nodes, New(x.Dir, p, x.Router, WithNow(clock)))
	}
	return f
}

// exchange makes all instances exchange their loads a few times.
func (f *treeFleet) exchange(ctx context.Context) {
	for range 4 {
		f.now = f.now.Add(exchangeInterval / 2)
		for _, n := range f.nodes {
			n.Sync(ctx)
		}
	}
}

// TestTree runs in fake time, so that no call takes longer because the machine is busy.
func TestTree(t *testing.T) { synctest.Test(t, testTree) }

func testTree(t *testing.T) {
	ctx := context.Background()
	Convey("In zones with relays, each instance knows the load of all others, and counts no one twice", t, func() {
		const instances = 150
		f := newTreeFleet(ctx, instances)
		for _, p := range f.pools {
			So(p.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
		}
		f.exchange(ctx)
		for i, p := range f.pools {
			open := 0
			for _, x := range p.PeerLoads() {
				open += x.Open
			}
			if open != instances-1 {
				t.Errorf("instance %d knows of %d open requests of others", i, open)
			}
		}

		Convey("and receives its reports from few others", func() {
			for i, n := range f.nodes {
				if len(n.members) > 32 {
					t.Errorf("instance %d receives the reports of %d others", i, len(n.members))
				}
			}
		})
	})
}
