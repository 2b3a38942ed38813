package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

const (
	casTries       = 12
	storeTimeout   = 4 * time.Second
	recallTimeout  = 400 * time.Millisecond
	recallPeers    = 16
	burstFactor    = 8  // a first draw takes this many times the need, if the row has plenty,
	burstShare     = 64 // or this part of what the row has left, if that is more
	retryPause     = 2 * time.Millisecond
	pauseDoublings = 6
	topUpPause     = 2 * time.Second // between draws ahead of need when the first has failed
)

// errFenced means that a successor has taken this holder's escrow.
var errFenced = errors.New("this holder has been fenced")

// topUp draws ahead of need. The caller holds the lock.
func (h *Home) topUp(a *account, now time.Time) {
	if h.wantsTopUp(a, now, lowShare) {
		h.startDraw(a, 0)
	}
}

// wantsTopUp reports whether less than a share of a full grant is in hand, and a draw may be tried.
func (h *Home) wantsTopUp(a *account, now time.Time, share float64) bool {
	if a.busy != nil || now.Before(a.blocked) {
		return false
	}
	return float64(a.available()) < share*float64(TargetGrant(a.rateNow(now), a.usual, h.times.Horizon))
}

// drawing is one account's part of a draw.
type drawing struct {
	a        *account
	need     int64
	seq      uint64
	drawn    bool
	grant    Grant
	customer string
	err      error
}

// startDraw queues a draw; a.busy is closed when it ends. One write of a page serves every account of this holder that
// waits for it, and those that will need more soon. The caller holds the lock.
func (h *Home) startDraw(a *account, need int64) {
	page := PageOf(a.budget)
	a.busy = make(chan struct{})
	h.queued[page] = append(h.queued[page], &drawing{a: a, need: need})
	if h.drawing[page] {
		return
	}
	h.drawing[page] = true
	holder := h.holder
	h.jobs.Go(func() { h.drawQueued(page, holder) })
}

// drawQueued writes a page until nobody waits for it any more.
func (h *Home) drawQueued(page uint16, holder string) {
	for {
		batch := h.takeQueued(page, holder)
		if len(batch) == 0 {
			return
		}
		h.drawBatch(page, holder, batch)
	}
}

// takeQueued takes what waits for a page, and adds the accounts on it that will want a draw soon.
func (h *Home) takeQueued(page uint16, holder string) []*drawing {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return nil
	}
	batch := h.queued[page]
	delete(h.queued, page)
	if len(batch) == 0 {
		delete(h.drawing, page)
		return nil
	}
	now := h.now()
	for _, a := range h.byPage[page] {
		if h.wantsTopUp(a, now, alongShare) {
			a.busy = make(chan struct{})
			batch = append(batch, &drawing{a: a})
		}
	}
	return batch
}

func (h *Home) drawBatch(page uint16, holder string, batch []*drawing) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	h.drawPage(ctx, page, holder, batch)
	for _, d := range batch {
		if d.need > 0 && errors.Is(d.err, ErrExhausted) {
			h.jobs.Go(func() { h.drawAfterRecall(page, holder, d) })
			continue
		}
		h.endDraw(d)
	}
}

// drawAfterRecall asks the other holders to give back what they do not need, and draws again.
func (h *Home) drawAfterRecall(page uint16, holder string, d *drawing) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	if h.recall(ctx, d.a, d.need) {
		d.err = nil
		h.drawPage(ctx, page, holder, []*drawing{d})
	}
	h.endDraw(d)
}

func (h *Home) endDraw(d *drawing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := d.a
	close(a.busy)
	a.busy = nil
	now := h.now()
	switch {
	case d.err == nil:
		a.denied = nil
		h.stats.Draws++
	case d.need > 0:
		a.denied = d.err
		a.blocked = now.Add(h.times.DrawBackoff)
	default:
		a.blocked = now.Add(topUpPause) // a draw ahead of need failed; nobody is refused for it
		a.denied = nil
	}
}

// drawPage raises this holder's grants on one page with one write, and notes in each drawing how it ended. A draw whose
// fate stays unknown is not counted as drawn: if it took effect, the next write of the row reads the grant back.
func (h *Home) drawPage(ctx context.Context, page uint16, holder string, batch []*drawing) {
	err := h.hook(ctx, step.Draw)
	if err == nil {
		err = h.ensurePage(ctx, page)
	}
	if err == nil {
		h.number(batch)
		err = h.change(ctx, page,
			func(p *Page) (bool, error) { return h.editDraws(p, holder, batch) },
			func(p *Page) bool { return drawnOn(p, holder, batch) })
	}
	for _, d := range batch {
		switch {
		case err != nil && (d.err == nil || d.drawn):
			d.err = err
		case d.drawn:
			d.err = h.adoptGrant(d, holder)
		}
	}
}

// number gives every draw its place in the order of the account's writes.
func (h *Home) number(batch []*drawing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range batch {
		d.a.seq++
		d.seq = d.a.seq
	}
}

// editDraws edits the rows of a batch. It reports whether any row has changed.
func (h *Home) editDraws(p *Page, holder string, batch []*drawing) (bool, error) {
	changed := false
	for _, d := range batch {
		d.drawn, d.err = false, nil
		row, err := p.Row(d.a.budget)
		if err != nil {
			d.err = err
			continue
		}
		if d.err = h.editDraw(row, holder, d); errors.Is(d.err, errFenced) {
			return false, d.err
		}
		changed = changed || d.drawn
	}
	return changed, nil
}

func (h *Home) editDraw(row *Row, holder string, d *drawing) error {
	size, g, err := h.sizeDraw(d.a, row, d.need, holder, d.seq)
	if err != nil {
		return err
	}
	if err := row.Draw(holder, size, g.Settled, d.seq); err != nil {
		return err
	}
	d.drawn, d.grant, d.customer = true, row.Grants[holder], row.Customer
	return nil
}

// drawnOn reports whether a page that is read back has the writes of a batch.
func drawnOn(p *Page, holder string, batch []*drawing) bool {
	for _, d := range batch {
		if !d.drawn {
			continue
		}
		row, err := p.Row(d.a.budget)
		if err != nil || row.Grants[holder].Seq != d.seq {
			return false
		}
		d.grant, d.customer = row.Grants[holder], row.Customer
	}
	return true
}

// change edits a page by compare-and-swap. edit reports whether there is anything to write. After a lost answer, applied
// tells from the page that is read back whether the write took effect; change goes on until it knows.
func (h *Home) change(ctx context.Context, page uint16, edit func(*Page) (bool, error), applied func(*Page) bool) error {
	key := PageKey(page)
	ambiguous := false
	var last error
	for try := range casTries {
		p, rev, err := h.readPage(ctx, key)
		if err != nil && !ambiguous {
			return eris.Wrapf(err, "changing page %d", page)
		}
		if err == nil {
			if ambiguous && applied(p) {
				return nil
			}
			err = h.writePage(ctx, key, p, rev, edit)
		}
		switch {
		case err == nil:
			return nil
		case errors.Is(err, external.ErrAmbiguous):
			ambiguous = true
		case errors.Is(err, external.ErrConflict):
		case errors.Is(err, external.ErrUnavailable) && ambiguous:
		default:
			return eris.Wrapf(err, "changing page %d", page)
		}
		last = err
		if !pause(ctx, try) {
			break
		}
	}
	if ambiguous {
		return eris.Wrapf(external.ErrAmbiguous, "changing page %d: %v", page, last)
	}
	return eris.Wrapf(last, "changing page %d", page)
}

func (h *Home) readPage(ctx context.Context, key string) (*Page, int64, error) {
	e, err := h.store.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	p, err := DecodePage(e)
	return p, e.Revision, err
}

func (h *Home) writePage(ctx context.Context, key string, p *Page, rev int64, edit func(*Page) (bool, error)) error {
	changed, err := edit(p)
	if err != nil || !changed {
		return err
	}
	data, err := p.Encode()
	if err != nil {
		return err
	}
	_, err = h.store.Put(ctx, key, data, rev, 0)
	return err
}

// changeRow edits one budget's row.
func (h *Home) changeRow(ctx context.Context, budget string, edit func(*Row) error, applied func(*Row) bool) error {
	return h.change(ctx, PageOf(budget),
		func(p *Page) (bool, error) {
			row, err := p.Row(budget)
			if err != nil {
				return false, err
			}
			return true, edit(row)
		},
		func(p *Page) bool {
			row, err := p.Row(budget)
			return err == nil && applied(row)
		})
}

// pause waits a little before the next try, longer and with more jitter the more tries there were, so that holders that
// write the same page do not stay in step.
func pause(ctx context.Context, try int) bool {
	d := retryPause << min(try, pauseDoublings)
	d = d/2 + rand.N(d) //nolint:gosec // jitter
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sizeDraw decides how much to draw, and checks that the row still has what this holder was granted.
func (h *Home) sizeDraw(a *account, row *Row, need int64, holder string, seq uint64) (int64, Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return 0, Grant{}, errFenced
	}
	g, ok := row.Grants[holder]
	if !ok && a.granted > 0 {
		return 0, Grant{}, errFenced
	}
	if g.Seq >= seq {
		return 0, Grant{}, eris.Errorf("the row is ahead of its holder: %d", g.Seq)
	}
	now := h.now()
	held := max(0, a.available())
	// An earlier draw whose answer was lost may have raised the grant already.
	surplus := max(0, g.Granted-a.granted)
	missing := max(0, need-surplus)
	holders := len(row.Grants)
	if !ok {
		holders++
	}
	size := h.size(Demand{TypicalSize: a.usual, Need: missing, Rate: a.rateNow(now), Available: held + surplus, Free: row.Free(), Holders: holders})
	if need > 0 && a.granted == 0 {
		burst := max(need*burstFactor, row.Free()/burstShare)
		size = max(size, min(burst, row.Free()/int64(2*holders)))
	}
	if size < missing {
		return 0, Grant{}, ErrExhausted
	}
	if size <= 0 && surplus == 0 && a.customer != "" {
		return 0, Grant{}, ErrExhausted
	}
	g.Settled = a.stored
	return max(size, 0), g, nil
}

func (h *Home) adoptGrant(d *drawing, holder string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return errFenced
	}
	d.a.granted = d.grant.Granted
	d.a.customer = d.customer
	h.book.PageWritten(d.a.budget, d.grant.Settled)
	return nil
}

// ensurePage makes sure that the journal lists the page before a grant on it is drawn.
func (h *Home) ensurePage(ctx context.Context, page uint16) error {
	h.mu.Lock()
	known := h.journal.pages[page]
	h.mu.Unlock()
	if known {
		return nil
	}
	return h.writeJournal(ctx, "", &page)
}

// recall asks the other holders of a budget to give back what they do not need. It reports whether any did.
func (h *Home) recall(ctx context.Context, a *account, need int64) bool {
	page, _, err := h.readPage(ctx, PageKey(PageOf(a.budget)))
	if err != nil {
		return false
	}
	row, err := page.Row(a.budget)
	if err != nil {
		return false
	}
	return h.askBack(ctx, a.budget, need, row) > 0
}

func (h *Home) askBack(ctx context.Context, budget string, need int64, row *Row) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	self := h.Holder()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var total int64
	asked := 0
	for _, holder := range row.Holders() {
		p, ok := h.members.Find(InstanceOf(holder))
		if !ok || holder == self || asked == recallPeers {
			continue
		}
		asked++
		wg.Go(func() {
			resp, err := mesh.Call[RecallReq, RecallResp](ctx, h.caller, p.Addr, KindRecall, RecallReq{Budget: budget, Need: need})
			if err != nil {
				return
			}
			mu.Lock()
			total += resp.Returned
			mu.Unlock()
		})
	}
	wg.Wait()
	return total
}

// giveBack returns unreserved escrow of a budget to the store. The amount leaves the account before the write and
// stays out of it if the write's fate is unknown.
func (h *Home) giveBack(ctx context.Context, budget string, need int64) (int64, error) {
	if err := h.hook(ctx, step.Return); err != nil {
		return 0, err
	}
	ctx = external.WithDuty(ctx, external.DutyReturn)
	h.mu.Lock()
	a, ok := h.accounts[budget]
	if !ok || a.busy != nil || a.available() <= 0 {
		h.mu.Unlock()
		return 0, nil
	}
	n := a.available()
	if need > 0 && a.rateNow(h.now()) > 1 {
		n = min(n, max(n/2, need))
	}
	a.granted -= n
	a.seq++
	seq, holder, stored := a.seq, h.holder, a.stored
	a.busy = make(chan struct{})
	h.mu.Unlock()

	err := h.changeRow(ctx, budget,
		func(row *Row) error { return row.Return(holder, n, stored, seq) },
		func(row *Row) bool { return row.Grants[holder].Seq == seq })
	return h.endReturn(a, holder, n, stored, err)
}

func (h *Home) endReturn(a *account, holder string, n, stored int64, err error) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(a.busy)
	a.busy = nil
	if h.holder != holder {
		return 0, errFenced
	}
	if err != nil {
		if !errors.Is(err, external.ErrAmbiguous) {
			a.granted += n
		}
		return 0, err
	}
	h.stats.Returns++
	h.book.PageWritten(a.budget, stored)
	return n, nil
}
