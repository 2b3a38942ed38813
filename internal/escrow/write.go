package escrow

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// abandon takes back what was prepared and will not be written.
func (h *Holder) abandon(list []write) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range list {
		h.undone(w.to, w.rows)
	}
}

// write is a page as it is to be written, on the condition that it is still as it was known.
type write struct {
	to     *pageState
	raw    []byte
	page   *Page             // what raw encodes
	base   int64             // the revision that it stands on
	count  int64             // of this holder's writes
	rows   map[string]issued // this holder's rows in it
	others []*pending        // rows of others in it
	folded []Settlement
	// unsettled: it leaves rows of this node's earlier holders
	unsettled bool
	restored  bool // it is the page's first one since the store was restored
	putBack   bool // and puts back a copy that this holder knew
}

// write writes all pages of a list, or none.
func (h *Holder) write(ctx context.Context, list []write) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.CallTimeout)
	defer cancel()
	var c external.Commit
	for _, w := range list {
		c.When = append(c.When, external.Condition{Key: w.to.key, Revision: external.KeyRevision(external.EpochOf(w.base), external.NumberOf(w.base))})
		c.Put = append(c.Put, external.Entry{Key: w.to.key, Data: w.raw})
	}
	revision, err := h.store.Commit(ctx, c)
	return h.outcome(list, revision, err)
}

// prepare computes the page to be written, and notes its rows as possibly in force.
func (h *Holder) prepare(p *pageState) (write, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	page, err := DecodePage(p.raw)
	if err != nil {
		return write{}, err
	}
	page, putBack, err := p.basis(page)
	if err != nil {
		return write{}, err
	}
	report := h.report(h.clock.Now(), max(p.count, page.Holders[h.id].Count)+1)
	restored, restates := page.enter(report.Epoch, h.wall(), p.joined), h.restates(p)
	var folded []Settlement
	g := newGranting(page)
	g.frozen = h.frozen(page)
	if !p.joined || p.unsettled || restates {
		folded = g.fold(h.id, h.start())
	}
	g.report(h.id, report)
	rows := make(map[string]issued)
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		need := h.need(name, a, len(page.Holders))
		if restates {
			need.MinGrant = a.keep(need)
		}
		row, _ := g.grant(name, h.id, need, a.prepaid)
		rest, free := g.rest(name, a.prepaid)
		rows[name] = issued{
			row: row, clock: time.Duration(report.Clock) * time.Millisecond, rest: rest, free: free, unproven: page.Accounts[name].Unproven,
		}
		a.unsure = append(a.unsure, rows[name])
	}
	others := h.applyAll(p, g)
	p.unsure = p.revision
	raw, err := page.Encode()
	return write{
		to: p, raw: raw, page: page, base: p.revision, count: report.Count, rows: rows, others: others, folded: folded,
		unsettled: g.unsettled(h.id, h.node), restored: restored, putBack: restored && putBack,
	}, err
}

// outcome takes the store's answer to a write of pages.
func (h *Holder) outcome(list []write, revision int64, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var conflict *external.ConflictError
	told := errors.As(err, &conflict)
	if err == nil || told {
		h.contacted()
	}
	for _, w := range list {
		switch {
		case err == nil:
			h.confirmed(w, revision)
		case told:
			h.undone(w.to, w.rows)
			err = errors.Join(err, h.adoptCurrent(w.to, conflict.Current))
		case errors.Is(err, external.ErrUnavailable):
			h.undone(w.to, w.rows)
		}
	}
	if err == nil {
		close(h.changed)
		h.changed = make(chan struct{})
	}
	return err
}

// confirmed takes a page that this holder has written. The caller holds mu.
func (h *Holder) confirmed(w write, revision int64) {
	p := w.to
	if revision > p.revision {
		p.raw, p.revision, p.mine = w.raw, revision, true
		h.observeAll(p, w.page)
	}
	p.known, p.unsure, p.joined, p.drawn, p.seen = true, -1, true, h.now(), h.now()
	p.count, p.submitted, p.unsettled, p.epoch = w.count, false, w.unsettled, external.EpochOf(revision)
	h.logRestored(w)
	h.tellFolded(w.folded, p.key)
	for _, x := range w.others {
		h.tellFolded(x.folded, p.key)
	}
	p.release(w.others)
	for name, i := range w.rows {
		a := h.accounts[name]
		a.confirm(i)
		a.rest, a.free, a.unproven = i.rest, i.free, i.unproven
		if i.row.Granted-i.row.Spent < a.urgent {
			a.dry = h.now()
		}
		a.urgent = 0
		p.reported[name] = i.row.Spent
	}
}

// logRestored reports that a page was written for the first time since the store was restored.
func (h *Holder) logRestored(w write) {
	if w.restored {
		h.log.Info().Str("event", "escrow_restored").Str("page", w.to.key).Int64("epoch", w.page.Epoch).Bool("put_back", w.putBack).
			Int("holders", len(w.page.Holders)).Int("doubtful", w.page.doubtfuls()).Msg("the store was restored: a budget page is written anew")
	}
}

// undone takes back rows that were not written. Earlier writes of unknown outcome stay. The caller holds mu.
func (h *Holder) undone(p *pageState, rows map[string]issued) {
	left := false
	for name := range rows {
		a := h.accounts[name]
		a.unsure = a.unsure[:max(0, len(a.unsure)-1)]
		left = left || len(a.unsure) > 0
	}
	if !left {
		p.unsure = -1
	}
}
