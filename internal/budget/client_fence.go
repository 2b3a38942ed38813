package budget

import (
	"slices"
	"time"
)

// Fence reports this client's reservations and charges at a holder, and revokes the reservations that are not
// dispatched. From then on, the client uses no reservation of that holder.
func (c *Client) Fence(req FenceReq) FenceResp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fenced[req.Holder] = true
	out := FenceResp{Client: c.members.Self().IncarnationID()}
	for h := range c.holds {
		if !slices.Contains(h.chain, req.Holder) {
			continue
		}
		if r, ok := c.report(h, req); ok {
			out.Reports = append(out.Reports, r)
		}
	}
	return out
}

// report builds a hold's report and assigns the hold to the successor. It returns false if there is nothing to
// report. The caller holds the lock.
func (c *Client) report(h *Hold, req FenceReq) (Report, bool) {
	switch {
	case h.state == stateHeld || h.state == stateRevoked:
		h.state = stateRevoked
		delete(c.holds, h)
		return Report{}, false
	case h.state >= stateSettled && h.used == 0:
		delete(c.holds, h)
		return Report{}, false
	}
	r := Report{
		Request: h.request, Budget: h.budget, Customer: h.customer, Tokens: h.tokens, Open: h.state == stateDispatched,
		Keyed: h.keyed, Place: h.place, Owner: c.members.Self().IncarnationID(), Chain: append([]string(nil), h.chain...),
	}
	if !r.Open {
		r.Tokens = h.used
	}
	if h.holder != req.Successor {
		h.chain = append(h.chain, req.Successor)
		h.holder, h.addr = req.Successor, req.Peer.Addr
		h.successors = append(h.successors, holderAt{h.holder, h.addr})
		h.unconfirmed = true
		h.failingSince = time.Time{}
	}
	return r, true
}
