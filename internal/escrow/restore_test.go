package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// restoredWorld returns three nodes that write for themselves, with a store that has epochs.
func restoredWorld() (w *world, a, b *simNode) {
	w = newWorld(DefaultPolicy())
	w.store.SetEpoch(1)
	for _, n := range w.nodes {
		w.refresh(n)
	}
	return w, w.nodes[0], w.nodes[1]
}

// reserveAfterRefresh lets a node reserve an amount that it has only after a refresh. It reports whether the node got
// it.
func (w *world) reserveAfterRefresh(n *simNode, customer string, maxTokens int64) (got bool) {
	before := len(n.reservations)
	w.reserve(n, customer, maxTokens)
	w.elapsed += time.Second / 2
	w.refresh(n)
	if len(n.reservations) == before {
		w.reserve(n, customer, maxTokens)
	}
	return len(n.reservations) > before
}

// forgetPages leaves a node with its own rows only, as if it had not observed the others' writes.
func (n *simNode) forgetPages() {
	for _, p := range n.holder.pages {
		p.raw, p.known, p.prior = nil, false, priorCopy{}
	}
}

func (w *world) restoreTo(number int64) {
	w.store.RestoreTo(number)
	for _, n := range w.nodes {
		_ = n.epochs.Observe(w.store.Epoch(), 0)
	}
}

func TestStoreRestored(t *testing.T) {
	const north = "north"
	Convey("After the store was restored from a copy", t, func() {
		w, a, b := restoredWorld()
		copied := w.store.Number()

		Convey("a grant that the copy lacks is written back by a holder that has a newer copy", func() {
			So(w.reserveAfterRefresh(a, north, 30_000), ShouldBeTrue)
			granted := a.holder.View(north).Granted
			w.observe(b)
			w.restoreTo(copied)
			w.refresh(b)
			w.refresh(b)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldEqual, granted)
			So(w.page(north).RestoredEpoch, ShouldEqual, 2)
		})

		Convey("a grant that only its holder has is not granted again before that holder has had time to restate it", func() {
			So(w.reserveAfterRefresh(a, north, 35_000), ShouldBeTrue)
			w.settle(a, 0)
			for _, n := range w.nodes {
				n.forgetPages()
			}
			w.restoreTo(copied)
			So(w.reserveAfterRefresh(b, north, 20_000), ShouldBeFalse)
			w.refresh(a)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldBeGreaterThanOrEqualTo, 35_000)
			So(w.page(north).Accounts[north].Committed(), ShouldBeLessThanOrEqualTo, propertyPrepaid)
		})

		Convey("a holder spends nothing of what it had returned, although the copy has it", func() {
			So(w.reserveAfterRefresh(a, north, 30_000), ShouldBeTrue)
			w.settle(a, 0)
			copied = w.store.Number()
			a.holder.stopping = true
			for range 6 {
				w.useTokens(a, north, 1)
				w.refresh(a)
			}
			left := a.holder.View(north).Available
			So(left, ShouldBeLessThan, 20_000)
			So(w.reserveAfterRefresh(b, north, 30_000), ShouldBeTrue)
			w.store.SetLoseResponses(true)
			w.useTokens(a, north, 1)
			w.refresh(a)
			w.store.SetLoseResponses(false)
			a.forgetPages()
			w.restoreTo(copied)
			w.observe(a)
			So(a.holder.View(north).Available, ShouldBeLessThanOrEqualTo, left)
		})

		Convey("holders continue with what they have", func() {
			left := a.holder.View(north).Available
			w.restoreTo(0)
			w.reserve(a, north, left)
			So(a.reservations, ShouldHaveLength, 1)
			w.refresh(a)
			w.refresh(a)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldBeGreaterThanOrEqualTo, left)
		})

		Convey("a stopping holder settles what it has spent, although the copy does not have it", func() {
			a.forgetPages()
			w.restoreTo(0)
			w.reserve(a, north, 2_000)
			w.settleAll(a)
			So(w.stopAndRestart(a), ShouldBeTrue)
			So(w.page(north).Accounts[north].Settled, ShouldEqual, 2_000)
		})

		Convey("the whole grant of a holder that has ended is settled, unless it had restated its rows", func() {
			for epoch, settled := range map[int64]int64{1: 100, 2: 15} {
				p := &Page{
					RestoredEpoch: 2, Holders: map[string]Report{"a/1": {Node: "a", Boot: "one", Clock: 1000, Wall: 1000, Epoch: epoch}},
					Accounts: map[string]*Account{north: {Rows: map[string]Row{"a/1": {Granted: 100, Spent: 10, Burst: 5}}}},
				}
				p.SettlePredecessors("a/2", Report{Node: "a", Boot: "one", Clock: 1001, Wall: 1001})
				So(p.Accounts[north].Settled, ShouldEqual, settled)
			}
		})

		Convey("a holder that is not in the copy loses nothing by a receipt for rows that it stated before the restoration", func() {
			b.link = linkUp
			w.useTokens(b, north, 10)
			s := b.holder.submission(true)
			for _, n := range w.nodes {
				n.forgetPages()
			}
			w.restoreTo(0)
			list := a.holder.enqueue(s)
			w.refresh(a)
			w.refresh(a)
			r, err := awaitWritten(context.Background(), list)
			So(err, ShouldBeNil)
			So(r.Parts[0].Present, ShouldBeFalse)
			before := b.holder.View(north).Granted
			b.holder.mu.Lock()
			b.holder.applySubmitOutcome(s, r, nil)
			b.holder.mu.Unlock()
			So(before, ShouldBeGreaterThan, 0)
			So(b.holder.View(north).Granted, ShouldEqual, before)
		})

		Convey("a leader does not write rows that were stated before the restoration, and its receipt shows why", func() {
			b.link = linkUp
			w.useTokens(b, north, 10)
			s := b.holder.submission(true)
			w.restoreTo(copied)
			list := a.holder.enqueue(s)
			w.refresh(a)
			w.refresh(a)
			So(w.page(north).Holders[b.holder.id].Epoch, ShouldBeLessThan, 2)
			r, err := awaitWritten(context.Background(), list)
			So(err, ShouldBeNil)
			So(r.Parts[0].Epoch, ShouldEqual, 2)
			before := b.holder.View(north).Granted
			b.holder.mu.Lock()
			b.holder.applySubmitOutcome(s, r, nil)
			b.holder.mu.Unlock()
			So(b.holder.View(north).Granted, ShouldBeGreaterThan, 0)
			So(b.holder.View(north).Granted, ShouldEqual, before)
			w.refresh(b)
			So(w.page(north).Holders[b.holder.id].Epoch, ShouldEqual, 2)
		})
	})
}

func TestLimitAfterRestoration(t *testing.T) {
	Convey("A row is raised at most as far as the margin of stale holders allows, not at all while others have to restate theirs, and never lowered because of it", t, func() {
		for _, c := range []struct {
			frozen                       bool
			old, ungranted, margin, want int64
		}{
			{false, 10, 100, 0, 100},
			{false, 10, 100, 30, 70},
			{false, 10, 25, 20, 10},
			{false, 30, 20, 0, 20}, // the prepaid amount was reduced
			{true, 10, 100, 0, 10},
			{true, 30, 20, 0, 20},
		} {
			g := &granter{frozen: c.frozen}
			So(g.limit(Row{Granted: c.old}, c.ungranted, c.margin), ShouldEqual, c.want)
		}
	})
}

func TestPageIsNextPart(t *testing.T) {
	Convey("A part is written if it directly follows what the page has of its holder", t, func() {
		for _, c := range []struct {
			restored int64
			before   *Report
			part     Report
			isNext   bool
		}{
			{0, nil, Report{Count: 1}, true},
			{0, nil, Report{Count: 2}, false},
			{0, &Report{Count: 3}, Report{Count: 4}, true},
			{0, &Report{Count: 3}, Report{Count: 5}, false},
			{0, &Report{Count: 3, Epoch: 1}, Report{Count: 4}, true}, // from an older build
			{2, &Report{Count: 3, Epoch: 1}, Report{Count: 4, Epoch: 1}, false},
			{2, &Report{Count: 3, Epoch: 1}, Report{Count: 9, Epoch: 2}, true},
			{2, &Report{Count: 3, Epoch: 1}, Report{Count: 3, Epoch: 2}, false},
			{2, nil, Report{Count: 7, Epoch: 2}, true},
			{2, &Report{Count: 7, Epoch: 2}, Report{Count: 9, Epoch: 2}, false},
			{2, &Report{Count: 7, Epoch: 2}, Report{Count: 8, Epoch: 2}, true},
			{2, &Report{Count: 7, Epoch: 2}, Report{Count: 8}, false},
			{2, nil, Report{Count: 1}, true},
			{2, &Report{Count: 3}, Report{Count: 4}, true},
			{2, &Report{Count: 3}, Report{Count: 5}, false},
		} {
			p := &Page{RestoredEpoch: c.restored, Holders: map[string]Report{}}
			if c.before != nil {
				p.Holders["h"] = *c.before
			}
			So(p.isNextPart("h", c.part), ShouldEqual, c.isNext)
		}
	})
}
