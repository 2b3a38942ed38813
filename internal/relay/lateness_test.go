package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/route"
)

func TestLateness(t *testing.T) {
	Convey("The lateness of a response depends on its route's targets for latency and pauses", t, func() {
		now := time.Unix(1000, 0)
		j := &job{core: New(Deps{}, WithNow(func() time.Time { return now })), route: &route.Route{Objective: time.Second, Gap: 500 * time.Millisecond}}
		So(j.lateness(), ShouldEqual, NotLate)
		j.delivered.extent = eventsSent
		for _, gap := range []time.Duration{0, 100 * time.Millisecond, 600 * time.Millisecond, 20 * time.Millisecond} {
			now = now.Add(gap)
			j.recordEvent("7")
		}
		So(j.events, ShouldEqual, 4)
		So(j.delivered.lastEventID, ShouldEqual, "7")
		So(j.outcome.MaxPause, ShouldEqual, 600*time.Millisecond)
		So(j.lateness(), ShouldEqual, LatePause)
		j.outcome.FirstByte = 2 * time.Second
		So(j.lateness(), ShouldEqual, LateFirst)
		j.route = &route.Route{}
		So(j.lateness(), ShouldEqual, NotLate)
	})
}
