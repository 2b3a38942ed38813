package peers

import (
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

const (
	poolZone    = 4 // from this size on a zone's tokens are pooled at a few of its instances
	poolHolders = 2 // these many, over which customers are spread
	mostLenders = 4 // instances that are asked for one loan
)

// Pool says whether the own zone pools a customer's tokens, and whether it does so here.
func (d *Directory) Pool(customer string) (pooled, here bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	zone := d.zones[d.self.Peer.Zone]
	if !d.pools || len(zone) < poolZone || !d.isLarge() {
		return false, false
	}
	return true, d.keepers(customer, zone)[0].ID == d.self.Peer.ID
}

// keepers are the instances of a zone that keep a customer's tokens, the first one first. The caller holds mu.
func (d *Directory) keepers(customer string, zone []Record) []mesh.Peer {
	n := len(zone)
	if n >= poolZone {
		n = poolHolders
	}
	list := make([]mesh.Peer, 0, n)
	for _, r := range zone[:n] {
		list = append(list, r.Peer)
	}
	return member.Rank(customer, list)
}

// Lenders are the instances to borrow a customer's tokens from, best first: those of the own zone, then one of each other zone.
func (d *Directory) Lenders(customer string) []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	out := make([]mesh.Peer, 0, mostLenders)
	out = d.lenders(out, d.keepers(customer, d.zones[d.self.Peer.Zone]), poolHolders)
	far := make([]mesh.Peer, 0, len(d.zones))
	for zone, list := range d.zones {
		if zone != d.self.Peer.Zone {
			far = d.lenders(far, d.keepers(customer, list), 1)
		}
	}
	return d.lenders(out, member.Rank(customer+d.self.Peer.ID, far), mostLenders)
}

// lenders adds up to most of a list that are not left alone. The caller holds mu.
func (d *Directory) lenders(to, list []mesh.Peer, most int) []mesh.Peer {
	for _, p := range list {
		if most == 0 || len(to) == mostLenders {
			break
		}
		if p.ID != d.self.Peer.ID && !d.suspected(p.ID) {
			to = append(to, p)
			most--
		}
	}
	return to
}

// Near says whether an instance is of the own zone.
func (d *Directory) Near(p mesh.Peer) bool { return p.Zone == d.self.Peer.Zone }
