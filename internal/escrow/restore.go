package escrow

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A store that was restored from an older copy lacks the last rows that it had acknowledged: grants that were raised
// and spent, holders that had joined, and what holders had returned when they left. Granting what the copy shows as
// available would overspend.
//
// Therefore the first holder that writes a page in the new epoch writes back the newest copy that it has. Each holder
// then restates its rows with its current grants. Until the holders have had time for this, nothing is granted beyond
// what they have. After that, a holder that has not restated its rows is assumed to have the amounts in its rows plus
// its demand. For such a holder that has ended, everything granted is settled as spent.

// restateWait is the time that holders have to restate their rows after a restoration.
const restateWait = 2 * time.Second

// restateSpread is the time over which holders restate their rows, so that their conditional writes do not conflict.
const restateSpread = 800 * time.Millisecond

// priorCopy is the newest known copy of a page from an earlier epoch of the store.
type priorCopy struct {
	raw      []byte // nil: none
	revision int64
}

// enterEpoch records that the page is written in an epoch. heldRows reports that the writer had rows in the page
// before. It returns whether the store was restored since the page was last written.
func (p *Page) enterEpoch(epoch int64, wall time.Time, heldRows bool) bool {
	if epoch <= p.Epoch {
		return false
	}
	restored := p.Epoch > 0 || heldRows
	if restored {
		p.RestoredEpoch, p.RestoredAt = epoch, wall.UnixMilli()
	}
	p.Epoch = epoch
	return restored
}

// stale reports whether a holder has not restated its rows since the store was restored. Such a holder may have more
// than its rows show.
func (p *Page) stale(holder string) bool { return p.Holders[holder].Epoch < p.RestoredEpoch }

// staleHolders returns the number of stale holders.
func (p *Page) staleHolders() int {
	n := 0
	for id := range p.Holders {
		if p.stale(id) {
			n++
		}
	}
	return n
}

// margin returns what stale holders may have of an account beyond their rows.
func (p *Page) margin(a *Account) int64 {
	if p.RestoredEpoch == 0 {
		return 0
	}
	total := int64(0)
	for id, r := range a.Rows {
		if p.stale(id) {
			total += r.Demand
		}
	}
	return total
}

// isNextPart reports whether a part directly follows what a page has of its holder. After a restoration, which may have
// lost several writes, the holder's first part in the new epoch follows any earlier one. A part of a build without
// epochs must directly follow the last one even then.
func (p *Page) isNextPart(holder string, r Report) bool {
	before, present := p.Holders[holder]
	switch {
	case r.Epoch == 0 && before.Epoch == 0:
	case r.Epoch < p.RestoredEpoch:
		return false
	case p.RestoredEpoch > 0 && before.Epoch < p.RestoredEpoch:
		return r.Count > before.Count
	}
	return before.Count+1 == r.Count && (present || before.Count == 0)
}

// writeBase returns the page that the next write is based on: the page in the store or, if it was not written since a
// restoration, the newest copy that is known.
func (p *pageState) writeBase(page *Page) (*Page, bool, error) {
	if p.prior.raw == nil {
		return page, false, nil
	}
	if page.Epoch > external.EpochOf(p.prior.revision) || external.NumberOf(p.revision) >= external.NumberOf(p.prior.revision) {
		return page, false, nil
	}
	page, err := DecodePage(p.prior.raw)
	return page, true, err
}

// errPageNotRestated reports that no holder with rows has written a page since the store was restored.
var errPageNotRestated = errors.New("no holder with rows has written the page since the store was restored")

// lacksRows reports whether a restored page may lack rows that only others can write back. A holder that was dormant
// before the restoration has no copy of the page, and knows that others hold its zone's tokens. The caller holds mu.
func (h *Holder) lacksRows(p *pageState, page *Page) bool {
	return h.readyWithoutRows && !p.joined && h.epochs.Restored() && page.Epoch < h.epochs.Current()
}

// savePrior saves the known copy of a page before a copy from a later epoch replaces it.
func (p *pageState) savePrior(next int64) {
	if len(p.raw) > 0 && external.EpochOf(next) > external.EpochOf(p.revision) && p.revision > p.prior.revision {
		p.prior = priorCopy{raw: p.raw, revision: p.revision}
	}
}

// mustRestate reports whether this holder has not stated its rows in the store's current epoch.
func (h *Holder) mustRestate(p *pageState) bool { return p.joined && p.epoch < h.epochs.Current() }

// restateDue reports whether it is this holder's turn to restate its rows. The caller holds mu.
func (h *Holder) restateDue(p *pageState) bool {
	restoredAt := h.restoredAt.Load()
	turn := time.Duration(xxhash.Sum64String(h.id) % uint64(restateSpread))
	return h.mustRestate(p) && (restoredAt == nil || h.now().Sub(*restoredAt) >= turn)
}

// frozen reports whether nothing is to be granted on a page beyond what holders have. The caller holds mu.
func (h *Holder) frozen(page *Page) bool {
	if page.RestoredEpoch == 0 || page.RestoredEpoch < h.epochs.Current() {
		return false
	}
	if restoredAt := h.restoredAt.Load(); restoredAt != nil {
		return h.now().Sub(*restoredAt) < restateWait
	}
	since := h.wall().Sub(time.UnixMilli(page.RestoredAt))
	return since >= 0 && since < restateWait
}

// handleRestored records that the store was restored. The lock of the Epochs is held during the call.
func (h *Holder) handleRestored(external.Restoration) {
	now := h.now()
	h.restoredAt.Store(&now)
	h.wake()
}
