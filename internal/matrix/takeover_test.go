package matrix

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// callFaults makes calls of one kind fail from the crash of an instance on.
type callFaults struct {
	kind        mesh.Kind
	crashed     atomic.Bool
	unreachable atomic.Int64 // number of calls that do not arrive
	lost        atomic.Int64 // number of calls whose replies are lost
}

// wrap is for testFleet.wrapCaller.
func (f *callFaults) wrap(next mesh.Caller) mesh.Caller {
	return &faultyCaller{Caller: next, call: f.call}
}

func (f *callFaults) call(next mesh.Caller, ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	if kind != f.kind || !f.crashed.Load() {
		return next.Call(ctx, addr, kind, body)
	}
	if f.unreachable.Add(-1) >= 0 {
		return nil, fmt.Errorf("%w: test", mesh.ErrUnreachable)
	}
	out, err := next.Call(ctx, addr, kind, body)
	if f.lost.Add(-1) >= 0 {
		return nil, fmt.Errorf("%w: test", mesh.ErrNoReply)
	}
	return out, err
}

// runTakeOver runs a cell in which the serving instance crashes at the last token, so that the caller's next attempt
// takes the run over. The first requests to its engine after the crash fail.
func runTakeOver(t *testing.T, faults *callFaults, engineFailures int64) row {
	t.Helper()
	f := newFleetWith(t, func(f *testFleet) { f.wrapCaller = faults.wrap })
	var failures atomic.Int64
	next := f.engines["zone-a"].Handler()
	f.http.Handle("engine.zone-a", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if faults.crashed.Load() && failures.Add(1) <= engineFailures {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	}))
	crash := fault{name: "instance-crash", inject: func(c *cell, _ *node) {
		faults.crashed.Store(true)
		serving(c).crash()
	}}
	c := &cell{firstDone: make(chan struct{}), outage: outageSeconds, fleet: f, kind: kindChat, step: step.LastToken, faults: []fault{crash}}
	return c.run(t.Context())
}

// TestAnswerAfterFailedTakeOver guards against a caller that pays and never gets the answer: once the reservation of a
// lost instance's run could not be taken over, each later attempt got the error of the first one.
func TestAnswerAfterFailedTakeOver(t *testing.T) {
	check := func(r row, observed string) {
		So(r.Violations, ShouldBeEmpty)
		So(r.Observed, ShouldEqual, observed)
		So(r.Billed, ShouldEqual, "once")
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("The next attempt gets the whole answer, and the run is billed once, if the budget's holder", t, func() {
			faults := &callFaults{kind: budget.KindReserve}
			Convey("takes the reservation over", func() {
				check(runTakeOver(t, faults, 0), "may-have-run, whole")
			})
			Convey("cannot be reached", func() {
				faults.unreachable.Store(1)
				check(runTakeOver(t, faults, 0), "may-have-run, whole")
			})
			Convey("takes the reservation over and its replies are lost", func() {
				faults.lost.Store(2)
				check(runTakeOver(t, faults, 0), "may-have-run, whole")
			})
		})
		Convey("The attempt after that gets it if the endpoint cannot be reached either", t, func() {
			faults := &callFaults{kind: budget.KindReserve}
			faults.unreachable.Store(1)
			check(runTakeOver(t, faults, 3), "may-have-run, may-have-run budget-unavailable, whole")
		})
	})
}

// TestAnswerAfterOrphanWasBilled guards against a record without the address of the budget's holder, which made each
// later take-over of the run fail.
func TestAnswerAfterOrphanWasBilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller that comes back after the run of a lost instance was billed gets the whole answer from any instance", t, func() {
			f := newFleet(t)
			req := kindChat.request(f.key)
			f.setOnStep(func(n *node, s step.Step) {
				if s == step.LastToken && n.peer.ID == "a1" {
					n.crash()
				}
			})
			So(f.send(t.Context(), f.node("a1"), req, false).complete, ShouldBeFalse)
			f.advanceSeconds(t.Context(), outageSeconds)
			got := f.send(t.Context(), f.node("b1"), req, false)
			So(got.complete, ShouldBeTrue)
			So(got.text, ShouldEqual, req.wantText())
			rec, err := f.node("b1").keys.Begin(t.Context(), testCustomer, recordFor(got.id, f.node("b2")))
			So(err, ShouldBeNil)
			So(rec.Record.HolderAddr, ShouldEqual, "a2")
			f.settle(t.Context())
			v, err := budget.Inspect(t.Context(), f.store(), testBudget)
			So(err, ShouldBeNil)
			So(v.Spent, ShouldEqual, req.cost())
		})
	})
}

// TestAnswerAfterUnreachableRegistrar guards against an error that outlasts its cause: an instance that could not reach a
// key's registrar once rejected each later attempt as served by another instance.
func TestAnswerAfterUnreachableRegistrar(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller whose attempt met an unreachable registrar gets the whole answer from the same instance later", t, func() {
			faults := &callFaults{kind: once.KindBegin}
			f := newFleetWith(t, func(f *testFleet) { f.wrapCaller = faults.wrap })
			req := kindChat.request(f.key)
			So(f.send(t.Context(), f.node("a1"), req, true).complete, ShouldBeFalse) // the caller disconnects
			f.settle(t.Context())
			faults.crashed.Store(true)
			f.node("a1").crash()
			faults.unreachable.Store(maxAttempts)
			first := f.send(t.Context(), f.node("a2"), req, false)
			So(first.code, ShouldEqual, verdict.CodeConflict)
			So(first.retryable, ShouldBeTrue)
			faults.unreachable.Store(0)
			f.advanceSeconds(t.Context(), 1)
			So(f.send(t.Context(), f.node("a2"), req, false).String(), ShouldEqual, "whole")
		})
	})
}

// TestRetryAfterUnrecordedRefusal guards against a record that outlasts its request: an attempt whose registrar did not
// answer was refused as not run, and its record stayed. No instance served the request again while that one lived, or it
// was answered and never billed.
func TestRetryAfterUnrecordedRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A caller that is refused as not run while the registrar does not answer gets the answer from another instance", t, func() {
			faults := &callFaults{kind: once.KindUpdate}
			f := newFleetWith(t, func(f *testFleet) { f.wrapCaller = faults.wrap })
			req := kindPayment.request(f.key)
			f.setOnStep(func(n *node, s step.Step) {
				if s == step.Claim && n.peer.ID == "a1" {
					faults.crashed.Store(true)
					faults.unreachable.Store(1 << 20)
					f.clock.Advance(budget.DefaultMaxHold + time.Second)
				}
			})
			first := f.send(t.Context(), f.node("a1"), req, false)
			So(first.verdict, ShouldEqual, verdict.NotRun)
			faults.unreachable.Store(0)
			f.advanceSeconds(t.Context(), 2)
			So(f.send(t.Context(), f.node("a2"), req, false).String(), ShouldEqual, "whole")
			f.settle(t.Context())
			v, err := budget.Inspect(t.Context(), f.store(), testBudget)
			So(err, ShouldBeNil)
			So(v.Spent, ShouldEqual, req.cost())
		})
	})
}

// recordFor returns a record with which a node asks for the existing one of a request.
func recordFor(request string, n *node) once.Record {
	return once.Record{Request: request, Owner: n.peer}
}
