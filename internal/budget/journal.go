package budget

import (
	"context"
	"errors"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

// journalWrite is one attempt to write the journal, with the charges and totals that it makes durable.
type journalWrite struct {
	holder  string
	rev     int64
	journal ledger.Journal
	snap    ledger.Snapshot
	stored  map[string]int64 // totals by budget that the write makes durable
}

// writeJournal writes the journal with all pending charges. It adds a client or a page to the journal's lists if one
// is given.
func (h *Holder) writeJournal(ctx context.Context, client string, page *uint16) error {
	if err := h.journalSem.Acquire(ctx, 1); err != nil {
		return eris.Wrap(err, "waiting to write the journal")
	}
	defer h.journalSem.Release(1)
	if h.hasStopped() {
		return errStopped
	}
	if h.alreadyJournaled(client, page) {
		return nil
	}
	if err := h.hook(ctx, step.Flush); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	w := h.prepareWrite(client, page)
	if err := h.putJournal(ctx, w); err != nil {
		if errors.Is(err, errFenced) {
			h.abandonIncarnation(w.holder)
			return errors.Join(err, h.reportStored(ctx))
		}
		return err
	}
	h.recordWrite(w)
	return nil
}

// alreadyJournaled reports whether another writer has added the client and the page while this one waited.
func (h *Holder) alreadyJournaled(client string, page *uint16) bool {
	if client == "" && page == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return (client == "" || h.journal.clients[client]) && (page == nil || h.journal.pages[*page])
}

func (h *Holder) prepareWrite(client string, page *uint16) *journalWrite {
	zone := h.members.Zone()
	h.mu.Lock()
	defer h.mu.Unlock()
	clients := h.currentClients(zone, client)
	pages := h.currentPages(zone, page)
	h.journal.seq++
	w := &journalWrite{holder: h.holder, rev: h.journal.rev, snap: h.book.Snapshot(), stored: make(map[string]int64)}
	for _, c := range w.snap.Charges {
		w.stored[c.Budget] = h.accounts[c.Budget].settled
	}
	w.journal = ledger.Journal{
		Holder: h.holder, Zone: h.members.Self().Zone, Seq: h.journal.seq, Clients: sortedKeys(clients),
		Pages: pages, Settled: w.snap.Settled, Recent: w.snap.Recent,
	}
	return w
}

// listedRanks is the number of top-ranked candidates that list a page in their journals before they need a grant on it.
const listedRanks = 2

// currentPages lists the pages on which the holder may have grants: those that it has listed before, the given one,
// and all pages for which this instance is a likely holder, so that listing these needs no write of its own. The caller
// holds the lock.
func (h *Holder) currentPages(zone []mesh.Peer, page *uint16) []uint16 {
	listed := make(map[uint16]bool, len(h.journal.pages))
	for n := range h.journal.pages {
		listed[n] = true
	}
	if page != nil {
		listed[*page] = true
	}
	self := h.members.Self().ID
	for n := range uint16(Pages) {
		if !listed[n] && isAmongFirst(pageCandidates(n, zone), self, listedRanks) {
			listed[n] = true
		}
	}
	out := make([]uint16, 0, len(listed))
	for n := range listed {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

func isAmongFirst(ranked []mesh.Peer, id string, n int) bool {
	for _, p := range ranked[:min(len(ranked), n)] {
		if p.ID == id {
			return true
		}
	}
	return false
}

// currentClients returns the processes that may have reservations at this holder: the zone's other instances, the
// owners of open reservations and the given client. A client that is left out must be listed again before its next
// reservation. This instance itself is listed only while it must be: if it crashes, no process can report for it. The
// caller holds the lock.
func (h *Holder) currentClients(zone []mesh.Peer, client string) map[string]bool {
	self := h.members.Self().IncarnationID()
	listed := make(map[string]bool)
	for _, p := range zone {
		if p.IncarnationID() != self {
			listed[p.IncarnationID()] = true
		}
	}
	for _, a := range h.accounts {
		for _, r := range a.open {
			listed[r.owner] = true
		}
	}
	if client != "" {
		listed[client] = true
	}
	for id := range h.journal.clients {
		if !listed[id] {
			delete(h.journal.clients, id)
		}
	}
	return listed
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// putJournal writes the journal. After a lost response, it reads the journal back and retries until the outcome is
// known or the attempts are used up.
func (h *Holder) putJournal(ctx context.Context, w *journalWrite) error {
	key := ledger.Key(w.journal.Zone, w.holder)
	data, err := w.journal.Encode()
	if err != nil {
		return err
	}
	ctx = external.WithDuty(ctx, external.DutyFlush)
	var last error
	for try := range casTries {
		rev, err := h.store.Put(ctx, key, data, w.rev, 0)
		if err == nil {
			w.rev = rev
			return nil
		}
		if errors.Is(err, external.ErrUnavailable) && last == nil {
			return err
		}
		last = err
		done, err := h.readBack(ctx, key, w)
		if done || err != nil {
			return err
		}
		if !backOff(ctx, try) {
			break
		}
	}
	return eris.Wrap(last, "writing the journal")
}

// readBack resolves a write whose outcome is unknown. It reports whether the write has taken effect.
func (h *Holder) readBack(ctx context.Context, key string, w *journalWrite) (bool, error) {
	e, err := h.store.Get(ctx, key)
	if err != nil {
		return false, nil //nolint:nilerr // still unknown; the caller tries again
	}
	if e.Revision == 0 {
		if w.rev == 0 {
			return false, nil
		}
		return false, errFenced
	}
	j, err := ledger.Decode(e.Data)
	if err != nil {
		return false, err
	}
	if j.Fenced != "" || j.Holder != w.holder {
		return false, errFenced
	}
	if j.Seq == w.journal.Seq {
		w.rev = e.Revision
		return true, nil
	}
	w.rev = e.Revision // an earlier write of this holder took effect, but its response was lost
	return false, nil
}

func (h *Holder) recordWrite(w *journalWrite) {
	h.mu.Lock()
	if h.holder != w.holder {
		h.mu.Unlock()
		return
	}
	now := h.now()
	h.journal.rev = w.rev
	h.journal.writtenAt = now
	for _, id := range w.journal.Clients {
		h.journal.clients[id] = true
	}
	for _, n := range w.journal.Pages {
		h.journal.pages[n] = true
	}
	h.book.Flushed(w.snap)
	h.journal.dirtySince = time.Time{}
	if h.book.Pending() > 0 {
		h.journal.dirtySince = now
	}
	for budget, n := range w.stored {
		h.accounts[budget].stored = n
	}
	h.stats.Flushes++
	h.mu.Unlock()
	for _, c := range w.snap.Charges {
		h.report(c)
	}
}

// abandonIncarnation ends an incarnation whose escrow a successor has taken over, and begins a new one.
func (h *Holder) abandonIncarnation(holder string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != holder {
		return
	}
	h.log.Warn().Str("event", "holder_fenced").Str("holder", holder).Msg("a successor took over this holder's escrow")
	h.stats.Fenced++
	h.keepUnreported()
	h.reset()
}
