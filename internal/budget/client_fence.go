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
// report. Several successors may collect reports, and a take-over uses those of the one that succeeds. So until one has
// confirmed it, all of them get the same report, even if the hold is settled meanwhile. The caller holds the lock.
func (c *Client) report(h *Hold, req FenceReq) (Report, bool) {
	if !h.unconfirmed {
		if h.revokeUndispatched() || h.chargesNothing() {
			delete(c.holds, h)
			return Report{}, false
		}
		h.reportedOpen, h.ownHolders = h.state == stateDispatched, len(h.chain)
	}
	r := Report{
		Request: h.request, Budget: h.budget, Customer: h.customer, Tokens: h.tokens, Open: h.reportedOpen,
		Keyed: h.keyed, Place: h.place, Owner: c.members.Self().IncarnationID(), Chain: slices.Clone(h.chain),
		Unreported: h.unreported, Used: h.outcome,
	}
	if !r.Open {
		// The take-over of the grant that the charge belongs to counts it. A successor's grant does not contain it.
		r.Tokens, r.Chain = h.used, r.Chain[:h.ownHolders]
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

// markUnreported marks the charges that a holder has not reported, for the reports to its successor.
func (c *Client) markUnreported(req UnreportedReq) {
	requests := make(map[string]bool, len(req.Requests))
	for _, id := range req.Requests {
		requests[id] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for h := range c.holds {
		if requests[h.request] && slices.Contains(h.chain, req.Holder) {
			h.unreported = true
		}
	}
}

// revokeUndispatched revokes a hold that is not dispatched. It reports whether the hold is revoked.
func (h *Hold) revokeUndispatched() bool {
	if h.state == stateHeld {
		h.state = stateRevoked
	}
	return h.state == stateRevoked
}

// chargesNothing reports whether the hold is settled with zero tokens.
func (h *Hold) chargesNothing() bool { return h.state >= stateSettled && h.used == 0 }

// awaitsConfirmation reports whether one of several successors may have the hold as an open reservation.
func (h *Hold) awaitsConfirmation() bool { return h.unconfirmed && h.reportedOpen }

// confirm records that a successor has taken over the open reservation. The caller holds the client's lock.
func (h *Hold) confirm(at holderAt) {
	h.holder, h.addr = at.holder, at.addr
	h.chain = []string{at.holder}
	h.unconfirmed, h.successors = false, nil
}
