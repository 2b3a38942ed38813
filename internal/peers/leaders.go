package peers

import (
	"maps"
	"slices"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Leads reports whether this instance leads its zone, as far as it knows.
func (d *Directory) Leads() bool { return len(d.Leaders()) == 0 }

// LeadersUnreachable reports whether this instance does the work itself only because those that lead cannot be reached.
func (d *Directory) LeadersUnreachable() bool {
	d.mu.Lock()
	ahead := len(d.ahead)
	d.mu.Unlock()
	return ahead > 0 && d.Large() && d.Leads()
}

// Leaders are the instances to ask, best first; none means that this instance does the work itself.
func (d *Directory) Leaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() || !d.isLarge() {
		return nil
	}
	out := d.reachable(d.ahead)
	d.note(out)
	return out
}

// FleetLeaders are the instances that a zone's leader asks to do what one instance of a large fleet does for all, best first: those
// that lead the zones before its own, in the order of their names. None means that this instance does it.
func (d *Directory) FleetLeaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() || !d.isLarge() {
		return nil
	}
	var out []mesh.Peer
	for _, zone := range slices.Sorted(maps.Keys(d.zones)) {
		if zone == d.self.Peer.Zone || len(out) == mostFleetLeaders {
			break
		}
		if heads := d.reachable(d.zones[zone]); len(heads) > 0 {
			out = append(out, heads[0])
		}
	}
	return out
}

// mostFleetLeaders is the number of instances that a zone's leader tries before it does the work itself.
const mostFleetLeaders = 2

// Coordinators are the instances that keep what all agree on, best first; none means that this instance does. In a large fleet these are
// the zone's leaders.
func (d *Directory) Coordinators() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !d.linked():
		return nil
	case d.isLarge():
		return d.reachable(d.ahead)
	}
	return d.reachable(d.all)
}

// OtherZoneLeaders are the instances that lead the other zones, as far as they can be reached.
func (d *Directory) OtherZoneLeaders() []mesh.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.linked() {
		return nil
	}
	return d.heads()
}

// heads is Heads. The caller holds mu.
func (d *Directory) heads() []mesh.Peer {
	var out []mesh.Peer
	for zone, list := range d.zones {
		if zone == d.self.Peer.Zone {
			continue
		}
		if heads := d.reachable(list); len(heads) > 0 {
			out = append(out, heads[0])
		}
	}
	return out
}

// NotifyTargets are the instances to tell at once what all are to know: all others of a small fleet; in a large one the first leader of the zone that
// can be reached, and for a leader those of the other zones.
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
	if ahead := d.reachable(d.ahead); len(ahead) > 0 {
		return ahead[:1]
	}
	return d.heads()
}

// NotifyTargetUnreachable reports whether the last call to an instance that this one tells has failed: in a large fleet one that leads another zone, in a small one
// any other.
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
		for _, r := range list[:min(len(list), mostLeaders)] {
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

// isLarge reports whether the fleet is so large that its zones are led. The caller holds mu.
func (d *Directory) isLarge() bool { return len(d.records) >= d.large }

// reachable are the first of a list that are not left alone. The caller holds mu.
func (d *Directory) reachable(list []Record) []mesh.Peer {
	out := make([]mesh.Peer, 0, mostLeaders)
	for _, r := range list[:min(len(list), mostLeaders)] {
		if !d.suspected(r.Peer.ID) {
			out = append(out, r.Peer)
		}
	}
	return out
}

// note logs who leads when that has changed. The caller holds mu.
func (d *Directory) note(leaders []mesh.Peer) {
	leader := d.self.Peer.ID
	if len(leaders) > 0 {
		leader = leaders[0].ID
	}
	if leader == d.leader {
		return
	}
	d.log.Info().Str("event", "leader_changed").Str("leader", leader).Str("before", d.leader).Msg("another instance leads the zone")
	d.leader = leader
}
