package gateway

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// prepareRun reserves the request's tokens in its budget, claims the request if it must not run twice, and records where
// it will run. It returns the place that the budget's holder has recorded.
func (j *job) prepareRun(ctx context.Context, place budget.Place) (budget.Place, error) {
	if err := j.reserve(ctx, place); err != nil {
		return place, err
	}
	place = j.hold.Place()
	if !j.keyed() {
		return place, nil
	}
	if !j.repeatable {
		if err := j.claim(ctx, place); err != nil {
			return place, err
		}
	}
	return place, j.recordPlace(ctx, place)
}

func (j *job) reserve(ctx context.Context, place budget.Place) error {
	if j.hold != nil {
		return j.hold.Move(ctx, place)
	}
	h, resp, err := j.reserveWithRetries(ctx, place)
	if err != nil {
		return err
	}
	if resp.Outcome == budget.Existing && j.formerOwner != "" && resp.Owner == j.formerOwner {
		return j.takeOverReservation(ctx, resp.HolderAddr, place)
	}
	if resp.Outcome == budget.Settled {
		j.settledBefore = &resp
	}
	if resp.Outcome != budget.Granted {
		return j.conflictError(resp)
	}
	j.hold = h
	return nil
}

const (
	staleReservationAttempts = 10
	staleReservationPause    = 20 * time.Millisecond
)

// reserveWithRetries makes the reservation. An earlier attempt of the same request that was rejected as not run may have
// left a reservation behind. The holder removes it shortly, so reserveWithRetries retries while it exists.
func (j *job) reserveWithRetries(ctx context.Context, place budget.Place) (h *budget.Hold, resp budget.ReserveResp, err error) {
	params := budget.ReserveParams{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: place, Keyed: j.keyed(),
	}
	for range staleReservationAttempts {
		h, resp, err = j.g.budgets.Reserve(ctx, params)
		if err != nil || resp.Outcome != budget.Existing || j.formerOwner != "" || j.provisional {
			return h, resp, err
		}
		select {
		case <-time.After(staleReservationPause):
		case <-ctx.Done():
			return h, resp, nil
		}
	}
	return h, resp, err
}

// conflictError returns the error for a request whose reservation another instance holds or has settled. If the
// reservation is still open and the key's registrar has no other owner on record, this request has not run.
func (j *job) conflictError(resp budget.ReserveResp) error {
	v := verdict.MayHaveRun
	if resp.Outcome == budget.Existing && !j.provisional {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.CodeConflict, "another instance is serving this request", verdict.WithRetryAfter(time.Second))
}

// takeOverReservation makes this job the owner of the former owner's reservation. The former owner never dispatched the
// request, and can no longer do so.
func (j *job) takeOverReservation(ctx context.Context, holderAddr string, place budget.Place) error {
	h, resp, err := j.g.budgets.TakeOver(ctx, holderAddr, budget.ReserveParams{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: place, Keyed: true,
	})
	if err != nil {
		return err
	}
	if resp.Outcome != budget.Granted {
		if h != nil {
			h.Settle(0)
		}
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the request has been settled", verdict.WithRetryAfter(time.Second))
	}
	j.hold = h
	return h.Move(ctx, place)
}

func (j *job) claim(ctx context.Context, place budget.Place) error {
	if j.claimed {
		return nil
	}
	if err := j.g.hook(ctx, step.Claim); err != nil {
		return err
	}
	if err := j.g.claims.Acquire(ctx, j.id, place.Run); err != nil {
		return err
	}
	j.claimed, j.claimRun = true, place.Run
	return nil
}

// recordPlace reports the place to the key's registrar. It fails if this instance is no longer the owner of the request,
// because only the owner may dispatch it.
func (j *job) recordPlace(ctx context.Context, place budget.Place) error {
	if j.provisional {
		return nil
	}
	owner, err := j.g.keys.Update(ctx, j.customer, j.keyRecord(place, false, 0))
	if err != nil {
		j.provisional = true
		return nil //nolint:nilerr // the request is settled only after the registrar has answered
	}
	if !owner {
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "another instance has taken this request over",
			verdict.WithRetryAfter(time.Second))
	}
	return nil
}

func (j *job) keyRecord(place budget.Place, done bool, tokens int64) once.Record {
	rec := once.Record{
		Request: j.id, Fingerprint: j.fingerprint, Owner: j.g.members.Self(), Place: place, Done: done, Tokens: tokens,
		Term: j.term,
	}
	switch {
	case j.hold != nil:
		rec.HolderAddr = j.hold.HolderAddr()
	case j.settledBefore != nil:
		rec.HolderAddr = j.settledBefore.HolderAddr
	default:
		rec.HolderAddr = j.joined.HolderAddr
	}
	return rec
}
