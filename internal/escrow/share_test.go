package escrow

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDeviationsOfFleet guards against holding too much. To bridge an outage of ten seconds, six holders together held
// 24 s of mean use: each held two deviations of its own few requests. A power loss while the store is unreachable loses
// all of that.
func TestDeviationsOfFleet(t *testing.T) {
	Convey("All holders together hold the mean use and the deviation of the fleet's use, not the deviations of each holder's use", t, func() {
		const holders, rate, weightedSize = 6, 45_000.0, 10_000.0
		p := DefaultPolicy()
		var sum int64
		for range holders {
			demand, _, _ := p.size(flow{rate: rate / holders, fleetRate: rate, weightedSize: weightedSize}, p.Horizon, 1)
			sum += demand
		}
		mean := rate * p.Surge * p.ReserveFactor * p.Horizon.Seconds()
		So(float64(sum), ShouldBeGreaterThan, mean)
		So(float64(sum), ShouldBeLessThanOrEqualTo, mean+p.Deviations*math.Sqrt(mean*weightedSize))
	})

	Convey("A standalone holder holds the whole mean and deviation", t, func() {
		p := DefaultPolicy()
		const rate, weightedSize = 45_000.0, 10_000.0
		mean := rate * p.Surge * 10
		got := p.amount(flow{rate: rate, weightedSize: weightedSize}, 10*time.Second, 2)
		So(got, ShouldAlmostEqual, mean+2*math.Sqrt(mean*weightedSize), 1)
	})

	Convey("Without use nothing is held", t, func() {
		So(DefaultPolicy().amount(flow{weightedSize: 10_000, fleetRate: 1000}, time.Second, 2), ShouldEqual, 0)
	})
}

// TestShareFollowsCallers guards against holding tokens at the wrong instances. All callers of the largest customer
// used one instance, with 110,000 tokens per second. It held 5.3 s of that use when it lost contact with the store for
// seven seconds. Five others held as much again, which nobody requested there.
func TestShareFollowsCallers(t *testing.T) {
	Convey("A holder that a busy customer's callers use requests what they use there", t, func() {
		const each, perSecond = 5_000, 20
		h, a := loadedHolder(RoleStandalone, each, perSecond)
		f := flowWithRates(h, a, each*perSecond, 5*each*perSecond)
		So(f.rate, ShouldBeGreaterThan, 0.9*each*perSecond)

		Convey("and one that they do not use requests next to nothing", func() {
			a.meter = meter{}
			f := flowWithRates(h, a, each*perSecond, 5*each*perSecond)
			So(f.rate, ShouldBeLessThan, 0.05*each*perSecond)
		})
	})

	Convey("Of a customer with few requests a holder holds its share of the fleet's use", t, func() {
		const each, perSecond = 5_000, 20
		h, a := loadedHolder(RoleStandalone, each, perSecond)
		a.meter = meter{}
		const lowRate = each / 20 // tokens per second: one request in twenty seconds
		f := flowWithRates(h, a, lowRate, 5*each*perSecond)
		So(f.rate, ShouldBeBetween, 0.8*lowRate/5, lowRate/5)
	})
}

// flowWithRates returns the flow of a customer, given the fleet's use of this customer and of all customers in tokens
// per second.
func flowWithRates(h *Holder, a *account, customerRate, fleetRate float64) flow {
	a.led, a.leaderRate, h.leaderRate = true, customerRate, fleetRate
	return h.flow(a, RoleStandalone)
}

// TestStoppingIdleHolder guards against a negative rate. A holder without any request divided zero by zero when it
// stopped, and wrote the result, a rate far below zero, into its row. If the process had then been killed, its
// settlement would have raised the budget above the prepaid amount.
func TestStoppingIdleHolder(t *testing.T) {
	Convey("A stopping holder without any request demands nothing, and its ceiling is never below what it has spent", t, func() {
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
