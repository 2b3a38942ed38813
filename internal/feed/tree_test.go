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
		step := func() {
			var wg sync.WaitGroup
			for _, f := range followers {
				wg.Go(func() { _ = f.Step(ctx) })
			}
			wg.Wait()
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

		Convey("know after three more steps that an endpoint leaves, and only the leaders ask the store", func() {
			before := calls.Load()
			update = follow.Update{At: 12, ConfigAt: 7, Events: 1, Removed: []string{"e-7"}}
			for range 3 {
				step()
			}
			for i, p := range pools {
				if p.Len() != endpoints-1 {
					t.Errorf("instance %d has %d endpoints", i, p.Len())
				}
			}
			So(calls.Load()-before, ShouldBeLessThanOrEqualTo, 3*zones)
		})
	})
}
