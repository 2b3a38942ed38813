package budget

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
)

// share is what the reports say of one row.
type share struct {
	settled int64    // charges that the journal does not have
	fresh   []Report // the reports behind settled
	known   []Report // charges that the journal has
	open    int64
	opens   []Report
}

// shareOf sums up the reports that belong to a dead holder's grant on a row. A report belongs to the oldest holder of
// its chain that still has a grant on the row; a charge that the journal has counts there already.
func shareOf(row *Row, budget string, j *ledger.Journal, reports []Report) share {
	var s share
	for _, r := range reports {
		if r.Budget != budget || ownerOf(row, r.Chain) != j.Holder {
			continue
		}
		switch {
		case r.Open:
			s.open += r.Tokens
			s.opens = append(s.opens, r)
		case j.Charged(r.Request):
			s.known = append(s.known, r)
		default:
			s.settled += r.Tokens
			s.fresh = append(s.fresh, r)
		}
	}
	return s
}

func ownerOf(row *Row, chain []string) string {
	for _, holder := range chain {
		if _, ok := row.Grants[holder]; ok {
			return holder
		}
	}
	return ""
}

// reclaimPage moves the dead holder's grants on one page. It reports whether there were any.
func (h *Home) reclaimPage(ctx context.Context, n uint16, j *ledger.Journal, reports []Report) (bool, error) {
	if err := h.ensurePage(ctx, n); err != nil {
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
		done, err := h.moveOnce(ctx, e, page, j, reports)
		if err != nil {
			return false, err
		}
		if done != moveConflict {
			return done == moveDone, nil
		}
		if !pause(ctx, try) {
			break
		}
	}
	return false, eris.New("the page kept changing")
}

// moveResult is how one attempt to move a page's grants ended.
type moveResult int

const (
	moveNothing moveResult = iota
	moveDone
	moveConflict
)

// moveOnce tries one compare-and-swap of a page. While it runs, no other write of the affected accounts does.
func (h *Home) moveOnce(ctx context.Context, e external.Entry, page *Page, j *ledger.Journal, reports []Report) (moveResult, error) {
	budgets := grantedTo(page, j.Holder)
	if len(budgets) == 0 {
		return moveNothing, nil
	}
	release, err := h.occupy(ctx, budgets)
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
		h.adopt(moves)
		return moveDone, nil
	case errors.Is(err, external.ErrConflict):
		return moveConflict, nil
	case errors.Is(err, external.ErrAmbiguous):
		return h.settleMove(ctx, e.Key, moves)
	}
	return moveNothing, err
}

// settleMove resolves a take-over whose answer was lost. If that cannot be done, this incarnation ends: the next one
// reclaims it by the same reports, so nothing of it is spent twice.
func (h *Home) settleMove(ctx context.Context, key string, moves []move) (moveResult, error) {
	applied, known := h.applied(ctx, key, moves)
	switch {
	case !known:
		h.becomeFenced(moves[0].holder)
		return moveNothing, eris.Wrap(external.ErrAmbiguous, "the take-over's fate is unknown")
	case applied:
		h.adopt(moves)
		return moveDone, nil
	}
	return moveConflict, nil
}

func grantedTo(page *Page, holder string) []string {
	var out []string
	for _, budget := range page.Budgets() {
		row, err := page.Row(budget)
		if err != nil {
			continue
		}
		if _, ok := row.Grants[holder]; ok {
			out = append(out, budget)
		}
	}
	return out
}

// occupy waits until no store operation of the budgets' accounts runs, and keeps others from starting until release.
func (h *Home) occupy(ctx context.Context, budgets []string) (release func(), err error) {
	var taken []*account
	release = func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, a := range taken {
			close(a.busy)
			a.busy = nil
		}
	}
	for _, budget := range budgets {
		a, err := h.occupyOne(ctx, budget)
		if err != nil {
			release()
			return nil, err
		}
		taken = append(taken, a)
	}
	return release, nil
}

func (h *Home) occupyOne(ctx context.Context, budget string) (*account, error) {
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
	share    share
	grant    Grant // the successor's grant afterwards
}

func (h *Home) moveGrants(page *Page, budgets []string, j *ledger.Journal, reports []Report) ([]move, error) {
	var out []move
	holder := h.Holder()
	for _, budget := range budgets {
		row, err := page.Row(budget)
		if err != nil {
			return nil, err
		}
		g := row.Grants[j.Holder]
		s := shareOf(row, budget, j, reports)
		settled := max(g.Settled, j.Settled[budget]) + s.settled
		seq := h.accountSeq(budget)
		if err := row.Reclaim(j.Holder, holder, settled, s.open, seq); err != nil {
			return nil, eris.Wrapf(err, "budget %s: settled %d and open %d of %d", budget, settled, s.open, g.Granted)
		}
		out = append(out, move{
			budget: budget, customer: row.Customer, dead: j.Holder, holder: holder, seq: seq, share: s, grant: row.Grants[holder],
		})
	}
	return out, nil
}

func (h *Home) accountSeq(budget string) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(budget, h.now())
	a.seq++
	return a.seq
}

// applied reads a page back to see whether a take-over whose answer was lost took effect. known is false if the store
// does not say.
func (h *Home) applied(ctx context.Context, key string, moves []move) (applied, known bool) {
	for try := range casTries {
		e, err := h.store.Get(ctx, key)
		if err == nil {
			page, err := DecodePage(e)
			return err == nil && allMoved(page, moves), err == nil
		}
		if !pause(ctx, try) {
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
		if m.share.open > 0 && row.Grants[m.holder].Seq != m.seq {
			return false
		}
	}
	return true
}

// adopt takes over the open reservations of a dead holder in memory.
func (h *Home) adopt(moves []move) {
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
		if m.share.open > 0 {
			a.granted = m.grant.Granted
		}
		for _, r := range m.share.opens {
			a.hold(&reservation{
				request: r.Request, customer: r.Customer, owner: r.Owner, place: r.Place, tokens: r.Tokens, keyed: r.Keyed, since: now,
			})
		}
		for _, r := range append(m.share.known, m.share.fresh...) {
			h.settledR[r.Request] = r.Owner
			if r.Keyed {
				a.done[r.Request] = doneMark{tokens: r.Tokens, place: r.Place, at: now}
			}
		}
		h.stats.Reclaims++
	}
	h.log.Info().Str("event", "holder_reclaimed").Int("budgets", len(moves)).Msg("took over a dead holder's escrow")
	h.tellBilled(moves)
}

func (h *Home) tellBilled(moves []move) {
	for _, m := range moves {
		for _, r := range m.share.fresh {
			h.billed(ledger.Charge{Request: r.Request, Budget: m.budget, Tokens: r.Tokens})
		}
	}
}

// finishReclaim removes a fenced journal once no grant of the holder has appeared for a while: a write of the paused
// holder may still have been on its way.
func (h *Home) finishReclaim(ctx context.Context, j *ledger.Journal, left bool) error {
	h.mu.Lock()
	now := h.now()
	f, ok := h.fences[j.Holder]
	if !ok {
		f = &fenceState{}
		h.fences[j.Holder] = f
	}
	if left || f.cleared.IsZero() {
		f.cleared = now
	}
	done := !left && now.Sub(f.cleared) >= fenceKeep
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
