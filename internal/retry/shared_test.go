package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFleetBudget(t *testing.T) {
	Convey("A retry budget shared by four instances", t, func() {
		now := time.Unix(1000, 0)
		s := NewFleetBudget(0.2, 40, 10*time.Second, func() int { return 4 }, func() time.Time { return now })
		take := func() int {
			n := 0
			for s.Take("models") {
				n++
			}
			return n
		}

		Convey("allows this instance's share of the fixed number", func() {
			So(take(), ShouldEqual, 8) // 0.85 of 10
		})
		Convey("allows a ratio of the requests in addition", func() {
			for range 100 {
				s.CountRequest("models")
			}
			So(take(), ShouldEqual, 25) // 0.85 of the sum of 10 and 20, rounded down
		})
		Convey("counts services separately, and drops usage that has left the window", func() {
			take()
			So(s.Take("portal"), ShouldBeTrue)
			now = now.Add(5 * time.Second)
			So(s.Take("models"), ShouldBeFalse)
			now = now.Add(6 * time.Second)
			So(s.Take("models"), ShouldBeTrue)
		})
	})
}
