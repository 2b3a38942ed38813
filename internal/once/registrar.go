package once

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

func (k *Keys) handleBegin(ctx context.Context, rec Record) (resp BeginResp) {
	conclusive := k.whenConclusive(ctx, rec.Request, func() {
		h, ok := k.records[rec.Request]
		if !ok {
			h = &storedRecord{rec: rec, at: k.now()}
			k.records[rec.Request] = h
		}
		resp = BeginResp{New: !ok, Record: h.rec}
	})
	if !conclusive {
		resp = k.lookUp(rec.Request)
	}
	k.logDecision(KindBegin, resp.Record, resp.New, resp.Inconclusive)
	return resp
}

// lookUp returns the record of a key of which this instance may lack records.
func (k *Keys) lookUp(request string) BeginResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.records[request]; ok {
		return BeginResp{Record: h.rec}
	}
	return BeginResp{Record: Record{Request: request}, Inconclusive: true}
}

// logDecision logs the response to a call, with the record that the decision left or refused.
func (k *Keys) logDecision(kind mesh.Kind, rec Record, accepted, inconclusive bool) {
	k.log.Debug().Str("event", "key_decided").Str("call", string(kind)).Str("request", rec.Request).Str("owner", rec.Owner.IncarnationID()).
		Str("run", rec.Place.Run).Int64("term", rec.Term).Bool("done", rec.Done).Int64("tokens", rec.Tokens).
		Bool("accepted", accepted).Bool("inconclusive", inconclusive).Msg("registrar has decided on a key")
}

// whenConclusive calls f with the lock held if this instance has every record of a key, and no other one has claimed it.
// If records are missing, it collects them first, for maxCollectWait at most. It reports whether f was called.
func (k *Keys) whenConclusive(ctx context.Context, request string, f func()) bool {
	if !k.complete(request) {
		ctx, cancel := context.WithTimeout(ctx, maxCollectWait)
		defer cancel()
		k.collect(ctx)
	}
	fleet := k.members.Fleet()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isComplete(request, fleet) || k.disputed(request, k.members.Self()) {
		return false
	}
	f()
	return true
}

// maxCollectWait leaves the sender of a call, which waits for callTimeout, time for other work.
const maxCollectWait = callTimeout / 2

func (k *Keys) handleUpdate(ctx context.Context, rec Record) (resp UpdateResp) {
	if !k.whenConclusive(ctx, rec.Request, func() { resp.StillOwner = k.store(rec) }) {
		resp.Inconclusive = true
	}
	k.logDecision(KindUpdate, rec, resp.StillOwner, resp.Inconclusive)
	return resp
}

// handleTransfer stores records that their owner has sent.
func (k *Keys) handleTransfer(records []Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, rec := range records {
		k.merge(KindTransfer, rec)
	}
}

// merge stores a record that another instance has sent. Unlike an update by the owner, the record of a billed run
// replaces one of later term that is not billed, since a registrar has accepted it before. The caller holds the lock.
func (k *Keys) merge(kind mesh.Kind, rec Record) {
	h, ok := k.records[rec.Request]
	accepted := !ok || (rec.Billed() && !h.rec.Billed()) || !h.rec.supersedes(rec)
	if accepted {
		k.records[rec.Request] = &storedRecord{rec: rec, at: k.now()}
	}
	k.logDecision(kind, rec, accepted, false)
}

// store stores a record unless the stored one supersedes it. The caller holds the lock.
func (k *Keys) store(rec Record) bool {
	h, ok := k.records[rec.Request]
	if ok && h.rec.supersedes(rec) {
		return false
	}
	k.records[rec.Request] = &storedRecord{rec: rec, at: k.now()}
	return true
}

func (k *Keys) handleTakeOver(ctx context.Context, req TakeOverReq) (resp BeginResp) {
	if !k.whenConclusive(ctx, req.Request, func() { resp = k.takeOver(req) }) {
		resp = BeginResp{Record: Record{Request: req.Request}, Inconclusive: true}
	}
	k.logDecision(KindTakeOver, resp.Record, resp.Record.OwnedBy(req.To), resp.Inconclusive)
	return resp
}

// takeOver changes the owner of a request if the conditions hold. The caller holds the lock.
func (k *Keys) takeOver(req TakeOverReq) BeginResp {
	h, ok := k.records[req.Request]
	if !ok {
		h = &storedRecord{rec: Record{Request: req.Request, Owner: req.To}, at: k.now()}
		if req.Known != nil {
			h.rec = *req.Known
		}
		k.records[req.Request] = h
	}
	if !ok || h.rec.mayTakeOver(req) {
		h.rec.Owner, h.rec.Term, h.at = req.To, max(h.rec.Term, firstTerm)+1, k.now()
	}
	return BeginResp{New: !ok, Record: h.rec}
}

// mayTakeOver reports whether the conditions of a take-over hold.
func (r Record) mayTakeOver(req TakeOverReq) bool {
	switch {
	case r.Owner.IncarnationID() != req.From || (req.Known != nil && req.Known.Term != r.Term):
		return false
	case req.Unbilled:
		return r.Unbilled()
	case req.NotBilled:
		return !r.Billed()
	}
	return true
}

func (k *Keys) handleDrop(from mesh.Peer, rec Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.records[rec.Request]
	if ok && h.rec.OwnedBy(from) && (rec.Term == 0 || rec.Term == h.rec.Term) {
		delete(k.records, rec.Request)
	}
}

func (k *Keys) prune() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for id, h := range k.records {
		if now.Sub(h.at) > recordRetention {
			delete(k.records, id)
		}
	}
	for id, o := range k.owned {
		if now.Sub(o.at) > recordRetention {
			delete(k.owned, id)
		}
	}
}

// maxRecordsPerTransfer keeps a message far below the size limit of the mesh.
const maxRecordsPerTransfer = 2000

// transferMoved sends to each new registrar all records that belong there now. Registrars also collect records
// themselves, but this instance may see a change of the fleet before they do.
func (k *Keys) transferMoved(ctx context.Context) {
	for registrar, ids := range k.movedRecords() {
		for len(ids) > 0 {
			n := min(len(ids), maxRecordsPerTransfer)
			if !k.transfer(ctx, registrar, ids[:n]) {
				break // retried at the next tick
			}
			ids = ids[n:]
		}
	}
}

// movedRecords lists the requests served by this instance whose records have a new registrar.
func (k *Keys) movedRecords() map[mesh.Peer][]string {
	leaving := k.isLeaving()
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[mesh.Peer][]string)
	for id, o := range k.owned {
		if p, ok := k.viewedRegistrar(id, o.customer); ok && p.ID != o.registrar && (leaving || !k.disputed(id, p)) {
			out[p] = append(out[p], id)
		}
	}
	return out
}

// transfer sends records to their registrar. It reports whether the registrar has received them.
func (k *Keys) transfer(ctx context.Context, registrar mesh.Peer, ids []string) bool {
	var msg Transfer
	k.mu.Lock()
	for _, id := range ids {
		if o, ok := k.owned[id]; ok {
			msg.Records = append(msg.Records, o.rec)
		}
	}
	k.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := mesh.Call[Transfer, mesh.Empty](c, k.caller, registrar.Addr, KindTransfer, msg); err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		if o, ok := k.owned[id]; ok {
			o.registrar = registrar.ID
		}
	}
	return true
}
