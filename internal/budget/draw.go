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
	casTries            = 12
	storeTimeout        = 4 * time.Second
	recallTimeout       = 400 * time.Millisecond
	maxRecallPeers      = 16
	burstFactor         = 8  // a first draw takes this many times the need, if the row has plenty,
	burstDivisor        = 64 // or 1/burstDivisor of the row's free tokens, if that is more
	retryBackoff        = 2 * time.Millisecond
	maxBackoffDoublings = 6
	topUpBackoff        = 2 * time.Second // delay after a failed draw ahead of need
)

// errFenced means that a successor has taken over this holder's escrow.
var errFenced = errors.New("this holder has been fenced")

// topUp starts a draw ahead of need if the account is low. The caller holds the lock.
func (h *Home) topUp(a *account, now time.Time) {
	if h.needsTopUp(a, now, topUpShare) {
		h.startDraw(a, 0)
	}
}

// needsTopUp reports whether the available tokens are below a share of the target grant, and a draw may be attempted.
func (h *Home) needsTopUp(a *account, now time.Time, share float64) bool {
	if a.busy != nil || now.Before(a.blockedUntil) {
		return false
	}
	return float64(a.available()) < share*float64(TargetGrant(a.rateNow(now), a.typicalSize, h.times.Horizon))
}

// pendingDraw is one account's part of a write that draws on a page.
type pendingDraw struct {
	a        *account
	need     int64
	seq      uint64
	drawn    bool
	grant    Grant
	customer string
	err      error
}

// startDraw queues a draw; a.busy is closed when it ends. One write of a page serves all accounts of this holder that
// wait for it, and those that will need more soon. The caller holds the lock.
func (h *Home) startDraw(a *account, need int64) {
	page := PageOf(a.budget)
	a.busy = make(chan struct{})
	h.queuedDraws[page] = append(h.queuedDraws[page], &pendingDraw{a: a, need: need})
	if h.drawingPages[page] {
		return
	}
	h.drawingPages[page] = true
	holder := h.holder
	h.jobs.Go(func() { h.drawQueued(page, holder) })
}

// drawQueued writes a page until no draw is queued for it.
func (h *Home) drawQueued(page uint16, holder string) {
	for {
		batch := h.dequeueBatch(page, holder)
		if len(batch) == 0 {
			return
		}
		h.drawBatch(page, holder, batch)
	}
}

// dequeueBatch takes the draws that are queued for a page, and adds draws for the page's accounts that will need one
// soon.
func (h *Home) dequeueBatch(page uint16, holder string) []*pendingDraw {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return nil
	}
	batch := h.queuedDraws[page]
	delete(h.queuedDraws, page)
	if len(batch) == 0 {
		delete(h.drawingPages, page)
		return nil
	}
	now := h.now()
	for _, a := range h.byPage[page] {
		if h.needsTopUp(a, now, piggybackShare) {
			a.busy = make(chan struct{})
			batch = append(batch, &pendingDraw{a: a})
		}
	}
	return batch
}

func (h *Home) drawBatch(page uint16, holder string, batch []*pendingDraw) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	h.drawPage(ctx, page, holder, batch)
	for _, d := range batch {
		if d.need > 0 && errors.Is(d.err, ErrExhausted) {
			h.jobs.Go(func() { h.drawAfterRecall(page, holder, d) })
			continue
		}
		h.finishDraw(d)
	}
}

// drawAfterRecall asks the other holders to return escrow that they do not need, and draws again.
func (h *Home) drawAfterRecall(page uint16, holder string, d *pendingDraw) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	if h.recall(ctx, d.a, d.need) {
		d.err = nil
		h.drawPage(ctx, page, holder, []*pendingDraw{d})
	}
	h.finishDraw(d)
}

func (h *Home) finishDraw(d *pendingDraw) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := d.a
	close(a.busy)
	a.busy = nil
	now := h.now()
	switch {
	case d.err == nil:
		a.drawErr = nil
		h.stats.Draws++
	case d.need > 0:
		a.drawErr = d.err
		a.blockedUntil = now.Add(h.times.DrawBackoff)
	default:
		a.blockedUntil = now.Add(topUpBackoff) // a draw ahead of need failed; no reservation is rejected because of it
		a.drawErr = nil
	}
}

// drawPage raises this holder's grants on one page with a single write, and records the result in each draw. A draw
// whose outcome is unknown does not count as drawn: if it took effect, the next write of the row picks the grant up.
func (h *Home) drawPage(ctx context.Context, page uint16, holder string, batch []*pendingDraw) {
	err := h.hook(ctx, step.Draw)
	if err == nil {
		err = h.ensurePageListed(ctx, page)
	}
	if err == nil {
		h.assignSeqs(batch)
		err = h.updatePage(ctx, page,
			func(p *Page) (bool, error) { return h.editDraws(p, holder, batch) },
			func(p *Page) bool { return batchApplied(p, holder, batch) })
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

// assignSeqs assigns each draw the next sequence number of its account.
func (h *Home) assignSeqs(batch []*pendingDraw) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range batch {
		d.a.seq++
		d.seq = d.a.seq
	}
}

// editDraws edits the rows of a batch. It reports whether any row has changed.
func (h *Home) editDraws(p *Page, holder string, batch []*pendingDraw) (bool, error) {
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

func (h *Home) editDraw(row *Row, holder string, d *pendingDraw) error {
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

// batchApplied reports whether a page that was read back contains the writes of a batch. It copies the grants from
// the page.
func batchApplied(p *Page, holder string, batch []*pendingDraw) bool {
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

// updatePage edits a page by compare-and-swap. edit reports whether there is anything to write. After a lost
// response, applied reports from the reread page whether the write took effect; updatePage retries until the outcome
// is known or the attempts are used up.
func (h *Home) updatePage(ctx context.Context, page uint16, edit func(*Page) (bool, error), applied func(*Page) bool) error {
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
		if !backOff(ctx, try) {
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

// updateRow edits one budget's row.
func (h *Home) updateRow(ctx context.Context, budget string, edit func(*Row) error, applied func(*Row) bool) error {
	return h.updatePage(ctx, PageOf(budget),
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

// backOff waits before the next attempt. The delay and its jitter grow with the number of attempts, so that holders
// that write the same page do not stay synchronized. It returns false if ctx ends first.
func backOff(ctx context.Context, try int) bool {
	d := retryBackoff << min(try, maxBackoffDoublings)
	d = d/2 + rand.N(d) //nolint:gosec // jitter
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// sizeDraw decides how much to draw, and checks that the row still contains what this holder was granted.
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
	unreserved := max(0, a.available())
	// An earlier draw whose response was lost may have raised the grant already.
	surplus := max(0, g.Granted-a.granted)
	shortfall := max(0, need-surplus)
	holders := len(row.Grants)
	if !ok {
		holders++
	}
	size := h.size(Demand{TypicalSize: a.typicalSize, Need: shortfall, Rate: a.rateNow(now), Available: unreserved + surplus, Free: row.Free(), Holders: holders})
	if need > 0 && a.granted == 0 {
		burst := max(need*burstFactor, row.Free()/burstDivisor)
		size = max(size, min(burst, row.Free()/int64(2*holders)))
	}
	if size < shortfall {
		return 0, Grant{}, ErrExhausted
	}
	if size <= 0 && surplus == 0 && a.customer != "" {
		return 0, Grant{}, ErrExhausted
	}
	g.Settled = a.stored
	return max(size, 0), g, nil
}

func (h *Home) adoptGrant(d *pendingDraw, holder string) error {
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

// ensurePageListed makes sure that the journal lists the page before a grant on it is drawn.
func (h *Home) ensurePageListed(ctx context.Context, page uint16) error {
	h.mu.Lock()
	listed := h.journal.pages[page]
	h.mu.Unlock()
	if listed {
		return nil
	}
	return h.writeJournal(ctx, "", &page)
}

// recall asks the other holders of a budget to return escrow that they do not need. It reports whether any was
// returned.
func (h *Home) recall(ctx context.Context, a *account, need int64) bool {
	page, _, err := h.readPage(ctx, PageKey(PageOf(a.budget)))
	if err != nil {
		return false
	}
	row, err := page.Row(a.budget)
	if err != nil {
		return false
	}
	return h.recallFromHolders(ctx, a.budget, need, row) > 0
}

func (h *Home) recallFromHolders(ctx context.Context, budget string, need int64, row *Row) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	self := h.Holder()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var total int64
	contacted := 0
	for _, holder := range row.Holders() {
		p, ok := h.members.Find(InstanceOf(holder))
		if !ok || holder == self || contacted == maxRecallPeers {
			continue
		}
		contacted++
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

// returnEscrow returns a budget's unreserved escrow to the store. The amount leaves the account before the write, and
// stays out of it if the outcome of the write is unknown.
func (h *Home) returnEscrow(ctx context.Context, budget string, need int64) (int64, error) {
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

	err := h.updateRow(ctx, budget,
		func(row *Row) error { return row.Return(holder, n, stored, seq) },
		func(row *Row) bool { return row.Grants[holder].Seq == seq })
	return h.finishReturn(a, holder, n, stored, err)
}

func (h *Home) finishReturn(a *account, holder string, n, stored int64, err error) (int64, error) {
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
