package budget

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/ledger"
)

const deadHolder = "d~x"

// pageWithDeadGrant returns a page on which a dead holder has a grant.
func pageWithDeadGrant(t *testing.T) *Page {
	t.Helper()
	row := &Row{Customer: "c"}
	if err := row.Deposit("opening", deposit); err != nil {
		t.Fatal(err)
	}
	if err := row.Increase(deadHolder, 500, 0, 1); err != nil {
		t.Fatal(err)
	}
	var page Page
	page.Put("budget", row)
	return &page
}

// Two instances may reclaim the same holder at once. If the responses to both writes are lost, each reads the page back.
// Both found the dead holder's grant gone and reported the dead holder's charges as their own.
func TestReclaimedByAnother(t *testing.T) {
	journal := &ledger.Journal{Holder: deadHolder}
	reports := []Report{{Request: "r", Budget: "budget", Customer: "c", Tokens: 60, Owner: clientID, Chain: []string{deadHolder}}}
	Convey("Given a holder that has reclaimed a grant without open reservations", t, func() {
		h, _ := newTestHolder(t)
		own := pageWithDeadGrant(t)
		moves, err := h.moveGrants(own, []string{"budget"}, journal, reports)
		So(err, ShouldBeNil)

		Convey("it recognizes its own write", func() { So(allMoved(own, moves), ShouldBeTrue) })
		Convey("it does not take another holder's write for its own", func() {
			other := pageWithDeadGrant(t)
			row, err := other.Row("budget")
			So(err, ShouldBeNil)
			So(row.Reclaim(deadHolder, "c~x", 60, 0, 1), ShouldBeNil)
			So(allMoved(other, moves), ShouldBeFalse)
		})
	})
	Convey("A holder that stops closes a grant of which it has returned everything", t, func() {
		ctx := context.Background()
		h, store := newTestHolder(t)
		So(reserve(h, "first", 10), ShouldBeNil)
		So(h.Settle(ctx, clientID, SettleReq{Request: "first", Budget: "budget", Run: "run-first", Holder: h.ID()}), ShouldBeNil)
		_, err := h.returnEscrow(ctx, "budget", 0)
		So(err, ShouldBeNil)
		So(h.Stop(ctx), ShouldBeNil)
		v, err := Inspect(ctx, store, "budget")
		So(err, ShouldBeNil)
		So(v.Holders, ShouldBeEmpty)
	})
}
