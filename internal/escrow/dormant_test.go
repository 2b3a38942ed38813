package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// sparseWorld returns a world whose first node holds the pools for the second.
func sparseWorld() (w *world, pool, dormant *simNode) {
	w = newWorld(DefaultPolicy())
	pool, dormant = w.nodes[0], w.nodes[1]
	dormant.link, dormant.role, dormant.sparse = linkUp, RolePooled, true
	w.refresh(pool)
	return w, pool, dormant
}

func TestDormantHolder(t *testing.T) {
	const north = "north"
	ctx := context.Background()
	Convey("A holder that needs no rows", t, func() {
		w, pool, dormant := sparseWorld()
		w.refresh(dormant)
		h := dormant.holder

		Convey("is ready, and is on no page, however often it refreshes", func() {
			for range 3 {
				w.useTokens(pool, north, 10)
				w.refresh(dormant)
			}
			So(h.Ready(), ShouldBeTrue)
			So(w.page(north).Holders, ShouldNotContainKey, h.id)
			So(h.Leave(ctx), ShouldBeNil)
			So(dormant.store.commits, ShouldEqual, 0)
		})

		Convey("borrows what its requests need, and the pool counts the demand and what was used", func() {
			counted := func() float64 {
				pool.holder.mu.Lock()
				defer pool.holder.mu.Unlock()
				return pool.holder.accounts[north].meter.sizeSum
			}
			before := counted()
			r, err := h.Reserve(ctx, north, 100, 0)
			So(err, ShouldBeNil)
			So(counted(), ShouldBeGreaterThan, before)
			spent := pool.holder.View(north).Spent
			r.Settle(40)
			h.repayAll(ctx)
			So(pool.holder.View(north).Spent, ShouldEqual, spent-60)
		})

		Convey("refuses a request as the pool does, if the budget is exhausted", func() {
			_, err := h.Reserve(ctx, north, 2*propertyPrepaid, 0)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeBudgetExhausted)
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		})

		Convey("gets rows once it has to hold tokens itself, serves meanwhile, and keeps them", func() {
			dormant.sparse = false
			So(h.Ready(), ShouldBeTrue)
			w.refresh(dormant)
			So(w.page(north).Holders, ShouldContainKey, h.id)
			dormant.sparse = true
			w.elapsed += 2 * idleRefresh
			w.refresh(dormant)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
		})
	})
	Convey("A holder that needs no rows settles those of its earlier process", t, func() {
		w, pool, dormant := sparseWorld()
		dormant.sparse = false
		w.refresh(dormant)
		earlier := dormant.holder.id
		So(w.page(north).Holders, ShouldContainKey, earlier)
		w.start(dormant)
		dormant.sparse, dormant.hasFleetTime = true, true
		w.refresh(dormant)
		w.useTokens(pool, north, 10)
		w.refresh(pool)
		w.refresh(dormant)
		So(w.page(north).Holders, ShouldNotContainKey, earlier)
		So(w.page(north).Holders, ShouldNotContainKey, dormant.holder.id)
	})
}

// TestLateFirstPart writes the first part of a process after the node's next process has got rows.
func TestLateFirstPart(t *testing.T) {
	const north = "north"
	Convey("The first part of a process that arrives after the next process of its node has rows changes nothing", t, func() {
		for _, isDormant := range []bool{true, false} {
			w, pool, node := sparseWorld()
			node.sparse, node.role = false, RoleStandalone
			h := node.holder
			late := h.submission(true)
			for i := range late.Parts {
				if late.Parts[i].Dormant = isDormant; isDormant {
					late.Parts[i].Rows = nil
				}
			}
			w.elapsed += 500 * time.Millisecond
			w.start(node)
			w.refresh(node)
			before := w.page(north).Accounts[north].Rows[node.holder.id]
			So(before.Granted, ShouldBeGreaterThan, 0)
			pool.holder.enqueue(late)
			w.useTokens(pool, north, 10)
			w.refresh(pool)
			So(w.page(north).Accounts[north].Rows[node.holder.id], ShouldResemble, before)
			So(w.page(north).Accounts[north].Settled, ShouldEqual, 0)
			So(w.page(north).Holders, ShouldNotContainKey, h.id)
		}
	})
}

// TestRowsByFleetSize counts the rows of a page as holders without tokens are added.
func TestRowsByFleetSize(t *testing.T) {
	Convey("The holders on a page do not grow with those that hold no tokens", t, func() {
		w, pool, _ := sparseWorld()
		before := len(w.page("north").Holders)
		for _, n := range w.nodes[1:] {
			n.link, n.role, n.sparse = linkUp, RolePooled, true
			w.refresh(n)
		}
		w.useTokens(pool, "north", 10)
		w.refresh(pool)
		So(w.page("north").Holders, ShouldHaveLength, before)
	})
}
