package escrow

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
)

// load reads a page that is not known, or of which a write may still be under way. One that this holder has written itself is taken
// to be the newest: where it is not, the conflict brings the newest, for the same one call.
func (h *Holder) load(ctx context.Context, p *pageState) error {
	h.mu.Lock()
	age := h.now().Sub(p.verifiedAt)
	fresh := p.known && p.unconfirmedBase < 0 && !p.submitted && (age < copyFreshFor || (p.selfWritten && age < selfWrittenFreshFor)) &&
		external.EpochOf(p.revision) == h.epochs.Current()
	h.mu.Unlock()
	if fresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyDraw), h.times.CallTimeout)
	defer cancel()
	entry, _, err := h.store.Read(ctx, p.key)
	if err != nil {
		return eris.Wrapf(err, "reading %s", p.key)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.noteAnswer()
	return h.adopt(p, entry)
}

// noteAnswer notes an answer of the store. The caller holds mu.
func (h *Holder) noteAnswer() { h.lastAnswer = h.now() }

// Observe takes a page that was read or watched elsewhere.
func (h *Holder) Observe(e external.Entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pages {
		if p.key == e.Key && p.joined && h.revisionOf(e) > p.revision {
			_ = h.adopt(p, e)
		}
	}
}

// revisionOf is the revision that an entry stands for: also a page that does not exist is so in an epoch of the store.
func (h *Holder) revisionOf(e external.Entry) int64 {
	if e.Revision == 0 {
		return external.Revision(h.epochs.Current(), 0)
	}
	return e.Revision
}

// adopt takes a newer copy of a page. The caller holds mu.
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
	if page, _, err = p.writeBase(page); err != nil {
		return err
	}
	report, present := page.Holders[h.id]
	resolved := !h.mustRestate(p) && p.resolvesOutcome(revision, report, present)
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

// observeAll measures what all holders report on a page. The caller holds mu.
func (h *Holder) observeAll(p *pageState, page *Page) {
	h.holderCount = len(page.Holders)
	for name, a := range h.accounts {
		if acc := page.Accounts[name]; acc != nil && h.pageOf(name) == p {
			h.fleetMeter.pending += float64(a.observe(acc, h.id))
		}
	}
}

// resolvesOutcome reports whether a page at a revision shows what became of all writes of this holder whose outcome is not known. A direct
// write cannot happen any more once the page has moved on; rows that a leader has can, until a later write of this holder stands.
func (p *pageState) resolvesOutcome(revision int64, report Report, present bool) bool {
	if p.submitted {
		return report.Count > p.count || (p.joined && !present)
	}
	return p.unconfirmedBase >= 0 && revision > p.unconfirmedBase
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
