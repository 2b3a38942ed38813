package escrow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

const (
	joinSpread      = 3                       // gaps over which tries to join are spread, for each of a crowd
	drawAttempts    = 6                       // conflicts in a row before a draw waits for the next beat
	quietRefresh    = 4 * time.Second         // a page on which nothing happens is reported this often
	stoppingHorizon = 2500 * time.Millisecond // while the process is about to stop
)

// Run draws, reports and gives back until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	var last time.Time
	for {
		h.round(ctx, h.startBeat())
		last = h.now()
		if !h.pause(ctx, last) {
			return nil
		}
	}
}

// round brings all pages up to date, by the zone's leader if there is one.
func (h *Holder) round(ctx context.Context, regular bool) {
	if h.fleet != nil && !h.Ready() && !h.fleet.Settled() {
		return
	}
	follows, relays := h.follows(), h.relays()
	switch {
	case follows:
		h.submit(ctx, regular)
	case relays && h.relay(ctx, regular) == nil:
		return
	}
	var pages []*pageState
	for _, p := range h.pages {
		if (!follows && h.due(p, regular)) || h.owes(p) {
			pages = append(pages, p)
		}
	}
	if len(pages) > 0 && ctx.Err() == nil {
		h.draw(ctx, pages...)
	}
}

// owes says whether rows of others are to be written on a page now.
func (h *Holder) owes(p *pageState) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gathered(p) && !h.rests()
}

// rests says whether a call has failed just now: the next one is not worth its price yet. The caller holds mu.
func (h *Holder) rests() bool { return h.now().Sub(h.failed) < h.times.Rest }

// pause waits for the next beat or for a request that waits; false means that ctx has ended.
func (h *Holder) pause(ctx context.Context, last time.Time) bool {
	wait, least := h.waits()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	case <-h.kicks:
	}
	gap := time.NewTimer(max(0, least-h.now().Sub(last)))
	defer gap.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-gap.C:
		return true
	}
}

// waits are the longest and the least time until the next round. A holder that has not joined all its pages cannot serve, so it
// tries again soon; not all at the same moment, as after a fault many start at once.
func (h *Holder) waits() (longest, least time.Duration) {
	follows := h.follows()
	h.mu.Lock()
	defer h.mu.Unlock()
	least = h.times.Gap * h.crowd()
	for _, p := range h.pages {
		if !p.joined && len(h.accounts) > 0 {
			return h.times.Gap + rand.N(h.times.Gap*joinSpread*h.crowd()), least
		}
		if len(p.pending) > 0 {
			return h.times.Hasty, least
		}
	}
	if follows {
		return h.times.Follow, least
	}
	return h.interval() * 3 / 2, least
}

// startBeat begins a round of draws. It says whether the round is a regular one; between these, only what requests wait for is
// drawn.
func (h *Holder) startBeat() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now.Sub(h.beat) < h.interval()*8/10 {
		return false
	}
	h.beat = now
	idle := !h.asks()
	h.own.tick(now, idle)
	h.all.tick(now, idle)
	for _, a := range h.accounts {
		a.meter.tick(now, idle)
		a.all.tick(now, idle)
	}
	return true
}

// due says whether a page has something to report. A page that is not joined or not settled is always due.
func (h *Holder) due(p *pageState, regular bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !p.joined {
		return len(h.accounts) > 0
	}
	if h.rests() {
		return false
	}
	if p.unsure >= 0 {
		return len(h.accounts) > 0
	}
	if p.unsettled && !h.start().Later {
		return true
	}
	regular = regular && h.now().Sub(p.drawn) >= h.times.Beat*6/10
	if regular && h.now().Sub(p.drawn) >= max(quietRefresh, 2*h.interval()) {
		return true
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		reported, ok := p.reported[name]
		if !ok || a.urgent > 0 || (regular && a.used() != reported) {
			return true
		}
	}
	return false
}

// draw brings pages up to date, in one write. Failures leave everything as it was, to be tried at the next beat.
func (h *Holder) draw(ctx context.Context, pages ...*pageState) {
	for range drawAttempts {
		err := h.drawOnce(ctx, pages)
		switch {
		case err == nil:
			return
		case errors.Is(err, external.ErrConflict):
			continue
		}
		h.mu.Lock()
		h.failed = h.now()
		h.mu.Unlock()
		h.log.Debug().Str("event", "escrow_draw_failed").Int("pages", len(pages)).Err(err).Msg("the store did not take a draw")
		return
	}
}

// drawOnce tries one write of pages.
func (h *Holder) drawOnce(ctx context.Context, pages []*pageState) error {
	for _, p := range pages {
		if err := h.load(ctx, p); err != nil {
			return err
		}
	}
	list := make([]write, 0, len(pages))
	for _, p := range pages {
		w, err := h.prepare(p)
		if err != nil {
			h.abandon(list)
			return err
		}
		list = append(list, w)
	}
	return h.write(ctx, list)
}

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
	folded []Folded
	// unsettled: it leaves rows of this node's earlier holders
	unsettled bool
}

// write writes all pages of a list, or none.
func (h *Holder) write(ctx context.Context, list []write) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.Call)
	defer cancel()
	var c external.Commit
	for _, w := range list {
		c.When = append(c.When, external.Condition{Key: w.to.key, Revision: w.base})
		c.Put = append(c.Put, external.Entry{Key: w.to.key, Data: w.raw})
	}
	revision, err := h.store.Commit(ctx, c)
	return h.outcome(list, revision, err)
}

// load reads a page that is not known, or of which a write may still be under way. One that this holder has written itself is taken
// to be the newest: where it is not, the conflict brings the newest, for the same one call.
func (h *Holder) load(ctx context.Context, p *pageState) error {
	h.mu.Lock()
	age := h.now().Sub(p.seen)
	fresh := p.known && p.unsure < 0 && !p.submitted && (age < freshFor || (p.mine && age < mineFor))
	h.mu.Unlock()
	if fresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.Call)
	defer cancel()
	entry, _, err := h.store.Read(ctx, p.key)
	if err != nil {
		return eris.Wrapf(err, "reading %s", p.key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard()
	return h.adopt(p, entry)
}

// heard notes an answer of the store. The caller holds mu.
func (h *Holder) heard() { h.answered = h.now() }

// Observe takes a page that was read or watched elsewhere.
func (h *Holder) Observe(e external.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pages {
		if p.key == e.Key && p.joined && e.Revision > p.revision {
			_ = h.adopt(p, e)
		}
	}
}

// adopt takes a newer copy of a page. The caller holds mu.
func (h *Holder) adopt(p *pageState, e external.Entry) error {
	if p.known && e.Revision < p.revision {
		return nil
	}
	page, err := DecodePage(e.Data)
	if err != nil {
		return err
	}
	p.raw, p.revision, p.known, p.seen, p.mine = e.Data, e.Revision, true, h.now(), false
	report, present := page.Holders[h.id]
	settled := p.settles(e.Revision, report, present)
	if settled {
		p.unsure, p.submitted, p.count = -1, false, report.Count
	}
	h.observeAll(p, page)
	for name, a := range h.accounts {
		if h.pageOf(name) != p {
			continue
		}
		acc := page.Accounts[name]
		if acc == nil {
			acc = &Account{}
		}
		a.rest, a.free = a.prepaid-acc.Spent(), a.prepaid-acc.Committed()
		if settled && present {
			a.confirm(issued{row: acc.Rows[h.id], clock: time.Duration(report.Clock) * time.Millisecond})
		} else if settled {
			a.confirm(issued{})
		}
	}
	return nil
}

// observeAll measures what all holders report on a page. The caller holds mu.
func (h *Holder) observeAll(p *pageState, page *Page) {
	h.holders = len(page.Holders)
	for name, a := range h.accounts {
		if acc := page.Accounts[name]; acc != nil && h.pageOf(name) == p {
			h.all.pending += float64(a.observe(acc, h.id))
		}
	}
}

// settles says whether a page at a revision shows what became of all writes of this holder whose outcome is not known. A direct
// write cannot happen any more once the page has moved on; rows that a leader has can, until a later write of this holder stands.
func (p *pageState) settles(revision int64, report Report, present bool) bool {
	if p.submitted {
		return report.Count > p.count || (p.joined && !present)
	}
	return p.unsure >= 0 && revision > p.unsure
}

// prepare computes the page to be written, and notes its rows as possibly in force.
func (h *Holder) prepare(p *pageState) (write, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	page, err := DecodePage(p.raw)
	if err != nil {
		return write{}, err
	}
	report := h.report(h.clock.Now(), page.Holders[h.id].Count+1)
	var folded []Folded
	if !p.joined || p.unsettled {
		folded = page.Fold(h.id, h.start())
	}
	page.Holders[h.id] = report
	rows := make(map[string]issued)
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		acc := page.account(name)
		row := acc.Grant(h.id, h.need(name, a, len(page.Holders)), a.prepaid)
		rows[name] = issued{
			row: row, clock: time.Duration(report.Clock) * time.Millisecond,
			rest: a.prepaid - acc.Spent(), free: a.prepaid - acc.Committed(),
		}
		a.unsure = append(a.unsure, rows[name])
	}
	others := h.applyAll(p, page)
	p.unsure = p.revision
	raw, err := page.Encode()
	return write{
		to: p, raw: raw, page: page, base: p.revision, count: report.Count, rows: rows, others: others, folded: folded,
		unsettled: page.Unsettled(h.id, h.node),
	}, err
}

// outcome takes the store's answer to a write of pages.
func (h *Holder) outcome(list []write, revision int64, err error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var conflict *external.ConflictError
	told := errors.As(err, &conflict)
	if err == nil || told {
		h.heard()
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
	p.count, p.submitted, p.unsettled = w.count, false, w.unsettled
	h.logFolded(w.folded, p.key)
	for _, x := range w.others {
		h.logFolded(x.folded, p.key)
	}
	p.release(w.others)
	for name, i := range w.rows {
		a := h.accounts[name]
		a.confirm(i)
		a.rest, a.free = i.rest, i.free
		if i.row.Granted-i.row.Spent < a.urgent {
			a.dry = h.now()
		}
		a.urgent = 0
		p.reported[name] = i.row.Spent
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

func (h *Holder) adoptCurrent(p *pageState, current []external.Entry) error {
	for _, e := range current {
		if e.Key == p.key {
			return h.adopt(p, e)
		}
	}
	p.known = false
	return nil
}

// Leave gives back all that is unspent and takes the holder out of every page. It tries until ctx ends.
func (h *Holder) Leave(ctx context.Context) error {
	for _, p := range h.pages {
		for {
			err := h.leaveOnce(ctx, p)
			if err == nil {
				break
			}
			if ctx.Err() != nil {
				return eris.Wrapf(err, "giving back the escrow on %s", p.key)
			}
			if !errors.Is(err, external.ErrConflict) {
				time.Sleep(h.times.Gap)
			}
		}
	}
	return nil
}

func (h *Holder) leaveOnce(ctx context.Context, p *pageState) error {
	if err := h.load(ctx, p); err != nil {
		return err
	}
	h.mu.Lock()
	page, err := DecodePage(p.raw)
	if err != nil {
		h.mu.Unlock()
		return err
	}
	if _, held := page.Holders[h.id]; !held {
		h.mu.Unlock()
		return nil
	}
	spent := make(map[string]int64, len(h.accounts))
	for name, a := range h.accounts {
		spent[name] = a.used()
		a.unsure = append(a.unsure, issued{})
	}
	page.Leave(h.id, spent)
	raw, err := page.Encode()
	p.unsure = p.revision
	w := write{to: p, raw: raw, page: page, base: p.revision}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.write(ctx, []write{w})
}
