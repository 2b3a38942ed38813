// Package remote transports an escrow's submissions and loans between the fleet's holders.
package remote

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/fleettime"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Kinds of messages.
const (
	KindSubmit mesh.Kind = "escrow.submit"
	KindBorrow mesh.Kind = "escrow.borrow"
	KindReturn mesh.Kind = "escrow.return"
)

// Fleet connects a holder to the fleet's other holders.
type Fleet struct {
	dir   *peers.Directory
	clock *fleettime.Clock
	loans bool
}

var _ escrow.Fleet = (*Fleet)(nil)

// Option changes a Fleet.
type Option func(*Fleet)

// WithoutLoans disables loans.
func WithoutLoans() Option { return func(f *Fleet) { f.loans = false } }

// New creates a connection to the holders in a directory.
func New(dir *peers.Directory, clock *fleettime.Clock, opts ...Option) *Fleet {
	f := &Fleet{dir: dir, clock: clock, loans: true}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Time implements escrow.Fleet.
func (f *Fleet) Time() (fleettime.Bounds, bool) { return f.clock.Now() }

// Settled implements escrow.Fleet.
func (f *Fleet) Settled() bool { return f.dir.Settled() }

// Large implements escrow.Fleet.
func (f *Fleet) Large() bool { return f.dir.Large() }

// Leads implements escrow.Fleet. The holders of pools in a zone with relays pass their rows to the writer themselves: no
// other holder of the zone has rows, and a request waits for theirs.
func (f *Fleet) Leads() bool { return f.dir.Leads() || f.poolsForRelays() }

func (f *Fleet) poolsForRelays() bool { return f.dir.HasRelays() && !f.dir.Pooled() }

// LeadersUnreachable implements escrow.Fleet.
func (f *Fleet) LeadersUnreachable() bool { return f.dir.LeadersUnreachable() }

// Relays implements escrow.Fleet.
func (f *Fleet) Relays() bool { return f.Leads() && len(f.writers()) > 0 }

// writers returns the holders to which a holder that leads passes rows.
func (f *Fleet) writers() []mesh.Peer {
	if list := f.dir.FleetLeaders(); len(list) > 0 || !f.poolsForRelays() {
		return list
	}
	return f.dir.Leaders()
}

// Role implements escrow.Fleet.
func (f *Fleet) Role(customer string) escrow.Role {
	pooled, here := f.dir.Pool(customer)
	switch {
	case here:
		return escrow.RolePool
	case pooled:
		return escrow.RolePooled
	}
	return escrow.RoleStandalone
}

// Size implements escrow.Fleet.
func (f *Fleet) Size() int { return f.dir.Size() }

// NeedsNoRows implements escrow.Fleet.
func (f *Fleet) NeedsNoRows() bool { return f.dir.HasRelays() && f.dir.Pooled() }

// ZoneSize implements escrow.Fleet.
func (f *Fleet) ZoneSize() int { return f.dir.ZoneSize() }

// Submit implements escrow.Fleet. It tries the next leader only if the previous one could not be reached or has
// rejected the rows, so that it will certainly not write them.
func (f *Fleet) Submit(ctx context.Context, s escrow.Submission) (escrow.Receipt, error) {
	leaders := f.dir.Leaders()
	if s.Relayed {
		leaders = f.writers()
	}
	for _, p := range leaders {
		r, err := peers.Call[escrow.Submission, escrow.Receipt](ctx, f.dir, p, KindSubmit, s)
		if err == nil || (verdict.Of(err) != verdict.NotRun && !errors.Is(err, mesh.ErrUnreachable)) {
			return r, err
		}
	}
	return escrow.Receipt{}, escrow.ErrNotDelivered
}

// Borrow implements escrow.Fleet. It asks one holder after another until one gives a loan or the time is up.
func (f *Fleet) Borrow(ctx context.Context, loan escrow.Loan) escrow.LoanResult {
	var out escrow.LoanResult
	if !f.loans {
		return out
	}
	large := f.dir.Large()
	for _, p := range f.dir.Lenders(loan.Customer) {
		loan.HeldOnly = !large || !f.dir.SameZone(p)
		_, err := peers.Call[escrow.Loan, mesh.Empty](ctx, f.dir, p, KindBorrow, loan)
		switch {
		case err == nil:
			out.Lender = p.Addr
			return out
		case verdict.Of(err) != verdict.NotRun && !errors.Is(err, mesh.ErrUnreachable):
			out.Unconfirmed = append(out.Unconfirmed, p.Addr)
		default:
			out.RetryAfter = minNonZero(out.RetryAfter, verdict.From(err).RetryAfter())
			out.Exhausted = out.Exhausted || verdict.From(err).Code() == verdict.CodeBudgetExhausted
		}
		if ctx.Err() != nil {
			break
		}
	}
	return out
}

// minNonZero returns the smaller of two times, where 0 means none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// Return implements escrow.Fleet.
func (f *Fleet) Return(ctx context.Context, lender string, r escrow.Repayment) error {
	_, err := peers.Call[escrow.Repayment, mesh.Empty](ctx, f.dir, mesh.Peer{ID: lender, Addr: lender}, KindReturn, r)
	return err
}

// Serve registers the handlers with which a holder writes for other holders and lends to them.
func Serve(router *mesh.Router, h *escrow.Holder) {
	mesh.Handle(router, KindSubmit, func(ctx context.Context, _ mesh.Peer, s escrow.Submission) (escrow.Receipt, error) {
		return h.Submit(ctx, s)
	})
	mesh.Handle(router, KindBorrow, func(ctx context.Context, _ mesh.Peer, loan escrow.Loan) (mesh.Empty, error) {
		return mesh.Empty{}, h.Lend(ctx, loan)
	})
	mesh.Handle(router, KindReturn, func(_ context.Context, _ mesh.Peer, r escrow.Repayment) (mesh.Empty, error) {
		h.Repaid(r)
		return mesh.Empty{}, nil
	})
}
