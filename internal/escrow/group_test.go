package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ledWorld returns a world of three nodes, the first of which leads the second. The third writes its own rows.
func ledWorld() (w *world, leader, follower *simNode) {
	w = newWorld(DefaultPolicy())
	leader, follower = w.nodes[0], w.nodes[1]
	follower.link = linkUp
	w.refresh(leader)
	w.refresh(follower)
	return w, leader, follower
}

// useTokens advances time by a second and uses a few tokens at a node, so that it has something to report.
func (w *world) useTokens(n *simNode, customer string, tokens int64) {
	w.elapsed += time.Second
	w.reserve(n, customer, tokens)
	w.settle(n, tokens)
}

func (w *world) page(customer string) *Page {
	entry, _, _ := w.store.Read(context.Background(), w.nodes[0].holder.pageOf(customer).key)
	p, _ := DecodePage(entry.Data)
	return p
}

func TestLedZone(t *testing.T) {
	const north = "north"
	Convey("A holder whose zone has a leader", t, func() {
		w, leader, follower := ledWorld()
		h := follower.holder
		row := func() Row { return w.page(north).Accounts[north].Rows[h.id] }

		Convey("gets its grants through the leader's writes", func() {
			So(h.Ready(), ShouldBeTrue)
			So(row().Granted, ShouldBeGreaterThan, 0)
			So(h.View(north).Granted, ShouldEqual, row().Granted)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 1)
		})

		Convey("has its rows written once, however often they arrive", func() {
			w.useTokens(follower, north, 10)
			s := h.submission(true)
			leader.holder.enqueue(s)
			leader.holder.enqueue(s)
			w.refresh(leader)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
		})

		Convey("keeps a newer write of its own if submitted rows arrive later", func() {
			follower.link = linkDelayed
			w.useTokens(follower, north, 10)
			w.refresh(follower)
			follower.link = linkNone
			w.refresh(follower)
			own := row()
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
			w.refresh(leader)
			So(row(), ShouldResemble, own)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
		})

		Convey("spends no more than the smallest row that may be in force while the leader may still write, even after the page has changed", func() {
			h.stopping = true
			for range 3 {
				w.useTokens(follower, north, 10)
				w.refresh(follower)
			}
			h.accounts[north].target = 1
			follower.link = linkDelayed
			w.useTokens(follower, north, 10)
			w.refresh(follower)
			available := h.View(north).Available
			w.refresh(w.nodes[2])
			w.observe(follower)
			So(h.View(north).Available, ShouldEqual, available)
			w.refresh(leader)
			w.observe(follower)
			So(h.pageOf(north).submitted, ShouldBeFalse)
			So(h.View(north).Granted, ShouldEqual, row().Granted)
		})

		Convey("keeps its grant if no leader has received its rows", func() {
			w.useTokens(follower, north, 10)
			before := h.View(north).Available
			follower.link = linkDown
			w.refresh(follower)
			So(h.View(north).Available, ShouldBeGreaterThanOrEqualTo, before)
			So(h.pageOf(north).submitted, ShouldBeFalse)
		})

		Convey("is rejected at once by a leader that does not reach the store", func() {
			w.elapsed += 3 * leader.holder.times.ContactTimeout
			_, err := leader.holder.Submit(context.Background(), h.submission(true))
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		})

		Convey("is notified that its rows were removed, and spends nothing more", func() {
			entry, _, _ := w.store.Read(context.Background(), h.pageOf(north).key)
			p, _ := DecodePage(entry.Data)
			p.Leave(h.id, nil, false, 0)
			raw, _ := p.Encode()
			w.store.Put(h.pageOf(north).key, raw)
			w.useTokens(follower, north, 10)
			leader.holder.pageOf(north).known = false
			w.refresh(follower)
			So(h.View(north).Available, ShouldBeLessThanOrEqualTo, 0)
		})
	})

	Convey("A zone's leader that relays its zone's rows", t, func() {
		w, leader, follower := ledWorld()
		relayLeader := w.nodes[2]
		relayLeader.leadsZone, relayLeader.link, follower.inLedZone = true, linkUp, true
		w.refresh(relayLeader)
		h := follower.holder
		row := func() Row { return w.page(north).Accounts[north].Rows[h.id] }

		Convey("has them written by the leader of another zone, together with its own", func() {
			before := leader.store.commits
			w.useTokens(follower, north, 10)
			w.useTokens(relayLeader, north, 20)
			w.refresh(follower)
			So(row().Spent, ShouldEqual, 10)
			So(w.page(north).Accounts[north].Rows[relayLeader.holder.id].Spent, ShouldEqual, 20)
			So(h.pageOf(north).submitted, ShouldBeFalse)
			So(leader.store.commits, ShouldBeGreaterThan, before)
			So(relayLeader.store.commits, ShouldEqual, 0)
		})

		Convey("leaves the page to one writer, which does not read again what it has written itself", func() {
			w.useTokens(leader, north, 5)
			w.refresh(leader)
			before := leader.store.reads
			for range 5 {
				w.useTokens(follower, north, 10)
				w.refresh(follower)
			}
			So(leader.store.reads, ShouldEqual, before)
			So(row().Spent, ShouldEqual, 50)
			So(leader.holder.accounts[north].fleetMeter.rate(), ShouldBeGreaterThan, 5)
		})

		Convey("relays them with each of its own submissions, however frequent these are", func() {
			relayLeader.holder.times.MinGroupGap = time.Hour
			for range 3 {
				w.useTokens(relayLeader, north, 10)
				w.useTokens(follower, north, 10)
				w.refresh(follower)
			}
			So(row().Spent, ShouldEqual, 30)
		})

		Convey("returns its own zone's demand to them, not the writer's", func() {
			for range 3 {
				w.useTokens(follower, north, 100)
				w.refresh(follower)
			}
			So(h.accounts[north].zoneRate, ShouldBeGreaterThan, 0)
			So(h.accounts[north].zoneRate, ShouldEqual, relayLeader.holder.accounts[north].zoneRate)
		})

		Convey("writes them itself if the other leader cannot be reached, and only once if its response was lost", func() {
			for i, link := range []int{linkDown, linkReplyLost, linkDelayed} {
				relayLeader.link = link
				w.useTokens(follower, north, 10)
				w.refresh(follower)
				So(row().Spent, ShouldEqual, 10*(i+1))
				So(h.pageOf(north).submitted, ShouldBeFalse)
				w.refresh(leader)
				So(row().Spent, ShouldEqual, 10*(i+1))
			}
		})
	})

	Convey("A loan", t, func() {
		w, leader, follower := ledWorld()
		ctx := context.Background()
		loan := Loan{Holder: follower.holder.id, Number: 1, Customer: north, MaxTokens: 100}

		Convey("is a part of the leader's grant until it is repaid, and what was used of it is spent there", func() {
			before := leader.holder.View(north).Available
			So(leader.holder.Lend(ctx, loan), ShouldBeNil)
			So(leader.holder.View(north).Available, ShouldEqual, before-100)
			leader.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 30}})
			So(leader.holder.View(north).Available, ShouldEqual, before-30)
			leader.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 30}})
			So(leader.holder.View(north).Available, ShouldEqual, before-30)
		})

		Convey("that was repaid before it was given is not given", func() {
			before := leader.holder.View(north).Available
			leader.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 0}})
			So(verdict.Of(leader.holder.Lend(ctx, loan)), ShouldEqual, verdict.NotRun)
			So(leader.holder.View(north).Available, ShouldEqual, before)
		})

		Convey("that is never repaid counts as used in the end", func() {
			before := leader.holder.View(north).Available
			So(leader.holder.Lend(ctx, loan), ShouldBeNil)
			w.elapsed += loanTTL + time.Second
			leader.holder.writeOffLoans()
			So(leader.holder.loans, ShouldBeEmpty)
			So(leader.holder.accounts[north].used(), ShouldEqual, 100)
			So(before, ShouldBeGreaterThan, 100)
		})

		Convey("whose response was lost is repaid, and the request is rejected as not run", func() {
			w.useTokens(follower, north, 8000)
			follower.link = linkReplyLost
			maxTokens := follower.holder.View(north).Available + 10
			before := leader.holder.View(north).Available
			So(before, ShouldBeGreaterThan, maxTokens)
			_, err := follower.holder.Reserve(ctx, north, maxTokens, 0)
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			follower.link = linkUp
			follower.holder.repayAll(ctx)
			So(leader.holder.View(north).Available, ShouldEqual, before)
		})
	})
}
