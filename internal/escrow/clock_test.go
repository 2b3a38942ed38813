package escrow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAgeAcrossSuspension guards against settling too much after a suspension. A machine was suspended for eight
// seconds between a holder's last report and the start of its successor. A clock that leaves suspensions out measured
// two seconds where the wall clock measured ten. The two reports therefore did not count as of one boot: the age was
// taken as thirteen seconds, and the entire grant counted as spent.
func TestAgeAcrossSuspension(t *testing.T) {
	Convey("The age of a report is exact to the millisecond across a suspension", t, func() {
		const awake, suspended = 2 * time.Second, 8 * time.Second
		then := Report{Node: "n", Boot: "b", Clock: 5000, Wall: 1_000_000}
		start := Report{Node: "n", Boot: "b", Clock: 5000 + (awake + suspended).Milliseconds(), Wall: 1_000_000 + (awake + suspended).Milliseconds()}
		age, known := ageOf(then, start)
		So(known, ShouldBeTrue)
		So(age, ShouldEqual, awake+suspended)

		Convey("and is never underestimated with a clock that leaves suspensions out", func() {
			start.Clock = then.Clock + awake.Milliseconds()
			age, known = ageOf(then, start)
			So(known, ShouldBeTrue)
			So(age, ShouldBeGreaterThanOrEqualTo, awake+suspended)
		})
	})
}
