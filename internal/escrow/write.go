package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// abandon rolls back prepared writes that will not be made.
func (h *Holder) abandon(list []pageWrite) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range list {
		h.rollBack(w.state, w.rows)
	}
}

// pageWrite is a prepared write of a page. It succeeds only if the page is still at its base revision.
type pageWrite struct {
	state       *pageState
	raw         []byte
	page        *Page                // the decoded form of raw
	base        int64                // the revision that the write is based on
	count       int64                // of this holder's writes, with this one
	rows        map[string]issuedRow // this holder's rows in the page
	parts       []*pendingPart       // parts of other holders in the page
	settlements []Settlement
	// unsettled is set if rows of this node's earlier holders are left.
	unsettled  bool
	restored   bool // this is the first write of the page since the store was restored
	reinstated bool // this is such a write, and it writes back a copy that this holder had
	ends       bool // it settles this holder's rows
}

// write writes all pages of a list, or none.
func (h *Holder) write(ctx context.Context, list []pageWrite) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.CallTimeout)
	defer cancel()
	var c external.Commit
	for _, w := range list {
		c.When = append(c.When, external.Condition{Key: w.state.key, Revision: external.KeyRevision(external.EpochOf(w.base), external.NumberOf(w.base))})
		c.Put = append(c.Put, external.Entry{Key: w.state.key, Data: w.raw})
	}
	h.mu.Lock()
	h.recordCall()
	h.mu.Unlock()
	revision, err := h.store.Commit(ctx, c)
	return h.applyOutcome(list, revision, err)
}

// prepare computes the next content of a page, and records its rows as possibly in force.
func (h *Holder) prepare(p *pageState) (pageWrite, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	page, err := DecodePage(p.raw)
	if err != nil {
		return pageWrite{}, err
	}
	page, reinstated, err := p.writeBase(page)
	if err != nil {
		return pageWrite{}, err
	}
	if h.lacksRows(p, page) {
		return pageWrite{}, errPageNotRestated
	}
	if h.leaving || h.noteEnded(p, page, p.revision) {
		return pageWrite{}, errEnded
	}
	if err := h.checkLayout(page); err != nil {
		return pageWrite{}, err
	}
	report := h.report(h.clock.Now(), max(p.count, page.Holders[h.id].Count)+1)
	restored, restates := page.enterEpoch(report.Epoch, h.wall(), p.joined), h.mustRestate(p)
	var settlements []Settlement
	g := newGranter(page)
	g.frozen = h.frozen(page)
	if !p.joined || p.unsettled || restates {
		settlements = g.settlePredecessors(h.id, h.startReport())
	}
	g.report(h.id, report)
	rows := make(map[string]issuedRow)
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		need := h.need(name, a, len(page.Holders))
		if restates {
			need.MinGrant = a.minGrant(need)
		}
		row, _ := g.grant(name, h.id, need, a.prepaid)
		remaining, ungranted := g.unspent(name, a.prepaid)
		rows[name] = issuedRow{
			row: row, clock: time.Duration(report.Clock) * time.Millisecond, remaining: remaining, ungranted: ungranted, unproven: page.Accounts[name].Unproven,
		}
		a.unconfirmed = append(a.unconfirmed, rows[name])
	}
	parts := h.applyPending(p, g)
	p.unconfirmedBase = p.revision
	raw, err := page.Encode()
	return pageWrite{
		state: p, raw: raw, page: page, base: p.revision, count: report.Count, rows: rows, parts: parts, settlements: settlements,
		unsettled: g.unsettled(h.id, h.node), restored: restored, reinstated: restored && reinstated,
	}, err
}

// applyOutcome applies the store's response to a write of pages.
func (h *Holder) applyOutcome(list []pageWrite, revision int64, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var conflict *external.ConflictError
	conflicted := errors.As(err, &conflict)
	if err == nil || conflicted {
		h.recordAnswer()
	}
	for _, w := range list {
		switch {
		case err == nil:
			h.confirmWrite(w, revision)
		case conflicted:
			h.rollBack(w.state, w.rows)
			err = errors.Join(err, h.adoptCurrent(w.state, conflict.Current))
		case errors.Is(err, external.ErrUnavailable):
			h.rollBack(w.state, w.rows)
		}
	}
	if err == nil {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return err
}

// confirmWrite applies the successful write of a page. The caller holds mu.
func (h *Holder) confirmWrite(w pageWrite, revision int64) {
	p := w.state
	if revision > p.revision {
		p.raw, p.revision, p.selfWritten = w.raw, revision, true
		h.observeAll(p, w.page)
	}
	p.known, p.unconfirmedBase, p.joined, p.refreshedAt, p.verifiedAt = true, -1, true, h.now(), h.now()
	p.count, p.submitted, p.unsettled, p.epoch = w.count, false, w.unsettled, external.EpochOf(revision)
	h.logRestored(w)
	h.reportSettlements(w.settlements, p.key)
	for _, x := range w.parts {
		h.reportSettlements(x.settlements, p.key)
	}
	p.complete(w.parts)
	if w.ends {
		h.markEnded(p)
		return
	}
	p.presentAt = max(p.presentAt, revision)
	for name, i := range w.rows {
		a := h.accounts[name]
		a.confirm(i)
		a.remaining, a.ungranted, a.unproven = i.remaining, i.ungranted, i.unproven
		if i.row.Granted-i.row.Spent < a.urgent {
			a.shortAt = h.now()
		}
		a.urgent = 0
		p.reported[name] = i.row.Spent
	}
}

// logRestored logs the first write of a page since the store was restored.
func (h *Holder) logRestored(w pageWrite) {
	if w.restored {
		h.log.Info().Str("event", "escrow_restored").Str("page", w.state.key).Int64("epoch", w.page.Epoch).Bool("put_back", w.reinstated).
			Int("holders", len(w.page.Holders)).Int("doubtful", w.page.staleHolders()).Msg("first write of a budget page since the store was restored")
	}
}

// rollBack removes rows that were not written. Rows of earlier writes with unknown outcome stay. The caller holds mu.
func (h *Holder) rollBack(p *pageState, rows map[string]issuedRow) {
	left := false
	for name := range rows {
		a := h.accounts[name]
		a.unconfirmed = a.unconfirmed[:max(0, len(a.unconfirmed)-1)]
		left = left || len(a.unconfirmed) > 0
	}
	if !left {
		p.unconfirmedBase = -1
	}
}
