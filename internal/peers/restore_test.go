package peers

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// restoredFleet is some instances over a store that names its epoch. Each has its own tracker of the epoch.
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

// runAll does what each instance does repeatedly, except for its links.
func (f *restoredFleet) runAll(ctx context.Context) {
	for range 2 {
		for _, d := range f.dirs {
			So(d.readRecords(ctx), ShouldBeNil)
			So(d.syncRecord(ctx), ShouldBeNil)
			So(d.restoreAuthority(ctx), ShouldBeNil)
		}
	}
}

func (f *restoredFleet) records(ctx context.Context) []string {
	entries, _, err := f.store.ReadAll(ctx, "p/peers/")
	So(err, ShouldBeNil)
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, strings.TrimPrefix(e.Key, "p/peers/a/"))
	}
	return out
}

func TestRecordsAfterRestoration(t *testing.T) {
	ctx := context.Background()
	Convey("A store is restored from a copy that lacks instances that had just started", t, func() {
		f := newRestoredFleet("i-0", "i-1", "i-2")
		f.runAll(ctx)
		So(f.records(ctx), ShouldHaveLength, 3)
		f.store.RestoreTo(0)

		Convey("they stay known, and write their records again", func() {
			So(f.dirs[0].readRecords(ctx), ShouldBeNil)
			So(f.dirs[0].Size(), ShouldEqual, 3)
			f.runAll(ctx)
			So(f.records(ctx), ShouldResemble, []string{"i-0", "i-1", "i-2"})
		})

		Convey("an instance that stops meanwhile removes its record again", func() {
			So(f.dirs[2].Leave(ctx), ShouldBeNil)
			f.store.RestoreTo(0)
			f.store.Put("p/peers/i-2", nil)
			f.runAll(ctx)
			So(f.records(ctx), ShouldResemble, []string{"i-0", "i-1"})
		})

		Convey("an instance whose record is older than any copy writes nothing", func() {
			f.at = f.at.Add(external.MaxCopyAge + time.Second)
			So(f.dirs[0].readRecords(ctx), ShouldBeNil)
			before := f.store.Number()
			So(f.dirs[0].syncRecord(ctx), ShouldBeNil)
			So(f.store.Number(), ShouldEqual, before)
		})

		Convey("an instance that does not return is forgotten eventually", func() {
			So(f.dirs[0].readRecords(ctx), ShouldBeNil)
			f.at = f.at.Add(missingGrace)
			So(f.dirs[0].readRecords(ctx), ShouldBeNil)
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
		f.runAll(ctx)
		for _, d := range f.dirs {
			_, err := d.identity(ctx)
			So(err, ShouldBeNil)
		}
		before := stored(f)
		f.store.RestoreTo(0)

		Convey("writes it again", func() {
			f.runAll(ctx)
			So(stored(f), ShouldResemble, before)
			So(f.dirs[1].authority, ShouldResemble, before)
		})

		Convey("adopts one that another instance has created meanwhile", func() {
			late := newRestoredFleet("i-2").dirs[0]
			late.store = f.dirs[0].store
			f.at = f.at.Add(time.Second)
			_, err := late.identity(ctx)
			So(err, ShouldBeNil)
			var none mesh.Caller
			for _, d := range f.dirs {
				d.caller.Store(&none)
				So(d.readRecords(ctx), ShouldBeNil)
				So(d.restoreAuthority(ctx), ShouldBeNil)
				So(d.caller.Load(), ShouldBeNil)
				_, err := d.identity(ctx)
				So(err, ShouldBeNil)
				So(d.authority, ShouldResemble, stored(f))
			}
			So(stored(f), ShouldNotResemble, before)
		})

		Convey("does not read the authority again if it is older than any copy", func() {
			f.at = f.at.Add(external.MaxCopyAge + time.Second)
			So(f.dirs[0].readRecords(ctx), ShouldBeNil)
			calls := f.store.Calls()
			So(f.dirs[0].restoreAuthority(ctx), ShouldBeNil)
			So(f.store.Calls(), ShouldEqual, calls)
		})
	})
}

// Guards against the next read of the records being put off by a restoration of the store.
func TestRecordsAreReadSoonAfterRestoration(t *testing.T) {
	Convey("A fleet reads its records again once all have had time to write theirs", t, func() {
		f := newFleet(2, 100)
		d := f.dirs[0]
		d.startedAt = f.at
		f.at = f.at.Add(time.Minute)
		So(d.readDelay(wakeForRead), ShouldEqual, d.times.Read)
		So(d.readDelay(wakeForRestoration), ShouldEqual, smallFleetJitter)
	})
}
