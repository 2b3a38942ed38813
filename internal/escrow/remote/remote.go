// Package remote carries an escrow's submissions and loans between a zone's holders and the holder that leads it.
package remote

import (
	"context"
	"errors"

	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// The messages.
const (
	KindSubmit mesh.Kind = "escrow.submit"
	KindBorrow mesh.Kind = "escrow.borrow"
	KindReturn mesh.Kind = "escrow.return"
)

// Leader is the way to the instance that leads the zone.
type Leader struct{ dir *peers.Directory }

var _ escrow.Leader = (*Leader)(nil)

// New makes a way to the leaders that a directory names.
func New(dir *peers.Directory) *Leader { return &Leader{dir: dir} }

// Large implements escrow.Leader.
func (l *Leader) Large() bool { return l.dir.Large() }

// Leads implements escrow.Leader.
func (l *Leader) Leads() bool { return l.dir.Leads() }

// Stranded implements escrow.Leader.
func (l *Leader) Stranded() bool { return l.dir.Stranded() }

// Submit implements escrow.Leader: the next leader is asked only where the one before has certainly not seen the rows.
func (l *Leader) Submit(ctx context.Context, s escrow.Submission) (escrow.Receipt, error) {
	for _, p := range l.dir.Leaders() {
		r, err := peers.Call[escrow.Submission, escrow.Receipt](ctx, l.dir, p, KindSubmit, s)
		if !errors.Is(err, mesh.ErrUnreachable) {
			return r, err
		}
	}
	return escrow.Receipt{}, escrow.ErrNotTaken
}

// Borrow implements escrow.Leader.
func (l *Leader) Borrow(ctx context.Context, loan escrow.Loan) (string, error) {
	leaders := l.dir.Leaders()
	if len(leaders) == 0 {
		return "", escrow.ErrNotTaken
	}
	p := leaders[0]
	_, err := peers.Call[escrow.Loan, mesh.Empty](ctx, l.dir, p, KindBorrow, loan)
	if err == nil || (verdict.Of(err) != verdict.NotRun && !errors.Is(err, mesh.ErrUnreachable)) {
		return p.Addr, err
	}
	return "", err
}

// Return implements escrow.Leader.
func (l *Leader) Return(ctx context.Context, lent string, r escrow.Repayment) error {
	_, err := peers.Call[escrow.Repayment, mesh.Empty](ctx, l.dir, mesh.Peer{ID: lent, Addr: lent}, KindReturn, r)
	return err
}

// Serve lets a holder write and lend for others.
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
