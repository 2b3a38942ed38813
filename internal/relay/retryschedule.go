package relay

import (
	"sync"
	"time"
)

// retrySchedule assigns a separate retry slot to each caller that is rejected because of the endpoints' rate limits. If
// all callers got the same delay, they would retry at the same moment, and only one of them could be served.
type retrySchedule struct {
	mu   sync.Mutex
	last map[string]time.Time // the last slot that was assigned, by service
}

const (
	maxRetryDelay = 10 * time.Second // callers do not wait for longer
	minRate       = 0.1              // requests per second, used if this instance may currently send none
)

// next returns the delay until the next caller's slot, if there are perSecond slots per second.
func (s *retrySchedule) next(service string, perSecond float64, now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / max(minRate, perSecond))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = make(map[string]time.Time)
	}
	slot := now
	if s.last[service].After(now) {
		slot = s.last[service]
	}
	if slot = slot.Add(interval); slot.Sub(now) > maxRetryDelay {
		return maxRetryDelay
	}
	s.last[service] = slot
	return slot.Sub(now)
}
