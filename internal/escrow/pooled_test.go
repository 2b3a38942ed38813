package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// loadedHolder returns a holder with a role that has received requests of one size at a constant rate for a minute.
func loadedHolder(role Role, tokens, perSecond int64) (*Holder, *account) {
	w := newWorld(DefaultPolicy())
	n := w.nodes[0] // its role is RolePool
	if role != RolePool {
		n = w.nodes[1]
		n.role = role
	}
	w.refresh(n)
	h := n.holder
	a := h.accounts["north"]
	for range 60 {
		w.elapsed += time.Second
		for range perSecond {
			h.countDemand(a, tokens)
		}
		h.startRound()
	}
	a.remaining = a.prepaid
	return h, a
}

// needOf returns what such a holder requests.
func needOf(role Role, tokens, perSecond int64) Need {
	h, a := loadedHolder(role, tokens, perSecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.need("north", a, 3)
}

func TestPooledHolderDemand(t *testing.T) {
	Convey("A holder whose zone pools tokens", t, func() {
		policy := DefaultPolicy()

		Convey("holds none unless it expects several requests, since a power loss would take them", func() {
			const each = 50_000
			n := needOf(RolePooled, each, 0)
			So(n.Demand, ShouldEqual, 0)
			So(n.Burst, ShouldEqual, 0)
			So(n.Rate, ShouldEqual, 0)
		})

		Convey("holds its expected use and nothing more, since the pool absorbs unevenness", func() {
			const each, perSecond = 100, 50
			n := needOf(RolePooled, each, perSecond)
			mean := float64(each*perSecond) * policy.Surge * policy.PooledHorizon.Seconds()
			So(n.Demand, ShouldBeGreaterThan, each)
			So(float64(n.Demand), ShouldBeLessThanOrEqualTo, mean)
			So(needOf(RoleStandalone, each, perSecond).Demand, ShouldBeGreaterThan, 2*n.Demand)
		})
	})
}

func TestStartShare(t *testing.T) {
	Convey("A pool that ends before anything is measured can have spent only a small part of its zone's share", t, func() {
		w := newWorld(DefaultPolicy())
		n := w.nodes[0]
		w.refresh(n)
		row := w.page("north").Accounts["north"].Rows[n.holder.id]
		So(row.Granted, ShouldBeGreaterThan, 0)
		So(row.Ceiling(Grace), ShouldBeLessThanOrEqualTo, row.Granted/3)
		So(row.Ceiling(DefaultPolicy().Horizon), ShouldBeGreaterThan, row.Granted*9/10)
	})
}

func TestRefreshCoversAllWaitingRequests(t *testing.T) {
	const north = "north"
	Convey("A refresh brings what all waiting requests need, not only what the largest needs", t, func() {
		policy := DefaultPolicy()
		policy.StartShare, policy.PoolStartShare = 0, 0
		w := newWorld(policy)
		n := w.nodes[0]
		w.refresh(n)
		h := n.holder
		const each, requests = 200, 5
		So(h.View(north).Available, ShouldBeLessThan, each)
		for range requests {
			r, _, err := h.tryReserve(north, each, 0, false)
			So(r, ShouldBeNil)
			So(err, ShouldBeNil)
			h.addWaiting(north, each)
		}
		w.refresh(n)
		for range requests {
			r, _, err := h.tryReserve(north, each, 0, false)
			So(err, ShouldBeNil)
			So(r, ShouldNotBeNil)
			h.addWaiting(north, -each)
		}
		So(h.accounts[north].waiting, ShouldEqual, 0)
	})

	Convey("After a failed call, waiting requests cause no further call for a while", t, func() {
		w := newWorld(DefaultPolicy())
		n := w.nodes[0]
		w.refresh(n)
		h := n.holder
		p := h.pageOf(north)
		h.accounts[north].urgent = 1
		So(h.refreshDue(p, false), ShouldBeTrue)
		n.store.unreachable = true
		h.refresh(context.Background(), p)
		So(h.refreshDue(p, false), ShouldBeFalse)
		w.elapsed += h.times.Backoff
		So(h.refreshDue(p, false), ShouldBeTrue)
	})
}
