// Package evacuation tracks which availability zones are evacuated: their endpoints get no new work until the
// operator withdraws the order.
//
// Orders reach an instance as changes of the store, in full reads of the store, and from other instances. They may
// arrive late, twice or out of sequence. For each zone the order with the highest revision of the store is in force, so
// that a late order never undoes a newer one. The state does not depend on a clock: an order is in force until a later one
// replaces it, also while the store is unavailable.
package evacuation

import (
	"maps"
	"slices"
)

// Order is an order of the operator for one availability zone.
type Order struct {
	Zone     string
	On       bool  // false: the evacuation is withdrawn
	Revision int64 // of the store at which the order was given
}

// Set is all availability zones that are evacuated as of a revision of the store.
type Set struct {
	At    int64
	Zones []string
}

// State is the orders that an instance has received. The zero value has none. It is not safe for concurrent use.
type State struct {
	revision int64            // all orders up to this revision are known
	orders   map[string]Order // the last order, by zone
}

// Apply applies one order and reports whether the evacuated zones have changed.
func (s *State) Apply(o Order) bool {
	if o.Revision <= s.knownRevision(o.Zone) {
		return false
	}
	before := s.orders[o.Zone].On
	s.store(o)
	return before != o.On
}

// Replace applies all orders as of a revision, and returns those that have changed: first the evacuated zones, then the
// others, each sorted by name. Orders that are newer than the set stay in force.
func (s *State) Replace(set Set) []Order {
	var changed []Order
	apply := func(zone string, on bool) {
		if o := (Order{Zone: zone, On: on, Revision: set.At}); s.Apply(o) {
			changed = append(changed, o)
		}
	}
	for _, zone := range slices.Sorted(slices.Values(set.Zones)) {
		apply(zone, true)
	}
	for _, zone := range slices.Sorted(maps.Keys(s.orders)) {
		if !slices.Contains(set.Zones, zone) {
			apply(zone, false)
		}
	}
	s.revision = max(s.revision, set.At)
	return changed
}

// Add evacuates the zones of a set for which no order is known, and returns their orders. After a restoration of the
// store, a set may lack the latest orders and contain withdrawn ones.
func (s *State) Add(set Set) []Order {
	var changed []Order
	for _, zone := range slices.Sorted(slices.Values(set.Zones)) {
		if _, known := s.orders[zone]; known {
			continue
		}
		o := Order{Zone: zone, On: true, Revision: set.At}
		s.store(o)
		changed = append(changed, o)
	}
	return changed
}

// Zones returns the evacuated zones, sorted by name.
func (s *State) Zones() []string {
	var out []string
	for zone, o := range s.orders {
		if o.On {
			out = append(out, zone)
		}
	}
	slices.Sort(out)
	return out
}

// knownRevision returns the revision up to which the orders of a zone are known.
func (s *State) knownRevision(zone string) int64 { return max(s.revision, s.orders[zone].Revision) }

func (s *State) store(o Order) {
	if s.orders == nil {
		s.orders = make(map[string]Order)
	}
	s.orders[o.Zone] = o
}
