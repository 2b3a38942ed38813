package peers

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// restoredFleet is some instances over a store that names its epoch, each with its own knowledge of it.
type restoredFleet struct {
	store *memkv.Store
	at    time.Time
	dirs  []*Directory
}

func newRestoredFleet(ids ...string) *restoredFleet {
	f := &restoredFleet{store: memkv.New(), at: time.Unix(1000, 0)}
	f.store.SetEpoch(1)
	for _, id := range ids {
		epochs := external.NewEpochs()
		d := New(external.Fence(f.store.Versioned(), "p/", epochs), "p/", Record{Peer: mesh.Peer{ID: id, Zone: "a", Addr: id + ":1"}}, mesh.NewRouter(),
			WithNow(func() time.Time { return f.at }), WithEpochs(epochs))
		f.dirs = append(f.dirs, d)
	}
	return f
}

// round is what each instance does again and again, but for its links.
func (f *restoredFleet) round(ctx context.Context) {
	for range 2 {
		for _, d := range f.dirs {
			So(d.read(ctx), ShouldBeNil)
			So(d.write(ctx), ShouldBeNil)
			So(d.keepAuthority(ctx), ShouldBeNil)
		}
	}
}

func (f *restoredFleet) records(ctx context.Context) []string {
	entries, _, err := f.store.ReadAll(ctx, "p/peers/")
	So(err, ShouldBeNil)
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Key[len("p/peers/"):])
	}
	return out
}

func TestRecordsAfterRestoration(t *testing.T) {
	ctx := context.Background()
	Convey("A store is restored from a copy that lacks the instances that had just started", t, func() {
		f := newRestoredFleet("i-0", "i-1", "i-2")
		f.round(ctx)
		So(f.records(ctx), ShouldHaveLength, 3)
		f.store.RestoreTo(0)

		Convey("they stay known, and write their records anew", func() {
			So(f.dirs[0].read(ctx), ShouldBeNil)
			So(f.dirs[0].Size(), ShouldEqual, 3)
			f.round(ctx)
			So(f.records(ctx), ShouldResemble, []string{"i-0", "i-1", "i-2"})
		})

		Convey("one that stops meanwhile takes its record back again", func() {
			So(f.dirs[2].Leave(ctx), ShouldBeNil)
			f.store.RestoreTo(0)
			f.store.Put("p/peers/i-2", nil)
			f.round(ctx)
			So(f.records(ctx), ShouldResemble, []string{"i-0", "i-1"})
		})

		Convey("one that has written nothing for longer than a copy is old writes nothing", func() {
			f.at = f.at.Add(external.MaxCopyAge + time.Second)
			So(f.dirs[0].read(ctx), ShouldBeNil)
			before := f.store.Number()
			So(f.dirs[0].write(ctx), ShouldBeNil)
			So(f.store.Number(), ShouldEqual, before)
		})

		Convey("one that does not come back is not known for ever", func() {
			So(f.dirs[0].read(ctx), ShouldBeNil)
			f.at = f.at.Add(recordsWait)
			So(f.dirs[0].read(ctx), ShouldBeNil)
			So(f.dirs[0].Size(), ShouldEqual, 1)
		})
	})
}

func TestAuthorityAfterRestoration(t *testing.T) {
	ctx := context.Background()
	stored := func(f *restoredFleet) []byte {
		e, _, err := f.store.Read(ctx, "p/authority")
		So(err, ShouldBeNil)
		return e.Data
	}
	Convey("A fleet whose authority the copy lacks", t, func() {
		f := newRestoredFleet("i-0", "i-1")
		f.round(ctx)
		for _, d := range f.dirs {
			_, err := d.identity(ctx)
			So(err, ShouldBeNil)
		}
		before := stored(f)
		f.store.RestoreTo(0)

		Convey("keeps it", func() {
			f.round(ctx)
			So(stored(f), ShouldResemble, before)
			So(f.dirs[1].authority, ShouldResemble, before)
		})

		Convey("takes the one that an instance has made meanwhile", func() {
			late := newRestoredFleet("i-2").dirs[0]
			late.store = f.dirs[0].store
			f.at = f.at.Add(time.Second)
			_, err := late.identity(ctx)
			So(err, ShouldBeNil)
			var none mesh.Caller
			for _, d := range f.dirs {
				d.caller.Store(&none)
				So(d.read(ctx), ShouldBeNil)
				So(d.keepAuthority(ctx), ShouldBeNil)
				So(d.caller.Load(), ShouldBeNil)
				_, err := d.identity(ctx)
				So(err, ShouldBeNil)
				So(d.authority, ShouldResemble, stored(f))
			}
			So(stored(f), ShouldNotResemble, before)
		})

		Convey("does not ask for one that is older than any copy", func() {
			f.at = f.at.Add(external.MaxCopyAge + time.Second)
			So(f.dirs[0].read(ctx), ShouldBeNil)
			calls := f.store.Calls()
			So(f.dirs[0].keepAuthority(ctx), ShouldBeNil)
			So(f.store.Calls(), ShouldEqual, calls)
		})
	})
}
