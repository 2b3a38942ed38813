package kernel

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestWithReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remaining := func(within, reserve time.Duration) time.Duration {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			ctx, cancelReserve := WithReserve(ctx, reserve)
			defer cancelReserve()
			deadline, ok := ctx.Deadline()
			So(ok, ShouldBeTrue)
			return time.Until(deadline)
		}
		Convey("The reserve is taken from the end of a long limit, and is a quarter of a short one", t, func() {
			So(remaining(time.Minute, time.Second), ShouldEqual, 59*time.Second)
			So(remaining(time.Second, time.Second), ShouldEqual, 750*time.Millisecond)
		})
		Convey("A context without a deadline gets none", t, func() {
			ctx, cancel := WithReserve(t.Context(), time.Second)
			defer cancel()
			_, ok := ctx.Deadline()
			So(ok, ShouldBeFalse)
		})
	})
}
