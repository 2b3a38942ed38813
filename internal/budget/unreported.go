package budget

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// A charge is reported once, by the process whose write has stored it. A write may take effect and its outcome stay
// unknown until the incarnation of the holder ends. Then the journal, which its successor has fenced, tells which charges
// are stored: the ended holder reports these, the successor reports the others from its clients' copies. A holder that
// ends without reading the journal makes its clients mark their copies, so that the successor reports those too.

// handOverTime is the part of a planned stop that is reserved for notifying the clients of unreported charges.
const handOverTime = 500 * time.Millisecond

// keepUnreported keeps the pending charges of the incarnation that ends. The caller holds the lock.
func (h *Holder) keepUnreported() {
	if pending := h.book.PendingCharges(); len(pending) > 0 {
		h.unreported[h.holder] = pending
	}
}

// keepUnknownMoves keeps take-overs whose outcome is unknown. Their incarnation ends.
func (h *Holder) keepUnknownMoves(key string, moves []move) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unknownMoves[key] = append(h.unknownMoves[key], moves...)
}

// reportStored reports the charges of ended incarnations that their fenced journals contain, or that their take-overs
// have stored. It returns an error while a key cannot be read or a journal is not fenced yet.
func (h *Holder) reportStored(ctx context.Context) error {
	ctx = external.WithDuty(ctx, external.DutyFlush)
	h.mu.Lock()
	holders, pages := sortedKeys(h.unreported), sortedKeys(h.unknownMoves)
	h.mu.Unlock()
	var err error
	for _, key := range pages {
		err = errors.Join(err, h.reportMoves(ctx, key))
	}
	for _, holder := range holders {
		err = errors.Join(err, h.reportStoredOf(ctx, holder))
	}
	return err
}

// reportMoves reports the charges of the take-overs on a page that have taken effect. Until another instance has reclaimed
// the incarnation that made them, its grant shows that.
func (h *Holder) reportMoves(ctx context.Context, key string) error {
	e, err := h.store.Get(ctx, key)
	if err != nil {
		return err
	}
	page, err := DecodePage(e)
	if err != nil {
		return err
	}
	h.mu.Lock()
	moves := h.unknownMoves[key]
	delete(h.unknownMoves, key)
	h.mu.Unlock()
	for _, m := range moves {
		if isGranted(page, m.budget, m.dead) { // the write may still arrive
			h.keepUnknownMoves(key, []move{m})
			continue
		}
		applied := allMoved(page, []move{m})
		h.log.Info().Str("event", "takeover_resolved").Str("budget", m.budget).Str("holder", m.holder).Bool("applied", applied).
			Msg("the outcome of a take-over is known now")
		if applied {
			h.notifyBilled([]move{m})
		}
	}
	return nil
}

func (h *Holder) reportStoredOf(ctx context.Context, holder string) error {
	e, err := h.store.Get(ctx, ledger.Key(h.members.Self().Zone, holder))
	if err != nil {
		return err
	}
	j := &ledger.Journal{}
	if e.Revision != 0 {
		if j, err = ledger.Decode(e.Data); err != nil {
			return err
		}
		if j.Fenced == "" {
			return eris.Errorf("the journal of %s is not fenced yet", holder)
		}
	}
	h.mu.Lock()
	charges := h.unreported[holder]
	delete(h.unreported, holder)
	h.mu.Unlock()
	stored := 0
	for _, c := range charges {
		if j.Charged(c.Request) {
			stored++
			h.report(c)
		}
	}
	h.log.Info().Str("event", "charges_resolved").Str("holder", holder).Int("charges", len(charges)).Int("stored", stored).
		Bool("journal_found", e.Revision != 0).Msg("reported the charges of an ended incarnation that its journal has; the successor reports the others")
	return nil
}

// isGranted reports whether a holder has a grant on a budget.
func isGranted(page *Page, budget, holder string) bool {
	row, err := page.Row(budget)
	if err != nil {
		return false
	}
	_, ok := row.Grants[holder]
	return ok
}

// report calls the function that receives durable charges, unless clients have been notified that this holder does not
// report the charge.
func (h *Holder) report(c ledger.Charge) {
	h.mu.Lock()
	handedOver := h.handedOver[c.Request]
	h.mu.Unlock()
	if !handedOver {
		h.billed(c)
	}
}

// handOver makes the clients mark the charges that this holder has not reported, for its successor.
func (h *Holder) handOver(ctx context.Context) {
	reqs := h.endReports()
	if len(reqs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTime)
	defer cancel()
	notified, failed := 0, 0
	for _, p := range h.notifiedClients() {
		for _, req := range reqs {
			if _, err := mesh.Call[UnreportedReq, mesh.Empty](ctx, h.caller, p.Addr, KindUnreported, req); err != nil {
				failed++
				h.log.Debug().Str("event", "charges_not_handed_over").Str("client", p.ID).Err(err).Msg("client not notified of unreported charges")
				continue
			}
			notified++
		}
	}
	h.log.Warn().Str("event", "charges_handed_over").Int("holders", len(reqs)).Int("requests", len(reqs[0].Requests)).Int("notified", notified).Int("failed", failed).
		Msg("the outcome of the last write is unknown; the successor reports the charges")
}

// endReports returns the charges that this holder has not reported, by incarnation. It reports none of them later.
func (h *Holder) endReports() []UnreportedReq {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keepUnreported()
	out := make([]UnreportedReq, 0, len(h.unreported))
	for _, holder := range sortedKeys(h.unreported) {
		req := UnreportedReq{Holder: holder}
		for _, c := range h.unreported[holder] {
			req.Requests = append(req.Requests, c.Request)
			h.handedOver[c.Request] = true
		}
		out = append(out, req)
	}
	return out
}

// notifiedClients returns the instances that may have copies of this holder's charges.
func (h *Holder) notifiedClients() []mesh.Peer {
	self := h.members.Self().IncarnationID()
	found := make(map[string]mesh.Peer)
	for _, p := range h.members.Zone() {
		found[p.IncarnationID()] = p
	}
	h.mu.Lock()
	listed := sortedKeys(h.journal.clients)
	h.mu.Unlock()
	for _, id := range listed {
		if p, ok := h.members.Find(id); ok {
			found[id] = p
		}
	}
	delete(found, self)
	out := make([]mesh.Peer, 0, len(found))
	for _, id := range sortedKeys(found) {
		out = append(out, found[id])
	}
	return out
}
