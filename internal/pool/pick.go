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
	pool      *Pool
	member    *member
	endpoint  Endpoint // as it was when it was picked; its record may change meanwhile
	reason    Reason
	exclusion Exclusion
	ended     bool
	window    *window // of the endpoint, as it was picked; nil: it did not rest lately
	picked    time.Time
	// permit is where the request is counted under the limit that the endpoint names; nil: it names none
	permit *limit.Bucket
	// responseTimeout is how long the first word of the answer may take before something is wrong
	responseTimeout time.Duration
}

// Endpoint is the endpoint that was picked.
func (s *Lease) Endpoint() Endpoint { return s.endpoint }

// Reason reports why it was picked.
func (s *Lease) Reason() Reason { return s.reason }

// Exclusion reports why the endpoint that the request's affinity names first was passed over, if it gets no work now.
func (s *Lease) Exclusion() Exclusion { return s.exclusion }

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
		m.awaitingSince = now
	}
	l.markProbed(m, now)
	l.countCold(m, now)
	l.countDemand(q.Service, now)
	patience := l.responseTimeout(q)
	if m.open == 0 {
		m.responseTimeout = 0
	}
	m.responseTimeout = max(m.responseTimeout, patience)
	m.open++
	if q.Prompt > 0 {
		m.interference.add(now, stallProbability(l.readingTime(q), q.gap()))
	}
	return &Lease{
		pool: l, member: m, endpoint: m.Endpoint, reason: reason, exclusion: l.firstChoiceExclusion(q), responseTimeout: patience, window: l.clearNotices(m, now), picked: now,
		permit: l.takePermit(m, now),
	}
}

// choose picks among the sound endpoints. If none is sound the fault may be on this side, so it picks among all.
func (l *Pool) choose(q Query, now time.Time) (*member, Reason) {
	members := l.services[q.Service]
	sound, open := l.evaluate(members, q, now)
	if m := l.underusedLimited(members, now); m != nil {
		return m, ReasonLimit
	}
	switch {
	case sound == 0 && q.HealthyOnly:
		return nil, ReasonLast
	case sound > 0 && l.chooser != nil:
		return l.pickByChooser(members, q), ReasonLoad
	}
	if sound == 0 {
		return l.pickLeastLoaded(members, q, func(m *member) bool { return m.eligible }), ReasonLast
	}
	if q.Affinity == "" {
		return l.pickOfTwo(members, now), ReasonLoad
	}
	if l.mayIgnoreAffinity(q, now) {
		return l.pickLeastCost(members, q, now)
	}
	bound := l.policy.LoadFactor*float64(open+1)/float64(sound) + float64(l.policy.LoadMargin)
	return l.pickByAffinity(members, q, bound)
}

// evaluate finds out which endpoints may be sent the request and which of these are sound; it returns how many are, and what is open there.
// Cold ones get work only where no other is sound.
func (l *Pool) evaluate(members []*member, q Query, now time.Time) (sound, open int) {
	warm := 0
	l.anyExcluded = false
	connected := l.connectionsOf(q.Service, now)
	calm := len(l.evacuated) == 0 && q.Regions == nil && q.Zones == nil && l.noZoneSuspect() && (connected == nil || connected.share > 0)
	for _, m := range members {
		if calm && m.pristine() {
			m.exclusion, m.eligible = NotExcluded, !m.Draining && !q.Tried[m.ID]
			if m.healthy = m.eligible; m.healthy {
				sound++
				warm++
			}
			continue
		}
		l.expireState(m, now)
		m.exclusion = l.exclusionOf(m, now)
		l.anyExcluded = l.anyExcluded || m.exclusion != NotExcluded
		m.eligible = m.exclusion == NotExcluded && l.allowed(m, q) && l.hasCapacity(m, connected, now)
		m.healthy = m.eligible && l.healthy(m, now)
		if !m.healthy {
			continue
		}
		sound++
		open += m.open
		if !l.cold(m, now) {
			warm++
		}
	}
	if warm < sound && warm > 0 && l.policy.ColdLast {
		sound, open = l.excludeCold(members, now)
	}
	return sound, open
}

// pristine reports whether nothing at all is noted of an endpoint, as of nearly all of them in a large fleet: then it need not be judged. It has slots,
// as each record does, and none of them is taken from here.
func (m *member) pristine() bool {
	return m.open == 0 && m.announced == nil && m.window == nil && m.errorShare == 0 && m.failed.perSecond == 0 && m.peerLoad.Failed == 0 && m.peerLoad.Silent == 0 &&
		m.pausedUntil.IsZero() && m.busyUntil.IsZero() && m.warming.until.IsZero()
}

// expireState takes what does not count any more from an endpoint, so that it need not be looked at again. The caller holds mu.
func (l *Pool) expireState(m *member, now time.Time) {
	if !before(now, m.pausedUntil) {
		m.pausedUntil = time.Time{}
	}
	if !before(now, m.busyUntil) {
		m.busyUntil = time.Time{}
	}
	if !before(now, m.warming.until) {
		m.warming.until = time.Time{}
	}
	if m.errorShareNow(now) < minFlow {
		m.errorShare = 0
	}
	if m.failed.rate(now) < minFlow {
		m.failed = flow{}
	}
	if m.announced.inactive() {
		m.announced = nil
	}
	if m.window.expired(now) {
		m.window = nil
	}
}

// excludeCold takes cold endpoints out of those that are sound. The caller holds mu.
func (l *Pool) excludeCold(members []*member, now time.Time) (sound, open int) {
	l.anyExcluded = true
	for _, m := range members {
		switch {
		case !m.healthy:
		case l.cold(m, now):
			m.healthy, m.exclusion = false, ExcludedCold
		default:
			sound++
			open += m.open
		}
	}
	return sound, open
}

// firstChoiceExclusion reports why the first endpoint in the order of a request's affinity gets no work. It reports the last judgement.
func (l *Pool) firstChoiceExclusion(q Query) Exclusion {
	if !l.anyExcluded || q.Affinity == "" {
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
	return first.exclusion
}

// allowed reports whether an endpoint may be sent the request at all.
func (l *Pool) allowed(m *member, q Query) bool {
	if q.Regions != nil && !slices.Contains(q.Regions, l.regions[m.Zone]) {
		return false
	}
	return !m.Draining && !q.Tried[m.ID] && (q.Zones == nil || slices.Contains(q.Zones, m.Zone))
}

// hasCapacity reports whether an endpoint may have one more request of this instance.
func (l *Pool) hasCapacity(m *member, c *connections, now time.Time) bool {
	if (m.Slots > 0 && m.open >= l.slotShare(m)) || !l.mayConnect(m, c, now) {
		return false
	}
	return m.window.expired(now) || m.open < m.window.limit(now)
}

// slotShare is how many requests this instance may have at an endpoint.
func (l *Pool) slotShare(m *member) int { return max(1, m.Slots/max(1, l.zoneInstances())) }

// pickLeastLoaded picks the endpoint with the fewest open requests; one of another zone counts as a little busier.
func (l *Pool) pickLeastLoaded(members []*member, q Query, may func(*member) bool) *member {
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

// pickByAffinity picks the first endpoint in the order of the request's affinity whose load is within the bound.
func (l *Pool) pickByAffinity(members []*member, q Query, bound float64) (*member, Reason) {
	key := xxhash.Sum64String(q.Affinity)
	var first, best *member
	var firstOrder, bestOrder uint64
	for _, m := range members {
		if !m.healthy {
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
