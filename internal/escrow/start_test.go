package escrow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStartIsRoundedUp(t *testing.T) {
	Convey("A process's start is rounded up to the next millisecond, since an earlier process of the machine may have spent until then", t, func() {
		w := newWorld(DefaultPolicy())
		n := w.nodes[0]
		w.elapsed += 1500 * time.Microsecond
		w.start(n)
		So(n.holder.started.Clock, ShouldEqual, (n.clock.Now() + time.Millisecond/2).Milliseconds())
	})
}
