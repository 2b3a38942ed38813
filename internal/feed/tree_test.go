package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// countedSource is a store source that counts the calls of all instances.
type countedSource struct {
	update func() follow.Update
	calls  *atomic.Int64
}

func (s countedSource) Snapshot(context.Context, follow.Cursor, follow.Part) (follow.Update, error) {
	s.calls.Add(1)
	return s.update(), nil
}

func (s countedSource) Changes(context.Context, follow.Cursor, bool) (follow.Update, error) {
	s.calls.Add(1)
	return s.update(), nil
}

// TestTree runs in fake time, so that no call takes longer because the machine is busy.
func TestTree(t *testing.T) { synctest.Test(t, testTree) }

// levels is the number of levels through which an update passes: the instance that reads the store, the leaders of other
// zones, relays, and members.
const levels = 4

// levelOf returns the level of an instance, from 0.
func levelOf(d *peers.Directory) int {
	switch {
	case d.Leads() && len(d.FleetLeaders()) == 0:
		return 0
	case d.Leads():
		return 1
	case d.IsRelay():
		return 2
	}
	return 3
}

func testTree(t *testing.T) {
	ctx := context.Background()
	Convey("Instances of zones with relays that start at once", t, func() {
		const zones, size, endpoints = 2, 70, 2000
		net, now := meshtest.New(), time.Unix(1000, 0)
		clock := func() time.Time { return now }
		list := make([]mesh.Peer, 0, zones*size)
		for i := range zones * size {
			id := fmt.Sprintf("i-%03d", i)
			list = append(list, mesh.Peer{ID: id, Zone: fmt.Sprint("zone-", i%zones), Addr: id + ":1"})
		}
		fleet, err := peerstest.Fleet(ctx, net, clock, 17, list)
		So(err, ShouldBeNil)

		update := follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1}
		for i := range endpoints {
			update.Endpoints = append(update.Endpoints, endpoint(fmt.Sprintf("e-%d", i)))
		}
		var calls atomic.Int64
		followers, pools := make([]*follow.Follower, 0, len(fleet)), make([]*pool.Pool, 0, len(fleet))
		for _, x := range fleet {
			p, epochs := pool.New(x.Self.Zone), external.NewEpochs()
			src := NewSource(x.Dir, countedSource{update: func() follow.Update { return update }, calls: &calls}, WithNow(clock), WithEpochs(epochs))
			f := follow.New(src, p, follow.WithNow(clock), follow.WithFleetRecords(func() bool { return false }))
			Serve(x.Router, f, x.Dir, epochs)
			followers, pools = append(followers, f), append(pools, p)
		}
		stepOf := func(includes func(i int) bool) {
			var wg sync.WaitGroup
			for i, f := range followers {
				if includes(i) {
					wg.Go(func() { _ = f.Step(ctx) })
				}
			}
			wg.Wait()
		}
		step := func() { stepOf(func(int) bool { return true }) }
		// stepUpwards lets each level ask before the one above it, so that an update passes one level only.
		stepUpwards := func() {
			for level := levels - 1; level >= 0; level-- {
				stepOf(func(i int) bool { return levelOf(fleet[i].Dir) == level })
			}
		}
		for range 3 { // the leaders, the relays, the others
			step()
		}

		Convey("all have the configuration and the endpoints, which the store has sent to the leaders only", func() {
			for i, f := range followers {
				if f.Table() == nil || pools[i].Len() != endpoints {
					t.Errorf("instance %d has %d endpoints", i, pools[i].Len())
				}
			}
			So(calls.Load(), ShouldBeLessThanOrEqualTo, 3*zones)
		})

		Convey("know after a step for each level of the tree that an endpoint leaves, and only the leaders ask the store", func() {
			before := calls.Load()
			update = follow.Update{At: 12, ConfigAt: 7, Events: 1, Removed: []string{"e-7"}}
			for range levels - 1 {
				stepUpwards()
			}
			for i, f := range fleet {
				if levelOf(f.Dir) < levels-1 && pools[i].Len() != endpoints-1 {
					t.Errorf("instance %d has %d endpoints one step early", i, pools[i].Len())
				}
			}
			stepUpwards()
			for i, p := range pools {
				if p.Len() != endpoints-1 {
					t.Errorf("instance %d has %d endpoints", i, p.Len())
				}
			}
			So(calls.Load()-before, ShouldBeLessThanOrEqualTo, 3*zones)
		})
	})
}
