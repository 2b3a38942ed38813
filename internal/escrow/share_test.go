package escrow

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Six holders held 24 s of mean use together, to outlive a cut of ten: each held two deviations of its own few requests, and all of that is
// lost with their power while the store is away.

func TestSpreadOfAll(t *testing.T) {
	Convey("All holders together hold the mean use and the deviations of what all use, not of what each does", t, func() {
		const holders, rate, grain = 6, 45_000.0, 10_000.0
		p := DefaultPolicy()
		var sum int64
		for range holders {
			want, _, _ := p.size(flow{rate: rate / holders, whole: rate, grain: grain}, p.Horizon, 1)
			sum += want
		}
		mean := rate * p.Surge * p.Reserve * p.Horizon.Seconds()
		So(float64(sum), ShouldBeGreaterThan, mean)
		So(float64(sum), ShouldBeLessThanOrEqualTo, mean+p.Spread*math.Sqrt(mean*grain))
	})

	Convey("One holder by itself holds all of both", t, func() {
		p := DefaultPolicy()
		const rate, grain = 45_000.0, 10_000.0
		mean := rate * p.Surge * 10
		got := p.amount(flow{rate: rate, grain: grain}, 10*time.Second, 2)
		So(got, ShouldAlmostEqual, mean+2*math.Sqrt(mean*grain), 1)
	})

	Convey("Where nothing is used nothing is held", t, func() {
		So(DefaultPolicy().amount(flow{grain: 10_000, whole: 1000}, time.Second, 2), ShouldEqual, 0)
	})
}
