package pool

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// Query describes the request that an endpoint is picked for.
type Query struct {
	Service     string
	Affinity    string          // requests with the same value go to the same endpoint while its load allows; empty: none
	Prompt      int64           // tokens of the prompt
	Shared      int64           // those of them that an endpoint may have cached from other requests with the same affinity
	Target      time.Duration   // target time to the first event; 0: unknown
	Gap         time.Duration   // longest gap allowed between events of the response stream; 0: unknown
	Tried       map[string]bool // IDs of the endpoints that have already been sent the request
	Regions     []string        // in which it may run; nil: in all
	Zones       []string        // availability zones in which it may run; nil: in all
	Software    string          // version of the endpoint's software that it has to have; empty: any
	Blocks      []uint64        // hashes of the beginning of the prompt: see Blocks
	HealthyOnly bool            // pick no endpoint rather than an unhealthy one
}

// Reason reports why an endpoint was picked, for logs.
type Reason string

// The reasons.
const (
	ReasonAffinity Reason = "affinity" // first in the request's affinity order
	ReasonSpill    Reason = "spill"    // the first ones in that order are loaded
	ReasonLoad     Reason = "load"     // less loaded than others
	ReasonLast     Reason = "last"     // no endpoint is healthy, or all exceed the load bound
	ReasonLimit    Reason = "limit"    // its limit admits more requests than affinity sends there
)

// Lease is one request's use of an endpoint.
type Lease struct {
	pool      *Pool
	member    *member
	endpoint  Endpoint // its record as of the pick; the current one may differ
	reason    Reason
	exclusion Exclusion
	ended     bool
	window    *window // the endpoint's window as of the pick; nil: none
	picked    time.Time
	// permit is the bucket that counts the request under the endpoint's limit; nil if it has none.
	permit *limit.Bucket
	// responseTimeout is how long the endpoint may take until the response begins.
	responseTimeout time.Duration
}

// Endpoint returns the record of the picked endpoint, as of the pick.
func (l *Lease) Endpoint() Endpoint { return l.endpoint }

// Reason returns why the endpoint was picked.
func (l *Lease) Reason() Reason { return l.reason }

// Exclusion returns why the first endpoint in the request's affinity order is excluded; NotExcluded if it is not.
func (l *Lease) Exclusion() Exclusion { return l.exclusion }

// Pick chooses an endpoint and counts the request as open there. It returns nil if no endpoint accepts work or all
// have been tried.
func (p *Pool) Pick(q Query) *Lease {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m, reason := p.choose(q, now)
	if m == nil {
		p.countDemand(q.Service, now)
		return nil
	}
	if m.open == 0 {
		m.awaitingSince = now
	}
	p.markProbed(m, now)
	p.countCold(m, now)
	p.countDemand(q.Service, now)
	timeout := p.responseTimeout(q)
	if m.open == 0 {
		m.responseTimeout = 0
	}
	m.responseTimeout = max(m.responseTimeout, timeout)
	m.open++
	m.activity.began(now)
	if q.Prompt > 0 {
		m.interference.add(now, stallProbability(p.readingTime(q), q.gap()))
	}
	return &Lease{
		pool: p, member: m, endpoint: m.Endpoint, reason: reason, exclusion: p.firstChoiceExclusion(q), responseTimeout: timeout, window: p.clearNotices(m, now), picked: now,
		permit: p.takePermit(m, now),
	}
}

// choose picks among the healthy endpoints of the request's shard, or of all if the shard has none. If none at all is
// healthy, the fault may be on this side, so it picks among all eligible ones.
func (p *Pool) choose(q Query, now time.Time) (*member, Reason) {
	members, partial := p.shardOf(q)
	healthy, open := p.evaluate(members, q, now)
	if healthy == 0 && partial {
		members = p.services[q.Service]
		healthy, open = p.evaluate(members, q, now)
	}
	p.compared = members
	if m := p.underusedLimited(members, now); m != nil {
		return m, ReasonLimit
	}
	switch {
	case healthy == 0 && q.HealthyOnly:
		return nil, ReasonLast
	case healthy > 0 && p.chooser != nil:
		return p.pickByChooser(members, q), ReasonLoad
	}
	if healthy == 0 {
		return p.pickLeastLoaded(members, q, func(m *member) bool { return m.eligible }), ReasonLast
	}
	if q.Affinity == "" {
		return p.pickOfTwo(members, now), ReasonLoad
	}
	if p.mayIgnoreAffinity(q, now) {
		return p.pickLeastCost(members, q, now)
	}
	bound := p.policy.LoadFactor*float64(open+1)/float64(healthy) + float64(p.policy.LoadMargin)
	return p.pickByAffinity(members, q, bound)
}

// evaluate determines which endpoints may be sent the request and which of these are healthy. It returns the number
// of healthy ones and of the requests open there. With Policy.ColdLast, cold endpoints count only if no other one is
// healthy.
func (p *Pool) evaluate(members []*member, q Query, now time.Time) (healthy, open int) {
	warm := 0
	p.anyExcluded = false
	connected, rejections := p.connectionsOf(q.Service, now), p.rejectionLimitOf(q.Service, now)
	unrestricted := rejections == nil && len(p.evacuated) == 0 && q.Regions == nil && q.Zones == nil && q.Software == "" && p.noZoneSuspect() && (connected == nil || connected.share > 0)
	for _, m := range members {
		if unrestricted && m.pristine() {
			m.exclusion, m.eligible = NotExcluded, !m.Draining && !q.Tried[m.ID]
			if m.healthy = m.eligible; m.healthy {
				healthy++
				warm++
			}
			continue
		}
		p.expireState(m, now)
		m.exclusion = p.exclusionOf(m, now)
		p.anyExcluded = p.anyExcluded || m.exclusion != NotExcluded
		m.eligible = m.exclusion == NotExcluded && p.allowed(m, q) && p.hasCapacity(m, connected, now) && rejections.withinSlots(m)
		m.healthy = m.eligible && p.healthy(m, now)
		if !m.healthy {
			continue
		}
		healthy++
		open += m.open
		if !p.cold(m, now) {
			warm++
		}
	}
	if warm < healthy && warm > 0 && p.policy.ColdLast {
		healthy, open = p.excludeCold(members, now)
	}
	return healthy, open
}

// pristine reports whether no state is tracked for an endpoint, as is the case for nearly all of them in a large
// fleet. Such an endpoint need not be evaluated: every record has slots, and this instance uses none of them.
func (m *member) pristine() bool {
	return m.open == 0 && m.announced == nil && m.window == nil && m.errorShare == 0 && m.failed.perSecond == 0 && m.peerLoad.Failed == 0 && m.peerLoad.Silent == 0 &&
		m.pausedUntil.IsZero() && m.busyUntil.IsZero() && m.warming.until.IsZero()
}

// expireState clears expired state of an endpoint, so that later picks need not evaluate it. The caller holds mu.
func (p *Pool) expireState(m *member, now time.Time) {
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

// excludeCold excludes cold endpoints from the healthy ones. The caller holds mu.
func (p *Pool) excludeCold(members []*member, now time.Time) (healthy, open int) {
	p.anyExcluded = true
	for _, m := range members {
		switch {
		case !m.healthy:
		case p.cold(m, now):
			m.healthy, m.exclusion = false, ExcludedCold
		default:
			healthy++
			open += m.open
		}
	}
	return healthy, open
}

// firstChoiceExclusion returns why the first endpoint in the request's affinity order gets no work, as of the last
// evaluation.
func (p *Pool) firstChoiceExclusion(q Query) Exclusion {
	if !p.anyExcluded || q.Affinity == "" {
		return NotExcluded
	}
	key := xxhash.Sum64String(q.Affinity)
	var first *member
	var firstOrder uint64
	for _, m := range p.compared {
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
func (p *Pool) allowed(m *member, q Query) bool {
	if q.Software != "" && m.Software != q.Software {
		return false
	}
	if q.Regions != nil && !slices.Contains(q.Regions, p.regions[m.Zone]) {
		return false
	}
	return !m.Draining && !q.Tried[m.ID] && (q.Zones == nil || slices.Contains(q.Zones, m.Zone))
}

// hasCapacity reports whether an endpoint may have one more request of this instance.
func (p *Pool) hasCapacity(m *member, c *connections, now time.Time) bool {
	if (m.Slots > 0 && m.open >= p.slotShare(m)) || !p.mayConnect(m, c, now) {
		return false
	}
	return m.window.expired(now) || m.open < m.window.limit(now)
}

// slotShare is how many requests this instance may have open at an endpoint.
func (p *Pool) slotShare(m *member) int { return max(1, m.Slots/max(1, p.zoneInstances())) }

// pickLeastLoaded picks the endpoint at which this instance has the fewest open requests; one in another availability
// zone counts as a little busier.
func (p *Pool) pickLeastLoaded(members []*member, q Query, may func(*member) bool) *member {
	key := xxhash.Sum64String(q.Affinity)
	var best *member
	var bestLoad float64
	var bestOrder uint64
	for _, m := range members {
		if !may(m) {
			continue
		}
		load := float64(m.open)
		if m.Zone != p.zone {
			load += p.policy.CrossZonePenalty
		}
		order := m.order(key)
		if best == nil || load < bestLoad || (load == bestLoad && order < bestOrder) {
			best, bestLoad, bestOrder = m, load, order
		}
	}
	return best
}

// pickByAffinity picks the first endpoint in the request's affinity order whose load is below the bound, or the first
// one of all if there is none.
func (p *Pool) pickByAffinity(members []*member, q Query, bound float64) (*member, Reason) {
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

// order returns the rank of an endpoint for the hash of an affinity, by rendezvous hashing: all instances compute the
// same order.
func (m *member) order(key uint64) uint64 {
	const mix = 0x9e3779b97f4a7c15
	h := (key ^ m.hash) * mix
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}
