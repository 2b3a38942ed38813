package budget

import (
	"context"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// syncWork is what there is to say to one holder.
type syncWork struct {
	at  holderAt
	req SyncReq
}

// Tick delivers again what was not delivered, and asks every holder what it has made durable.
func (c *Client) Tick(ctx context.Context) {
	for _, h := range c.undelivered() {
		c.deliver(h)
	}
	for _, w := range c.work() {
		c.sync(ctx, w)
	}
	c.dropOrphaned(ctx)
}

func (c *Client) undelivered() []*Hold {
	known := make(map[string]bool)
	for _, p := range c.members.Fleet() {
		known[p.Addr] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Hold
	for h := range c.holds {
		if h.state != stateSettled || h.sending || h.unsure {
			continue
		}
		if h.holder == "" && !known[h.addr] {
			delete(c.holds, h) // the reservation was never confirmed and its holder is gone
			continue
		}
		out = append(out, h)
	}
	return out
}

func (c *Client) work() []syncWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	byHolder := make(map[holderAt]*syncWork)
	get := func(at holderAt) *syncWork {
		w, ok := byHolder[at]
		if !ok {
			w = &syncWork{at: at, req: SyncReq{Holder: at.holder}}
			byHolder[at] = w
		}
		return w
	}
	for h := range c.holds {
		for _, at := range h.askers() {
			w := get(at)
			if h.state >= stateSettled {
				w.req.Pending = append(w.req.Pending, h.request)
			}
			if h.unsure {
				w.req.Unconfirmed = append(w.req.Unconfirmed, h.request)
			}
		}
	}
	for at, ids := range c.confirm {
		get(at).req.Confirm = ids
	}
	out := make([]syncWork, 0, len(byHolder))
	for _, w := range byHolder {
		out = append(out, *w)
	}
	return out
}

// askers are the holders to ask about a hold: its holder, or, while it is not known which of several successors has
// taken it over, all of them. Two instances may take the same holder over; one of them wins. The client's lock is held.
func (h *Hold) askers() []holderAt {
	switch {
	case h.unsure:
		return h.heirs
	case h.state == stateDelivered:
		return []holderAt{{h.holder, h.addr}}
	}
	return nil
}

func (c *Client) sync(ctx context.Context, w syncWork) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	resp, err := mesh.Call[SyncReq, SyncResp](ctx, c.caller, w.at.addr, KindSync, w.req)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || resp.Holder != w.at.holder {
		c.noteFailing(w.at)
		return
	}
	if len(w.req.Confirm) > 0 {
		c.confirm[w.at] = c.confirm[w.at][len(w.req.Confirm):]
		if len(c.confirm[w.at]) == 0 {
			delete(c.confirm, w.at)
		}
	}
	c.take(w.at, resp)
}

// noteFailing marks the holds of a holder that does not answer. The caller holds the lock.
func (c *Client) noteFailing(at holderAt) {
	for h := range c.holds {
		if h.holder == at.holder && h.failing.IsZero() {
			h.failing = c.now()
		}
	}
}

// take uses a holder's answer. The caller holds the lock.
func (c *Client) take(at holderAt, resp SyncResp) {
	flushed := make(map[string]bool, len(resp.Flushed))
	for _, id := range resp.Flushed {
		flushed[id] = true
	}
	known := make(map[string]bool, len(resp.Known))
	for _, id := range resp.Known {
		known[id] = true
	}
	for h := range c.holds {
		if !slices.Contains(h.askers(), at) {
			continue
		}
		h.failing = time.Time{}
		switch {
		case flushed[h.request] && h.state >= stateSettled:
			delete(c.holds, h)
			c.confirm[at] = append(c.confirm[at], h.request)
		case known[h.request] && h.unsure:
			h.holder, h.addr = at.holder, at.addr
			h.unsure, h.heirs = false, nil
		}
	}
}

// dropOrphaned forgets charges of a holder that has ended cleanly: without a journal, everything of it is in the pages.
func (c *Client) dropOrphaned(ctx context.Context) {
	for _, at := range c.lostHolders() {
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
		c.forgetHolder(at)
	}
}

func (c *Client) lostHolders() []holderAt {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	seen := make(map[holderAt]bool)
	var out []holderAt
	for h := range c.holds {
		at := holderAt{h.holder, h.addr}
		if h.state == stateDelivered && !h.failing.IsZero() && now.Sub(h.failing) > homeLost && !seen[at] {
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
			h.failing = c.now()
		}
	}
}

func (c *Client) forgetHolder(at holderAt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.holds {
		if h.holder == at.holder && h.state == stateDelivered {
			delete(c.holds, h)
		}
	}
	delete(c.confirm, at)
}
