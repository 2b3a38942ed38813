package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// Query is what a pick is for.
type Query struct {
	Service     string
	Affinity    string          // requests with the same text go to the same endpoint while its load allows; empty: none
	Prompt      int64           // tokens that are to be read where nothing of them is kept
	Shared      int64           // those of them that an endpoint which had others of the same affinity may keep
	Target      time.Duration   // within which the first event is wanted; 0: not known
	Gap         time.Duration   // the longest that the answer's stream may rest; 0: not known
	Tried       map[string]bool // endpoints that have had the request
	Regions     []string        // in which it may run; nil: in all
	Zones       []string        // availability zones in which it may run; nil: in all
	Blocks      []uint64        // the beginning of the prompt: see Blocks
	HealthyOnly bool            // it shall rather not run than at an endpoint that something speaks against
}

// Reason reports why an endpoint was picked, for logs.
type Reason string

// The reasons.
const (
	ReasonAffinity Reason = "affinity" // first in the order of the request's affinity
	ReasonSpill    Reason = "spill"    // the first of that order were loaded
	ReasonLoad     Reason = "load"     // the least loaded
	ReasonLast     Reason = "last"     // none is sound: the least suspect one
	ReasonLimit    Reason = "limit"    // it takes a request more of all instances, that none asks for by itself
)

// Lease is one request's use of an endpoint.
type Lease struct {
	pool   *Pool
	member *member
	at     Endpoint // as it was when it was picked; its record may change meanwhile
	reason Reason
	kept   Exclusion
	ended  bool
	back   *comeback // of the endpoint, as it was picked; nil: it did not rest lately
	picked time.Time
	// permit is where the request is counted under the limit that the endpoint names; nil: it names none
	permit *limit.Bucket
	// patience is how long the first word of the answer may take before something is wrong
	patience time.Duration
}

// Endpoint is the endpoint that was picked.
func (s *Lease) Endpoint() Endpoint { return s.at }

// Reason reports why it was picked.
func (s *Lease) Reason() Reason { return s.reason }

// Exclusion reports why the endpoint that the request's affinity names first was passed over, if it gets no work now.
func (s *Lease) Exclusion() Exclusion { return s.kept }

// Pick chooses an endpoint and counts the request as open there. It returns nil if none takes work or all have been tried.
func (l *Pool) Pick(q Query) *Lease {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	m, reason := l.choose(q, now)
	if m == nil {
		l.countDemand(q.Service, now)
		return nil
	}
	if m.open == 0 {
		m.asked = now
	}
	l.probe(m, now)
	l.sendsCold(m, now)
	l.countDemand(q.Service, now)
	patience := l.patience(q)
	if m.open == 0 {
		m.patience = 0
	}
	m.patience = max(m.patience, patience)
	m.open++
	if q.Prompt > 0 {
		m.harm.add(now, pauseChance(l.reading(q), q.gap()))
	}
	return &Lease{
		pool: l, member: m, at: m.Endpoint, reason: reason, kept: l.keptFirst(q), patience: patience, back: l.takenBack(m, now), picked: now,
		permit: l.takePermit(m, now),
	}
}

// choose picks among the sound endpoints. If none is sound the fault may be on this side, so it picks among all.
func (l *Pool) choose(q Query, now time.Time) (*member, Reason) {
	members := l.services[q.Service]
	sound, open := l.judge(members, q, now)
	if m := l.drawing(members, now); m != nil {
		return m, ReasonLimit
	}
	switch {
	case sound == 0 && q.HealthyOnly:
		return nil, ReasonLast
	case sound > 0 && l.chooser != nil:
		return l.chosen(members, q), ReasonLoad
	}
	if sound == 0 {
		return l.leastLoaded(members, q, func(m *member) bool { return m.candidate }), ReasonLast
	}
	if q.Affinity == "" {
		return l.drawn(members, now), ReasonLoad
	}
	if l.roams(q, now) {
		return l.calmest(members, q, now)
	}
	bound := l.policy.LoadFactor*float64(open+1)/float64(sound) + float64(l.policy.LoadMargin)
	return l.affine(members, q, bound)
}

// judge finds out which endpoints may be sent the request and which of these are sound; it returns how many are, and what is open there.
// Cold ones get work only where no other is sound.
func (l *Pool) judge(members []*member, q Query, now time.Time) (sound, open int) {
	warm := 0
	l.keeping = false
	connected := l.connected(q.Service, now)
	calm := len(l.evacuated) == 0 && q.Regions == nil && q.Zones == nil && l.reachesAll() && (connected == nil || connected.part > 0)
	for _, m := range members {
		if calm && m.unmarked() {
			m.kept, m.candidate = NotExcluded, !m.Draining && !q.Tried[m.ID]
			if m.good = m.candidate; m.good {
				sound++
				warm++
			}
			continue
		}
		l.forgetMarks(m, now)
		m.kept = l.keeps(m, now)
		l.keeping = l.keeping || m.kept != NotExcluded
		m.candidate = m.kept == NotExcluded && l.mayRun(m, q) && l.room(m, connected, now)
		m.good = m.candidate && l.sound(m, now)
		if !m.good {
			continue
		}
		sound++
		open += m.open
		if !l.cold(m, now) {
			warm++
		}
	}
	if warm < sound && warm > 0 && l.policy.ColdLast {
		sound, open = l.leaveCold(members, now)
	}
	return sound, open
}

// unmarked reports whether nothing at all is noted of an endpoint, as of nearly all of them in a large fleet: then it need not be judged. It has slots,
// as each record does, and none of them is taken from here.
func (m *member) unmarked() bool {
	return m.open == 0 && m.announced == nil && m.comeback == nil && m.errors == 0 && m.failed.perSecond == 0 && m.others.Failed == 0 && m.others.Silent == 0 &&
		m.pausedTil.IsZero() && m.busyTil.IsZero() && m.warming.until.IsZero()
}

// forgetMarks takes what does not count any more from an endpoint, so that it need not be looked at again. The caller holds mu.
func (l *Pool) forgetMarks(m *member, now time.Time) {
	if !before(now, m.pausedTil) {
		m.pausedTil = time.Time{}
	}
	if !before(now, m.busyTil) {
		m.busyTil = time.Time{}
	}
	if !before(now, m.warming.until) {
		m.warming.until = time.Time{}
	}
	if m.failing(now) < leastFlow {
		m.errors = 0
	}
	if m.failed.now(now) < leastFlow {
		m.failed = flow{}
	}
	if m.announced.nothing() {
		m.announced = nil
	}
	if m.comeback.over(now) {
		m.comeback = nil
	}
}

// leaveCold takes cold endpoints out of those that are sound. The caller holds mu.
func (l *Pool) leaveCold(members []*member, now time.Time) (sound, open int) {
	l.keeping = true
	for _, m := range members {
		switch {
		case !m.good:
		case l.cold(m, now):
			m.good, m.kept = false, ExcludedCold
		default:
			sound++
			open += m.open
		}
	}
	return sound, open
}

// keptFirst reports why the first endpoint in the order of a request's affinity gets no work. It reports the last judgement.
func (l *Pool) keptFirst(q Query) Exclusion {
	if !l.keeping || q.Affinity == "" {
		return NotExcluded
	}
	key := xxhash.Sum64String(q.Affinity)
	var first *member
	var firstOrder uint64
	for _, m := range l.services[q.Service] {
		if order := m.order(key); !m.Draining && (first == nil || order > firstOrder) {
			first, firstOrder = m, order
		}
	}
	if first == nil {
		return NotExcluded
	}
	return first.kept
}

// mayRun reports whether an endpoint may be sent the request at all.
func (l *Pool) mayRun(m *member, q Query) bool {
	if q.Regions != nil && !slices.Contains(q.Regions, l.regions[m.Zone]) {
		return false
	}
	return !m.Draining && !q.Tried[m.ID] && (q.Zones == nil || slices.Contains(q.Zones, m.Zone))
}

// room reports whether an endpoint may have one more request of this instance.
func (l *Pool) room(m *member, c *connections, now time.Time) bool {
	if (m.Slots > 0 && m.open >= l.part(m)) || !l.connects(m, c, now) {
		return false
	}
	return m.comeback.over(now) || m.open < m.comeback.bound(now)
}

// part is how many requests this instance may have at an endpoint.
func (l *Pool) part(m *member) int { return max(1, m.Slots/max(1, l.share())) }

// leastLoaded picks the endpoint with the fewest open requests; one of another zone counts as a little busier.
func (l *Pool) leastLoaded(members []*member, q Query, may func(*member) bool) *member {
	key := xxhash.Sum64String(q.Affinity)
	var best *member
	var bestLoad float64
	var bestOrder uint64
	for _, m := range members {
		if !may(m) {
			continue
		}
		load := float64(m.open)
		if m.Zone != l.zone {
			load += l.policy.CrossZonePenalty
		}
		order := m.order(key)
		if best == nil || load < bestLoad || (load == bestLoad && order < bestOrder) {
			best, bestLoad, bestOrder = m, load, order
		}
	}
	return best
}

// affine picks the first endpoint in the order of the request's affinity whose load is within the bound.
func (l *Pool) affine(members []*member, q Query, bound float64) (*member, Reason) {
	key := xxhash.Sum64String(q.Affinity)
	var first, best *member
	var firstOrder, bestOrder uint64
	for _, m := range members {
		if !m.good {
			continue
		}
		order := m.order(key)
		if first == nil || order > firstOrder {
			first, firstOrder = m, order
		}
		if float64(m.open) < bound && (best == nil || order > bestOrder) {
			best, bestOrder = m, order
		}
	}
	switch best {
	case nil:
		return first, ReasonLast
	case first:
		return best, ReasonAffinity
	}
	return best, ReasonSpill
}

// order ranks an endpoint for the hash of an affinity by rendezvous hashing: all instances come to the same order.
func (m *member) order(key uint64) uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := (key ^ m.hash) * mix
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
