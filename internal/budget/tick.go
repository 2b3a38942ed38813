package budget

import (
	"context"
	"errors"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
)

// Run implements kernel.Service. It flushes charges, returns idle escrow, resolves orphans and reclaims dead holders.
func (h *Holder) Run(ctx context.Context) error {
	kernel.Every(ctx, h.times.Tick, h.Tick)
	h.cancel()
	h.mu.Lock()
	h.closing = true // no reservation starts a job while the others are waited for
	h.mu.Unlock()
	h.jobs.Wait()
	return nil
}

// Tick does the periodic work that is due. Tests call it directly.
func (h *Holder) Tick(ctx context.Context) {
	if h.flushDue() {
		if err := h.writeJournal(ctx, "", nil); err != nil {
			h.log.Debug().Str("event", "flush_failed").Err(err).Msg("flush failed; charges stay pending")
		}
	}
	h.resolveOrphans(ctx)
	h.returnIdle(ctx)
	h.pruneDone()
	h.sweepIfDue(ctx)
}

// flushDue reports whether the journal should be written: there are charges to flush, or an existing journal is due for
// a refresh. A holder that has never been used has no journal.
func (h *Holder) flushDue() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	now := h.now()
	j := &h.journal
	if !j.dirtySince.IsZero() && now.Sub(j.dirtySince) >= h.times.Flush {
		return true
	}
	return j.rev > 0 && now.Sub(j.writtenAt) >= h.times.RefreshInterval
}

func (h *Holder) pruneDone() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for _, a := range h.accounts {
		a.pruneDone(now, h.times.DoneRetention)
	}
	for run, at := range h.abandonedRuns {
		if now.Sub(at) > h.times.DoneRetention {
			delete(h.abandonedRuns, run)
		}
	}
}

// returnIdle returns the escrow of budgets that are idle at this holder. It closes their grants once the journal no
// longer references these budgets.
func (h *Holder) returnIdle(ctx context.Context) {
	for _, a := range h.idleAccounts() {
		h.mu.Lock()
		hasUnreserved := a.available() > 0
		h.mu.Unlock()
		var err error
		if hasUnreserved {
			_, err = h.returnEscrow(ctx, a.budget, 0)
		} else {
			err = h.closeGrant(ctx, a)
		}
		if err != nil {
			return // the store is failing; the next tick tries again
		}
	}
}

const idlePerTick = 8

func (h *Holder) idleAccounts() []*account {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []*account
	for _, a := range h.accounts {
		if len(out) == idlePerTick {
			break
		}
		if a.onRow && a.busy == nil && len(a.open) == 0 && now.Sub(a.lastUse) >= h.times.Idle {
			out = append(out, a)
		}
	}
	return out
}

// closeGrant closes a fully spent grant on its row. It does nothing while the journal may still contain the budget's
// total.
func (h *Holder) closeGrant(ctx context.Context, a *account) error {
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
	if (err != nil && !errors.Is(err, ErrNoGrant)) || h.holder != holder {
		return err
	}
	a.granted, a.settled, a.stored, a.onRow = 0, 0, 0, false
	if len(a.done) == 0 {
		h.dropAccount(a)
	}
	return nil
}

// Stop shuts the holder down cleanly: it accepts no new reservations, waits until open ones end or pass to a
// successor, flushes charges and closes every grant. It retries until ctx ends. Then its successor has to take it over.
func (h *Holder) Stop(ctx context.Context) error {
	h.mu.Lock()
	h.closing = true
	h.mu.Unlock()
	ctx, cancel := kernel.WithReserve(ctx, handOverTime)
	defer cancel()
	err := eris.Wrap(h.waitForOpen(ctx), "waiting for open reservations")
	if err == nil {
		err = h.returnEverything(ctx)
	}
	if err != nil {
		h.handOver(ctx)
	}
	return err
}

// returnEverything repeats returnOnce until it succeeds or ctx ends.
func (h *Holder) returnEverything(ctx context.Context) error {
	for try := 0; ; try++ {
		err := h.returnOnce(ctx)
		if err == nil {
			return nil
		}
		h.log.Debug().Str("event", "return_failed").Int("try", try).Err(err).Msg("charges and grants not returned yet")
		if !backOff(ctx, try) {
			return err
		}
	}
}

// returnOnce flushes the charges, closes every grant and removes the journal.
func (h *Holder) returnOnce(ctx context.Context) error {
	if err := h.reportStored(ctx); err != nil {
		return eris.Wrap(err, "reporting the charges of an ended incarnation")
	}
	if !h.hasJournal() {
		return nil
	}
	if err := h.writeJournal(ctx, "", nil); err != nil {
		return eris.Wrap(err, "flushing the last charges")
	}
	if err := h.closeGrants(ctx); err != nil {
		return err
	}
	return h.removeJournal(ctx)
}

func (h *Holder) hasStopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopped
}

func (h *Holder) hasJournal() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal.rev > 0 || h.book.Pending() > 0
}

func (h *Holder) waitForOpen(ctx context.Context) error {
	for {
		if h.OpenCount() == 0 {
			return nil
		}
		if !backOff(ctx, 1) {
			return ctx.Err()
		}
	}
}

// OpenCount returns the number of open reservations.
func (h *Holder) OpenCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, a := range h.accounts {
		n += len(a.open)
	}
	return n
}

// closeRow ends a holder's grant on a row.
func (h *Holder) closeRow(ctx context.Context, budget, holder string, settled int64) error {
	return h.updateRow(external.WithDuty(ctx, external.DutyReturn), budget,
		func(row *Row) error { return row.Close(holder, settled) },
		func(row *Row) bool { _, ok := row.Grants[holder]; return !ok })
}

func (h *Holder) closeGrants(ctx context.Context) error {
	h.mu.Lock()
	var granted []*account
	for _, a := range h.accounts {
		if a.onRow {
			granted = append(granted, a)
		}
	}
	h.mu.Unlock()
	for _, a := range granted {
		if err := h.closeFinalGrant(ctx, a); err != nil {
			return eris.Wrapf(err, "closing the grant on budget %s", a.budget)
		}
	}
	return nil
}

func (h *Holder) closeFinalGrant(ctx context.Context, a *account) error {
	h.mu.Lock()
	holder, settled := h.holder, a.settled
	h.mu.Unlock()
	err := h.closeRow(ctx, a.budget, holder, settled)
	if errors.Is(err, ErrNoGrant) {
		return nil
	}
	return err
}

// removeJournal deletes the journal. After a lost response, the absence of the key shows that the delete took effect.
func (h *Holder) removeJournal(ctx context.Context) error {
	if err := h.journalSem.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "waiting to remove the journal")
	}
	defer h.journalSem.Release(1)
	h.mu.Lock()
	key := ledger.Key(h.members.Self().Zone, h.holder)
	h.mu.Unlock()
	if err := deleteKey(external.WithDuty(ctx, external.DutyFlush), h.store, key); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	return nil
}

// deleteKey deletes a key at any revision. It retries until the outcome is known or the attempts are used up.
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
		if !backOff(ctx, try) {
			break
		}
	}
	return eris.Wrapf(last, "deleting %s", key)
}

// AccountView is a holder's account as operators see it. Amounts are tokens.
type AccountView struct {
	Budget   string  `json:"budget"`
	Granted  int64   `json:"granted"`
	Settled  int64   `json:"settled"`
	Reserved int64   `json:"reserved"`
	Open     int     `json:"open"`
	Rate     float64 `json:"rate_tokens_per_s"`
}

// Accounts lists the accounts of this holder.
func (h *Holder) Accounts() []AccountView {
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
