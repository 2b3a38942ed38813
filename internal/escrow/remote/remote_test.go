package remote

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/fleettime"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

// newFleets returns the connections of zones*size holders, ranked in their order, assigned to the zones in turn.
func newFleets(ctx context.Context, zones, size int) []*Fleet {
	now := time.Unix(1000, 0)
	list := make([]mesh.Peer, 0, zones*size)
	for i := range zones * size {
		id := fmt.Sprintf("i-%03d", i)
		list = append(list, mesh.Peer{ID: id, Zone: fmt.Sprint("zone-", i%zones), Addr: id + ":1"})
	}
	instances, err := peerstest.Fleet(ctx, meshtest.New(), func() time.Time { return now }, 17, list)
	So(err, ShouldBeNil)
	out := make([]*Fleet, 0, len(instances))
	for _, x := range instances {
		out = append(out, New(x.Dir, fleettime.New(x.Dir, x.Self.ID, x.Router)))
	}
	return out
}

func TestFleet(t *testing.T) {
	ctx := context.Background()
	Convey("In zones with relays", t, func() {
		const zones, size, holders = 2, 70, 2
		list := newFleets(ctx, zones, size)

		Convey("only the holders of pools have rows, which they pass to the first zone's leader themselves", func() {
			for i, f := range list {
				holdsPool := i/zones < holders
				So(f.NeedsNoRows(), ShouldEqual, !holdsPool)
				So(f.Leads(), ShouldEqual, holdsPool)
				So(f.Relays(), ShouldEqual, holdsPool && i > 0)
				if holdsPool && i > 0 {
					So(f.writers()[0].ID, ShouldEqual, "i-000")
				}
			}
		})
	})

	Convey("In smaller zones all holders may have rows, and the leaders pass them on", t, func() {
		const zones, size = 2, 20
		for i, f := range newFleets(ctx, zones, size) {
			So(f.NeedsNoRows(), ShouldBeFalse)
			So(f.Leads(), ShouldEqual, i < zones)
			So(f.Relays(), ShouldEqual, i == 1)
		}
	})
}
