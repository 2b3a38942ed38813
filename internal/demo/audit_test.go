package demo

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Under load, a demo in which the holder of a budget crashed reported unbilled calls, for two reasons. In one run the
// holder crashed before the store's response to its last write of charges arrived. The store had accepted the write, and its
// sums were right. In another run the reservation of a payment that the crashed instance had sent stayed held, because
// the outcome of its run was unknown. It must stay held until an operator releases it.
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
	Convey("Tokens held for a run with an unknown outcome may still be billed, but no more than these", t, func() {
		So(audited(true, bill{held: price}).Unbilled, ShouldEqual, 0)
		So(audited(true, bill{held: price - 1}).Unbilled, ShouldEqual, 1)
		So(audited(false, bill{held: price}).Unbilled, ShouldEqual, 1)
	})
	Convey("A second bill, or spending more than the deposit, is a violation also after a crash", t, func() {
		So(audited(true, bill{spent: 2 * price}).DoubleBilled, ShouldEqual, 1)
		So(audited(true, bill{spent: 1001}).Overspend, ShouldEqual, 1)
	})
}
