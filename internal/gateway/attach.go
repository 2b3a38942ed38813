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

// KindAttach asks an instance for the response to a request that it serves or has served.
const KindAttach mesh.Kind = "gateway.attach"

// AttachReq is the body of a KindAttach message.
type AttachReq struct {
	Request string `cbor:"1,keyasint"`
}

// AttachItem is a part of the response: pieces, or the complete response of a plain service.
type AttachItem struct {
	Pieces   []endpoint.Piece   `cbor:"1,keyasint,omitempty"`
	Response *endpoint.Response `cbor:"2,keyasint,omitempty"`
}

const (
	transcriptTTL       = 10 * time.Minute
	responseUnavailable = "the answer is no longer available; the request ran and was billed"
)

// serveAttach sends the response to a request to another instance, piece by piece as it arrives.
func (g *Gateway) serveAttach(ctx context.Context, _ mesh.Peer, req AttachReq, send func(AttachItem) error) error {
	j, ok := g.findJob(req.Request)
	if !ok {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "this instance does not know the request")
	}
	err := j.transcript.follow(ctx, func(ps []endpoint.Piece) error { return send(AttachItem{Pieces: ps}) })
	if err != nil {
		return err
	}
	j.transcript.mu.Lock()
	response := j.transcript.response
	j.transcript.mu.Unlock()
	if response != nil {
		return send(AttachItem{Response: response})
	}
	return nil
}

// start starts a job. If this or another instance already serves the same keyed request, the caller receives the response
// to that request.
func (g *Gateway) start(ctx context.Context, j *job) (*job, error) {
	if !j.keyed() {
		g.work.run(func() { j.run(ctx) })
		return j, nil
	}
	if existing, ok := g.loadOrStore(j); ok {
		return existing, checkFingerprint(existing.fingerprint, j.fingerprint)
	}
	if err := g.startKeyed(ctx, j); err != nil {
		g.removeJob(j.id, j)
		j.transcript.end(err)
		return nil, err
	}
	return j, nil
}

// checkFingerprint compares the hashes of two bodies that have the same key; 0: unknown.
func checkFingerprint(a, b uint64) error {
	if a == b || a == 0 || b == 0 {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused, "the idempotency key was used with another body",
		verdict.WithField("Idempotency-Key"))
}

func (g *Gateway) startKeyed(ctx context.Context, j *job) error {
	resp, err := g.keys.Begin(ctx, j.customer, j.keyRecord(budget.Place{}, false, 0))
	if errors.Is(err, once.ErrRegistrarUnreachable) {
		j.provisional = true
		g.detach(ctx, j.run)
		return nil
	}
	if err != nil {
		return err
	}
	if resp.New || (resp.Record.OwnedBy(g.members.Self()) && resp.Record.Place.Run == "") {
		j.registered, j.term = true, resp.Record.Term
		g.detach(ctx, j.run)
		return nil
	}
	rec := resp.Record
	if err := checkFingerprint(rec.Fingerprint, j.fingerprint); err != nil {
		return err
	}
	g.detach(ctx, func(ctx context.Context) { g.joinJob(ctx, j, rec) })
	return nil
}

// detach runs a keyed job independently of the caller's connection: the caller may disconnect and fetch the response
// later.
func (g *Gateway) detach(ctx context.Context, run func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxKeyedJobDuration)
	g.work.run(func() {
		defer cancel()
		stop := context.AfterFunc(g.killed, cancel)
		defer stop()
		run(ctx)
	})
}

// joinJob gets the response from the instance that serves the request. If that instance cannot give it, this one takes
// the request over.
func (g *Gateway) joinJob(ctx context.Context, j *job, rec once.Record) {
	err := g.relayResponse(ctx, j, rec)
	if err == nil {
		j.transcript.end(nil)
		return
	}
	if !ownerLost(err) || j.transcript.delivered() {
		g.endJoined(j, err)
		return
	}
	j.transcript.reset()
	g.takeOver(ctx, j, rec)
}

// ownerLost reports whether err means that the owner cannot give the response, rather than that the response is an error.
func ownerLost(err error) bool {
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
	g.removeJob(j.id, j)
	j.transcript.end(err)
}

func (g *Gateway) relayResponse(ctx context.Context, j *job, rec once.Record) error {
	if rec.OwnedBy(g.members.Self()) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNotFound, "this instance has forgotten the request")
	}
	req := AttachReq{Request: j.id}
	return mesh.Stream(ctx, g.caller, rec.Owner.Addr, KindAttach, req, func(item AttachItem) error {
		for _, p := range item.Pieces {
			j.transcript.add(p)
		}
		if item.Response != nil {
			j.transcript.setResponse(item.Response)
		}
		return nil
	})
}

// takeOver continues a request whose serving instance is lost, with the same reservation and the same run at the endpoint.
func (g *Gateway) takeOver(ctx context.Context, j *job, rec once.Record) {
	current, won, err := g.keys.TakeOver(ctx, j.customer, rec)
	if err != nil || !won {
		g.endJoined(j, verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the request is being taken over elsewhere",
			verdict.WithRetryAfter(time.Second), verdict.WithCause(err)))
		return
	}
	j.registered, j.term = true, current.Term
	if current.Place.Run == "" {
		j.formerOwner = rec.Owner.IncarnationID()
		j.run(ctx) // the former owner never dispatched the request, and can no longer do so
		return
	}
	j.finish(ctx, g.continueRun(ctx, j, current))
}

// continueRun takes over the reservation of a run and reads the response from the endpoint. It reads the response even if
// the budget's holder does not answer, which then bills the run as that of a lost instance.
func (g *Gateway) continueRun(ctx context.Context, j *job, rec once.Record) error {
	j.joined = rec
	hold, resp, takeOverErr := g.budgets.TakeOver(ctx, rec.HolderAddr, budget.ReserveParams{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: rec.Place, Keyed: true,
	})
	g.logTakeOver(rec, resp, takeOverErr)
	if hold != nil {
		j.hold = hold
		j.claimed, j.dispatched = true, true
	}
	err := g.resumeRun(ctx, j, rec.Place)
	switch {
	case err == nil:
		return nil
	case takeOverErr != nil:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBudgetUnavailable, "the request's reservation cannot be asked for",
			verdict.WithRetryAfter(time.Second), verdict.WithCause(errors.Join(takeOverErr, err)))
	}
	return g.afterFailedResume(ctx, j, rec, resp, err)
}

// logTakeOver logs what the holder answered to the take-over of a request's reservation.
func (g *Gateway) logTakeOver(rec once.Record, resp budget.ReserveResp, err error) {
	ev := g.log.Info().Str("event", "reservation_takeover").Str("request", rec.Request).Str("run", rec.Place.Run).
		Str("former_owner", rec.Owner.IncarnationID()).Str("holder_addr", rec.HolderAddr).Err(err)
	if err == nil {
		ev = ev.Str("holder", resp.Holder).Stringer("outcome", resp.Outcome)
	}
	ev.Msg("asked the budget's holder for the reservation of a lost instance")
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
	return j.readStream(ctx, url, place, s)
}

// afterFailedResume decides how to continue a request whose run could not be resumed. If the request may run again, the
// former run is stopped and the request served anew.
func (g *Gateway) afterFailedResume(ctx context.Context, j *job, rec once.Record, resp budget.ReserveResp, err error) error {
	if j.hold == nil {
		return verdict.New(verdict.Ran, verdict.CodeTruncated, responseUnavailable, verdict.WithCause(err))
	}
	if !j.repeatable || j.transcript.delivered() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the run's fate is unknown", verdict.WithCause(err))
	}
	if resp.Place.Run != rec.Place.Run && resp.Place.Run == "" {
		return err
	}
	g.work.run(func() {
		stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_, _, _, _ = g.stopper.StopRun(stopCtx, rec.Place)
	})
	j.transcript.reset()
	j.mayHaveRun = true
	return j.serve(ctx)
}

// newRequestID returns a random ID for a request without an idempotency key.
func newRequestID() string { return "r-" + ulid.Make().String() }
