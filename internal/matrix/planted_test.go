package matrix

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/step"
)

// saboteur is a caller with a planted bug.
type saboteur struct {
	mesh.Caller
	call func(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error)
}

func (s *saboteur) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	return s.call(s.Caller, ctx, addr, kind, body)
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// billTwice settles every request again under another name.
func billTwice(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	var req budget.SettleReq
	if kind == budget.KindSettle && cbor.Unmarshal(body, &req) == nil && req.Tokens > 0 {
		again := budget.ReserveReq{
			Request: "again-" + req.Request, Budget: req.Budget, Customer: testCustomer, Tokens: req.Tokens, Place: budget.Place{Run: "again"},
		}
		if _, err := next.Call(ctx, addr, budget.KindReserve, encode(again)); err == nil {
			req2 := req
			req2.Request, req2.Run = again.Request, "again"
			_, _ = next.Call(ctx, addr, budget.KindSettle, encode(req2))
		}
	}
	return next.Call(ctx, addr, kind, body)
}

// forgetHolds reports nothing to a successor, and never tells the serving side that its holder is gone.
func forgetHolds(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	var req budget.FenceReq
	if kind == budget.KindFence && cbor.Unmarshal(body, &req) == nil {
		return encode(budget.FenceResp{Client: req.Client}), nil
	}
	return next.Call(ctx, addr, kind, body)
}

// loseSettlements settles everything with nothing.
func loseSettlements(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	var req budget.SettleReq
	if kind == budget.KindSettle && cbor.Unmarshal(body, &req) == nil {
		req.Tokens = 0
		body = encode(req)
	}
	return next.Call(ctx, addr, kind, body)
}

// noClaims is a way to the store on which claims seem to succeed, but are not written: as if dispatched before claiming.
type noClaims struct{ next http.RoundTripper }

func (n noClaims) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != etcdstore.PathTxn {
		return n.next.RoundTrip(r)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var in etcdstore.TxnRequest
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, err
	}
	if strings.HasPrefix(string(in.Compare[0].Key), once.ClaimPrefix) {
		out := `{"succeeded":true,"header":{"revision":"1"}}`
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(out)), Request: r}, nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return n.next.RoundTrip(r)
}

// cutAndPause pauses the serving instance right before it dispatches, while the zones are cut from each other; its
// caller comes back in the other zone.
func cutAndPause() fault {
	return fault{
		name:      "zone-cut + instance-pause",
		elsewhere: true,
		strike: func(c *cell, _ *node) {
			cutZones(c, true)
			serving(c).freeze()
		},
		heal: func(c *cell) {
			cutZones(c, false)
			thawAll(c)
		},
	}
}

// keyOfZoneA is an idempotency key whose record lives in zone-a.
const keyOfZoneA = "key-1"

// plantedCell runs a cell in a world with a bug and returns what the auditor says.
func plantedCell(t *testing.T, k kind, s step.Step, f fault, opt func(*world)) (r row) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, opt)
		c := &cell{answered: make(chan struct{}), outage: longOutage, w: w, kind: k, step: s, faults: []fault{f}}
		if f.elsewhere {
			c.outage = 0 // the paused instance goes on while its reservation is still young
		}
		r = c.run(t.Context())
	})
	return r
}

func TestPlantedBugsAreCaught(t *testing.T) {
	sabotage := func(f func(mesh.Caller, context.Context, string, mesh.Kind, []byte) ([]byte, error)) func(*world) {
		return func(w *world) {
			w.wrap = func(next mesh.Caller) mesh.Caller { return &saboteur{Caller: next, call: f} }
		}
	}
	Convey("Given a fleet without a bug, the auditor is content", t, func() {
		r := plantedCell(t, kindChat, step.Settle, faultNamed("operator-race"), func(*world) {})
		So(r.Why, ShouldBeEmpty)
	})
	Convey("Given a fleet that bills twice, the auditor says so", t, func() {
		r := plantedCell(t, kindChat, step.Settle, faultNamed("operator-race"), sabotage(billTwice))
		So(r.Kept, ShouldBeFalse)
		So(strings.Join(r.Why, "; "), ShouldContainSubstring, "more than")
	})
	Convey("Given a fleet that forgets a hold, the auditor says so", t, func() {
		r := plantedCell(t, kindChat, step.Dispatch, faultNamed("operator-race"), sabotage(loseSettlements))
		So(r.Kept, ShouldBeFalse)
		So(strings.Join(r.Why, "; "), ShouldContainSubstring, "billed 0")
	})
	Convey("Given a fleet that goes on using a dead holder's grant, the auditor says so", t, func() {
		r := plantedCell(t, kindChat, step.MidStream, faultNamed("home-pause"), sabotage(forgetHolds))
		So(r.Kept, ShouldBeFalse)
		So(strings.Join(r.Why, "; "), ShouldContainSubstring, "billed 0")
	})
	Convey("Given a fleet that dispatches without a claim, the auditor says so", t, func() {
		r := plantedCell(t, kindPayment, step.Dispatch, cutAndPause(), func(w *world) {
			w.key = keyOfZoneA
			w.wrapStore = func(next http.RoundTripper) http.RoundTripper { return noClaims{next} }
		})
		So(r.Kept, ShouldBeFalse)
		So(strings.Join(r.Why, "; "), ShouldContainSubstring, "ran 2 times")
	})
	Convey("Given the same fault and honest claims, the auditor is content", t, func() {
		r := plantedCell(t, kindPayment, step.Dispatch, cutAndPause(), func(w *world) { w.key = keyOfZoneA })
		So(r.Why, ShouldBeEmpty)
	})
}
