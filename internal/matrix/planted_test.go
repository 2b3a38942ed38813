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

// faultyCaller is a mesh.Caller with an injected bug.
type faultyCaller struct {
	mesh.Caller
	call func(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error)
}

func (c *faultyCaller) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	return c.call(c.Caller, ctx, addr, kind, body)
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// billTwice settles every request a second time under another request ID.
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

// forgetHolds responds to every fence with an empty report. The successor then finds no open reservations, and the serving
// instance is never notified that its holder has been removed.
func forgetHolds(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	var req budget.FenceReq
	if kind == budget.KindFence && cbor.Unmarshal(body, &req) == nil {
		return encode(budget.FenceResp{Client: req.Client}), nil
	}
	return next.Call(ctx, addr, kind, body)
}

// loseSettlements settles every request with zero tokens.
func loseSettlements(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	var req budget.SettleReq
	if kind == budget.KindSettle && cbor.Unmarshal(body, &req) == nil {
		req.Tokens = 0
		body = encode(req)
	}
	return next.Call(ctx, addr, kind, body)
}

// claimDropper is a transport to the store that reports claims as successful without writing them. The effect is that of
// dispatching a request before its key is claimed.
type claimDropper struct{ next http.RoundTripper }

func (d claimDropper) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != etcdstore.PathTxn {
		return d.next.RoundTrip(r)
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
	return d.next.RoundTrip(r)
}

// cutAndPause pauses the serving instance right before it dispatches, while the zones are cut off from each other. The
// caller retries in the other zone.
func cutAndPause() fault {
	return fault{
		name:      "zone-cut + instance-pause",
		otherZone: true,
		inject: func(c *cell, _ *node) {
			cutZones(c, true)
			serving(c).pause()
		},
		heal: func(c *cell) {
			cutZones(c, false)
			resumeAll(c)
		},
	}
}

// keyOfZoneA is an idempotency key whose record is stored in zone-a.
const keyOfZoneA = "key-1"

// runWithBug runs a cell on a fleet with a bug and returns the auditor's findings.
func runWithBug(t *testing.T, k kind, s step.Step, ft fault, opt func(*testFleet)) (result row) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleetWith(t, opt)
		c := &cell{firstDone: make(chan struct{}), outage: outageSeconds, fleet: f, kind: k, step: s, faults: []fault{ft}}
		if ft.otherZone {
			c.outage = 0 // the paused instance resumes before its reservation expires
		}
		result = c.run(t.Context())
	})
	return result
}

func TestPlantedBugsAreCaught(t *testing.T) {
	withFaultyCaller := func(call func(mesh.Caller, context.Context, string, mesh.Kind, []byte) ([]byte, error)) func(*testFleet) {
		return func(f *testFleet) {
			f.wrapCaller = func(next mesh.Caller) mesh.Caller { return &faultyCaller{Caller: next, call: call} }
		}
	}
	Convey("Given a fleet without a bug, the auditor reports nothing", t, func() {
		r := runWithBug(t, kindChat, step.Settle, faultNamed("operator-race"), func(*testFleet) {})
		So(r.Violations, ShouldBeEmpty)
	})
	Convey("Given a fleet that bills twice, the auditor reports it", t, func() {
		r := runWithBug(t, kindChat, step.Settle, faultNamed("operator-race"), withFaultyCaller(billTwice))
		So(r.Passed, ShouldBeFalse)
		So(strings.Join(r.Violations, "; "), ShouldContainSubstring, "more than")
	})
	Convey("Given a fleet that loses settlements, the auditor reports it", t, func() {
		r := runWithBug(t, kindChat, step.Dispatch, faultNamed("operator-race"), withFaultyCaller(loseSettlements))
		So(r.Passed, ShouldBeFalse)
		So(strings.Join(r.Violations, "; "), ShouldContainSubstring, "billed 0")
	})
	Convey("Given a fleet that continues to use a crashed holder's grant, the auditor reports it", t, func() {
		r := runWithBug(t, kindChat, step.MidStream, faultNamed("home-pause"), withFaultyCaller(forgetHolds))
		So(r.Passed, ShouldBeFalse)
		So(strings.Join(r.Violations, "; "), ShouldContainSubstring, "billed 0")
	})
	Convey("Given a fleet that dispatches without a claim, the auditor reports it", t, func() {
		r := runWithBug(t, kindPayment, step.Dispatch, cutAndPause(), func(f *testFleet) {
			f.key = keyOfZoneA
			f.wrapStore = func(next http.RoundTripper) http.RoundTripper { return claimDropper{next} }
		})
		So(r.Passed, ShouldBeFalse)
		So(strings.Join(r.Violations, "; "), ShouldContainSubstring, "ran 2 times")
	})
	Convey("Given the same fault and claims that are written, the auditor reports nothing", t, func() {
		r := runWithBug(t, kindPayment, step.Dispatch, cutAndPause(), func(f *testFleet) { f.key = keyOfZoneA })
		So(r.Violations, ShouldBeEmpty)
	})
}
