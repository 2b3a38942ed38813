package escrow

import "context"

// A zone's leader does not write its zone's rows itself where the leader of another zone can be reached: it passes them on with its
// own, so that one holder of the fleet writes the pages and no two of them meet in conditional writes. It is a matter of cost only:
// a part is written once, on top of the holder's last write, whoever writes it, so a leader that gets no answer writes the rows
// itself.

// relay passes on this holder's rows and those that its zone's holders have handed in. An error means that they are still to be
// written.
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
		h.log.Debug().Str("event", "escrow_relay_failed").Err(err).Msg("the leader of another zone did not write this zone's rows")
		return err
	}
	h.deliverReceipts(list, receipt.Zone)
	return nil
}

// addPendingParts adds the parts that wait here to a submission: those of pages that are to be written now, for them or for this holder.
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

// deliverReceipts hands the receipts on. The caller holds mu.
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

// useOwnZoneRates puts in what this holder's own zone is asked for: the writer leads another one. The caller holds mu.
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
