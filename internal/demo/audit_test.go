package demo

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// A demo whose home instance crashed told of unbilled calls on a busy machine. In one run the crashed instance's log says "the instance has
// crashed: the store's answer was lost" of its last write of charges: the store had taken it, and its sums were right. In another a
// payment that the crashed instance had sent stayed held ("its run's fate is unknown"), as it must until an operator releases it.
func TestAuditOfCrashes(t *testing.T) {
	call := &call{id: "k-1", kind: payment, complete: true}
	const price = 40
	audited := func(crashed bool, b bill) *audit {
		a := &audit{crashed: crashed}
		a.checkCharges(call, nil, price, price)
		b.deposited = 1000
		a.checkBill("budget", b, bounds{low: price, high: price})
		return a
	}
	Convey("An answered call without a charge is unbilled", t, func() {
		So(audited(false, bill{spent: price}).Unbilled, ShouldEqual, 1)
	})
	Convey("After a crash the store's sum decides", t, func() {
		So(audited(true, bill{spent: price}).Unbilled, ShouldEqual, 0)
		So(audited(true, bill{}).Unbilled, ShouldEqual, 1)
	})
	Convey("What is held for a run of unknown fate may still be billed, not more", t, func() {
		So(audited(true, bill{held: price}).Unbilled, ShouldEqual, 0)
		So(audited(true, bill{held: price - 1}).Unbilled, ShouldEqual, 1)
		So(audited(false, bill{held: price}).Unbilled, ShouldEqual, 1)
	})
	Convey("Nothing excuses a second bill or more than was paid", t, func() {
		So(audited(true, bill{spent: 2 * price}).DoubleBilled, ShouldEqual, 1)
		So(audited(true, bill{spent: 1001}).Overspend, ShouldEqual, 1)
	})
}
