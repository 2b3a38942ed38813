package budget

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
)

// reportTotals sums up the reports on one row.
type reportTotals struct {
	settled         int64    // charges that are not in the journal
	newCharges      []Report // the reports counted in settled
	handedOver      []Report // charges in the journal that the dead holder has not reported
	recordedCharges []Report // charges that are in the journal, or that an earlier take-over has counted
	openTokens      int64
	openReports     []Report
}

// totalReports sums up the reports that belong to a dead holder's grant on a row. A report belongs to the oldest
// holder of its chain that still has a grant on the row. Charges in the journal are already counted there. If none has a
// grant, the take-over of the last one has counted the charge.
func totalReports(row *Row, budget string, j *ledger.Journal, reports []Report) reportTotals {
	var s reportTotals
	for _, r := range reports {
		if r.Budget != budget {
			continue
		}
		owner := grantOwner(row, r.Chain)
		switch {
		case owner == "" && !r.Open:
			s.recordedCharges = append(s.recordedCharges, r)
		case owner != j.Holder:
		case r.Open:
			s.openTokens += r.Tokens
			s.openReports = append(s.openReports, r)
		case j.Charged(r.Request):
			s.recordedCharges = append(s.recordedCharges, r)
			if r.Unreported {
				s.handedOver = append(s.handedOver, r)
			}
		default:
			s.settled += r.Tokens
			s.newCharges = append(s.newCharges, r)
		}
	}
	return s
}

func grantOwner(row *Row, chain []string) string {
	for _, holder := range chain {
		if _, ok := row.Grants[holder]; ok {
			return holder
		}
	}
	return ""
}

// reclaimPage moves the dead holder's grants on one page. It reports whether there were any.
func (h *Holder) reclaimPage(ctx context.Context, n uint16, j *ledger.Journal, reports []Report) (bool, error) {
	if err := h.ensurePageListed(ctx, n); err != nil {
		return false, err
	}
	key := PageKey(n)
	for try := range casTries {
		e, err := h.store.Get(ctx, key)
		if err != nil {
			return false, err
		}
		page, err := DecodePage(e)
		if err != nil {
			return false, err
		}
		done, err := h.tryMove(ctx, e, page, j, reports)
		if err != nil {
			return false, err
		}
		if done != moveConflict {
			return done == moveDone, nil
		}
		if !backOff(ctx, try) {
			break
		}
	}
	return false, eris.New("the page kept changing")
}

// moveResult is the result of one attempt to move a page's grants.
type moveResult int

const (
	moveNothing moveResult = iota
	moveDone
	moveConflict
)

// tryMove attempts one compare-and-swap of a page. It blocks other writes of the affected accounts meanwhile.
func (h *Holder) tryMove(ctx context.Context, e external.Entry, page *Page, j *ledger.Journal, reports []Report) (moveResult, error) {
	budgets := budgetsGrantedTo(page, j.Holder)
	if len(budgets) == 0 {
		return moveNothing, nil
	}
	release, err := h.lockAccounts(ctx, budgets)
	if err != nil {
		return moveNothing, err
	}
	defer release()
	moves, err := h.moveGrants(page, budgets, j, reports)
	if err != nil {
		return moveNothing, err
	}
	data, err := page.Encode()
	if err != nil {
		return moveNothing, err
	}
	_, err = h.store.Put(ctx, e.Key, data, e.Revision, 0)
	switch {
	case err == nil:
		h.adoptMoves(moves)
		return moveDone, nil
	case errors.Is(err, external.ErrConflict):
		return moveConflict, nil
	case errors.Is(err, external.ErrAmbiguous):
		return h.resolveMove(ctx, e.Key, moves)
	}
	return moveNothing, err
}

// resolveMove resolves a take-over whose response was lost. If the outcome stays unknown, this incarnation ends: the
// next one reclaims it from the same reports, so that nothing is spent twice, and finds out which charges to report.
func (h *Holder) resolveMove(ctx context.Context, key string, moves []move) (moveResult, error) {
	applied, known := h.readBackMoves(ctx, key, moves)
	switch {
	case !known:
		h.keepUnknownMoves(key, moves)
		h.abandonIncarnation(moves[0].holder)
		return moveNothing, eris.Wrap(external.ErrAmbiguous, "the outcome of the take-over is unknown")
	case applied:
		h.adoptMoves(moves)
		return moveDone, nil
	}
	return moveConflict, nil
}

func budgetsGrantedTo(page *Page, holder string) []string {
	var out []string
	for _, budget := range page.Budgets() {
		if isGranted(page, budget, holder) {
			out = append(out, budget)
		}
	}
	return out
}

// lockAccounts waits until no store operation of the budgets' accounts is in progress, and blocks new ones until
// release is called.
func (h *Holder) lockAccounts(ctx context.Context, budgets []string) (release func(), err error) {
	var locked []*account
	release = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, a := range locked {
			close(a.busy)
			a.busy = nil
		}
	}
	for _, budget := range budgets {
		a, err := h.lockAccount(ctx, budget)
		if err != nil {
			release()
			return nil, err
		}
		locked = append(locked, a)
	}
	return release, nil
}

func (h *Holder) lockAccount(ctx context.Context, budget string) (*account, error) {
	for {
		h.mu.Lock()
		a := h.account(budget, h.now())
		busy := a.busy
		if busy == nil {
			a.busy = make(chan struct{})
			h.mu.Unlock()
			return a, nil
		}
		h.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// move is one row's take-over.
type move struct {
	budget   string
	customer string
	dead     string
	holder   string
	seq      uint64
	totals   reportTotals
	grant    Grant // the successor's grant after the move
}

func (h *Holder) moveGrants(page *Page, budgets []string, j *ledger.Journal, reports []Report) ([]move, error) {
	var out []move
	holder := h.ID()
	for _, budget := range budgets {
		row, err := page.Row(budget)
		if err != nil {
			return nil, err
		}
		g := row.Grants[j.Holder]
		s := totalReports(row, budget, j, reports)
		settled := max(g.Settled, j.Settled[budget]) + s.settled
		seq := h.nextSeq(budget)
		if err := row.Reclaim(j.Holder, holder, settled, s.openTokens, seq); err != nil {
			return nil, eris.Wrapf(err, "budget %s: settled %d and open %d of %d", budget, settled, s.openTokens, g.Granted)
		}
		out = append(out, move{
			budget: budget, customer: row.Customer, dead: j.Holder, holder: holder, seq: seq, totals: s, grant: row.Grants[holder],
		})
	}
	return out, nil
}

func (h *Holder) nextSeq(budget string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(budget, h.now())
	a.seq++
	return a.seq
}

// readBackMoves reads a page back to determine whether a take-over whose response was lost took effect. known is
// false if the store does not respond.
func (h *Holder) readBackMoves(ctx context.Context, key string, moves []move) (applied, known bool) {
	for try := range casTries {
		e, err := h.store.Get(ctx, key)
		if err == nil {
			page, err := DecodePage(e)
			return err == nil && allMoved(page, moves), err == nil
		}
		if !backOff(ctx, try) {
			break
		}
	}
	return false, false
}

func allMoved(page *Page, moves []move) bool {
	for _, m := range moves {
		row, err := page.Row(m.budget)
		if err != nil {
			return false
		}
		if _, still := row.Grants[m.dead]; still {
			return false
		}
		if row.Grants[m.holder].Seq != m.seq {
			return false // another holder has moved it
		}
	}
	return true
}

// adoptMoves adds the open reservations and settled requests of a dead holder to this holder's in-memory state, and
// reports the charges that the moves have stored.
func (h *Holder) adoptMoves(moves []move) {
	h.recordMoves(moves)
	h.log.Info().Str("event", "holder_reclaimed").Int("budgets", len(moves)).Msg("took over a dead holder's escrow")
	h.notifyBilled(moves)
}

func (h *Holder) recordMoves(moves []move) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	for _, m := range moves {
		if m.holder != h.holder {
			continue
		}
		a := h.account(m.budget, now)
		if a.customer == "" {
			a.customer = m.customer
		}
		a.granted, a.onRow = m.grant.Granted, true
		for _, r := range m.totals.openReports {
			a.reserve(&reservation{
				request: r.Request, customer: r.Customer, owner: r.Owner, place: r.Place, tokens: r.Tokens, used: r.Used, keyed: r.Keyed, since: now,
			})
		}
		for _, r := range append(m.totals.recordedCharges, m.totals.newCharges...) {
			h.inheritedSettled[r.Request] = r.Owner
			if r.Keyed {
				a.done[r.Request] = doneMark{tokens: r.Tokens, owner: r.Owner, place: r.Place, at: now}
			}
		}
		h.stats.Reclaims++
	}
}

func (h *Holder) notifyBilled(moves []move) {
	for _, m := range moves {
		for _, r := range append(m.totals.handedOver, m.totals.newCharges...) {
			h.report(ledger.Charge{Request: r.Request, Budget: m.budget, Tokens: r.Tokens, Run: r.Place.Run, Holder: m.holder})
		}
	}
}

// finishReclaim removes a fenced journal once no grant of the holder has appeared for fenceRetention: a delayed write
// of a paused holder may still arrive.
func (h *Holder) finishReclaim(ctx context.Context, j *ledger.Journal, grantsLeft bool) error {
	h.mu.Lock()
	now := h.now()
	f, ok := h.fences[j.Holder]
	if !ok {
		f = &fenceState{}
		h.fences[j.Holder] = f
	}
	if grantsLeft || f.clearedAt.IsZero() {
		f.clearedAt = now
	}
	done := !grantsLeft && now.Sub(f.clearedAt) >= fenceRetention
	h.mu.Unlock()
	if !done {
		return nil
	}
	if err := deleteKey(ctx, h.store, ledger.Key(j.Zone, j.Holder)); err != nil {
		return err
	}
	h.mu.Lock()
	delete(h.fences, j.Holder)
	h.mu.Unlock()
	return nil
}
