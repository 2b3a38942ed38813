package once

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

func (k *Keys) handleBegin(rec Record) BeginResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.records[rec.Request]; ok {
		return BeginResp{Record: h.rec}
	}
	if !k.recordsComplete() {
		return BeginResp{Inconclusive: true}
	}
	k.records[rec.Request] = &storedRecord{rec: rec, at: k.now()}
	return BeginResp{New: true, Record: rec}
}

func (k *Keys) handleUpdate(rec Record) UpdateResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.records[rec.Request]
	if !ok {
		k.records[rec.Request] = &storedRecord{rec: rec, at: k.now()}
		return UpdateResp{StillOwner: true}
	}
	if h.rec.Owner.IncarnationID() != rec.Owner.IncarnationID() {
		return UpdateResp{}
	}
	h.rec, h.at = rec, k.now()
	return UpdateResp{StillOwner: true}
}

func (k *Keys) handleTakeOver(req TakeOverReq) BeginResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.records[req.Request]
	if !ok {
		rec := Record{Request: req.Request, Owner: req.To}
		k.records[req.Request] = &storedRecord{rec: rec, at: k.now()}
		return BeginResp{New: true, Record: rec}
	}
	if h.rec.Owner.IncarnationID() == req.From && (!req.Unbilled || h.rec.unbilled()) {
		h.rec.Owner = req.To
	}
	return BeginResp{Record: h.rec}
}

func (k *Keys) handleDrop(from mesh.Peer, rec Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.records[rec.Request]; ok && h.rec.Owner.IncarnationID() == from.IncarnationID() {
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

// transferMoved sends to each new home all records that belong there now, without waiting for later ticks: after the
// settle time, a home assumes that it has received every record.
func (k *Keys) transferMoved(ctx context.Context) {
	for home, ids := range k.movedRecords() {
		for len(ids) > 0 {
			n := min(len(ids), maxRecordsPerTransfer)
			if !k.transfer(ctx, home, ids[:n]) {
				break // retried at the next tick
			}
			ids = ids[n:]
		}
	}
}

// movedRecords lists the requests served by this instance whose records have a new home.
func (k *Keys) movedRecords() map[mesh.Peer][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[mesh.Peer][]string)
	for id, o := range k.owned {
		if p, ok := k.homeOf(id, o.customer); ok && p.ID != o.home {
			out[p] = append(out[p], id)
		}
	}
	return out
}

// transfer sends records to their home. It reports whether the home has received them.
func (k *Keys) transfer(ctx context.Context, home mesh.Peer, ids []string) bool {
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
	if _, err := mesh.Call[Transfer, mesh.Empty](c, k.caller, home.Addr, KindTransfer, msg); err != nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, id := range ids {
		if o, ok := k.owned[id]; ok {
			o.home = home.ID
		}
	}
	return true
}
