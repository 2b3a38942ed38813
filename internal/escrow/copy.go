package escrow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// load reads a page unless the copy is fresh enough and no write of it may be under way. A copy that this holder has
// written itself counts as fresh for longer: if it is not the newest, the write's conflict returns the newest one, so
// the cost is one call in both cases.
func (h *Holder) load(ctx context.Context, p *pageState) error {
	h.mu.Lock()
	age := h.now().Sub(p.verifiedAt)
	fresh := p.known && p.unconfirmedBase < 0 && !p.submitted && (age < copyFreshFor || (p.selfWritten && age < selfWrittenFreshFor)) &&
		external.EpochOf(p.revision) == h.epochs.Current()
	if !fresh {
		h.recordCall()
	}
	h.mu.Unlock()
	if fresh {
		return nil
	}
	entry, err := h.readEntry(ctx, p.key)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordAnswer()
	return h.adopt(p, entry)
}

// readEntry reads a page from the store.
func (h *Holder) readEntry(ctx context.Context, key string) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.CallTimeout)
	defer cancel()
	entry, _, err := h.store.Read(ctx, key)
	return entry, eris.Wrapf(err, "reading %s", key)
}

// recordCall records that a call to the store begins. The caller holds mu.
func (h *Holder) recordCall() {
	if h.unanswered.IsZero() {
		h.unanswered = h.now()
	}
}

// recordAnswer records that the store has answered. The caller holds mu.
func (h *Holder) recordAnswer() { h.lastAnswer, h.unanswered = h.now(), time.Time{} }

// Observe applies a newer copy of a page that was read or watched elsewhere.
func (h *Holder) Observe(e external.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pages {
		if p.key == e.Key && p.joined && h.revisionOf(e) > p.revision {
			_ = h.adopt(p, e)
		}
	}
}

// revisionOf returns the revision of an entry. For a page that does not exist it is revision 0 of the store's current
// epoch.
func (h *Holder) revisionOf(e external.Entry) int64 {
	if e.Revision == 0 {
		return external.Revision(h.epochs.Current(), 0)
	}
	return e.Revision
}

// adopt replaces the known copy of a page by a newer one. The caller holds mu.
func (h *Holder) adopt(p *pageState, e external.Entry) error {
	revision := h.revisionOf(e)
	if p.known && revision < p.revision {
		return nil
	}
	page, err := DecodePage(e.Data)
	if err != nil {
		return err
	}
	p.savePrior(revision)
	p.raw, p.revision, p.known, p.verifiedAt, p.selfWritten = e.Data, revision, true, h.now(), false
	if _, present := page.Holders[h.id]; present {
		p.presentAt = revision
	}
	if page, _, err = p.writeBase(page); err != nil {
		return err
	}
	report, present := page.Holders[h.id]
	resolved := h.noteEnded(p, page, revision) || (!h.mustRestate(p) && p.resolvesOutcome(revision, report, present))
	if resolved {
		p.unconfirmedBase, p.submitted, p.count = -1, false, report.Count
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
		a.remaining, a.ungranted, a.unproven = a.prepaid-acc.Spent(), a.prepaid-acc.Committed(), acc.Unproven
		if resolved && present {
			a.confirm(issuedRow{row: acc.Rows[h.id], clock: time.Duration(report.Clock) * time.Millisecond})
		} else if resolved {
			a.confirm(issuedRow{})
		}
	}
	return nil
}

// observeAll measures the use that all holders have reported on a page. The caller holds mu.
func (h *Holder) observeAll(p *pageState, page *Page) {
	h.holderCount = len(page.Holders)
	for name, a := range h.accounts {
		if acc := page.Accounts[name]; acc != nil && h.pageOf(name) == p {
			h.fleetMeter.pending += float64(a.observe(acc, h.id))
		}
	}
}

// resolvesOutcome reports whether a page at a revision shows the outcome of all writes of this holder that had an
// unknown one. A direct write can no longer happen once the page has a later revision. Rows that a leader has can still
// be written until the page has a later write of this holder.
func (p *pageState) resolvesOutcome(revision int64, report Report, present bool) bool {
	if p.submitted {
		return report.Count > p.count || (p.joined && !present)
	}
	return p.unconfirmedBase >= 0 && revision > p.unconfirmedBase
}

// adoptCurrent adopts the copy of a page that a conflict has returned. If there is none, the page is to be read again.
// The caller holds mu.
func (h *Holder) adoptCurrent(p *pageState, current []external.Entry) error {
	for _, e := range current {
		if e.Key == p.key {
			return h.adopt(p, e)
		}
	}
	p.known = false
	return nil
}
