package demo

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/standin/kv"
)

// TestSetUpWhileStoreIsAway guards against a demo that ends without a report: its first plan is refused with a
// Retry-After.
func TestSetUpWhileStoreIsAway(t *testing.T) {
	Convey("The operator retries its plan while the refusals have a Retry-After", t, func() {
		f, err := newFleet(zerolog.Nop())
		So(err, ShouldBeNil)
		defer f.close()
		f.kv.Set(kv.Down, true)
		time.AfterFunc(time.Second, func() { f.kv.Set(kv.Down, false) })
		ctx, cancel := context.WithTimeout(t.Context(), setUpTimeout)
		defer cancel()
		So(newOperator(f).setUp(ctx), ShouldBeNil)
	})
}
