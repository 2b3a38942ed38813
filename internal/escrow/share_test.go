package escrow

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Six holders held 24 s of mean use together, to outlive a cut of ten: each held two deviations of its own few requests, and all of that is
// lost with their power while the store is away.

func TestDeviationsOfFleet(t *testing.T) {
	Convey("All holders together hold the mean use and the deviations of what all use, not of what each does", t, func() {
		const holders, rate, weightedSize = 6, 45_000.0, 10_000.0
		p := DefaultPolicy()
		var sum int64
		for range holders {
			want, _, _ := p.size(flow{rate: rate / holders, fleetRate: rate, weightedSize: weightedSize}, p.Horizon, 1)
			sum += want
		}
		mean := rate * p.Surge * p.ReserveFactor * p.Horizon.Seconds()
		So(float64(sum), ShouldBeGreaterThan, mean)
		So(float64(sum), ShouldBeLessThanOrEqualTo, mean+p.Deviations*math.Sqrt(mean*weightedSize))
	})

	Convey("One holder by itself holds all of both", t, func() {
		p := DefaultPolicy()
		const rate, weightedSize = 45_000.0, 10_000.0
		mean := rate * p.Surge * 10
		got := p.amount(flow{rate: rate, weightedSize: weightedSize}, 10*time.Second, 2)
		So(got, ShouldAlmostEqual, mean+2*math.Sqrt(mean*weightedSize), 1)
	})

	Convey("Where nothing is used nothing is held", t, func() {
		So(DefaultPolicy().amount(flow{weightedSize: 10_000, fleetRate: 1000}, time.Second, 2), ShouldEqual, 0)
	})
}

// On a calm day the largest customer's callers all came to one instance, with 110,000 tokens a second. It held 5.3 s of that use when the
// store was cut off for seven: as much again lay with five others, where nobody asked for it.

func TestShareFollowsCallers(t *testing.T) {
	Convey("A holder at which a busy customer's callers come asks for what they use there", t, func() {
		const each, perSecond = 5_000, 20
		h, a := loadedHolder(RoleStandalone, each, perSecond)
		f := flowWithRates(h, a, each*perSecond, 5*each*perSecond)
		So(f.rate, ShouldBeGreaterThan, 0.9*each*perSecond)

		Convey("and at one that nobody asks for it, next to nothing", func() {
			a.meter = meter{}
			f := flowWithRates(h, a, each*perSecond, 5*each*perSecond)
			So(f.rate, ShouldBeLessThan, 0.05*each*perSecond)
		})
	})

	Convey("Of a customer with few requests a holder keeps its part of what all use", t, func() {
		const each, perSecond = 5_000, 20
		h, a := loadedHolder(RoleStandalone, each, perSecond)
		a.meter = meter{}
		const lowRate = each / 20 // tokens a second: a request in twenty seconds
		f := flowWithRates(h, a, lowRate, 5*each*perSecond)
		So(f.rate, ShouldBeBetween, 0.8*lowRate/5, lowRate/5)
	})
}

// flowWithRates is the flow of a customer that all holders use at one rate, and all customers at another, in tokens a second.
func flowWithRates(h *Holder, a *account, customerRate, fleetRate float64) flow {
	a.led, a.leaderRate, h.leaderRate = true, customerRate, fleetRate
	return h.flow(a, RoleStandalone)
}

// A holder that nobody had asked divided nothing by nothing, and a stop wrote what came of it, a rate far below zero, into its row: had the
// process then been killed, its settlement would have given the budget more than was paid.
func TestStoppingIdleHolder(t *testing.T) {
	Convey("A holder that was never asked wants nothing as it stops, and its ceiling is never below what it has spent", t, func() {
		w := newWorld(DefaultPolicy())
		n := w.nodes[1]
		n.role = RoleStandalone
		w.refresh(n)
		h := n.holder
		a := h.accounts["north"]
		a.led, a.leaderRate, h.leaderRate = true, 0, 1000
		h.ReduceDemand()
		need := h.need("north", a, 3)
		So(need.Demand, ShouldEqual, 0)
		So(need.Rate, ShouldEqual, 0)
		row := Row{Granted: need.Spent, Spent: need.Spent, Burst: need.Burst, Rate: need.Rate}
		So(row.Ceiling(time.Minute), ShouldEqual, need.Spent)
	})
}
