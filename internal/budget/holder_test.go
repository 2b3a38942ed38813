package budget

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// pairView is a view of two instances that see each other.
type pairView struct{ self, other mesh.Peer }

func (p pairView) Self() mesh.Peer               { return p.self }
func (p pairView) Zone() []mesh.Peer             { return []mesh.Peer{p.self, p.other} }
func (p pairView) Fleet() []mesh.Peer            { return p.Zone() }
func (p pairView) Find(string) (mesh.Peer, bool) { return mesh.Peer{}, false }
func (p pairView) Alive(string) bool             { return true }
func (p pairView) Lost(string) bool              { return false }

type noopStopper struct{}

func (noopStopper) StopRun(context.Context, Place) (int64, bool, bool, error) {
	return 0, false, false, nil
}

const (
	clientID = "b~x"
	deposit  = 10_000
)

func newTestHolder(t *testing.T) (*Holder, *memstore.Store) {
	t.Helper()
	store := memstore.New()
	var page Page
	row := &Row{Customer: "c"}
	if err := row.Deposit("opening", deposit); err != nil {
		t.Fatal(err)
	}
	page.Put("budget", row)
	data, err := page.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(t.Context(), PageKey(PageOf("budget")), data, 0, 0); err != nil {
		t.Fatal(err)
	}
	view := pairView{mesh.Peer{ID: "a", Zone: "z", Incarnation: "x"}, mesh.Peer{ID: "b", Zone: "z", Incarnation: "x"}}
	times := DefaultTimes()
	times.Flush = 0
	return NewHolder(store, view, nil, mesh.NewRouter(), noopStopper{}, WithTimes(times)), store
}

func reserve(h *Holder, request string, n int64) error {
	_, err := h.Reserve(context.Background(), clientID, ReserveReq{
		Request: request, Budget: "budget", Customer: "c", Tokens: n, Place: Place{Run: "run-" + request},
	})
	return err
}

func TestHolder(t *testing.T) {
	ctx := context.Background()
	Convey("Given a holder", t, func() {
		h, store := newTestHolder(t)
		Convey("a reservation that was abandoned before it arrived is rejected, since no client would settle it", func() {
			So(h.Settle(ctx, clientID, SettleReq{Request: "r", Budget: "budget", Run: "run-r"}), ShouldBeNil)
			So(verdict.Of(reserve(h, "r", 10)), ShouldEqual, verdict.NotRun)
			So(h.OpenCount(), ShouldEqual, 0)
		})
		Convey("a request that was settled as not run can be reserved again", func() {
			So(reserve(h, "r", 10), ShouldBeNil)
			So(h.Settle(ctx, clientID, SettleReq{Request: "r", Budget: "budget", Run: "run-r", Holder: h.ID()}), ShouldBeNil)
			So(reserve(h, "r", 10), ShouldBeNil)
		})
		Convey("a settlement by another instance than the owner has no effect", func() {
			So(reserve(h, "r", 10), ShouldBeNil)
			So(h.Settle(ctx, "c~x", SettleReq{Request: "r", Budget: "budget", Run: "run-r", Holder: h.ID()}), ShouldBeNil)
			So(h.OpenCount(), ShouldEqual, 1)
		})
		Convey("a take-over makes no reservation where there is none", func() {
			So(reserve(h, "r", 10), ShouldBeNil)
			resp, err := h.Reserve(ctx, clientID, ReserveReq{Request: "lost", Budget: "budget", Customer: "c", Tokens: 10, Place: Place{Run: "run"}, Takeover: true})
			So(err, ShouldBeNil)
			So(resp.Outcome, ShouldEqual, Absent)
			So(h.OpenCount(), ShouldEqual, 1)
		})
		Convey("another customer's budget is reported as unknown", func() {
			_, err := h.Reserve(ctx, clientID, ReserveReq{Request: "r", Budget: "budget", Customer: "thief", Tokens: 1, Place: Place{Run: "x"}})
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeBudgetUnknown)
		})
		Convey("reservations continue from escrow while the store is down, until the escrow is used up", func() {
			So(reserve(h, "first", 10), ShouldBeNil)
			store.SetDown(true)
			So(reserve(h, "second", 10), ShouldBeNil)
			var err error
			for i := 0; err == nil; i++ {
				err = reserve(h, fmt.Sprintf("r%d", i), 500)
			}
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeBudgetUnavailable)
			So(verdict.From(err).RetryAfter(), ShouldBeGreaterThan, time.Duration(0))
		})
		Convey("a clean stop leaves the spent tokens and no grant in the store", func() {
			So(reserve(h, "r", 100), ShouldBeNil)
			So(h.Settle(ctx, clientID, SettleReq{Request: "r", Budget: "budget", Run: "run-r", Holder: h.ID(), Tokens: 60}), ShouldBeNil)
			So(h.Stop(ctx), ShouldBeNil)
			v, err := Inspect(ctx, store, "budget")
			So(err, ShouldBeNil)
			So(v.Spent, ShouldEqual, 60)
			So(v.Free, ShouldEqual, deposit-60)
			So(v.Holders, ShouldBeEmpty)
		})
	})
}
