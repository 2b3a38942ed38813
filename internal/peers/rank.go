package peers

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// suspicion suspends calls to an instance that could not be reached.
type suspicion struct {
	until time.Time
	pause time.Duration
}

// suspect suspends calls to an instance for a while, longer after each consecutive failure. The caller holds mu.
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

// suspected reports whether calls to an instance are suspended now. The caller holds mu.
func (d *Directory) suspected(id string) bool {
	s := d.suspects[id]
	return s != nil && d.now().Before(s.until)
}

// setRecords replaces the known records. whole reports whether they include those of all zones.
func (d *Directory) setRecords(records map[string]Record, whole bool) {
	if d.sameRecords(records, whole) {
		return
	}
	zones := make(map[string][]Record)
	for _, r := range records {
		zones[r.Peer.Zone] = append(zones[r.Peer.Zone], r)
	}
	for zone, list := range zones {
		zones[zone] = rank(zone, list)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.zones, d.whole = records, zones, whole
	d.list.raw = nil
	d.position, _ = slices.BinarySearch(slices.Sorted(maps.Keys(records)), d.self.Peer.ID)
	zone := zones[d.self.Peer.Zone]
	d.zoneAhead = d.aheadOfSelf(zone)
	d.rank = len(d.zoneAhead)
	d.parents, d.fleetAhead = parentsOf(zone, d.rank), nil
	if !d.isLarge() {
		d.fleetAhead = d.aheadOfSelf(rank(fleetRankKey, slices.Collect(maps.Values(records))))
	}
	for id := range d.suspects {
		if _, known := records[id]; !known {
			delete(d.suspects, id)
		}
	}
}

// sameRecords reports whether the given records are the known ones.
func (d *Directory) sameRecords(records map[string]Record, whole bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return whole == d.whole && len(d.records) > 0 && maps.Equal(records, d.records)
}

// IsDiscovered reports whether the channel of Discovered is closed and the records of all zones are known.
func (d *Directory) IsDiscovered() bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	select {
	case <-d.discovered:
	default:
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.whole
}

// Position returns this instance's position among all instances, ordered by ID, and their number.
func (d *Directory) Position() (position, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position, max(1, len(d.records))
}

// Owns reports whether this instance is one of the first in the order of all instances for a key, by rendezvous
// hashing. Instances with different records may compute a different order, so callers must tolerate that. A standalone
// instance owns all keys; one that does not know the records of all zones owns none.
func (d *Directory) Owns(key string, first int) bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.whole {
		return false
	}
	own, ahead := member.Weight(key, d.self.Peer.ID), 0
	for id := range d.records {
		if id == d.self.Peer.ID {
			continue
		}
		if w := member.Weight(key, id); w > own || (w == own && id < d.self.Peer.ID) {
			if ahead++; ahead >= first {
				return false
			}
		}
	}
	return first > 0
}

// EvenShare returns this instance's share of a resource that is divided evenly among all instances, from 0 to 1. It is
// 0 before the other instances are discovered. It is also 0 during the time settle after a restart, because the
// previous process's share may still be in use.
func (d *Directory) EvenShare(settle time.Duration) float64 {
	if d.self.Peer.Addr == "" {
		return 1
	}
	if !d.IsDiscovered() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.restarted && d.now().Sub(d.startedAt) < settle {
		return 0
	}
	return 1 / float64(max(1, len(d.records)))
}

// fleetRankKey is the key by which the instances of all zones are ranked.
const fleetRankKey = "fleet"

// aheadOfSelf returns the part of a ranked list that precedes this instance.
func (d *Directory) aheadOfSelf(ranked []Record) []Record {
	at := slices.IndexFunc(ranked, func(r Record) bool { return r.Peer.ID == d.self.Peer.ID })
	return ranked[:max(0, at)]
}

// rank orders a zone's instances: larger machines first, equal ones by rendezvous hashing. All instances with the same
// records compute the same order.
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
