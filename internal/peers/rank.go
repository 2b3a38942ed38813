package peers

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// suspicion keeps calls from an instance that could not be reached.
type suspicion struct {
	until time.Time
	pause time.Duration
}

// suspect leaves an instance alone for a while, longer each time in a row. The caller holds mu.
func (d *Directory) suspect(id string) {
	s := d.suspects[id]
	if s == nil {
		s = &suspicion{}
		d.suspects[id] = s
	}
	if s.pause == 0 {
		s.pause = d.times.FirstPause
	} else {
		s.pause = min(2*s.pause, d.times.MaxPause)
	}
	s.until = d.now().Add(s.pause)
}

// suspected reports whether an instance is left alone now. The caller holds mu.
func (d *Directory) suspected(id string) bool {
	s := d.suspects[id]
	return s != nil && d.now().Before(s.until)
}

// take puts new records in the place of the old.
func (d *Directory) take(records map[string]Record) {
	zones := make(map[string][]Record)
	for _, r := range records {
		zones[r.Peer.Zone] = append(zones[r.Peer.Zone], r)
	}
	for zone, list := range zones {
		zones[zone] = rank(zone, list)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.zones = records, zones
	d.place, _ = slices.BinarySearch(slices.Sorted(maps.Keys(records)), d.self.Peer.ID)
	d.ahead = d.before(zones[d.self.Peer.Zone])
	d.all = d.before(rank(wholeFleet, slices.Collect(maps.Values(records))))
	for id := range d.suspects {
		if _, known := records[id]; !known {
			delete(d.suspects, id)
		}
	}
}

// Known reports whether the other instances are known as well as they soon will be.
func (d *Directory) IsDiscovered() bool {
	select {
	case <-d.met:
		return true
	default:
		return false
	}
}

// Place is this instance's place among all, by their IDs, and their number.
func (d *Directory) Position() (place, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.place, max(1, len(d.records))
}

// Owns reports whether this instance is one of the first in the order of all instances for a key, by rendezvous hashing. Instances with
// other records may come to another order: callers must leave room for that. An instance that stays by itself owns all.
func (d *Directory) Owns(key string, first int) bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	d.mu.Lock()
	list := make([]mesh.Peer, 0, len(d.records))
	for _, r := range d.records {
		list = append(list, r.Peer)
	}
	d.mu.Unlock()
	ranked := member.Rank(key, list)
	return slices.ContainsFunc(ranked[:min(first, len(ranked))], func(p mesh.Peer) bool { return p.ID == d.self.Peer.ID })
}

// EvenShare is this instance's even part of what all instances share, from 0 to 1. It is 0 while the others are not known, and for a time settle after the
// start of an instance that has started again: what the process before it had may still be in use.
func (d *Directory) EvenShare(settle time.Duration) float64 {
	if d.self.Peer.Addr == "" {
		return 1
	}
	if !d.IsDiscovered() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restarted && d.now().Sub(d.begun) < settle {
		return 0
	}
	return 1 / float64(max(1, len(d.records)))
}

// wholeFleet is the key by which the instances of all zones are ranked.
const wholeFleet = "fleet"

// before is the part of a ranked list that stands before this instance.
func (d *Directory) before(ranked []Record) []Record {
	at := slices.IndexFunc(ranked, func(r Record) bool { return r.Peer.ID == d.self.Peer.ID })
	return ranked[:max(0, at)]
}

// rank orders a zone's instances: larger machines first, equal ones by rendezvous hashing. All instances with the same records
// come to the same order.
func rank(zone string, records []Record) []Record {
	byID := make(map[string]Record, len(records))
	list := make([]mesh.Peer, 0, len(records))
	for _, r := range records {
		byID[r.Peer.ID] = r
		list = append(list, r.Peer)
	}
	out := make([]Record, 0, len(list))
	for _, p := range member.Rank(zone, list) {
		out = append(out, byID[p.ID])
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Capacity > out[j].Capacity })
	return out
}
