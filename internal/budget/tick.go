package budget

import (
	"context"
	"errors"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
)

// Run implements kernel.Service: it flushes charges, returns idle escrow, resolves orphans and reclaims dead holders.
func (h *Home) Run(ctx context.Context) error {
	kernel.Every(ctx, h.times.Tick, h.Tick)
	h.cancel()
	h.jobs.Wait()
	return nil
}

// Tick does what is due. Tests call it directly.
func (h *Home) Tick(ctx context.Context) {
	if h.flushDue() {
		if err := h.writeJournal(ctx, "", nil); err != nil {
			h.log.Debug().Str("event", "flush_failed").Err(err).Msg("charges wait for the store")
		}
	}
	h.resolveOrphans(ctx)
	h.returnIdle(ctx)
	h.forgetDone()
	h.reclaimDue(ctx)
}

// flushDue reports whether the journal should be written. A holder that never drew writes none.
func (h *Home) flushDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	j := &h.journal
	if !j.dirty.IsZero() && now.Sub(j.dirty) >= h.times.Flush {
		return true
	}
	return j.rev > 0 && now.Sub(j.written) >= h.times.RefreshInterval
}

func (h *Home) forgetDone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for _, a := range h.accounts {
		a.forget(now, h.times.DoneRetention)
	}
	for run, at := range h.given {
		if now.Sub(at) > h.times.DoneRetention {
			delete(h.given, run)
		}
	}
}

// returnIdle gives back the escrow of budgets that nobody uses here, and closes their grants once the journal no
// longer mentions them.
func (h *Home) returnIdle(ctx context.Context) {
	for _, a := range h.idle() {
		h.mu.Lock()
		has := a.available() > 0
		h.mu.Unlock()
		var err error
		if has {
			_, err = h.giveBack(ctx, a.budget, 0)
		} else {
			err = h.closeGrant(ctx, a)
		}
		if err != nil {
			return // the store is not well; the next tick tries again
		}
	}
}

const idlePerTick = 8

func (h *Home) idle() []*account {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []*account
	for _, a := range h.accounts {
		if len(out) == idlePerTick {
			break
		}
		if a.granted > 0 && a.busy == nil && len(a.open) == 0 && now.Sub(a.lastUse) >= h.times.Idle {
			out = append(out, a)
		}
	}
	return out
}

// closeGrant folds a fully spent grant into the row. It does nothing while the journal may still carry its total.
func (h *Home) closeGrant(ctx context.Context, a *account) error {
	h.mu.Lock()
	if a.busy != nil || len(a.open) > 0 || a.available() != 0 || a.stored != a.settled || h.book.References(a.budget) {
		h.mu.Unlock()
		return nil
	}
	a.busy = make(chan struct{})
	holder, settled := h.holder, a.settled
	h.mu.Unlock()

	err := h.closeRow(ctx, a.budget, holder, settled)

	h.mu.Lock()
	defer h.mu.Unlock()
	close(a.busy)
	a.busy = nil
	if err != nil || h.holder != holder {
		return err
	}
	a.granted, a.settled, a.stored = 0, 0, 0
	if len(a.done) == 0 {
		h.dropAccount(a)
	}
	return nil
}

// Stop ends the holder cleanly: no new reservations, open ones end or pass to a successor, charges are flushed and
// every grant is closed. ctx limits how long open reservations are waited for.
func (h *Home) Stop(ctx context.Context) error {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	if err := h.waitOpen(ctx); err != nil {
		return eris.Wrap(err, "waiting for open reservations")
	}
	if !h.hasJournal() {
		return nil
	}
	if err := h.writeJournal(ctx, "", nil); err != nil {
		return eris.Wrap(err, "flushing the last charges")
	}
	if err := h.closeAll(ctx); err != nil {
		return err
	}
	return h.dropJournal(ctx)
}

func (h *Home) hasJournal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal.rev > 0 || h.book.Pending() > 0
}

func (h *Home) waitOpen(ctx context.Context) error {
	for {
		if h.OpenCount() == 0 {
			return nil
		}
		if !pause(ctx, 1) {
			return ctx.Err()
		}
	}
}

// OpenCount is the number of open reservations.
func (h *Home) OpenCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.accounts {
		n += len(a.open)
	}
	return n
}

// closeRow ends a holder's grant on a row.
func (h *Home) closeRow(ctx context.Context, budget, holder string, settled int64) error {
	return h.changeRow(external.WithDuty(ctx, external.DutyReturn), budget,
		func(row *Row) error { return row.Close(holder, settled) },
		func(row *Row) bool { _, ok := row.Grants[holder]; return !ok })
}

func (h *Home) closeAll(ctx context.Context) error {
	h.mu.Lock()
	var todo []*account
	for _, a := range h.accounts {
		if a.granted > 0 {
			todo = append(todo, a)
		}
	}
	h.mu.Unlock()
	for _, a := range todo {
		if err := h.closeForGood(ctx, a); err != nil {
			return eris.Wrapf(err, "closing the grant on budget %s", a.budget)
		}
	}
	return nil
}

func (h *Home) closeForGood(ctx context.Context, a *account) error {
	h.mu.Lock()
	holder, settled := h.holder, a.settled
	h.mu.Unlock()
	err := h.closeRow(ctx, a.budget, holder, settled)
	if errors.Is(err, ErrNoGrant) {
		return nil
	}
	return err
}

// dropJournal removes the journal; an answer that was lost shows as a key that is gone.
func (h *Home) dropJournal(ctx context.Context) error {
	if err := h.flushing.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "waiting to remove the journal")
	}
	defer h.flushing.Release(1)
	h.mu.Lock()
	key := ledger.Key(h.members.Self().Zone, h.holder)
	h.mu.Unlock()
	return deleteKey(external.WithDuty(ctx, external.DutyFlush), h.store, key)
}

// deleteKey removes a key whatever its revision; it goes on until it knows.
func deleteKey(ctx context.Context, store external.Store, key string) error {
	var last error
	for try := range casTries {
		e, err := store.Get(ctx, key)
		if err == nil && e.Revision == 0 {
			return nil
		}
		if err == nil {
			err = store.Delete(ctx, key, e.Revision)
		}
		if err == nil {
			return nil
		}
		last = err
		if !pause(ctx, try) {
			break
		}
	}
	return eris.Wrapf(last, "deleting %s", key)
}

// AccountView is what an operator sees of a holder's account. Amounts are tokens.
type AccountView struct {
	Budget   string  `json:"budget"`
	Granted  int64   `json:"granted"`
	Settled  int64   `json:"settled"`
	Reserved int64   `json:"reserved"`
	Open     int     `json:"open"`
	Rate     float64 `json:"rate_tokens_per_s"`
}

// Accounts lists the accounts of this holder.
func (h *Home) Accounts() []AccountView {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	out := make([]AccountView, 0, len(h.accounts))
	for _, a := range h.accounts {
		out = append(out, AccountView{
			Budget: a.budget, Granted: a.granted, Settled: a.settled, Reserved: a.reserved, Open: len(a.open), Rate: a.rateNow(now),
		})
	}
	return out
}
