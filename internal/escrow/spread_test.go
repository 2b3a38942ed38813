package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

func TestReserveProbability(t *testing.T) {
	Convey("A request reserves with a probability", t, func() {
		const prepaid, rate = 1_000_000, 10_000.0 // tokens, tokens per second
		enough := int64(rate * spreadHorizon.Seconds())
		a := &account{prepaid: prepaid, unproven: prepaid / 5, led: true, leaderRate: rate}

		Convey("that falls with the rest where losses took a large part of the budget and little is left", func() {
			a.remaining = enough / 2
			So(a.reserveProbability(), ShouldEqual, 0.5)
			a.remaining = enough / 10
			So(a.reserveProbability(), ShouldEqual, 0.1)
			a.remaining = 0
			So(a.reserveProbability(), ShouldEqual, 0)
		})

		Convey("that is 1 while enough is left", func() {
			a.remaining = enough
			So(a.reserveProbability(), ShouldEqual, 1)
		})

		Convey("that is 1 at the end of a budget without losses", func() {
			a.remaining, a.unproven = enough/2, int64(lossThreshold*prepaid)-1
			So(a.reserveProbability(), ShouldEqual, 1)
		})

		Convey("that is 1 while no use is known, or without a limit", func() {
			a.remaining, a.leaderRate = enough/2, 0
			So(a.reserveProbability(), ShouldEqual, 1)
			a.leaderRate, a.prepaid = rate, Unlimited
			So(a.reserveProbability(), ShouldEqual, 1)
		})
	})

	Convey("A request that is rejected at random has not run and gets a time to retry, unless the rest is too small for it anyway", t, func() {
		const prepaid = 10_000
		now := time.Unix(1000, 0)
		randomValue := 0.9
		h := New(memkv.New(), "p/", 1, "node", "node/1", WithNow(func() time.Time { return now }), WithWall(func() time.Time { return now }), WithRandom(func() float64 { return randomValue }))
		h.SetPrepaid([]Prepaid{{Customer: "north", Tokens: prepaid}})
		h.startRound()
		h.refresh(context.Background(), h.pages[0])
		a := h.accounts["north"]
		a.unproven, a.led, a.leaderRate = prepaid/2, true, 2*prepaid/spreadHorizon.Seconds()

		_, err := h.Reserve(context.Background(), "north", 100, 0)
		So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		So(verdict.From(err).RetryAfter(), ShouldEqual, retryLater)
		So(a.used(), ShouldEqual, 0)

		_, err = h.Reserve(context.Background(), "north", prepaid+1, 0)
		So(verdict.From(err).Code(), ShouldEqual, verdict.CodeBudgetExhausted)

		randomValue = 0.4
		r, err := h.Reserve(context.Background(), "north", 100, 0)
		So(err, ShouldBeNil)
		r.Settle(100)
	})
}
