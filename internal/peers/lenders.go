package peers

import (
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

const (
	poolZone    = 4 // from this size on a zone's tokens are pooled at a few of its instances
	poolHolders = 2 // these many, over which customers are spread
	mostLenders = 4 // instances of a large fleet that are asked for one loan
)

// Pool reports whether the own zone pools a customer's tokens, and whether it does so here.
func (d *Directory) Pool(customer string) (pooled, here bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zone := d.zones[d.self.Peer.Zone]
	if !d.pools || len(zone) < poolZone || !d.isLarge() {
		return false, false
	}
	return true, d.keepers(customer, zone)[0].ID == d.self.Peer.ID
}

// keepers are the instances of a zone that keep a customer's tokens, the first one first: all of them in a small fleet. The caller holds mu.
func (d *Directory) keepers(customer string, zone []Record) []mesh.Peer {
	n := len(zone)
	if n >= poolZone && d.isLarge() {
		n = poolHolders
	}
	list := make([]mesh.Peer, 0, n)
	for _, r := range zone[:n] {
		list = append(list, r.Peer)
	}
	return member.Rank(customer, list)
}

// Lenders are the instances to borrow a customer's tokens from, best first: those of the own zone, then one of each other zone, or in a
// small fleet all others: each holds a part of what all hold of the customer. With one of each other zone two of five others were never
// asked, and of the refusals in a cut one in nine to one in three found enough at another instance (lines of requests, two calm days).
func (d *Directory) Lenders(customer string) []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	most, nearMost, farEach := mostLenders, poolHolders, 1
	if !d.isLarge() {
		most, nearMost, farEach = len(d.records), len(d.records), len(d.records)
	}
	near := d.lenders(d.keepers(customer, d.zones[d.self.Peer.Zone]), nearMost)
	var far []mesh.Peer
	for zone, list := range d.zones {
		if zone != d.self.Peer.Zone {
			far = append(far, d.lenders(d.keepers(customer, list), farEach)...)
		}
	}
	return append(near, d.lenders(member.Rank(customer+d.self.Peer.ID, far), most-len(near))...)
}

// lenders are up to most of a list that are not left alone. The caller holds mu.
func (d *Directory) lenders(list []mesh.Peer, most int) []mesh.Peer {
	out := make([]mesh.Peer, 0, len(list))
	for _, p := range list {
		if len(out) < most && p.ID != d.self.Peer.ID && !d.suspected(p.ID) {
			out = append(out, p)
		}
	}
	return out
}

// SameZone reports whether an instance is of the own zone.
func (d *Directory) SameZone(p mesh.Peer) bool { return p.Zone == d.self.Peer.Zone }
