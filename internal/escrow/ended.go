package escrow

import (
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// A settlement adds to an account, so customers are charged twice if it is done twice. The response to its write may be
// lost, and the next attempt then reads a page without the holder, as if the holder had never joined. Therefore a page
// records which holders were settled. It does so in the write that settles them, so that the record and the settlement
// are lost together if the store is restored from an older copy.

const (
	// endedRetention is how long a page records that a holder was settled. A process that has confirmed its rows needs no
	// record: that the page lacks them means that they were settled.
	endedRetention = 10 * time.Minute
	// maxEnded limits the records of a page.
	maxEnded = 1024
)

// errEnded reports that the rows of this holder were settled, so that it must not write new ones.
var errEnded = errors.New("the rows of this holder were settled")

// hasEnded reports whether a holder was settled.
func (p *Page) hasEnded(holder string) bool {
	_, ok := p.Ended[holder]
	return ok
}

// end removes a holder and records that its rows were settled. wall is the wall clock, in ms.
func (p *Page) end(holder string, wall int64) {
	delete(p.Holders, holder)
	if p.Ended == nil {
		p.Ended = make(map[string]int64)
	}
	p.Ended[holder] = wall
	p.pruneEnded(wall)
}

// pruneEnded drops records that are older than endedRetention, and the oldest one if there are more than maxEnded.
func (p *Page) pruneEnded(wall int64) {
	oldest := ""
	for id, at := range p.Ended {
		if wall-at > endedRetention.Milliseconds() {
			delete(p.Ended, id)
			continue
		}
		if first, ok := p.Ended[oldest]; !ok || at < first {
			oldest = id
		}
	}
	if len(p.Ended) > maxEnded {
		delete(p.Ended, oldest)
	}
}

// noteEnded reports whether this holder's rows on a page were settled, and records that they were. revision is that of the
// page. Without a record, absence means so only if an earlier page of the same epoch had this holder: a store that was
// restored may lack it, and this holder then states its rows again. The caller holds mu.
func (h *Holder) noteEnded(p *pageState, page *Page, revision int64) bool {
	if _, present := page.Holders[h.id]; present {
		return p.ended
	}
	wasPresent := p.presentAt > 0 && revision > p.presentAt && external.EpochOf(revision) == external.EpochOf(p.presentAt)
	if page.hasEnded(h.id) || wasPresent {
		h.markEnded(p)
	}
	return p.ended
}

// markEnded records that this holder's rows on a page were settled. The caller holds mu.
func (h *Holder) markEnded(p *pageState) {
	if p.ended {
		return
	}
	p.ended = true
	h.closeAccounts(p)
	if !h.leaving {
		h.log.Warn().Str("event", "escrow_ended").Str("page", p.key).Msg("a successor has settled the rows of this process, which spends nothing on this page from now on")
	}
}

// closeAccounts ends the use of the accounts of a page. The caller holds mu.
func (h *Holder) closeAccounts(p *pageState) {
	for name, a := range h.accounts {
		a.closed = a.closed || h.pageOf(name) == p
	}
}

// retired reports whether this holder writes no more rows, because it leaves or because its rows on a page were settled.
func (h *Holder) retired() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leaving {
		return true
	}
	for _, p := range h.pages {
		if p.ended {
			return true
		}
	}
	return false
}
