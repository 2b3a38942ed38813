package peers

import (
	"slices"

	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Copies of a record that has to outlive its instance, such as the origin of a stream, are held by one instance of the own
// availability zone and by one of another zone. Which ones depends on a key, and all instances that know the same others
// compute the same ones. In a large fleet only a few instances of each zone hold copies, so that the others need links to
// these only.

const (
	minCopyHolders         = 2  // in each zone of a large fleet, the minimum number of instances that hold copies
	instancesPerCopyHolder = 20 // one more for each so many instances of a zone
	copyCandidates         = 2  // instances of a zone that are queried for a copy
	copyZones              = 3  // other zones whose instances are queried for a copy
)

// copyHolderCount returns the number of instances that hold copies in a zone of n instances of a large fleet.
func copyHolderCount(n int) int { return max(minCopyHolders, n/instancesPerCopyHolder) }

// ZoneCopyHolder returns the instance of the own zone that holds copies for a key, other than this one.
func (d *Directory) ZoneCopyHolder(key string) (mesh.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return mesh.Peer{}, false
	}
	list := d.copyHolders(d.self.Peer.Zone, key, 1)
	if len(list) == 0 {
		return mesh.Peer{}, false
	}
	return list[0], true
}

// OtherZoneCopyHolders returns the instances of n different other zones that hold copies for a key.
func (d *Directory) OtherZoneCopyHolders(key string, n int) []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	var out []mesh.Peer
	for _, zone := range d.otherZones(key) {
		if len(out) == n {
			break
		}
		out = append(out, d.copyHolders(zone, key, 1)...)
	}
	return out
}

// DelegatesCopies reports whether this instance leaves it to the holder in its own zone to send copies to other zones.
func (d *Directory) DelegatesCopies() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLarge() && d.rank >= copyHolderCount(len(d.zones[d.self.Peer.Zone]))
}

// CopyCandidates returns the instances that may hold a copy for a key: near ones, and those to query if none of these
// has it. In a small fleet the near ones are all others, because instances that know different others choose
// different holders.
func (d *Directory) CopyCandidates(key string) (near, far []mesh.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil, nil
	}
	if !d.isLarge() {
		all := make([]mesh.Peer, 0, len(d.records))
		for _, r := range d.records {
			all = append(all, r.Peer)
		}
		return d.others(all, len(all)), nil
	}
	zones := d.otherZones(key)
	for _, zone := range zones[:min(len(zones), copyZones)] {
		far = append(far, d.copyHolders(zone, key, copyCandidates)...)
	}
	return d.copyHolders(d.self.Peer.Zone, key, copyCandidates), far
}

// copyHolders returns up to limit reachable instances of a zone that hold copies for a key, best first, without this one.
// The caller holds mu.
func (d *Directory) copyHolders(zone, key string, limit int) []mesh.Peer {
	list := d.zones[zone]
	if d.isLarge() {
		list = list[:min(len(list), copyHolderCount(len(list)))]
	}
	holders := make([]mesh.Peer, 0, len(list))
	for _, r := range list {
		holders = append(holders, r.Peer)
	}
	return d.others(member.Rank(key, holders), limit)
}

// otherZones returns the other zones in the order of a key. The caller holds mu.
func (d *Directory) otherZones(key string) []string {
	zones := make([]string, 0, len(d.zones))
	for zone := range d.zones {
		if zone != d.self.Peer.Zone {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(a, b string) int {
		if member.Weight(key, a) > member.Weight(key, b) {
			return -1
		}
		return 1
	})
	return zones
}
