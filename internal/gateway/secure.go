package gateway

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// secure reserves the budget, claims the request if it must not run twice, and records where it will run. The place
// that it returns is the one that the budget's holder knows.
func (j *job) secure(ctx context.Context, place budget.Place) (budget.Place, error) {
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
	return place, j.note(ctx, place)
}

func (j *job) reserve(ctx context.Context, place budget.Place) error {
	if j.hold != nil {
		return j.hold.Move(ctx, place)
	}
	h, resp, err := j.askBudget(ctx, place)
	if err != nil {
		return err
	}
	if resp.Outcome == budget.Existing && j.formerOwner != "" && resp.Owner == j.formerOwner {
		return j.inherit(ctx, resp.HolderAddr, place)
	}
	if resp.Outcome != budget.Granted {
		return j.occupied(resp)
	}
	j.hold = h
	return nil
}

const (
	leftoverTries = 10
	leftoverPause = 20 * time.Millisecond
)

// askBudget reserves. A reservation that an earlier attempt of the same request left behind, when it was refused as not
// run, goes away within moments: it is waited for.
func (j *job) askBudget(ctx context.Context, place budget.Place) (h *budget.Hold, resp budget.ReserveResp, err error) {
	ask := budget.ReserveParams{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: place, Keyed: j.keyed(),
	}
	for range leftoverTries {
		h, resp, err = j.g.budgets.Reserve(ctx, ask)
		if err != nil || resp.Outcome != budget.Existing || j.formerOwner != "" || j.provisional {
			return h, resp, err
		}
		select {
		case <-time.After(leftoverPause):
		case <-ctx.Done():
			return h, resp, nil
		}
	}
	return h, resp, err
}

// occupied judges a request whose budget is reserved or settled by another instance. If the home of the key knew of
// nobody else, nothing has run for this one.
func (j *job) occupied(resp budget.ReserveResp) error {
	v := verdict.MayHaveRun
	if resp.Outcome == budget.Existing && !j.provisional {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.CodeConflict, "another instance is serving this request", verdict.WithRetryAfter(time.Second))
}

// inherit makes the former owner's reservation this job's. The former owner never dispatched it, and may not any more.
func (j *job) inherit(ctx context.Context, at string, place budget.Place) error {
	h, resp, err := j.g.budgets.TakeOver(ctx, at, budget.ReserveParams{
		Request: j.id, Budget: j.budget, Customer: j.customer, Tokens: j.tokens, Place: place, Keyed: true,
	})
	if err != nil {
		return err
	}
	if resp.Outcome != budget.Granted {
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

// note records the place with the home of the key. An instance that is no longer the owner must not dispatch.
func (j *job) note(ctx context.Context, place budget.Place) error {
	if j.provisional {
		return nil
	}
	owner, err := j.g.keys.Update(ctx, j.customer, j.record(place, false, 0))
	if err != nil {
		j.provisional = true
		return nil //nolint:nilerr // the request is settled only once the home has been asked
	}
	if !owner {
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "another instance has taken this request over",
			verdict.WithRetryAfter(time.Second))
	}
	return nil
}

func (j *job) record(place budget.Place, done bool, tokens int64) once.Record {
	rec := once.Record{
		Request: j.id, Fingerprint: j.fingerprint, Owner: j.g.members.Self(), Place: place, Done: done, Tokens: tokens,
	}
	if j.hold != nil {
		rec.HolderAddr = j.hold.HolderAddr()
	}
	return rec
}
