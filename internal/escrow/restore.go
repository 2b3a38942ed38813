package escrow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A store that was restored from an older copy lacks the last rows that it had acknowledged: grants that were raised, and spent, holders that had
// joined, and what holders that had left had given back. To hand out what the copy shows as free would overspend.
//
// So the first holder that writes a page in the new epoch puts back the newest copy that it knows. Each holder then states its rows anew, with what it
// holds. Nothing is granted beyond what holders have until they had time for that; after it, a holder that has not done so counts with what its rows
// show and as much again as it wanted. The rows of one that has ended are settled whole.

// restateWait is how long holders have for stating their rows anew after a restoration.
const restateWait = 2 * time.Second

// restateSpread is the time over which holders state their rows anew, so that they do not meet in conditional writes.
const restateSpread = 800 * time.Millisecond

// priorCopy is the newest copy of a page that is known of an epoch of the store that is over.
type priorCopy struct {
	raw      []byte // nil: none
	revision int64
}

// enterEpoch notes that the page is written in an epoch. lived reports that its writer held rows in it before. It returns whether the store was restored
// since the page was last written.
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

// stale reports whether a holder has not stated its rows since the store was restored: it may have more than they show.
func (p *Page) stale(holder string) bool { return p.Holders[holder].Epoch < p.RestoredEpoch }

// staleHolders counts the holders that have not stated their rows since the store was restored.
func (p *Page) staleHolders() int {
	n := 0
	for id := range p.Holders {
		if p.stale(id) {
			n++
		}
	}
	return n
}

// margin is what doubtful holders may have of an account beyond their rows.
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

// isNextPart reports whether a part is the one that comes after what a page has of its holder: the next one, or the first since a restoration, which may
// have lost several. A holder of a build that names no epoch has to follow its last one also then.
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

// writeBase is what the next write of a page stands on: the page as the store has it, or, where nothing was written since a restoration, the newest copy
// that is known.
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

// savePrior keeps the copy that is known of a page before one of a later epoch takes its place.
func (p *pageState) savePrior(next int64) {
	if len(p.raw) > 0 && external.EpochOf(next) > external.EpochOf(p.revision) && p.revision > p.prior.revision {
		p.prior = priorCopy{raw: p.raw, revision: p.revision}
	}
}

// mustRestate reports whether this holder has yet to state its rows in the store's epoch.
func (h *Holder) mustRestate(p *pageState) bool { return p.joined && p.epoch < h.epochs.Current() }

// restateDue reports whether it is this holder's turn to state its rows anew. The caller holds mu.
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

// handleRestored notes that the store was restored. It is called while the Epochs is locked.
func (h *Holder) handleRestored(external.Restoration) {
	now := h.now()
	h.restoredAt.Store(&now)
	h.wake()
}
