package once

import (
	"context"
	"errors"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// A registrar that has started, was paused, or sees other instances in its zone than before may lack records of its
// keys. It asks every instance for them, and does not answer that a key is new before all have responded. An instance
// that has responded to one registrar uses no other one for the same keys, even if its own view of the fleet differs. So
// it does not matter how late the instances see a change of the fleet.

// CollectReq asks for the records of keys whose registrar is the sender, if its zone has the given instances.
type CollectReq struct {
	Zone  []mesh.Peer `cbor:"1,keyasint"`
	After string      `cbor:"2,keyasint,omitempty"` // the last request of the previous response
}

// CollectResp is the response to a CollectReq, in the order of requests.
type CollectResp struct {
	Records []Collected `cbor:"1,keyasint,omitempty"`
	More    bool        `cbor:"2,keyasint,omitempty"`
}

// Collected is a record in a CollectResp.
type Collected struct {
	Record Record `cbor:"1,keyasint"`
	// Reserved means that the record describes a reservation. The request's owner may know more.
	Reserved bool `cbor:"2,keyasint,omitempty"`
}

// keyClaim is a registrar's claim to the keys of its zone that belong to it if the zone has the given instances.
type keyClaim struct {
	registrar mesh.Peer
	zone      []mesh.Peer
	at        time.Time
	inFleet   bool // the registrar has been in this instance's view of the fleet since
}

// keyClaimTimeout is how long the claim of a registrar counts that is not yet in this instance's view of the fleet.
const keyClaimTimeout = 30 * time.Second

func (c keyClaim) covers(request string) bool { return isTop(request, c.zone, c.registrar.ID) }

// disputed reports whether another registrar than the given one of the same zone has claimed a request's key. The caller
// holds the lock.
func (k *Keys) disputed(request string, registrar mesh.Peer) bool {
	_, disputed := k.competingClaim(request, registrar)
	return disputed
}

// competingClaim returns the claim of another registrar of the same zone to a request's key, if there is one. The caller
// holds the lock.
func (k *Keys) competingClaim(request string, registrar mesh.Peer) (keyClaim, bool) {
	for _, c := range k.claims {
		if c.registrar.Zone == registrar.Zone && c.registrar.ID != registrar.ID && c.covers(request) {
			return c, true
		}
	}
	return keyClaim{}, false
}

// pruneClaims drops the claims of registrars that have left the fleet or are leaving it. The caller holds the lock.
func (k *Keys) pruneClaims(fleet []mesh.Peer) {
	for id, c := range k.claims {
		switch {
		case includes(fleet, c.registrar):
			c.inFleet = true
			k.claims[id] = c
		case c.inFleet, k.members.Leaving(c.registrar.IncarnationID()), k.now().Sub(c.at) > keyClaimTimeout:
			delete(k.claims, id)
		}
	}
}

// includes reports whether an incarnation of an instance is among those of a list.
func includes(fleet []mesh.Peer, p mesh.Peer) bool {
	return slices.ContainsFunc(fleet, func(x mesh.Peer) bool { return x.IncarnationID() == p.IncarnationID() })
}

// collection is the state of a registrar's collection of records. The lock of Keys guards it.
type collection struct {
	zone  *zoneList // the zone's instances as last seen
	began time.Time // when an instance of the zone was last seen to come or go, or this instance was paused
	// answered holds the list under which an instance has last sent all its records, by incarnation. Keys that belong to
	// this instance under that list are complete, as far as that instance is concerned.
	answered map[string]*zoneList
	older    map[string]bool // incarnations whose build does not know the message
}

// zoneList is the instances of a zone.
type zoneList struct {
	ids   string // sorted incarnation IDs
	peers []mesh.Peer
}

func newCollection() collection {
	return collection{zone: &zoneList{}, answered: make(map[string]*zoneList), older: make(map[string]bool)}
}

// observeFleet records changes of the zone's instances. After a pause everything is collected again, since records may
// have moved to another registrar meanwhile. The caller holds the lock.
func (k *Keys) observeFleet(fleet []mesh.Peer) {
	now := k.now()
	if now.Sub(k.tickedAt) > 2*k.tick {
		k.collection = newCollection()
		k.tickedAt = now
	}
	zone := k.zoneOf(fleet)
	if zone.ids != k.collection.zone.ids {
		k.collection.zone, k.collection.began = zone, now
	}
}

// zoneOf returns the instances of this zone.
func (k *Keys) zoneOf(fleet []mesh.Peer) *zoneList {
	zone := k.members.Self().Zone
	list := &zoneList{}
	var ids []string
	for _, p := range fleet {
		if p.Zone == zone {
			list.peers = append(list.peers, p)
			ids = append(ids, p.IncarnationID())
		}
	}
	sort.Strings(ids)
	list.ids = strings.Join(ids, " ")
	return list
}

// complete reports whether all records of a key have been collected.
func (k *Keys) complete(request string) bool {
	fleet := k.members.Fleet()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isComplete(request, fleet)
}

// isComplete implements complete. The caller holds the lock.
func (k *Keys) isComplete(request string, fleet []mesh.Peer) bool {
	k.observeFleet(fleet)
	self, now := k.members.Self().ID, k.now()
	covered := make(map[*zoneList]bool)
	for _, p := range fleet {
		list := k.collection.answered[p.IncarnationID()]
		if _, ok := covered[list]; !ok {
			covered[list] = list != nil && isTop(request, list.peers, self)
		}
		settled := k.collection.older[p.IncarnationID()] && now.Sub(k.collection.began) > k.settleTime
		if !covered[list] && !settled {
			return false
		}
	}
	return true
}

func isTop(request string, peers []mesh.Peer, id string) bool {
	top, ok := member.Top(request, peers, "")
	return ok && top.ID == id
}

// collect asks the instances that have not sent their records yet, this one among them. Concurrent calls share one round.
func (k *Keys) collect(ctx context.Context) {
	round := k.collecting.DoChan("", func() (any, error) {
		k.collectRound(context.WithoutCancel(ctx))
		return nil, nil //nolint:nilnil // there is no result
	})
	select {
	case <-round:
	case <-ctx.Done():
	}
}

func (k *Keys) collectRound(ctx context.Context) {
	peers, zone := k.uncollected()
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() { k.collectFrom(ctx, p, zone) })
	}
	wg.Wait()
}

// uncollected returns the instances that have not sent the records of the zone's present instances.
func (k *Keys) uncollected() ([]mesh.Peer, *zoneList) {
	fleet := k.members.Fleet()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeFleet(fleet)
	zone := k.collection.zone
	return slices.DeleteFunc(slices.Clone(fleet), func(p mesh.Peer) bool {
		list := k.collection.answered[p.IncarnationID()]
		return list != nil && list.ids == zone.ids
	}), zone
}

// collectFrom collects the records of one instance.
func (k *Keys) collectFrom(ctx context.Context, p mesh.Peer, zone *zoneList) {
	req := CollectReq{Zone: zone.peers}
	for {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := mesh.Call[CollectReq, CollectResp](c, k.caller, p.Addr, KindCollect, req)
		cancel()
		if err != nil {
			k.collectFailed(p, err)
			return
		}
		if !k.addCollected(resp, p, zone) || !resp.More || len(resp.Records) == 0 {
			return
		}
		req.After = resp.Records[len(resp.Records)-1].Record.Request
	}
}

func (k *Keys) collectFailed(p mesh.Peer, err error) {
	k.log.Debug().Str("event", "records_uncollected").Str("instance", p.ID).Err(err).Msg("instance has not sent its records of keys")
	var v *verdict.Error
	if !errors.As(err, &v) || v.Code() != verdict.CodeBadRequest {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.collection.older[p.IncarnationID()] = true
}

// addCollected adds records that an instance has sent. It returns false if the zone's instances have changed meanwhile.
func (k *Keys) addCollected(resp CollectResp, from mesh.Peer, zone *zoneList) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.collection.zone != zone {
		return false
	}
	for _, c := range resp.Records {
		if known, ok := k.records[c.Record.Request]; c.Reserved && ok && (known.rec.Billed() || !c.Record.Billed()) {
			continue
		}
		k.merge(KindCollect, c.Record)
	}
	if !resp.More {
		k.collection.answered[from.IncarnationID()] = zone
	}
	return true
}

// handleCollect accepts the sender's claim, unless the sender is leaving and so is no longer a registrar in this
// instance's view, and returns the records of the keys that it covers: those of requests that
// this instance serves, those that it stores as registrar itself, and those of reservations at its holder.
func (k *Keys) handleCollect(from mesh.Peer, req CollectReq) CollectResp {
	claim := keyClaim{registrar: from, zone: req.Zone, at: k.now(), inFleet: includes(k.members.Fleet(), from)}
	k.mu.Lock()
	if from.IncarnationID() != k.members.Self().IncarnationID() && !k.members.Leaving(from.IncarnationID()) {
		k.claims[from.ID] = claim
	}
	k.mu.Unlock()
	found := k.recordsCovered(claim, req.After)
	out := make([]Collected, 0, len(found))
	for _, rec := range found {
		out = append(out, rec)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Record.Request < out[j].Record.Request })
	n := min(len(out), maxRecordsPerTransfer)
	return CollectResp{Records: out[:n], More: n < len(out)}
}

// recordsCovered returns the records of the keys that a claim covers, of requests after the given one.
func (k *Keys) recordsCovered(claim keyClaim, after string) map[string]Collected {
	out := make(map[string]Collected)
	covers := func(request string) bool { return request > after && claim.covers(request) }
	inZone := func(request, customer string) bool {
		zone := pickZone(request, k.zones(customer))
		return zone == "" || zone == claim.registrar.Zone
	}
	for _, r := range k.reservations() {
		if covers(r.Request) && inZone(r.Request, r.Customer) {
			out[r.Request] = Collected{Record: k.recordOf(r), Reserved: true}
		}
	}
	add := func(rec Record) {
		if known, ok := out[rec.Request]; !ok || (known.Reserved && !known.Record.Billed()) || !known.Record.supersedes(rec) {
			out[rec.Request] = Collected{Record: rec}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if claim.registrar.Zone == k.members.Self().Zone {
		for request, h := range k.records {
			if covers(request) {
				add(h.rec)
			}
		}
	}
	for request, o := range k.owned {
		if covers(request) && inZone(request, o.customer) {
			add(o.rec)
		}
	}
	return out
}

// recordOf returns the record of a reservation at this instance's holder.
func (k *Keys) recordOf(r budget.KeyedReservation) Record {
	rec := Record{Request: r.Request, Place: r.Place, HolderAddr: k.members.Self().Addr, Done: r.Settled, Tokens: r.Charged}
	rec.Owner.ID, rec.Owner.Incarnation = mesh.SplitIncarnationID(r.Owner)
	for _, p := range k.members.Fleet() {
		if p.IncarnationID() == r.Owner {
			rec.Owner = p
		}
	}
	return rec
}
