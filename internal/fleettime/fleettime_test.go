package fleettime

import (
	"context"
	"fmt"
	"testing"
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
	b := &fixture{net: meshtest.New(), now: time.Unix(1_000_000, 0), offsets: make(map[string]time.Duration)}
	start := b.now
	list := make([]mesh.Peer, 0, n)
	for i := range n {
		list = append(list, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: "a", Addr: fmt.Sprintf("i-%d:1", i)})
	}
	fleet, err := peerstest.Fleet(ctx, b.net, func() time.Time { return b.now }, peers.DefaultLargeFleet, list)
	So(err, ShouldBeNil)
	for _, x := range fleet {
		b.clocks = append(b.clocks, New(x.Dir, x.Self.ID, x.Router,
			WithSteady(func() time.Duration { return b.now.Sub(start) }),
			WithWall(func() time.Time { return b.now.Add(b.offsets[x.Self.ID]) })))
	}
	return b
}

func (b *fixture) sync(ctx context.Context) {
	for range 2 {
		for _, c := range b.clocks {
			c.Sync(ctx)
		}
	}
}

func TestClock(t *testing.T) {
	ctx := context.Background()
	Convey("Five instances", t, func() {
		b := newFixture(ctx, 5)
		last := b.clocks[4]

		Convey("know the time once enough of them have reported their clocks", func() {
			b.clocks[4].Sync(ctx)
			_, known := last.Now()
			So(known, ShouldBeFalse)
			b.sync(ctx)
			got, known := last.Now()
			So(known, ShouldBeTrue)
			So(got.Low, ShouldEqual, b.now)
			So(got.High, ShouldEqual, b.now)
		})

		Convey("bound it, whatever three clocks in ten report", func() {
			b.offsets["i-1"], b.offsets["i-4"] = -3*time.Second, 30*time.Millisecond
			b.sync(ctx)
			got, _ := last.Now()
			So(got.Low, ShouldHappenOnOrBefore, b.now)
			So(got.Low, ShouldHappenOnOrAfter, b.now.Add(-time.Second))
			So(got.High, ShouldHappenOnOrAfter, b.now)
			So(got.High, ShouldHappenOnOrBefore, b.now.Add(time.Second))
		})

		Convey("continue by their steady clocks when they reach no one and their time of day steps", func() {
			b.sync(ctx)
			b.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			b.now = b.now.Add(20 * time.Second)
			b.offsets["i-4"] = time.Minute
			last.Sync(ctx)
			got, known := last.Now()
			So(known, ShouldBeTrue)
			So(got.High, ShouldEqual, b.now)
		})

		Convey("ask the next coordinator when the first is down", func() {
			b.net.SetDown("i-0:1", true)
			for _, c := range b.clocks[1:] {
				c.Sync(ctx)
			}
			b.sync(ctx)
			_, known := last.Now()
			So(known, ShouldBeTrue)
		})
	})
}
