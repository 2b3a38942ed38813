package retry

import (
	"sync"
	"time"
)

// FleetBudget limits the retries to each service to this instance's share of a budget of the whole fleet. In each window,
// the fleet may retry a ratio of its requests plus a fixed number. Instances need no communication to apply it.
type FleetBudget struct {
	ratio  float64
	slack  float64 // fixed number of retries per window, for all instances together
	window time.Duration
	now    func() time.Time
	fleet  func() int // instances that share the budget

	mu       sync.Mutex
	services map[string]*usage
}

// usage counts one service's requests and retries in slices of the window.
type usage struct {
	slices [usageSlices]slice
}

type slice struct {
	number   int64 // counts slices from the clock's zero
	requests int
	retries  int
}

const (
	usageSlices  = 20
	budgetMargin = 0.85 // part of the budget that is used: instances start and stop, and their windows are not aligned
)

// NewFleetBudget returns a FleetBudget. fleet returns the number of instances that share it.
func NewFleetBudget(ratio float64, slack int, window time.Duration, fleet func() int, now func() time.Time) *FleetBudget {
	return &FleetBudget{ratio: ratio, slack: float64(slack), window: window, fleet: fleet, now: now, services: make(map[string]*usage)}
}

// current returns a service's usage, its current slice and the slice's number. The caller holds mu.
func (s *FleetBudget) current(service string) (*usage, *slice, int64) {
	u := s.services[service]
	if u == nil {
		u = &usage{}
		s.services[service] = u
	}
	number := s.now().UnixNano() / int64(s.window/usageSlices)
	sl := &u.slices[number%usageSlices]
	if sl.number != number {
		*sl = slice{number: number}
	}
	return u, sl, number
}

// CountRequest counts a request for a service.
func (s *FleetBudget) CountRequest(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, sl, _ := s.current(service)
	sl.requests++
}

// Take reports whether the budget allows a retry of a request to a service, and counts the retry if so.
func (s *FleetBudget) Take(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, sl, number := s.current(service)
	requests, retries := 0, 0
	for _, x := range u.slices {
		if number-x.number < usageSlices {
			requests += x.requests
			retries += x.retries
		}
	}
	allowed := budgetMargin * (s.ratio*float64(requests) + s.slack/float64(max(1, s.fleet())))
	if float64(retries+1) > allowed {
		return false
	}
	sl.retries++
	return true
}
