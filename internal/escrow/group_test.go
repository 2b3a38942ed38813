package escrow

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ledWorld is three nodes of which the first leads the others.
func ledWorld() (w *world, leads, member *simNode) {
	w = newWorld(DefaultPolicy())
	leads, member = w.nodes[0], w.nodes[1]
	member.link = linkPass
	w.draw(leads)
	w.draw(member)
	return w, leads, member
}

// use lets a second pass in which a node uses a little, so that it has something to report.
func (w *world) use(n *simNode, customer string, tokens int64) {
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
	Convey("A holder whose zone is led", t, func() {
		w, leads, member := ledWorld()
		h := member.holder
		row := func() Row { return w.page(north).Accounts[north].Rows[h.id] }

		Convey("gets its grants in the leader's writes", func() {
			So(h.Ready(), ShouldBeTrue)
			So(row().Granted, ShouldBeGreaterThan, 0)
			So(h.View(north).Granted, ShouldEqual, row().Granted)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 1)
		})

		Convey("has its rows written once, however often they arrive", func() {
			w.use(member, north, 10)
			s := h.submission(true)
			leads.holder.enqueue(s)
			leads.holder.enqueue(s)
			w.draw(leads)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
		})

		Convey("is not set back by rows that come after a newer write of its own", func() {
			member.link = linkLate
			w.use(member, north, 10)
			w.draw(member)
			member.link = linkNone
			w.draw(member)
			own := row()
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
			w.draw(leads)
			So(row(), ShouldResemble, own)
			So(w.page(north).Holders[h.id].Count, ShouldEqual, 2)
		})

		Convey("counts on the least that may be in force while the leader may still write, though the page moves on", func() {
			h.stopping = true
			for range 3 {
				w.use(member, north, 10)
				w.draw(member)
			}
			h.accounts[north].target = 1
			member.link = linkLate
			w.use(member, north, 10)
			w.draw(member)
			least := h.View(north).Available
			w.draw(w.nodes[2])
			w.observe(member)
			So(h.View(north).Available, ShouldEqual, least)
			w.draw(leads)
			w.observe(member)
			So(h.pageOf(north).submitted, ShouldBeFalse)
			So(h.View(north).Granted, ShouldEqual, row().Granted)
		})

		Convey("goes on with what it has where no leader has seen its rows", func() {
			w.use(member, north, 10)
			before := h.View(north).Available
			member.link = linkBroke
			w.draw(member)
			So(h.View(north).Available, ShouldBeGreaterThanOrEqualTo, before)
			So(h.pageOf(north).submitted, ShouldBeFalse)
		})

		Convey("is told at once that the leader does not reach the store", func() {
			w.elapsed += 3 * leads.holder.times.ContactTimeout
			_, err := leads.holder.Submit(context.Background(), h.submission(true))
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		})

		Convey("is told that its rows are gone, and spends nothing more", func() {
			entry, _, _ := w.store.Read(context.Background(), h.pageOf(north).key)
			p, _ := DecodePage(entry.Data)
			p.Leave(h.id, nil, false)
			raw, _ := p.Encode()
			w.store.Put(h.pageOf(north).key, raw)
			w.use(member, north, 10)
			leads.holder.pageOf(north).known = false
			w.draw(member)
			So(h.View(north).Available, ShouldBeLessThanOrEqualTo, 0)
		})
	})

	Convey("A zone's leader that relays its zone's rows", t, func() {
		w, leads, member := ledWorld()
		head := w.nodes[2]
		head.heads, head.link, member.zoned = true, linkPass, true
		w.draw(head)
		h := member.holder
		row := func() Row { return w.page(north).Accounts[north].Rows[h.id] }

		Convey("has them written by the leader of another zone, with its own", func() {
			before := leads.gate.commits
			w.use(member, north, 10)
			w.use(head, north, 20)
			w.draw(member)
			So(row().Spent, ShouldEqual, 10)
			So(w.page(north).Accounts[north].Rows[head.holder.id].Spent, ShouldEqual, 20)
			So(h.pageOf(north).submitted, ShouldBeFalse)
			So(leads.gate.commits, ShouldBeGreaterThan, before)
			So(head.gate.commits, ShouldEqual, 0)
		})

		Convey("leaves the page to one writer, which need not read what it has written itself", func() {
			w.use(leads, north, 5)
			w.draw(leads)
			before := leads.gate.reads
			for range 5 {
				w.use(member, north, 10)
				w.draw(member)
			}
			So(leads.gate.reads, ShouldEqual, before)
			So(row().Spent, ShouldEqual, 50)
			So(leads.holder.accounts[north].all.rate(), ShouldBeGreaterThan, 5)
		})

		Convey("passes them on with each of its own, however often it has some", func() {
			head.holder.times.MinGroupGap = time.Hour
			for range 3 {
				w.use(head, north, 10)
				w.use(member, north, 10)
				w.draw(member)
			}
			So(row().Spent, ShouldEqual, 30)
		})

		Convey("tells them what their own zone is asked for, not the writer's", func() {
			for range 3 {
				w.use(member, north, 100)
				w.draw(member)
			}
			So(h.accounts[north].zoneRate, ShouldBeGreaterThan, 0)
			So(h.accounts[north].zoneRate, ShouldEqual, head.holder.accounts[north].zoneRate)
		})

		Convey("writes them itself where that one cannot be reached, and once only where its answer was lost", func() {
			for i, link := range []int{linkBroke, linkLost, linkLate} {
				head.link = link
				w.use(member, north, 10)
				w.draw(member)
				So(row().Spent, ShouldEqual, 10*(i+1))
				So(h.pageOf(north).submitted, ShouldBeFalse)
				w.draw(leads)
				So(row().Spent, ShouldEqual, 10*(i+1))
			}
		})
	})

	Convey("A loan", t, func() {
		w, leads, member := ledWorld()
		ctx := context.Background()
		loan := Loan{Holder: member.holder.id, Number: 1, Customer: north, MaxTokens: 100}

		Convey("is a part of the leader's grant until it is returned, and what was used of it is spent there", func() {
			before := leads.holder.View(north).Available
			So(leads.holder.Lend(ctx, loan), ShouldBeNil)
			So(leads.holder.View(north).Available, ShouldEqual, before-100)
			leads.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 30}})
			So(leads.holder.View(north).Available, ShouldEqual, before-30)
			leads.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 30}})
			So(leads.holder.View(north).Available, ShouldEqual, before-30)
		})

		Convey("that was returned before it was given is not given", func() {
			before := leads.holder.View(north).Available
			leads.holder.Repaid(Repayment{Holder: loan.Holder, Used: map[int64]int64{1: 0}})
			So(verdict.Of(leads.holder.Lend(ctx, loan)), ShouldEqual, verdict.NotRun)
			So(leads.holder.View(north).Available, ShouldEqual, before)
		})

		Convey("that nobody returns counts as used in the end", func() {
			before := leads.holder.View(north).Available
			So(leads.holder.Lend(ctx, loan), ShouldBeNil)
			w.elapsed += loanLife + time.Second
			leads.holder.writeOff()
			So(leads.holder.loans, ShouldBeEmpty)
			So(leads.holder.accounts[north].used(), ShouldEqual, 100)
			So(before, ShouldBeGreaterThan, 100)
		})

		Convey("whose answer was lost is returned, and the request refused as not run", func() {
			w.use(member, north, 8000)
			member.link = linkLost
			most := member.holder.View(north).Available + 10
			before := leads.holder.View(north).Available
			So(before, ShouldBeGreaterThan, most)
			_, err := member.holder.Reserve(ctx, north, most, 0)
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			member.link = linkPass
			member.holder.repayAll(ctx)
			So(leads.holder.View(north).Available, ShouldEqual, before)
		})
	})
}
