package external_test

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

func TestRevision(t *testing.T) {
	Convey("A revision of a later epoch is greater, and both parts can be extracted", t, func() {
		for _, epoch := range []int64{0, 1, 2, external.MaxEpoch} {
			for _, number := range []int64{0, 1, 409, 1<<40 - 1} {
				r := external.Revision(epoch, number)
				So(external.EpochOf(r), ShouldEqual, epoch)
				So(external.NumberOf(r), ShouldEqual, number)
				So(r, ShouldBeGreaterThanOrEqualTo, 0)
			}
		}
		So(external.Revision(2, 1), ShouldBeGreaterThan, external.Revision(1, 1<<40-1))
		So(external.KeyRevision(7, 0), ShouldEqual, 0)
	})
}

func TestEpochs(t *testing.T) {
	Convey("The epoch of a store", t, func() {
		now := time.Unix(1000, 0)
		var restored []external.Restoration
		var earlier []int64
		e := external.NewEpochs(external.WithEpochClock(func() time.Time { return now }))
		e.OnEarlier(func(n, _ int64) { earlier = append(earlier, n) })
		e.OnRestored(func(r external.Restoration) { restored = append(restored, r) })
		So(e.Observe(0, 5), ShouldBeNil)
		So(e.Observe(3, 100), ShouldBeNil)
		So(e.Restored(), ShouldBeFalse)
		for range 5 {
			now = now.Add(time.Second)
			So(e.Observe(3, 100+now.Unix()-1000), ShouldBeNil)
		}

		Convey("rises with a restoration, and the number of lost revisions is reported", func() {
			So(e.Observe(5, 102), ShouldBeNil)
			So(e.Current(), ShouldEqual, 5)
			So(e.Restored(), ShouldBeTrue)
			So(restored, ShouldResemble, []external.Restoration{{Before: 3, Epoch: 5, Known: 105, Number: 102, Age: 2 * time.Second}})
			So(restored[0].LostRevisions(), ShouldEqual, 3)
			So(external.Restoration{Known: 105}.LostRevisions(), ShouldEqual, 0)
		})

		Convey("never decreases: a response of an earlier epoch, or of none, is rejected and reported once", func() {
			for range 3 {
				So(errors.Is(e.Observe(2, 500), external.ErrUnavailable), ShouldBeTrue)
			}
			So(errors.Is(e.Observe(0, 500), external.ErrEarlierEpoch), ShouldBeTrue)
			So(e.Current(), ShouldEqual, 3)
			So(earlier, ShouldResemble, []int64{2, 0})
			So(restored, ShouldBeEmpty)
		})
	})
}

// newFencedStore returns a store that names its epoch, and fenced access to it for two instances.
func newFencedStore() (*memkv.Store, *external.Epochs, external.KV, external.KV) {
	s := memkv.New()
	s.SetEpoch(1)
	epochs := external.NewEpochs()
	return s, epochs, external.Fence(s.Versioned(), "own/", epochs), external.Fence(s.Versioned(), "own/", external.NewEpochs())
}

func TestFenced(t *testing.T) {
	ctx := context.Background()
	put := func(kv external.KV, key string, rev int64, data string) (int64, error) {
		return kv.Commit(ctx, external.Commit{
			When: []external.Condition{{Key: key, Revision: rev}}, Put: []external.Entry{{Key: key, Data: []byte(data)}},
		})
	}
	Convey("A store that names its epoch", t, func() {
		s, epochs, kv, other := newFencedStore()
		_, _, err := kv.Read(ctx, "page")
		So(err, ShouldBeNil)
		_, _, err = other.Read(ctx, "page")
		So(err, ShouldBeNil)
		first, err := put(kv, "page", 0, "a")
		So(err, ShouldBeNil)
		So(external.EpochOf(first), ShouldEqual, 1)

		Convey("accepts conditional writes of several instances, which share its fence", func() {
			second, err := put(other, "page", first, "b")
			So(err, ShouldBeNil)
			_, err = put(kv, "page", first, "c")
			var conflict *external.ConflictError
			So(errors.As(err, &conflict), ShouldBeTrue)
			So(conflict.Current, ShouldHaveLength, 1)
			So(conflict.Current[0].Revision, ShouldEqual, second)
		})

		Convey("and is restored: changes since an earlier revision are unavailable, without a call", func() {
			second, err := put(kv, "page", first, "b")
			So(err, ShouldBeNil)
			s.RestoreTo(external.NumberOf(first))
			e, at, err := kv.Read(ctx, "page")
			So(err, ShouldBeNil)
			So(string(e.Data), ShouldEqual, "a")
			So(e.Revision, ShouldBeGreaterThan, second)
			So(epochs.Current(), ShouldEqual, 2)
			before := s.Calls()
			_, _, err = kv.Changes(ctx, "", second, 0)
			So(errors.Is(err, external.ErrHistoryGone), ShouldBeTrue)
			_, err = put(kv, "page", second, "c")
			So(errors.Is(err, external.ErrConflict), ShouldBeTrue)
			So(s.Calls(), ShouldEqual, before)
			_, _, err = kv.Changes(ctx, "", at, 0)
			So(err, ShouldBeNil)
			_, err = put(kv, "page", e.Revision, "c")
			So(err, ShouldBeNil)
		})

		Convey("never executes a write of an earlier epoch once the later one was written to, even if the revision is assigned again", func() {
			for range 4 {
				s.Put("else", nil)
			}
			second, err := put(kv, "page", first, "b")
			So(err, ShouldBeNil)
			s.SetDelayWrites(true)
			_, err = put(other, "page", second, "late")
			So(errors.Is(err, external.ErrAmbiguous), ShouldBeTrue)
			s.SetDelayWrites(false)
			s.RestoreTo(external.NumberOf(first))
			e, _, err := kv.Read(ctx, "page")
			So(err, ShouldBeNil)
			_, err = put(kv, "another", 0, "which makes the fence")
			So(err, ShouldBeNil)
			for s.Number()+1 < external.NumberOf(second) {
				s.Put("else", nil)
			}
			again, err := put(kv, "page", e.Revision, "new")
			So(err, ShouldBeNil)
			So(external.NumberOf(again), ShouldEqual, external.NumberOf(second))
			So(s.ReleaseWrites(), ShouldEqual, 0)
			e, _, err = kv.Read(ctx, "page")
			So(err, ShouldBeNil)
			So(string(e.Data), ShouldEqual, "new")
		})

		Convey("reports an unknown outcome for a write that was prepared before the restoration and executed after it", func() {
			s.RestoreTo(s.Number())
			_, err := put(kv, "page", first, "b")
			So(errors.Is(err, external.ErrAmbiguous), ShouldBeTrue)
			So(epochs.Current(), ShouldEqual, 2)
		})

		Convey("names its epoch in errors, too", func() {
			s.RestoreTo(s.Number())
			s.SetDown(true)
			_, _, err := kv.Read(ctx, "page")
			So(errors.Is(err, external.ErrUnavailable), ShouldBeTrue)
			So(epochs.Current(), ShouldEqual, 2)
		})

		Convey("creates a new fence if the earlier one was lost, and leaves no old fence behind", func() {
			s.RestoreTo(0)
			_, _, err := kv.Read(ctx, "page")
			So(err, ShouldBeNil)
			_, err = put(kv, "page", 0, "c")
			So(err, ShouldBeNil)
			s.RestoreTo(s.Number())
			e, _, err := kv.Read(ctx, "page")
			So(err, ShouldBeNil)
			_, err = put(kv, "page", e.Revision, "d")
			So(err, ShouldBeNil)
			fences, _, err := kv.ReadAll(ctx, "own/epoch/")
			So(err, ShouldBeNil)
			So(fences, ShouldHaveLength, 1)
		})
	})

	Convey("A store that names no epoch is written to without fences", t, func() {
		s := memkv.New()
		kv := external.Fence(s, "own/", external.NewEpochs())
		_, err := put(kv, "page", 0, "a")
		So(err, ShouldBeNil)
		entries, _, err := kv.ReadAll(ctx, "")
		So(err, ShouldBeNil)
		So(entries, ShouldHaveLength, 1)
	})
}
