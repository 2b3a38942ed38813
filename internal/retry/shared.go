package retry

import (
	"sync"
	"time"
)

// FleetBudget bounds the requests that are sent again to a service, by this instance's part of a budget that all instances share:
// in each window no more than ratio of the requests and a fixed number beside them. It needs no word from other instances.
type FleetBudget struct {
	ratio  float64
	slack  float64 // of all instances together
	window time.Duration
	now    func() time.Time
	fleet  func() int // instances that share the budget

	mu       sync.Mutex
	services map[string]*usage
}

// usage counts one service's requests and repeats in slices of the window.
type usage struct {
	slices [usageSlices]slice
}

type slice struct {
	number   int64 // of the slice since the clock's zero
	requests int
	repeats  int
}

const (
	usageSlices  = 20
	sharedMargin = 0.85 // the part of the budget that is used: instances start and end, and windows differ
)

// NewFleetBudget makes a budget. fleet tells how many instances share it.
func NewFleetBudget(ratio float64, slack int, window time.Duration, fleet func() int, now func() time.Time) *FleetBudget {
	return &FleetBudget{ratio: ratio, slack: float64(slack), window: window, fleet: fleet, now: now, services: make(map[string]*usage)}
}

// at finds a service's current slice. The caller holds mu.
func (s *FleetBudget) at(service string) (*usage, *slice, int64) {
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
	_, sl, _ := s.at(service)
	sl.requests++
}

// Take counts a request that is to be sent again, if the budget allows it.
func (s *FleetBudget) Take(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, sl, number := s.at(service)
	requests, repeats := 0, 0
	for _, x := range u.slices {
		if number-x.number < usageSlices {
			requests += x.requests
			repeats += x.repeats
		}
	}
	allowed := sharedMargin * (s.ratio*float64(requests) + s.slack/float64(max(1, s.fleet())))
	if float64(repeats+1) > allowed {
		return false
	}
	sl.repeats++
	return true
}
