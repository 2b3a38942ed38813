// Package limit keeps the requests that all instances together send to an endpoint within the rate that the endpoint
// announces in its responses.
//
// An overloaded endpoint announces a limit of a few requests per second for all instances together. In a fleet of six
// or of three hundred instances, each sends a part of the endpoint's requests, so their sum may exceed a limit that no
// single instance exceeds. The rate is therefore divided like a budget. Each instance has an even share. An Allocator
// offers it to another instance for some seconds, and that instance leases the offered shares to the instances that
// have requests. A share is in use at one instance at any time, also during network partitions, across restarts, and
// while two instances both assume that they divide the limit. Tests: TestAllocator here, TestEndpointLimit in
// platform/endtoend.
package limit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRate is the highest accepted rate, in requests per second: a limit above it restricts nothing.
	maxRate = 1e6
	// minRate is the rate, in requests per second, at which an endpoint receives requests although it accepts fewer:
	// without any request, no instance would discover that it accepts more again.
	minRate = 0.5
	// lifetime is how long a limit stays in force after it was last announced, and how long its lifting is remembered.
	lifetime = 10 * time.Minute
)

// Rate is a number of requests per second that an endpoint accepts. The zero value means that none is announced.
type Rate struct {
	perSecond float64
	set       bool
}

// PerSecond returns a Rate of x requests per second, clamped to the accepted range.
func PerSecond(x float64) Rate { return Rate{perSecond: min(max(0, x), maxRate), set: true} }

// IsSet reports whether a rate is announced.
func (r Rate) IsSet() bool { return r.set }

// PerSecond returns the rate as it was announced, in requests per second.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Bound returns the rate that is enforced, in requests per second.
func (r Rate) Bound() float64 { return max(r.perSecond, minRate) }

// FromHeader parses the values of the header that announces a rate. The lowest value counts; values that are not a
// number of requests per second are ignored.
func FromHeader(values []string) Rate {
	var out Rate
	for _, v := range values {
		if r, ok := parse(strings.TrimSpace(v)); ok && (!out.set || r.perSecond < out.perSecond) {
			out = r
		}
	}
	return out
}

func parse(v string) (Rate, bool) {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
		return Rate{}, false
	}
	return PerSecond(x), true
}

// State is the observed limit of one run of an endpoint's process. It allows for responses that arrive in any order,
// and for reports of other instances about older responses.
type State struct {
	rate        Rate
	announcedAt time.Time // when a response header last announced it
	omittedAt   time.Time // when the last request was sent whose response announced no limit
}

// Active reports whether the limit is in force.
func (s State) Active(now time.Time) bool {
	return !s.announcedAt.IsZero() && !s.omittedAt.After(s.announcedAt) && now.Sub(s.announcedAt) < lifetime
}

// Expired reports whether the state is too old to have any effect.
func (s State) Expired(now time.Time) bool {
	return now.Sub(s.announcedAt) >= lifetime && now.Sub(s.omittedAt) >= lifetime
}

// Rate returns the limit if it is in force.
func (s State) Rate(now time.Time) Rate {
	if !s.Active(now) {
		return Rate{}
	}
	return s.rate
}

// AnnouncedAt returns when the limit was last announced.
func (s State) AnnouncedAt() time.Time { return s.announcedAt }

// OmittedAt returns when the last request was sent whose response announced no limit.
func (s State) OmittedAt() time.Time { return s.omittedAt }

// LastRate returns the last announced rate, whether it is in force or not.
func (s State) LastRate() Rate { return s.rate }

// Observe records the header of a response to a request that was sent at sentAt.
//
// A response without a limit lifts the limit only if its request was sent after the limit was last announced: the
// response to an earlier request may arrive later. If the responses to two concurrent requests announce different
// rates, the lower one counts until the next response.
func (s *State) Observe(r Rate, sentAt, now time.Time) {
	switch {
	case !r.set:
		if sentAt.After(s.omittedAt) {
			s.omittedAt = sentAt
		}
		return
	case s.Active(now) && !sentAt.After(s.announcedAt) && r.perSecond > s.rate.perSecond:
	default:
		s.rate = r
	}
	s.announcedAt = now
}

// Merge adds what another instance has observed itself. Reports that arrive twice, late or in another order lead to
// the same state.
func (s *State) Merge(other State) {
	if other.announcedAt.After(s.announcedAt) {
		s.rate, s.announcedAt = other.rate, other.announcedAt
	}
	if other.omittedAt.After(s.omittedAt) {
		s.omittedAt = other.omittedAt
	}
}

// NewState returns a state that another instance has reported. r is the last announced rate, and announcedAt is when it
// was announced. omittedAt is when the last request was sent whose response announced no limit. A zero time means
// never.
func NewState(r Rate, announcedAt, omittedAt time.Time) State {
	return State{rate: r, announcedAt: announcedAt, omittedAt: omittedAt}
}
