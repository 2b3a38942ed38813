package peers

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

func anyZone(string) bool { return true }

func forwarderIDs(d *Directory) []string {
	out := ids(d.Forwarders(10, anyZone))
	slices.Sort(out)
	return out
}

// Guards against an instance that has just restarted not being asked to forward until the records are read again.
func TestCallersForward(t *testing.T) {
	ctx := context.Background()
	call := func(from, to *Directory) {
		_, err := Call[string, string](ctx, from, to.self.Peer, kindEcho, "")
		So(err, ShouldBeNil)
	}
	Convey("Three instances, of which one is missing from the records that another has read", t, func() {
		f := newFleet(3, 100, "a", "b", "c")
		f.exchangeRecords(ctx)
		first, back := f.dirs[0], f.dirs[2]
		So(back.Leave(ctx), ShouldBeNil)
		So(first.readRecords(ctx), ShouldBeNil)
		So(forwarderIDs(first), ShouldResemble, []string{"i-1"})

		Convey("It is asked to forward as soon as it has called", func() {
			call(back, first)
			So(forwarderIDs(first), ShouldResemble, []string{"i-1", "i-2"})
			So(first.Size(), ShouldEqual, 2)

			Convey("once, also when it is listed again", func() {
				So(back.writeRecord(ctx), ShouldBeNil)
				So(first.readRecords(ctx), ShouldBeNil)
				So(forwarderIDs(first), ShouldResemble, []string{"i-1", "i-2"})
			})
			Convey("in zones that are allowed only", func() {
				So(ids(first.Forwarders(10, func(zone string) bool { return zone == "b" })), ShouldResemble, []string{"i-1"})
			})
			Convey("until it has not called for some time", func() {
				f.at = f.at.Add(callerLifetime)
				So(forwarderIDs(first), ShouldResemble, []string{"i-1"})
			})
		})
		Convey("The number of such instances is limited", func() {
			for i := range 3 * maxCallers {
				first.recordCaller(mesh.Peer{ID: fmt.Sprintf("x-%d", i), Zone: "b", Addr: "10.1.0.1:1"})
			}
			So(len(first.callers), ShouldEqual, maxCallers)
		})
	})
}

// Guards against an instance that has just started being unknown to the others until their next regular read.
func TestCallersAreReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Instances read the records when one that they do not know calls, but not with each of its calls", t, func() {
			f := newFleet(3, 100)
			ctx, cancel := context.WithCancel(t.Context())
			var g sync.WaitGroup
			start := func(d *Directory) {
				d.now = time.Now
				g.Go(func() { _ = d.Run(ctx) })
			}
			first, last := f.dirs[0], f.dirs[2]
			start(first)
			start(f.dirs[1])
			time.Sleep(time.Minute)
			start(last)
			time.Sleep(100 * time.Millisecond)
			So(first.Size(), ShouldEqual, 2)
			_, err := Call[string, string](ctx, last, first.self.Peer, kindEcho, "")
			So(err, ShouldBeNil)
			synctest.Wait()
			So(first.Size(), ShouldEqual, 3)

			So(last.Leave(ctx), ShouldBeNil)
			time.Sleep(time.Minute)
			So(first.Size(), ShouldEqual, 2)
			before := f.store.Calls()
			for range 50 {
				_, err := Call[string, string](ctx, last, first.self.Peer, kindEcho, "")
				So(err, ShouldBeNil)
				time.Sleep(100 * time.Millisecond)
			}
			const regularReads, earlyReads = 2 * 3, 1 + int(5*time.Second/unknownReadInterval)
			So(f.store.Calls()-before, ShouldBeLessThanOrEqualTo, regularReads+earlyReads)
			cancel()
			g.Wait()
		})
	})
}
