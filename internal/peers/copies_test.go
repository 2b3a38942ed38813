package peers_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

func copiesFleet(zones, perZone int) []peerstest.Instance {
	list := make([]mesh.Peer, 0, zones*perZone)
	for i := range zones * perZone {
		list = append(list, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i%zones)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	fleet, err := peerstest.Fleet(context.Background(), meshtest.New(), time.Now, 17, list)
	So(err, ShouldBeNil)
	return fleet
}

func TestCopyHolders(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 1}, {3, 2}, {3, 10}, {2, 45}} {
		Convey(fmt.Sprintf("In %d zones of %d instances", size.zones, size.perZone), t, func() {
			fleet := copiesFleet(size.zones, size.perZone)
			large := size.zones*size.perZone >= 17

			Convey("every instance asks the holders that any other one has chosen", func() {
				for k := range 20 {
					key := fmt.Sprintf("key-%d", k)
					for _, from := range fleet {
						holders := from.Dir.OtherZoneCopyHolders(key, 1)
						So(len(holders), ShouldEqual, 1)
						So(holders[0].Zone, ShouldNotEqual, from.Self.Zone)
						near, ok := from.Dir.ZoneCopyHolder(key)
						So(ok, ShouldEqual, size.perZone > 1)
						if ok {
							So(near.Zone, ShouldEqual, from.Self.Zone)
							So(near.ID, ShouldNotEqual, from.Self.ID)
							holders = append(holders, near)
						}
						asker := fleet[(k*7+1)%len(fleet)]
						if asker.Self.ID == from.Self.ID {
							continue
						}
						askedNear, askedFar := asker.Dir.CopyCandidates(key)
						found := false
						for _, h := range holders {
							found = found || h.ID == asker.Self.ID
							for _, p := range append(askedNear, askedFar...) {
								found = found || p.ID == h.ID
							}
						}
						So(found, ShouldBeTrue)
					}
				}
			})

			Convey("only a few instances of a large zone hold copies, and the others leave other zones to them", func() {
				holders, delegating := make(map[string]bool), 0
				for _, from := range fleet {
					if from.Dir.DelegatesCopies() {
						delegating++
					}
					for k := range 200 {
						if p, ok := from.Dir.ZoneCopyHolder(fmt.Sprintf("key-%d", k)); ok {
							holders[p.ID] = true
						}
					}
				}
				if !large {
					So(delegating, ShouldEqual, 0)
					return
				}
				// A holder sends to the next one in place of itself, so that one more may be chosen.
				most := size.zones * (max(2, size.perZone/20) + 1)
				So(len(holders), ShouldBeLessThanOrEqualTo, most)
				So(delegating, ShouldBeGreaterThanOrEqualTo, len(fleet)-most)
			})
		})
	}
}
