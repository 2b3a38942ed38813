package fleettime

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

// fixture is some instances whose clocks agree except for the offsets that a test sets.
type fixture struct {
	net     *meshtest.Net
	now     time.Time
	offsets map[string]time.Duration
	clocks  []*Clock
}

func newFixture(ctx context.Context, n int) *fixture {
	f := &fixture{net: meshtest.New(), now: time.Unix(1_000_000, 0), offsets: make(map[string]time.Duration)}
	start := f.now
	list := make([]mesh.Peer, 0, n)
	for i := range n {
		list = append(list, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: "a", Addr: fmt.Sprintf("i-%d:1", i)})
	}
	fleet, err := peerstest.Fleet(ctx, f.net, func() time.Time { return f.now }, peers.DefaultLargeFleet, list)
	So(err, ShouldBeNil)
	for _, x := range fleet {
		f.clocks = append(f.clocks, New(x.Dir, x.Self.ID, x.Router,
			WithSteady(func() time.Duration { return f.now.Sub(start) }),
			WithWall(func() time.Time { return f.now.Add(f.offsets[x.Self.ID]) })))
	}
	return f
}

func (f *fixture) sync(ctx context.Context) {
	for range 2 {
		for _, c := range f.clocks {
			c.Sync(ctx)
		}
	}
}

func TestClock(t *testing.T) {
	ctx := context.Background()
	Convey("Five instances", t, func() {
		f := newFixture(ctx, 5)
		last := f.clocks[4]

		Convey("know the time once enough of them have reported their clocks", func() {
			f.clocks[4].Sync(ctx)
			_, known := last.Now()
			So(known, ShouldBeFalse)
			f.sync(ctx)
			got, known := last.Now()
			So(known, ShouldBeTrue)
			So(got.Low, ShouldEqual, f.now)
			So(got.High, ShouldEqual, f.now)
		})

		Convey("bound it, whatever three clocks in ten report", func() {
			f.offsets["i-1"], f.offsets["i-4"] = -3*time.Second, 30*time.Millisecond
			f.sync(ctx)
			got, _ := last.Now()
			So(got.Low, ShouldHappenOnOrBefore, f.now)
			So(got.Low, ShouldHappenOnOrAfter, f.now.Add(-time.Second))
			So(got.High, ShouldHappenOnOrAfter, f.now)
			So(got.High, ShouldHappenOnOrBefore, f.now.Add(time.Second))
		})

		Convey("continue by their steady clocks when they reach no one and their time of day steps", func() {
			f.sync(ctx)
			f.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			f.now = f.now.Add(20 * time.Second)
			f.offsets["i-4"] = time.Minute
			last.Sync(ctx)
			got, known := last.Now()
			So(known, ShouldBeTrue)
			So(got.High, ShouldEqual, f.now)
		})

		Convey("ask the next coordinator when the first is down", func() {
			f.net.SetDown("i-0:1", true)
			for _, c := range f.clocks[1:] {
				c.Sync(ctx)
			}
			f.sync(ctx)
			_, known := last.Now()
			So(known, ShouldBeTrue)
		})
	})
}

// TestRelayedClocks runs in fake time, so that no call takes longer because the machine is busy.
func TestRelayedClocks(t *testing.T) { synctest.Test(t, testRelayedClocks) }

func testRelayedClocks(t *testing.T) {
	ctx := context.Background()
	Convey("In a zone with relays, all instances know the time on which most clocks agree", t, func() {
		f := newFixture(ctx, 100)
		for i := range 20 {
			f.offsets[fmt.Sprintf("i-%d", 80+i)] = time.Hour
		}
		f.sync(ctx)
		f.sync(ctx)
		for _, c := range f.clocks {
			b, known := c.Now()
			So(known, ShouldBeTrue)
			So(b.Low, ShouldEqual, f.now)
			So(b.High, ShouldEqual, f.now)
		}
		So(len(f.clocks[0].readings), ShouldBeLessThan, 10)
	})
}
