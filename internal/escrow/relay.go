package escrow

import "context"

// If the leader of another availability zone can be reached, a zone's leader does not write its zone's rows itself. It
// relays them with its own rows, so that one holder of the fleet writes the pages and conditional writes do not
// conflict. This only saves cost: whoever writes a part, it is written once, on top of the holder's last write. A
// leader that gets no response therefore writes the rows itself.

// relay submits this holder's rows and those that holders of its zone have submitted to the leader of another zone.
// After an error they still have to be written.
func (h *Holder) relay(ctx context.Context, regular bool) error {
	s := h.submission(regular)
	s.Relayed = true
	list := h.addPendingParts(&s)
	if len(s.Parts) == 0 && len(list) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.times.RelayTimeout)
	defer cancel()
	receipt, err := h.fleet.Submit(ctx, s)
	if err == nil && len(receipt.Zone) != len(list) {
		err = errShortReceipt
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.useOwnZoneRates(receipt.Parts)
	}
	h.applySubmitOutcome(s, receipt, err)
	if err != nil {
		h.log.Debug().Str("event", "escrow_relay_failed").Err(err).Msg("the leader of another availability zone did not write this zone's rows")
		return err
	}
	h.deliverReceipts(list, receipt.Zone)
	return nil
}

// addPendingParts adds waiting parts to a submission: those of pages that are due, for the parts themselves or for this
// holder's own rows.
func (h *Holder) addPendingParts(s *Submission) []*pendingPart {
	h.mu.Lock()
	defer h.mu.Unlock()
	own := make(map[int]bool, len(s.Parts))
	for _, part := range s.Parts {
		own[part.Page] = true
	}
	var list []*pendingPart
	for i, p := range h.pages {
		h.sumZoneDemand(p)
		if !own[i] && !h.groupReady(p) {
			continue
		}
		h.dropExpired(p)
		list = append(list, p.pending...)
	}
	for _, x := range list {
		s.Zone = append(s.Zone, Submission{Holder: x.holder, Parts: []Part{x.part}, Relayed: true})
	}
	return list
}

// deliverReceipts passes the receipts on to the holders that wait for them. The caller holds mu.
func (h *Holder) deliverReceipts(list []*pendingPart, receipts []Receipt) {
	done := make(map[int][]*pendingPart, len(h.pages))
	for i, x := range list {
		if len(receipts[i].Parts) != 1 {
			continue
		}
		h.useOwnZoneRates(receipts[i].Parts)
		x.receipt = receipts[i].Parts[0]
		done[x.part.Page] = append(done[x.part.Page], x)
	}
	for i, waiting := range done {
		h.pages[i].refreshedAt = h.now()
		h.pages[i].complete(waiting)
	}
}

// useOwnZoneRates replaces the zone's demand in receipts with that of this holder's zone, since the writer leads
// another one. The caller holds mu.
func (h *Holder) useOwnZoneRates(list []PartReceipt) {
	for _, r := range list {
		for name, held := range r.Rows {
			if a := h.accounts[name]; a != nil {
				held.ZoneRate = a.zoneRate
				r.Rows[name] = held
			}
		}
	}
}

// urgent reports whether a request waits for a part to be written.
func (p Part) urgent() bool {
	for _, n := range p.Rows {
		if n.Urgent > 0 {
			return true
		}
	}
	return false
}
