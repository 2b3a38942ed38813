package bench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFit(t *testing.T) {
	Convey("The fit finds the line through exact points", t, func() {
		s := fit("line", "x", "y", 10, []Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
		So(s.Base, ShouldAlmostEqual, 3, 1e-9)
		So(s.PerX, ShouldAlmostEqual, 2, 1e-9)
		So(s.AtSize, ShouldAlmostEqual, 23, 1e-9)
	})
}

func TestDefaultPolicyIsTheBest(t *testing.T) {
	Convey("On the seeded workload, the p95 time to the first token is more than 1.2 times as long with power of two as with the default policy, and more than twice as long with random", t, func() {
		w := DefaultWorkload()
		w.Requests = 20_000
		results := BalanceTable(w)
		again := BalanceTable(w)
		So(again, ShouldResemble, results)
		random, power, best := results[0], results[1], results[3]
		So(power.FirstP95/best.FirstP95, ShouldBeGreaterThan, 1.2)
		So(random.FirstP95/best.FirstP95, ShouldBeGreaterThan, 2)
	})
}
