package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// KindAttach asks a serving instance for the answer of a request that it serves or has served.
const KindAttach mesh.Kind = "gateway.attach"

// AttachReq names the request.
type AttachReq struct {
	Request string `cbor:"1,keyasint"`
}

// AttachItem is a part of the answer: pieces, or a plain service's whole answer.
type AttachItem struct {
	Pieces   []endpoint.Piece   `cbor:"1,keyasint,omitempty"`
	Response *endpoint.Response `cbor:"2,keyasint,omitempty"`
}

const (
	transcriptLife = 10 * time.Minute
	fullAnswer     = "the answer is no longer available; the request ran and was billed"
)

// serveAttach streams a transcript to another instance.
func (g *Gateway) serveAttach(ctx context.Context, _ mesh.Peer, req AttachReq, send func(AttachItem) error) error {
	j, ok := g.find(req.Request)
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "this instance does not know the request")
	}
	err := j.out.follow(ctx, func(ps []endpoint.Piece) error { return send(AttachItem{Pieces: ps}) })
	if err != nil {
		return err
	}
	j.out.mu.Lock()
	answer := j.out.answer
	j.out.mu.Unlock()
	if answer != nil {
		return send(AttachItem{Response: answer})
	}
	return nil
}

// start begins a job, or joins the one that serves the same keyed request, here or elsewhere.
func (g *Gateway) start(ctx context.Context, j *job) (*job, error) {
	if !j.keyed() {
		g.work.run(func() { j.run(ctx) })
		return j, nil
	}
	if old, ok := g.adoptLocal(j); ok {
		return old, sameBody(old.fingerprint, j.fingerprint)
	}
	if err := g.startKeyed(ctx, j); err != nil {
		g.forget(j.id, j)
		j.out.end(err)
		return nil, err
	}
	return j, nil
}

func sameBody(a, b uint64) error {
	if a == b {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the idempotency key was used with another body",
		verdict.WithField("Idempotency-Key"))
}

func (g *Gateway) startKeyed(ctx context.Context, j *job) error {
	resp, err := g.keys.Begin(ctx, j.customer, j.record(budget.Place{}, false, 0))
	if errors.Is(err, once.ErrNoHome) {
		j.provisional = true
		g.detach(ctx, j.run)
		return nil
	}
	if err != nil {
		return err
	}
	if resp.New || (resp.Record.Owner.IncarnationID() == g.members.Self().IncarnationID() && resp.Record.Place.Run == "") {
		g.detach(ctx, j.run)
		return nil
	}
	rec := resp.Record
	if err := sameBody(rec.Fingerprint, j.fingerprint); err != nil {
		return err
	}
	g.detach(ctx, func(ctx context.Context) { g.join(ctx, j, rec) })
	return nil
}

// detach runs a keyed job on its own time: the caller may hang up and come back for the answer.
func (g *Gateway) detach(ctx context.Context, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), longestStream)
	g.work.run(func() {
		defer cancel()
		stop := context.AfterFunc(g.killed, cancel)
		defer stop()
		run(ctx)
	})
}

// join gets the answer from the instance that serves the request, or takes the request over if that one is gone.
func (g *Gateway) join(ctx context.Context, j *job, rec once.Record) {
	err := g.relay(ctx, j, rec)
	if err == nil {
		j.out.end(nil)
		return
	}
	if !lost(err) || j.out.delivered() {
		g.endJoined(j, err)
		return
	}
	j.out.reset()
	g.takeOver(ctx, j, rec)
}

// lost reports whether an owner cannot give the answer, as opposed to an answer that is an error.
func lost(err error) bool {
	if errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrNoReply) {
		return true
	}
	return verdict.From(err).Code() == verdict.CodeNotFound
}

func (g *Gateway) endJoined(j *job, err error) {
	if errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrNoReply) {
		err = verdict.New(verdict.Ran, verdict.CodeTruncated, "the serving instance was lost in mid-answer",
			verdict.WithRetryAfter(time.Second), verdict.WithCause(err))
	}
	g.forget(j.id, j)
	j.out.end(err)
}

func (g *Gateway) relay(ctx context.Context, j *job, rec once.Record) error {
	if rec.Owner.IncarnationID() == g.members.Self().IncarnationID() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "this instance has forgotten the request")
	}
	req := AttachReq{Request: j.id}
	return mesh.Stream(ctx, g.caller, rec.Owner.Addr, KindAttach, req, func(it AttachItem) error {
		for _, p := range it.Pieces {
			j.out.add(p)
		}
		if it.Response != nil {
			j.out.setAnswer(it.Response)
		}
		return nil
	})
}

// takeOver continues a request whose serving instance is gone: same reservation, same run at the endpoint.
func (g *Gateway) takeOver(ctx context.Context, j *job, rec once.Record) {
	now, err := g.keys.Take(ctx, j.customer, rec)
	if err != nil || now.Owner.IncarnationID() != g.members.Self().IncarnationID() {
		g.endJoined(j, verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the request is being taken over elsewhere",
			verdict.WithRetryAfter(time.Second), verdict.WithCause(err)))
		return
	}
	if now.Place.Run == "" {
		j.formerOwner = rec.Owner.IncarnationID()
		j.run(ctx) // it was never dispatched, and the former owner may not dispatch it any more
		return
	}
	j.finish(ctx, g.continueRun(ctx, j, now))
}

func (g *Gateway) continueRun(ctx context.Context, j *job, rec once.Record) error {
	hold, resp, err := g.budgets.TakeOver(ctx, rec.Home, budget.Ask{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: rec.Place, Keyed: true,
	})
	if err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeBudgetUnready, "the request's reservation cannot be asked for",
			verdict.WithRetryAfter(time.Second), verdict.WithCause(err))
	}
	if resp.Outcome == budget.Granted {
		j.hold = hold
		j.claimed, j.dispatched = true, true
	}
	err = g.resumeRun(ctx, j, rec.Place)
	if err == nil {
		return nil
	}
	return g.afterResume(ctx, j, rec, resp, err)
}

func (g *Gateway) resumeRun(ctx context.Context, j *job, place budget.Place) error {
	url, _, ok := g.targets.Endpoint(place.Endpoint)
	if !ok || j.plain != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "the run cannot be resumed")
	}
	s, err := j.resume(ctx, url, place, 0)
	if err != nil {
		return err
	}
	return j.read(ctx, url, place, s)
}

// afterResume decides what becomes of a request whose run cannot be found again.
func (g *Gateway) afterResume(ctx context.Context, j *job, rec once.Record, resp budget.ReserveResp, err error) error {
	if resp.Outcome != budget.Granted {
		return verdict.New(verdict.Ran, verdict.CodeTruncated, fullAnswer, verdict.WithCause(err))
	}
	if !j.repeatable || j.out.delivered() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the run's fate is unknown", verdict.WithCause(err))
	}
	if resp.Place.Run != rec.Place.Run && resp.Place.Run == "" {
		return err
	}
	g.work.run(func() {
		c, cancel := context.WithTimeout(context.Background(), stopWithin)
		defer cancel()
		_, _, _, _ = g.stopper.StopRun(c, rec.Place)
	})
	j.out.reset()
	j.mayHaveRun = true
	return j.serve(ctx)
}

// newRequestID names a request that its caller has not named.
func newRequestID() string { return "r-" + ulid.Make().String() }
