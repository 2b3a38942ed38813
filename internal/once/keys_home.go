package once

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

func (k *Keys) begin(rec Record) BeginResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[rec.Request]; ok {
		return BeginResp{Record: h.rec}
	}
	if !k.settled() {
		return BeginResp{Unsure: true}
	}
	k.held[rec.Request] = &kept{rec: rec, at: k.now()}
	return BeginResp{New: true, Record: rec}
}

func (k *Keys) note(rec Record) NoteResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[rec.Request]
	if !ok {
		k.held[rec.Request] = &kept{rec: rec, at: k.now()}
		return NoteResp{Owner: true}
	}
	if h.rec.Owner.IncarnationID() != rec.Owner.IncarnationID() {
		return NoteResp{}
	}
	h.rec, h.at = rec, k.now()
	return NoteResp{Owner: true}
}

func (k *Keys) take(req TakeReq) BeginResp {
	k.mu.Lock()
	defer k.mu.Unlock()
	h, ok := k.held[req.Request]
	if !ok {
		rec := Record{Request: req.Request, Owner: req.To}
		k.held[req.Request] = &kept{rec: rec, at: k.now()}
		return BeginResp{New: true, Record: rec}
	}
	if h.rec.Owner.IncarnationID() == req.From && (!req.Unbilled || h.rec.unbilled()) {
		h.rec.Owner = req.To
	}
	return BeginResp{Record: h.rec}
}

func (k *Keys) drop(from mesh.Peer, rec Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h, ok := k.held[rec.Request]; ok && h.rec.Owner.IncarnationID() == from.IncarnationID() {
		delete(k.held, rec.Request)
	}
}

func (k *Keys) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for id, h := range k.held {
		if now.Sub(h.at) > keepRecords {
			delete(k.held, id)
		}
	}
	for id, o := range k.owned {
		if now.Sub(o.at) > keepRecords {
			delete(k.owned, id)
		}
	}
}

// notesPerMessage keeps a message with records far below the mesh's limit.
const notesPerMessage = 2000

// rehome tells new homes of all the records that live with them now, each home at once: a home trusts after `settling`
// that it has been told of everything.
func (k *Keys) rehome(ctx context.Context) {
	for home, ids := range k.moved() {
		for len(ids) > 0 {
			n := min(len(ids), notesPerMessage)
			if !k.tell(ctx, home, ids[:n]) {
				break // tried again at the next tick
			}
			ids = ids[n:]
		}
	}
}

// moved lists the requests served here whose records have got a new home.
func (k *Keys) moved() map[mesh.Peer][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[mesh.Peer][]string)
	for id, o := range k.owned {
		if p, ok := k.home(id, o.customer); ok && p.ID != o.home {
			out[p] = append(out[p], id)
		}
	}
	return out
}

// tell sends records to their home. It reports whether the home has them.
func (k *Keys) tell(ctx context.Context, home mesh.Peer, ids []string) bool {
	var n Notes
	k.mu.Lock()
	for _, id := range ids {
		if o, ok := k.owned[id]; ok {
			n.Records = append(n.Records, o.rec)
		}
	}
	k.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	if _, err := mesh.Call[Notes, mesh.Empty](c, k.caller, home.Addr, KindNotes, n); err != nil {
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
