package escrow

import (
	"context"
	"errors"
	"time"
)

// submit has the leader write this holder's rows on all pages that are due.
func (h *Holder) submit(ctx context.Context, regular bool) {
	s := h.submission(regular)
	if len(s.Parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submissionTTL)
	defer cancel()
	receipt, err := h.fleet.Submit(ctx, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applySubmitOutcome(s, receipt, err)
	if err != nil {
		h.log.Debug().Str("event", "escrow_submission_failed").Err(err).Msg("the availability zone's leader did not write the rows")
	}
}

// applySubmitOutcome applies the outcome of submitting this holder's own rows. The caller holds mu.
func (h *Holder) applySubmitOutcome(s Submission, receipt Receipt, err error) {
	switch {
	case err == nil:
		h.recordAnswer()
		for _, r := range receipt.Parts {
			h.applyReceipt(r, s.epoch(r.Page))
		}
		close(h.changed)
		h.changed = make(chan struct{})
	case errors.Is(err, ErrNotDelivered):
		for _, part := range s.Parts {
			h.rollBackPart(part)
		}
	}
}

// submission collects the parts to be written, and records their rows as possibly in force.
func (h *Holder) submission(regular bool) Submission {
	s := Submission{Holder: h.id, DemandRates: h.localDemand()}
	for i, p := range h.pages {
		if !h.refreshDue(p, regular) {
			continue
		}
		h.mu.Lock()
		h.recordCall()
		s.Parts = append(s.Parts, h.part(i, p))
		h.mu.Unlock()
	}
	return s
}

// localDemand returns the demand at this holder, in tokens per second by customer.
func (h *Holder) localDemand() map[string]float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string]float64, len(h.accounts))
	for name, a := range h.accounts {
		if r := a.meter.rate(); r > 0 {
			out[name] = r
		}
	}
	return out
}

// part creates the part for one page. The caller holds mu.
func (h *Holder) part(i int, p *pageState) Part {
	now := h.clock.Now()
	part := Part{Page: i, Report: h.report(now, p.count+1), Rows: make(map[string]Need)}
	if !p.joined || p.unsettled || h.mustRestate(p) {
		part.Start = h.startReport()
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		need := h.need(name, a, h.holderCount)
		need.MinGrant = a.minGrant(need)
		part.Rows[name] = need
		minRow := Row{Granted: max(need.MinGrant, need.Spent), Spent: need.Spent, Demand: need.Demand, Burst: need.Burst, Rate: need.Rate}
		a.unconfirmed = append(a.unconfirmed, issuedRow{row: minRow, clock: time.Duration(part.Report.Clock) * time.Millisecond})
	}
	p.submitted = true
	return part
}

// minGrant returns the least that a holder's row may become while the row in the store is unknown: the current grant,
// less what the holder returns.
func (a *account) minGrant(n Need) int64 {
	held := a.confirmed.row.Granted
	for _, u := range a.unconfirmed {
		held = min(held, u.row.Granted)
	}
	if !a.led {
		return held
	}
	return min(held, n.Spent+max(a.target, n.Urgent))
}

// epoch returns the store's epoch in which a submission's part for a page was created.
func (s Submission) epoch(page int) int64 {
	for _, p := range s.Parts {
		if p.Page == page {
			return p.Report.Epoch
		}
	}
	return 0
}

// applyReceipt applies a leader's receipt for a page. epoch is the store's epoch in which the submitted part was
// created. The caller holds mu.
func (h *Holder) applyReceipt(r PartReceipt, epoch int64) {
	if r.Page < 0 || r.Page >= len(h.pages) {
		return
	}
	if r.Pages > 0 && r.Pages != len(h.pages) {
		h.pagesStated = r.Pages
		return
	}
	p := h.pages[r.Page]
	if !h.receiptCurrent(r, epoch) {
		return
	}
	if r.Present && r.Report.Count <= p.count {
		return // older than the state already known
	}
	if !r.Present && (r.Ended || (p.joined && !h.mustRestate(p))) {
		h.markEnded(p)
	}
	if !r.Present && !p.joined && !p.ended {
		return
	}
	p.count, p.submitted, p.unconfirmedBase = r.Report.Count, false, -1
	p.joined, p.unsettled, p.known, p.refreshedAt, p.epoch = true, r.Unsettled, false, h.now(), h.epochs.Current()
	h.holderCount, h.leaderRate = r.Holders, r.FleetRate
	for name, a := range h.accounts {
		if h.pageOf(name) != p {
			continue
		}
		held, ok := r.Rows[name]
		if !ok {
			a.confirm(issuedRow{})
			continue
		}
		a.confirm(issuedRow{row: held.Row, clock: time.Duration(r.Report.Clock) * time.Millisecond})
		a.remaining, a.ungranted, a.othersDemand, a.target = held.Remaining, held.Ungranted, held.OthersDemand, held.Target
		a.leaderRate, a.zoneRate, a.led, a.unproven = held.FleetRate, held.ZoneRate, true, held.Unproven
		p.reported[name] = held.Row.Spent
	}
}

// receiptCurrent reports whether a receipt is from the store's current epoch, and the part was created in it too. Any
// other receipt does not describe this holder's rows. The caller holds mu.
func (h *Holder) receiptCurrent(r PartReceipt, epoch int64) bool {
	if r.Epoch == 0 { // from a build or a store without epochs
		return !h.epochs.Restored()
	}
	return h.epochs.Observe(r.Epoch, 0) == nil && r.Epoch == epoch
}

// rollBackPart removes the rows of a part that no leader has accepted. The caller holds mu.
func (h *Holder) rollBackPart(part Part) {
	if part.Page >= len(h.pages) {
		return
	}
	p := h.pages[part.Page]
	left := false
	for name := range part.Rows {
		a := h.accounts[name]
		a.unconfirmed = a.unconfirmed[:max(0, len(a.unconfirmed)-1)]
		left = left || len(a.unconfirmed) > 0
	}
	if !left {
		p.submitted = false
	}
}
