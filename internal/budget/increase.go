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
	burstFactor         = 8  // a holder's first grant is up to this many times the need, if enough is free,
	burstDivisor        = 64 // or up to 1/burstDivisor of the row's free tokens, if that is more
	retryBackoff        = 2 * time.Millisecond
	maxBackoffDoublings = 6
	topUpBackoff        = 2 * time.Second // delay after a failed increase ahead of need
)

// errStopped means that this holder has removed its journal.
var errStopped = errors.New("this holder has stopped")

// errFenced means that a successor has taken over this holder's escrow.
var errFenced = errors.New("this holder has been fenced")

// topUp starts an increase of the grant ahead of need if the account is low. The caller holds the lock.
func (h *Holder) topUp(a *account, now time.Time) {
	if h.needsTopUp(a, now, topUpShare) {
		h.startIncrease(a, 0)
	}
}

// needsTopUp reports whether the available tokens are below a share of the target grant, and an increase may be
// attempted.
func (h *Holder) needsTopUp(a *account, now time.Time, share float64) bool {
	if a.busy != nil || now.Before(a.blockedUntil) {
		return false
	}
	return float64(a.available()) < share*float64(TargetGrant(a.rateNow(now), a.typicalSize, h.times.Horizon))
}

// pendingIncrease is one account's part of a write that increases grants on a page.
type pendingIncrease struct {
	a         *account
	need      int64
	seq       uint64
	increased bool
	grant     Grant
	customer  string
	err       error
}

// startIncrease queues an increase of an account's grant; a.busy is closed when it ends. One write of a page serves all
// accounts of this holder that wait for it, and those that will need more soon. The caller holds the lock.
func (h *Holder) startIncrease(a *account, need int64) {
	page := PageOf(a.budget)
	a.busy = make(chan struct{})
	h.queuedIncreases[page] = append(h.queuedIncreases[page], &pendingIncrease{a: a, need: need})
	if h.busyPages[page] {
		return
	}
	h.busyPages[page] = true
	holder := h.holder
	h.jobs.Go(func() { h.writeQueuedIncreases(page, holder) })
}

// writeQueuedIncreases writes a page until no increase is queued for it.
func (h *Holder) writeQueuedIncreases(page uint16, holder string) {
	for {
		batch := h.dequeueBatch(page, holder)
		if len(batch) == 0 {
			return
		}
		h.writeBatch(page, holder, batch)
	}
}

// dequeueBatch takes the increases that are queued for a page, and adds increases for the page's accounts that will
// need one soon.
func (h *Holder) dequeueBatch(page uint16, holder string) []*pendingIncrease {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return nil
	}
	batch := h.queuedIncreases[page]
	delete(h.queuedIncreases, page)
	if len(batch) == 0 {
		delete(h.busyPages, page)
		return nil
	}
	now := h.now()
	for _, a := range h.byPage[page] {
		if h.needsTopUp(a, now, piggybackShare) {
			a.busy = make(chan struct{})
			batch = append(batch, &pendingIncrease{a: a})
		}
	}
	return batch
}

func (h *Holder) writeBatch(page uint16, holder string, batch []*pendingIncrease) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	h.increaseGrants(ctx, page, holder, batch)
	for _, inc := range batch {
		if inc.need > 0 && errors.Is(inc.err, ErrExhausted) {
			h.jobs.Go(func() { h.retryAfterRecall(page, holder, inc) })
			continue
		}
		h.finishIncrease(inc)
	}
}

// retryAfterRecall asks the other holders to return escrow that they do not need. If any is returned, it tries the
// increase again.
func (h *Holder) retryAfterRecall(page uint16, holder string, inc *pendingIncrease) {
	ctx, cancel := context.WithTimeout(external.WithDuty(h.ctx, external.DutyDraw), storeTimeout)
	defer cancel()
	if h.recall(ctx, inc.a, inc.need) {
		inc.err = nil
		h.increaseGrants(ctx, page, holder, []*pendingIncrease{inc})
	}
	h.finishIncrease(inc)
}

func (h *Holder) finishIncrease(inc *pendingIncrease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := inc.a
	close(a.busy)
	a.busy = nil
	now := h.now()
	switch {
	case inc.err == nil:
		a.increaseErr = nil
		h.stats.Increases++
	case inc.need > 0:
		a.increaseErr = inc.err
		a.blockedUntil = now.Add(h.times.IncreaseBackoff)
	default:
		a.blockedUntil = now.Add(topUpBackoff) // no reservation waited for this increase, so none is rejected
		a.increaseErr = nil
	}
}

// increaseGrants raises this holder's grants on one page with a single write, and records the result in each increase.
// An increase whose outcome is unknown counts as failed: if it took effect, the next write of the row adopts the grant.
func (h *Holder) increaseGrants(ctx context.Context, page uint16, holder string, batch []*pendingIncrease) {
	err := h.hook(ctx, step.Draw)
	if err == nil {
		err = h.ensurePageListed(ctx, page)
	}
	if err == nil {
		h.assignSeqs(batch)
		err = h.updatePage(ctx, page,
			func(p *Page) (bool, error) { return h.increaseRows(p, holder, batch) },
			func(p *Page) bool { return batchApplied(p, holder, batch) })
	}
	for _, inc := range batch {
		switch {
		case err != nil && (inc.err == nil || inc.increased):
			inc.err = err
		case inc.increased:
			inc.err = h.adoptGrant(inc, holder)
		}
	}
}

// assignSeqs assigns each increase the next sequence number of its account.
func (h *Holder) assignSeqs(batch []*pendingIncrease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, inc := range batch {
		inc.a.seq++
		inc.seq = inc.a.seq
	}
}

// increaseRows raises the grants of a batch on their rows. It reports whether any row has changed.
func (h *Holder) increaseRows(p *Page, holder string, batch []*pendingIncrease) (bool, error) {
	changed := false
	for _, inc := range batch {
		inc.increased, inc.err = false, nil
		row, err := p.Row(inc.a.budget)
		if err != nil {
			inc.err = err
			continue
		}
		if inc.err = h.increaseRow(row, holder, inc); errors.Is(inc.err, errFenced) {
			return false, inc.err
		}
		changed = changed || inc.increased
	}
	return changed, nil
}

func (h *Holder) increaseRow(row *Row, holder string, inc *pendingIncrease) error {
	size, g, err := h.sizeIncrease(inc.a, row, inc.need, holder, inc.seq)
	if err != nil {
		return err
	}
	if err := row.Increase(holder, size, g.Settled, inc.seq); err != nil {
		return err
	}
	inc.increased, inc.grant, inc.customer = true, row.Grants[holder], row.Customer
	return nil
}

// batchApplied reports whether a page that was read back contains the writes of a batch. It copies the grants from
// the page.
func batchApplied(p *Page, holder string, batch []*pendingIncrease) bool {
	for _, inc := range batch {
		if !inc.increased {
			continue
		}
		row, err := p.Row(inc.a.budget)
		if err != nil || row.Grants[holder].Seq != inc.seq {
			return false
		}
		inc.grant, inc.customer = row.Grants[holder], row.Customer
	}
	return true
}

// updatePage edits a page by compare-and-swap. edit reports whether there is anything to write. After a lost
// response, applied reports from the reread page whether the write took effect; updatePage retries until the outcome
// is known or the attempts are used up.
func (h *Holder) updatePage(ctx context.Context, page uint16, edit func(*Page) (bool, error), applied func(*Page) bool) error {
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

func (h *Holder) readPage(ctx context.Context, key string) (*Page, int64, error) {
	e, err := h.store.Get(ctx, key)
	if err != nil {
		return nil, 0, err
	}
	p, err := DecodePage(e)
	return p, e.Revision, err
}

func (h *Holder) writePage(ctx context.Context, key string, p *Page, rev int64, edit func(*Page) (bool, error)) error {
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
func (h *Holder) updateRow(ctx context.Context, budget string, edit func(*Row) error, applied func(*Row) bool) error {
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

// sizeIncrease decides by how much to raise the grant, and checks that the row still contains what this holder was
// granted.
func (h *Holder) sizeIncrease(a *account, row *Row, need int64, holder string, seq uint64) (int64, Grant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return 0, Grant{}, errStopped
	}
	if h.holder != holder {
		return 0, Grant{}, errFenced
	}
	g, ok := row.Grants[holder]
	if !ok && a.onRow {
		return 0, Grant{}, errFenced
	}
	if g.Seq >= seq {
		return 0, Grant{}, eris.Errorf("the row is ahead of its holder: %d", g.Seq)
	}
	now := h.now()
	unreserved := max(0, a.available())
	// An earlier increase whose response was lost may have raised the grant already.
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

func (h *Holder) adoptGrant(inc *pendingIncrease, holder string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return errFenced
	}
	inc.a.granted, inc.a.onRow = inc.grant.Granted, true
	inc.a.customer = inc.customer
	h.book.PageWritten(inc.a.budget, inc.grant.Settled)
	return nil
}

// ensurePageListed makes sure that the journal lists the page before a grant on it is raised.
func (h *Holder) ensurePageListed(ctx context.Context, page uint16) error {
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
func (h *Holder) recall(ctx context.Context, a *account, need int64) bool {
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

func (h *Holder) recallFromHolders(ctx context.Context, budget string, need int64, row *Row) int64 {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	self := h.ID()
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
func (h *Holder) returnEscrow(ctx context.Context, budget string, need int64) (int64, error) {
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

func (h *Holder) finishReturn(a *account, holder string, n, stored int64, err error) (int64, error) {
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
