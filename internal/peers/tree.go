package peers

import (
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// The instances of a zone form a tree of two levels or three. The leader is the root. In a zone that is too large for
// one leader, the instances that rank next are relays: each serves a part of the others, and asks the leader itself. The
// messages and bytes of each instance are then bounded by relayFanOut, not by the size of its zone.

const (
	maxPlainZone = 64 // zones with more instances have relays
	relayFanOut  = 32 // instances that one relay serves
)

// relayCount returns the number of relays in a zone of n instances.
func relayCount(n int) int {
	if n <= maxPlainZone {
		return 0
	}
	return (n - 1 + relayFanOut - 1) / relayFanOut
}

// parentsOf returns the instances of a ranked zone that the one at a rank asks, best first. A leader and the relays ask
// those that rank before them. The others ask their relay, then the next relay, then the leaders.
func parentsOf(zone []Record, at int) []Record {
	relays := relayCount(len(zone))
	if at <= relays || relays == 0 {
		return zone[:min(max(0, at), maxLeaders)]
	}
	serial := at - 1 - relays
	out := []Record{zone[1+serial%relays]}
	add := func(r Record) {
		if !slices.ContainsFunc(out, func(x Record) bool { return x.Peer.ID == r.Peer.ID }) {
			out = append(out, r)
		}
	}
	add(zone[1+(serial+1)%relays])
	for _, r := range zone[:maxLeaders] {
		add(r)
	}
	return out
}

// Parents returns the instances through which this one follows the store, best first: its relay in a zone that has
// relays, else the leaders. If there are none, this instance does the work itself.
func (d *Directory) Parents() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() || !d.isLarge() {
		return nil
	}
	out := d.live(d.parents)
	d.logLeader(out)
	return out
}

// HasRelays reports whether the own zone has relays.
func (d *Directory) HasRelays() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return relayCount(len(d.zones[d.self.Peer.Zone])) > 0
}

// IsRelay reports whether this instance is a relay of its zone.
func (d *Directory) IsRelay() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rank > 0 && d.rank <= relayCount(len(d.zones[d.self.Peer.Zone]))
}

// Delays after which an instance of a zone with relays reads whole lists from the store. Those that rank first read them
// first, and serve the others.
const (
	leaderReadDelay = time.Second           // between the leaders of a zone
	rankReadDelay   = 50 * time.Millisecond // for each rank, in addition
)

// ReadsStore reports whether this instance may read whole lists from the store after it has received nothing from its
// parents for a time. An instance that does not know yet how large its fleet is may not: if all instances did so when
// they start, the store's link would be full, and they would not find each other.
func (d *Directory) ReadsStore(without time.Duration) bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if relayCount(len(d.zones[d.self.Peer.Zone])) == 0 {
		return d.whole
	}
	return without >= time.Duration(min(d.rank, maxLeaders))*leaderReadDelay+time.Duration(d.rank)*rankReadDelay
}
