package escrow

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A machine was suspended for eight seconds between a holder's last report and the start of its successor. By a clock that leaves them out two
// seconds had passed where the time of day said ten, so that the two reports did not count as of one run of the machine: the age was taken as
// thirteen seconds, and all that was granted counted as spent.
func TestAgeAcrossSuspension(t *testing.T) {
	Convey("The age of a report is known to the millisecond across a suspension", t, func() {
		const awake, suspended = 2 * time.Second, 8 * time.Second
		then := Report{Node: "n", Boot: "b", Clock: 5000, Wall: 1_000_000}
		start := Report{Node: "n", Boot: "b", Clock: 5000 + (awake + suspended).Milliseconds(), Wall: 1_000_000 + (awake + suspended).Milliseconds()}
		age, known := ageOf(then, start)
		So(known, ShouldBeTrue)
		So(age, ShouldEqual, awake+suspended)

		Convey("and is never taken as shorter by a clock that leaves it out", func() {
			start.Clock = then.Clock + awake.Milliseconds()
			age, known = ageOf(then, start)
			So(known, ShouldBeTrue)
			So(age, ShouldBeGreaterThanOrEqualTo, awake+suspended)
		})
	})
}
