// Package evacuation knows which availability zones are evacuated: their endpoints get no new work until the operator takes that back.
//
// Orders reach an instance from the store as they change, from reads of everything, and from the news of other instances: late, twice, or
// in another order. Of each zone the order with the highest revision of the store holds, so that none of that takes an instance back. The state
// has no clock: an order holds until a later one says otherwise, also while the store is away.
package evacuation

import (
	"maps"
	"slices"
)

// Order is what the operator wants of one availability zone.
type Order struct {
	Zone     string
	On       bool  // false: it was taken back
	Revision int64 // of the store, at which it was given
}

// Set is all availability zones that are evacuated as of a revision of the store.
type Set struct {
	At    int64
	Zones []string
}

// State is what an instance knows of all orders. Its zero value knows none. It is not safe for use by several goroutines.
type State struct {
	at     int64            // all orders up to this revision are known
	orders map[string]Order // the last of each zone
}

// Apply takes one order. It reports whether that changes what holds.
func (s *State) Apply(o Order) bool {
	if o.Revision <= s.known(o.Zone) {
		return false
	}
	before := s.orders[o.Zone].On
	s.keep(o)
	return before != o.On
}

// Replace takes all orders as of a revision, and returns those that have changed, by the zones' names. Orders that are newer than the set hold.
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
	s.at = max(s.at, set.At)
	return changed
}

// Add takes the zones of a set of which no order is known, and returns them. Where the store was restored, a set may lack the newest orders and have
// ones that were taken back.
func (s *State) Add(set Set) []Order {
	var changed []Order
	for _, zone := range slices.Sorted(slices.Values(set.Zones)) {
		if _, known := s.orders[zone]; known {
			continue
		}
		o := Order{Zone: zone, On: true, Revision: set.At}
		s.keep(o)
		changed = append(changed, o)
	}
	return changed
}

// Zones are the zones that are evacuated, by their names.
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

// known is the revision up to which the orders of a zone are known.
func (s *State) known(zone string) int64 { return max(s.at, s.orders[zone].Revision) }

func (s *State) keep(o Order) {
	if s.orders == nil {
		s.orders = make(map[string]Order)
	}
	s.orders[o.Zone] = o
}
