package peers

import (
	"maps"
	"slices"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Leads reports whether this instance has no leader to ask: the fleet is small, this instance leads its zone, or it
// cannot reach the leaders.
func (d *Directory) Leads() bool { return len(d.Leaders()) == 0 }

// LeadersUnreachable reports whether this instance does the work itself only because it cannot reach the leaders that
// rank before it.
func (d *Directory) LeadersUnreachable() bool {
	d.mu.Lock()
	ahead := len(d.zoneAhead)
	d.mu.Unlock()
	return ahead > 0 && d.Large() && d.Leads()
}

// Leaders returns the instances to ask, best first. If there are none, this instance does the work itself.
func (d *Directory) Leaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() || !d.isLarge() {
		return nil
	}
	return d.reachable(d.zoneAhead)
}

// FleetLeaders returns the instances that a zone's leader asks for work that one instance of a large fleet does for
// all, best first. They lead the zones whose names sort before its own. If there are none, this instance does the work.
func (d *Directory) FleetLeaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() || !d.isLarge() {
		return nil
	}
	var out []mesh.Peer
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		if zone == d.self.Peer.Zone || len(out) == maxFleetLeaders {
			break
		}
		if leaders := d.reachable(d.zones[zone]); len(leaders) > 0 {
			out = append(out, leaders[0])
		}
	}
	return out
}

// maxFleetLeaders is the number of instances that a zone's leader tries before it does the work itself.
const maxFleetLeaders = 2

// Coordinators returns the instances that hold the state on which all agree, best first. If there are none, this
// instance holds it. In a large fleet they are its parents.
func (d *Directory) Coordinators() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.linked():
		return nil
	case d.isLarge():
		return d.live(d.parents)
	}
	return d.reachable(d.fleetAhead)
}

// OtherZoneLeaders returns the leaders of the other zones, as far as they can be reached.
func (d *Directory) OtherZoneLeaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	return d.otherZoneLeaders()
}

// otherZoneLeaders implements OtherZoneLeaders. The caller holds mu.
func (d *Directory) otherZoneLeaders() []mesh.Peer {
	var out []mesh.Peer
	for zone, list := range d.zones {
		if zone == d.self.Peer.Zone {
			continue
		}
		if leaders := d.reachable(list); len(leaders) > 0 {
			out = append(out, leaders[0])
		}
	}
	return out
}

// NotifyTargets returns the instances to notify of a change that concerns the whole fleet. In a small fleet these are
// all others. In a large one it is the first reachable parent. If this instance leads the zone, they are
// the leaders of the other zones.
func (d *Directory) NotifyTargets() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.linked():
		return nil
	case !d.isLarge():
		out := make([]mesh.Peer, 0, len(d.records))
		for _, r := range d.records {
			if r.Peer.ID != d.self.Peer.ID {
				out = append(out, r.Peer)
			}
		}
		return out
	}
	if parents := d.live(d.parents); len(parents) > 0 {
		return parents[:1]
	}
	return d.otherZoneLeaders()
}

// NotifyTargetUnreachable reports whether the last call to an instance that this one may notify has failed. In a large
// fleet these are the leaders of other zones, in a small one all others.
func (d *Directory) NotifyTargetUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isLarge() {
		return len(d.suspects) > 0
	}
	for zone, list := range d.zones {
		if zone == d.self.Peer.Zone {
			continue
		}
		for _, r := range list[:min(len(list), maxLeaders)] {
			if d.suspects[r.Peer.ID] != nil {
				return true
			}
		}
	}
	return false
}

// Linked reports whether links to other instances are open.
func (d *Directory) Linked() bool { return d.linked() }

// linked reports whether links to other instances are open.
func (d *Directory) linked() bool { return d.caller.Load() != nil }

// isLarge reports whether the fleet is so large that its zones have leaders. The caller holds mu.
func (d *Directory) isLarge() bool { return len(d.records) >= d.largeFleet }

// reachable returns those of the first maxLeaders of a list that are not suspected. The caller holds mu.
func (d *Directory) reachable(list []Record) []mesh.Peer {
	return d.live(list[:min(len(list), maxLeaders)])
}

// live returns those of a list that are not suspected. The caller holds mu.
func (d *Directory) live(list []Record) []mesh.Peer {
	out := make([]mesh.Peer, 0, len(list))
	for _, r := range list {
		if !d.suspected(r.Peer.ID) {
			out = append(out, r.Peer)
		}
	}
	return out
}

// logLeader logs which instance this one follows if it has changed. The caller holds mu.
func (d *Directory) logLeader(leaders []mesh.Peer) {
	leader := d.self.Peer.ID
	if len(leaders) > 0 {
		leader = leaders[0].ID
	}
	if leader == d.leader {
		return
	}
	d.log.Info().Str("event", "leader_changed").Str("leader", leader).Str("before", d.leader).Msg("this instance follows another one")
	d.leader = leader
}
