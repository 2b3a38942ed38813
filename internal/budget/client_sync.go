package budget

import (
	"context"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// holderSync is a SyncReq to be sent to one holder.
type holderSync struct {
	at  holderAt
	req SyncReq
}

// Tick redelivers undelivered settlements and asks every holder which charges are in the store.
func (c *Client) Tick(ctx context.Context) {
	for _, h := range c.undelivered() {
		c.deliver(h)
	}
	for _, w := range c.pendingSyncs() {
		c.sync(ctx, w)
	}
	c.dropStoppedHolders(ctx)
	c.dropCounted(ctx)
}

func (c *Client) undelivered() []*Hold {
	fleetAddrs := make(map[string]bool)
	for _, p := range c.members.Fleet() {
		fleetAddrs[p.Addr] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Hold
	for h := range c.holds {
		if h.state != stateSettled || h.sending || h.unconfirmed {
			continue
		}
		if h.holder == "" && !fleetAddrs[h.addr] {
			delete(c.holds, h) // the reservation was never confirmed and its holder has left the fleet
			continue
		}
		out = append(out, h)
	}
	return out
}

func (c *Client) pendingSyncs() []holderSync {
	c.mu.Lock()
	defer c.mu.Unlock()
	byHolder := make(map[holderAt]*holderSync)
	get := func(at holderAt) *holderSync {
		w, ok := byHolder[at]
		if !ok {
			w = &holderSync{at: at, req: SyncReq{Holder: at.holder}}
			byHolder[at] = w
		}
		return w
	}
	for h := range c.holds {
		for _, at := range h.holdersToSync() {
			w := get(at)
			if h.awaitsConfirmation() {
				w.req.Unconfirmed = append(w.req.Unconfirmed, h.request)
			} else {
				w.req.Pending = append(w.req.Pending, h.request)
			}
		}
	}
	for at, ids := range c.toConfirm {
		get(at).req.Confirm = ids
	}
	out := make([]holderSync, 0, len(byHolder))
	for _, w := range byHolder {
		out = append(out, *w)
	}
	return out
}

// holdersToSync returns the holders that receive a SyncReq about a hold. Several instances may try to take over the
// same holder, and one of them succeeds; until one confirms the take-over, all of them receive the request. Once a
// settlement is delivered, only the hold's holder receives it. The caller holds the client's lock.
func (h *Hold) holdersToSync() []holderAt {
	switch {
	case h.unconfirmed:
		return h.successors
	case h.state == stateDelivered:
		return []holderAt{{h.holder, h.addr}}
	}
	return nil
}

func (c *Client) sync(ctx context.Context, w holderSync) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	resp, err := mesh.Call[SyncReq, SyncResp](ctx, c.caller, w.at.addr, KindSync, w.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || resp.Holder != w.at.holder {
		c.markFailing(w.at)
		return
	}
	if len(w.req.Confirm) > 0 {
		c.toConfirm[w.at] = c.toConfirm[w.at][len(w.req.Confirm):]
		if len(c.toConfirm[w.at]) == 0 {
			delete(c.toConfirm, w.at)
		}
	}
	c.applySync(w.at, resp)
}

// markFailing marks the holds of a holder that does not respond. The caller holds the lock.
func (c *Client) markFailing(at holderAt) {
	for h := range c.holds {
		if h.holder == at.holder && h.failingSince.IsZero() {
			h.failingSince = c.now()
		}
	}
}

// applySync applies a holder's response. The caller holds the lock.
func (c *Client) applySync(at holderAt, resp SyncResp) {
	flushed := make(map[string]bool, len(resp.Flushed))
	for _, id := range resp.Flushed {
		flushed[id] = true
	}
	known := make(map[string]bool, len(resp.Known))
	for _, id := range resp.Known {
		known[id] = true
	}
	for h := range c.holds {
		if !slices.Contains(h.holdersToSync(), at) {
			continue
		}
		h.failingSince = time.Time{}
		switch {
		case h.awaitsConfirmation():
			if known[h.request] {
				h.confirm(at)
			}
		case flushed[h.request] && h.state >= stateSettled:
			delete(c.holds, h)
			c.toConfirm[at] = append(c.toConfirm[at], h.request)
		}
	}
}

// dropStoppedHolders drops the delivered charges of holders that have stopped cleanly: once a holder's journal is
// deleted, the pages contain all its charges.
func (c *Client) dropStoppedHolders(ctx context.Context) {
	for _, at := range c.unresponsiveHolders() {
		p, ok := c.members.Find(InstanceOf(at.holder))
		if !ok {
			c.retryLater(at)
			continue
		}
		key := ledger.Key(p.Zone, at.holder)
		e, err := c.store.Get(external.WithDuty(ctx, external.DutyFlush), key)
		if err != nil || e.Revision != 0 {
			c.retryLater(at)
			continue
		}
		c.dropHolder(at)
	}
}

func (c *Client) unresponsiveHolders() []holderAt {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	seen := make(map[holderAt]bool)
	var out []holderAt
	for h := range c.holds {
		at := holderAt{h.holder, h.addr}
		if h.isDeliveredTo(at.holder) && h.isUnanswered(now) && !seen[at] {
			seen[at] = true
			out = append(out, at)
		}
	}
	return out
}

func (c *Client) retryLater(at holderAt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.holds {
		if h.holder == at.holder {
			h.failingSince = c.now()
		}
	}
}

func (c *Client) dropHolder(at holderAt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.holds {
		if h.isDeliveredTo(at.holder) {
			delete(c.holds, h)
		}
	}
	delete(c.toConfirm, at)
}

// isDeliveredTo reports whether a holder has received the hold's settlement. A successor has only received a report.
func (h *Hold) isDeliveredTo(holder string) bool {
	return h.holder == holder && h.state == stateDelivered && !h.unconfirmed
}

// isUnanswered reports whether the hold's holder has not answered for so long that it may be gone.
func (h *Hold) isUnanswered(now time.Time) bool {
	return !h.failingSince.IsZero() && now.Sub(h.failingSince) > holderLostAfter
}

// dropCounted drops charges that were reported to successors, of which none answers any more, once a take-over has counted
// them.
func (c *Client) dropCounted(ctx context.Context) {
	for _, h := range c.unansweredCharges() {
		counted, err := c.isCounted(ctx, h)
		if err != nil {
			c.log.Debug().Str("event", "charge_unresolved").Str("request", h.request).Err(err).Msg("cannot tell now whether a charge is stored")
		}
		c.mu.Lock()
		if counted {
			delete(c.holds, h)
		} else {
			h.failingSince = c.now()
		}
		c.mu.Unlock()
	}
}

// isCounted reports whether none of the holders that a charge belongs to has a grant left: a take-over has counted it.
func (c *Client) isCounted(ctx context.Context, h *Hold) (bool, error) {
	e, err := c.store.Get(external.WithDuty(ctx, external.DutyFlush), PageKey(PageOf(h.budget)))
	if err != nil {
		return false, err
	}
	page, err := DecodePage(e)
	if err != nil {
		return false, err
	}
	row, err := page.Row(h.budget)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return h.unconfirmed && grantOwner(row, h.chain[:h.ownHolders]) == "", nil
}

// maxCountedPerTick limits the reads of pages in one tick.
const maxCountedPerTick = 8

func (c *Client) unansweredCharges() []*Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var out []*Hold
	for h := range c.holds {
		if h.unconfirmed && !h.reportedOpen && h.isUnanswered(now) && len(out) < maxCountedPerTick {
			out = append(out, h)
		}
	}
	return out
}
