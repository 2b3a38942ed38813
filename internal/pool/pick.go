package pool

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Query is what a pick is for.
type Query struct {
	Service  string
	Affinity string          // requests with the same text go to the same endpoint while its load allows; empty: none
	Tried    map[string]bool // endpoints that have had the request
}

// Reason says why an endpoint was picked, for logs.
type Reason string

// The reasons.
const (
	ReasonAffinity Reason = "affinity" // first in the order of the request's affinity
	ReasonSpill    Reason = "spill"    // the first of that order were loaded
	ReasonLoad     Reason = "load"     // the least loaded
	ReasonLast     Reason = "last"     // none is sound: the least suspect one
)

// Lease is one request's use of an endpoint.
type Lease struct {
	pool   *Pool
	member *member
	reason Reason
	ended  bool
}

// Endpoint is the endpoint that was picked.
func (s *Lease) Endpoint() Endpoint { return s.member.Endpoint }

// Reason says why it was picked.
func (s *Lease) Reason() Reason { return s.reason }

// candidate is an endpoint that may be picked.
type candidate struct {
	m     *member
	load  float64
	order uint64
	sound bool
}

// Pick chooses an endpoint and counts the request as open there. It returns nil if none takes work or all have been tried.
func (l *Pool) Pick(q Query) *Lease {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.candidates(q, now)
	if len(list) == 0 {
		return nil
	}
	m, reason := l.choose(list, q.Affinity != "")
	if m.open == 0 {
		m.asked = now
	}
	l.probe(m, now)
	m.open++
	return &Lease{pool: l, member: m, reason: reason}
}

func (l *Pool) candidates(q Query, now time.Time) []candidate {
	members := l.services[q.Service]
	list := make([]candidate, 0, len(members))
	for id, m := range members {
		if m.Draining || q.Tried[id] || (m.Slots > 0 && m.open >= m.Slots) {
			continue
		}
		c := candidate{m: m, load: float64(m.open), sound: l.sound(m, now)}
		if m.Zone != l.zone {
			c.load += l.policy.OwnZoneHelp
		}
		c.order = xxhash.Sum64String(q.Affinity + "\x00" + id)
		list = append(list, c)
	}
	return l.soundOnly(list)
}

// soundOnly leaves out endpoints that are suspect, unless they are more than half: then the fault may be on this side.
func (l *Pool) soundOnly(list []candidate) []candidate {
	sound := make([]candidate, 0, len(list))
	for _, c := range list {
		if c.sound {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return list
	}
	return sound
}

// choose picks from a list that is not empty.
func (l *Pool) choose(list []candidate, affine bool) (*member, Reason) {
	if !affine {
		sort.Slice(list, func(i, j int) bool {
			if list[i].load != list[j].load {
				return list[i].load < list[j].load
			}
			return list[i].order < list[j].order
		})
		if !list[0].sound {
			return list[0].m, ReasonLast
		}
		return list[0].m, ReasonLoad
	}
	sort.Slice(list, func(i, j int) bool { return list[i].order > list[j].order })
	total := 0
	for _, c := range list {
		total += c.m.open
	}
	bound := l.policy.Slack*float64(total+1)/float64(len(list)) + float64(l.policy.SlackRoom)
	for i, c := range list {
		if float64(c.m.open) < bound {
			if i == 0 {
				return c.m, ReasonAffinity
			}
			return c.m, ReasonSpill
		}
	}
	return list[0].m, ReasonLast
}
