package intent

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Confirm applies a plan. It is idempotent. If one of the plan's objects has been changed since the plan was made, Confirm
// returns a conflict. Changes of other objects do not matter.
func (s *Service) Confirm(ctx context.Context, id string) (*Result, error) {
	p, err := s.Lookup(ctx, id)
	if err != nil {
		return nil, err
	}
	if err := s.hook(ctx, step.Confirm); err != nil {
		return nil, err
	}
	if p.Empty() {
		return &Result{Plan: id, State: StateUnchanged, Version: s.feed.Document().Version}, nil
	}
	res := &Result{Plan: id, State: StateAccepted}
	if res.Version, err = s.accept(external.WithDuty(ctx, external.DutyConfig), p); err != nil {
		if errors.Is(err, external.ErrAmbiguous) {
			res.State = StateUnknown
			return res, nil
		}
		return nil, err
	}
	for _, d := range p.Deposits {
		if err := s.deposit(external.WithDuty(ctx, external.DutyDeposit), d); err != nil {
			if errors.Is(err, budget.ErrCommitted) || errors.Is(err, budget.ErrInvalid) {
				return nil, verdict.New(verdict.NotRun, verdict.CodeConflict, err.Error(),
					verdict.WithField("budgets/"+d.Budget+"/deposits/"+d.ID))
			}
			res.State = StateIncomplete
			return res, nil
		}
	}
	s.log.Info().Str("event", "plan_confirmed").Str("plan", id).Int64("version", res.Version).Msg("plan confirmed")
	return res, nil
}

// accept applies the plan's changes to the document by compare-and-swap, and returns the new version. The document lists
// the ids of the plans that it contains. If the response to a write is lost, reading the document back shows whether the
// write succeeded.
func (s *Service) accept(ctx context.Context, p *Plan) (int64, error) {
	if len(p.Changes) == 0 {
		return s.feed.Document().Version, nil
	}
	ambiguous := false
	for range maxCASAttempts {
		doc, rev, err := s.current(ctx)
		if err != nil {
			if !ambiguous {
				return 0, err
			}
			if !waitRetry(ctx) {
				break
			}
			continue
		}
		if doc.HasApplied(p.ID) {
			return doc.Version, nil
		}
		version, err := s.acceptOnce(ctx, doc, rev, p)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, external.ErrAmbiguous):
			ambiguous = true
		case errors.Is(err, external.ErrConflict):
		case errors.Is(err, external.ErrUnavailable) && !ambiguous:
			return 0, unavailable(err)
		case errors.Is(err, external.ErrUnavailable):
		default:
			return 0, err
		}
		if !waitRetry(ctx) {
			break
		}
	}
	if ambiguous {
		return 0, eris.Wrap(external.ErrAmbiguous, "confirming the plan")
	}
	return 0, verdict.New(verdict.NotRun, verdict.CodeConflict, "the configuration kept changing; confirm again")
}

// acceptOnce makes one attempt to write the document that follows doc, whose revision in the store is rev.
func (s *Service) acceptOnce(ctx context.Context, doc *declare.Document, rev int64, p *Plan) (int64, error) {
	if err := doc.CheckWritable(); err != nil {
		return 0, err
	}
	next, err := doc.Next(p.ID, p.Changes)
	if err != nil {
		return 0, conflictError(err)
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, eris.Wrap(err, "encoding the configuration")
	}
	newRev, err := s.store.Put(ctx, declare.Key, data, rev, 0)
	if err != nil {
		return 0, err
	}
	return next.Version, s.feed.Adopt(data, newRev)
}

// conflictError converts the errors of declare.Document.Next to a conflict.
func conflictError(err error) error {
	var changed *declare.ObjectChangedError
	if errors.As(err, &changed) {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, err.Error()+"; make a new plan", verdict.WithField(changed.Path))
	}
	var faults declare.Faults
	if errors.As(err, &faults) {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "beside later changes the plan is not valid: "+faults.Error(),
			verdict.WithField(faults[0].Path))
	}
	return err
}

// deposit adds a deposit to its budget's row. It is idempotent because the row stores the ids of its deposits.
func (s *Service) deposit(ctx context.Context, d Deposit) error {
	key := budget.PageKey(budget.PageOf(d.Budget))
	var last error
	for range maxCASAttempts {
		last = s.depositOnce(ctx, key, d)
		if last == nil || errors.Is(last, budget.ErrCommitted) || errors.Is(last, budget.ErrInvalid) {
			return last
		}
		if !waitRetry(ctx) {
			break
		}
	}
	return eris.Wrapf(last, "depositing into budget %s", d.Budget)
}

// depositOnce makes one attempt to write a deposit to the page at key.
func (s *Service) depositOnce(ctx context.Context, key string, d Deposit) error {
	e, err := s.store.Get(ctx, key)
	if err != nil {
		return err
	}
	page, err := budget.DecodePage(e)
	if err != nil {
		return err
	}
	row, err := page.Row(d.Budget)
	if err != nil {
		row = &budget.Row{Customer: d.Customer}
		page.Put(d.Budget, row)
	}
	if _, ok := row.Deposits[d.ID]; ok {
		return nil
	}
	if err := row.Deposit(d.ID, d.Tokens); err != nil {
		return err
	}
	data, err := page.Encode()
	if err != nil {
		return err
	}
	_, err = s.store.Put(ctx, key, data, e.Revision, 0)
	return err
}
