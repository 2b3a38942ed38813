package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// restoredWorld is three nodes that write for themselves, under a store that names its epoch.
func restoredWorld() (w *world, a, b *simNode) {
	w = newWorld(DefaultPolicy())
	w.store.SetEpoch(1)
	for _, n := range w.nodes {
		w.draw(n)
	}
	return w, w.nodes[0], w.nodes[1]
}

// grab lets a node reserve an amount that only a draw brings.
func (w *world) grab(n *simNode, customer string, most int64) (got bool) {
	before := len(n.open)
	w.reserve(n, customer, most)
	w.elapsed += time.Second / 2
	w.draw(n)
	if len(n.open) == before {
		w.reserve(n, customer, most)
	}
	return len(n.open) > before
}

// forget lets a node know its own rows only, as one that has not seen the others' writes.
func (n *simNode) forget() {
	for _, p := range n.holder.pages {
		p.raw, p.known, p.lost = nil, false, lostCopy{}
	}
}

func (w *world) restoredTo(number int64) {
	w.store.RestoreTo(number)
	for _, n := range w.nodes {
		_ = n.epochs.Observe(w.store.Epoch(), 0)
	}
}

func TestRestored(t *testing.T) {
	const north = "north"
	Convey("After the store was restored from a copy", t, func() {
		w, a, b := restoredWorld()
		copied := w.store.Number()

		Convey("a grant that the copy lacks is put back by whoever knows it", func() {
			So(w.grab(a, north, 30_000), ShouldBeTrue)
			granted := a.holder.View(north).Granted
			w.observe(b)
			w.restoredTo(copied)
			w.draw(b)
			w.draw(b)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldEqual, granted)
			So(w.page(north).Restored, ShouldEqual, 2)
		})

		Convey("one that nobody else knows is not handed out again before its holder had time to state it", func() {
			So(w.grab(a, north, 35_000), ShouldBeTrue)
			w.settle(a, 0)
			for _, n := range w.nodes {
				n.forget()
			}
			w.restoredTo(copied)
			So(w.grab(b, north, 20_000), ShouldBeFalse)
			w.draw(a)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldBeGreaterThanOrEqualTo, 35_000)
			So(w.page(north).Accounts[north].Committed(), ShouldBeLessThanOrEqualTo, propertyPrepaid)
		})

		Convey("a holder spends nothing of what it had given back, though the copy has it", func() {
			So(w.grab(a, north, 30_000), ShouldBeTrue)
			w.settle(a, 0)
			copied = w.store.Number()
			a.holder.stopping = true
			for range 6 {
				w.use(a, north, 1)
				w.draw(a)
			}
			left := a.holder.View(north).Left
			So(left, ShouldBeLessThan, 20_000)
			So(w.grab(b, north, 30_000), ShouldBeTrue)
			w.store.SetLoseResponses(true)
			w.use(a, north, 1)
			w.draw(a)
			w.store.SetLoseResponses(false)
			a.forget()
			w.restoredTo(copied)
			w.observe(a)
			So(a.holder.View(north).Left, ShouldBeLessThanOrEqualTo, left)
		})

		Convey("holders go on with what they have", func() {
			left := a.holder.View(north).Left
			w.restoredTo(0)
			w.reserve(a, north, left)
			So(a.open, ShouldHaveLength, 1)
			w.draw(a)
			w.draw(a)
			So(w.page(north).Accounts[north].Rows[a.holder.id].Granted, ShouldBeGreaterThanOrEqualTo, left)
		})

		Convey("a holder that stops settles what it has spent, though the copy does not know it", func() {
			a.forget()
			w.restoredTo(0)
			w.reserve(a, north, 2_000)
			w.die(a)
			So(w.leave(a), ShouldBeTrue)
			So(w.page(north).Accounts[north].Settled, ShouldEqual, 2_000)
		})

		Convey("the rows of a holder that has ended are settled whole, unless it had stated them since", func() {
			for epoch, settled := range map[int64]int64{1: 100, 2: 15} {
				p := &Page{
					Restored: 2, Holders: map[string]Report{"a/1": {Node: "a", Boot: "one", Clock: 1000, Wall: 1000, Epoch: epoch}},
					Accounts: map[string]*Account{north: {Rows: map[string]Row{"a/1": {Granted: 100, Spent: 10, Burst: 5}}}},
				}
				p.Fold("a/2", Report{Node: "a", Boot: "one", Clock: 1001, Wall: 1001})
				So(p.Accounts[north].Settled, ShouldEqual, settled)
			}
		})

		Convey("a holder that the copy does not know loses nothing by a receipt for rows that it had stated before", func() {
			b.link = linkPass
			w.use(b, north, 10)
			s := b.holder.submission(true)
			for _, n := range w.nodes {
				n.forget()
			}
			w.restoredTo(0)
			list := a.holder.enqueue(s)
			w.draw(a)
			w.draw(a)
			r, err := written(context.Background(), list)
			So(err, ShouldBeNil)
			So(r.Parts[0].Present, ShouldBeFalse)
			before := b.holder.View(north).Granted
			b.holder.mu.Lock()
			b.holder.submitted(s, r, nil)
			b.holder.mu.Unlock()
			So(before, ShouldBeGreaterThan, 0)
			So(b.holder.View(north).Granted, ShouldEqual, before)
		})

		Convey("a leader writes no rows that were stated before it, and says why", func() {
			b.link = linkPass
			w.use(b, north, 10)
			s := b.holder.submission(true)
			w.restoredTo(copied)
			list := a.holder.enqueue(s)
			w.draw(a)
			w.draw(a)
			So(w.page(north).Holders[b.holder.id].Epoch, ShouldBeLessThan, 2)
			r, err := written(context.Background(), list)
			So(err, ShouldBeNil)
			So(r.Parts[0].Epoch, ShouldEqual, 2)
			before := b.holder.View(north).Granted
			b.holder.mu.Lock()
			b.holder.submitted(s, r, nil)
			b.holder.mu.Unlock()
			So(b.holder.View(north).Granted, ShouldBeGreaterThan, 0)
			So(b.holder.View(north).Granted, ShouldEqual, before)
			w.draw(b)
			So(w.page(north).Holders[b.holder.id].Epoch, ShouldEqual, 2)
		})
	})
}

func TestLimitAfterRestoration(t *testing.T) {
	Convey("A row is raised no further than the margin of doubtful holders allows, not at all while others have yet to state theirs, and never lowered for that", t, func() {
		for _, c := range []struct {
			frozen                     bool
			old, free, margin, reaches int64
		}{
			{false, 10, 100, 0, 100},
			{false, 10, 100, 30, 70},
			{false, 10, 25, 20, 10},
			{false, 30, 20, 0, 20}, // what was paid in has become less
			{true, 10, 100, 0, 10},
			{true, 30, 20, 0, 20},
		} {
			g := &granting{frozen: c.frozen}
			So(g.limit(Row{Granted: c.old}, c.free, c.margin), ShouldEqual, c.reaches)
		}
	})
}

func TestPageFollows(t *testing.T) {
	Convey("A part is written if it comes after what the page has of its holder", t, func() {
		for _, c := range []struct {
			restored int64
			before   *Report
			part     Report
			follows  bool
		}{
			{0, nil, Report{Count: 1}, true},
			{0, nil, Report{Count: 2}, false},
			{0, &Report{Count: 3}, Report{Count: 4}, true},
			{0, &Report{Count: 3}, Report{Count: 5}, false},
			{0, &Report{Count: 3, Epoch: 1}, Report{Count: 4}, true}, // of an older build
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
			p := &Page{Restored: c.restored, Holders: map[string]Report{}}
			if c.before != nil {
				p.Holders["h"] = *c.before
			}
			So(p.follows("h", c.part), ShouldEqual, c.follows)
		}
	})
}
