package escrow

import (
	"context"
	"errors"
	"time"
)

// submit lets the leader write this holder's rows: those of all pages on which something has changed.
func (h *Holder) submit(ctx context.Context, regular bool) {
	s := h.submission(regular)
	if len(s.Parts) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submissionLife)
	defer cancel()
	receipt, err := h.fleet.Submit(ctx, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.submitted(s, receipt, err)
	if err != nil {
		h.log.Debug().Str("event", "escrow_submission_failed").Err(err).Msg("the zone's leader did not write the rows")
	}
}

// submitted takes what became of this holder's own rows. The caller holds mu.
func (h *Holder) submitted(s Submission, receipt Receipt, err error) {
	switch {
	case err == nil:
		h.contacted()
		for _, r := range receipt.Parts {
			h.received(r, s.epoch(r.Page))
		}
		close(h.changed)
		h.changed = make(chan struct{})
	case errors.Is(err, ErrNotDelivered):
		for _, part := range s.Parts {
			h.withdrawn(part)
		}
	}
}

// submission collects what is to be written, and notes it as possibly in force.
func (h *Holder) submission(regular bool) Submission {
	s := Submission{Holder: h.id, DemandRates: h.askedHere()}
	for i, p := range h.pages {
		if !h.due(p, regular) {
			continue
		}
		h.mu.Lock()
		s.Parts = append(s.Parts, h.part(i, p))
		h.mu.Unlock()
	}
	return s
}

// askedHere is what this holder is asked for, in tokens a second by customer.
func (h *Holder) askedHere() map[string]float64 {
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

// part makes the part of one page. The caller holds mu.
func (h *Holder) part(i int, p *pageState) Part {
	now := h.clock.Now()
	part := Part{Page: i, Report: h.report(now, p.count+1), Rows: make(map[string]Need)}
	if !p.joined || p.unsettled || h.restates(p) {
		part.Start = h.start()
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p || a.prepaid < 0 {
			continue
		}
		need := h.need(name, a, h.holders)
		need.MinGrant = a.keep(need)
		part.Rows[name] = need
		least := Row{Granted: max(need.MinGrant, need.Spent), Spent: need.Spent, Demand: need.Demand, Burst: need.Burst, Rate: need.Rate}
		a.unsure = append(a.unsure, issued{row: least, clock: time.Duration(part.Report.Clock) * time.Millisecond})
	}
	p.submitted = true
	return part
}

// keep is the least that a holder's row may become while it does not know what it is: what it has, less what it gives back.
func (a *account) keep(n Need) int64 {
	held := a.row.row.Granted
	for _, u := range a.unsure {
		held = min(held, u.row.Granted)
	}
	if !a.led {
		return held
	}
	return min(held, n.Spent+max(a.target, n.Urgent))
}

// epoch is the store's epoch in which a submission's part for a page was made.
func (s Submission) epoch(page int) int64 {
	for _, p := range s.Parts {
		if p.Page == page {
			return p.Report.Epoch
		}
	}
	return 0
}

// received takes a leader's receipt for a page, for a part that was made in an epoch of the store. The caller holds mu.
func (h *Holder) received(r PartReceipt, epoch int64) {
	if r.Page < 0 || r.Page >= len(h.pages) {
		return
	}
	p := h.pages[r.Page]
	if !h.present(r, epoch) {
		return
	}
	if r.Present && r.Report.Count <= p.count {
		return // an older word than the one that is known
	}
	if !r.Present && !p.joined {
		return
	}
	p.count, p.submitted, p.unsure = r.Report.Count, false, -1
	p.joined, p.unsettled, p.known, p.drawn, p.epoch = true, r.Unsettled, false, h.now(), h.epochs.Current()
	h.holders, h.leaderRate = r.Holders, r.FleetRate
	for name, a := range h.accounts {
		if h.pageOf(name) != p {
			continue
		}
		held, ok := r.Rows[name]
		if !ok {
			a.confirm(issued{})
			continue
		}
		a.confirm(issued{row: held.Row, clock: time.Duration(r.Report.Clock) * time.Millisecond})
		a.rest, a.free, a.others, a.target = held.Remaining, held.Ungranted, held.OthersDemand, held.Target
		a.leaderRate, a.zoneRate, a.led, a.unproven = held.FleetRate, held.ZoneRate, true, held.Unproven
		p.reported[name] = held.Row.Spent
	}
}

// present reports whether a receipt is of the store's present epoch, in which the part was made too. Else it tells nothing of this holder's rows. The
// caller holds mu.
func (h *Holder) present(r PartReceipt, epoch int64) bool {
	if r.Epoch == 0 { // of a build, or a store, that names none
		return !h.epochs.Restored()
	}
	return h.epochs.Observe(r.Epoch, 0) == nil && r.Epoch == epoch
}

// withdrawn takes back a part that no leader has seen. The caller holds mu.
func (h *Holder) withdrawn(part Part) {
	p := h.pages[part.Page]
	left := false
	for name := range part.Rows {
		a := h.accounts[name]
		a.unsure = a.unsure[:max(0, len(a.unsure)-1)]
		left = left || len(a.unsure) > 0
	}
	if !left {
		p.submitted = false
	}
}
