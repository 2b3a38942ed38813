package external_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
)

// busyStore is a store that asks for a back-off.
type busyStore struct {
	*memkv.Store
	after time.Duration // 0: it accepts calls
	calls int
}

func (s *busyStore) Read(ctx context.Context, key string) (external.Entry, int64, error) {
	s.calls++
	if s.after > 0 {
		return external.Entry{}, 0, &external.RetryAfterError{After: s.after, Detail: "busy"}
	}
	return s.Store.Read(ctx, key)
}

// TestStoreBackoff guards against calls during a back-off. Every instance used to call a store again after 150 ms,
// although the store had rejected its call and asked for a back-off of 1 s.
func TestStoreBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A store that asks for a back-off is not called until it is over, for any purpose", t, func() {
			ctx := context.Background()
			store := &busyStore{Store: memkv.New(), after: time.Second}
			o := external.Observe(store)
			calls, backoffs := 0, 0
			o.OnCall(func(external.Call) { calls++ })
			o.OnBackoff(func(time.Duration) { backoffs++ })
			read := func(ctx context.Context) error {
				_, _, err := o.Read(ctx, "a")
				return err
			}
			So(errors.Is(read(ctx), external.ErrUnavailable), ShouldBeTrue)
			store.after = 0
			for range 9 {
				So(errors.Is(read(ctx), external.ErrUnavailable), ShouldBeTrue)
				_, err := o.Commit(ctx, external.Commit{Drop: []string{"a"}})
				So(errors.Is(err, external.ErrUnavailable), ShouldBeTrue)
				time.Sleep(100 * time.Millisecond)
			}
			So(store.calls, ShouldEqual, 1)
			So(calls, ShouldEqual, 1)
			So(backoffs, ShouldEqual, 1)

			Convey("except for the final call of an instance that stops", func() {
				So(read(external.WithFinalCall(ctx)), ShouldBeNil)
			})

			Convey("and is called again after the back-off, extended by a quarter at most", func() {
				time.Sleep(350 * time.Millisecond)
				So(read(ctx), ShouldBeNil)
				So(store.calls, ShouldEqual, 2)
			})

			Convey("and the back-off is limited, whatever duration the store asks for", func() {
				time.Sleep(350 * time.Millisecond)
				store.after = time.Hour
				So(read(ctx), ShouldNotBeNil)
				store.after = 0
				time.Sleep(2500 * time.Millisecond)
				So(read(ctx), ShouldBeNil)
			})
		})
	})
}
