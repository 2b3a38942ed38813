package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// limits is the limit of one run of an endpoint's process, and what this instance may send under it.
type limits struct {
	direct limit.Known // as this instance has heard it itself
	known  limit.Known // as all instances have heard it, as far as this one was told
	bucket limit.Bucket
	active bool // it holds, as of the last look
}

// Limits is what endpoints have said of their limits, by the same key as Loads.
type Limits map[uint32]limit.Known

// Add adds what others have heard.
func (l Limits) Add(other Limits) {
	for key, k := range other {
		mine := l[key]
		mine.Merge(k)
		l[key] = mine
	}
}

// WithLeases makes a pool that sends to endpoints under limits what it is lent with SetLeases. Without, it sends an even part of what they take.
func WithLeases() Option { return func(l *Pool) { l.leased = true } }

// observeLimit takes the limit that an answer names, or that it names none. The caller holds mu.
func (l *Pool) observeLimit(s *Lease, r limit.Rate, a Answer) {
	m := s.member
	if !r.Named() && (m.announced == nil || !m.announced.limits.active) {
		return
	}
	x := l.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	now := l.now()
	before := x.limits.known.Rate(now)
	x.receivedUnixMilli = l.wall().UnixMilli()
	x.limits.direct.Observe(r, s.picked, now)
	x.limits.known.Observe(r, s.picked, now)
	l.limitChanged(m, x, before, NoticeTaken{Endpoint: m.Endpoint, Answer: a, Age: now.Sub(m.recordAt)})
}

// limitChanged reports that a limit holds, has changed or does not hold any more. The caller holds mu.
func (l *Pool) limitChanged(m *member, x *announced, before limit.Rate, h NoticeTaken) {
	now := l.now()
	r := x.limits.known.Rate(now)
	if x.limits.active = r.Named(); x.limits.active && !before.Named() {
		l.limited++
		l.renewEvenShare(m, r, now)
	}
	switch {
	case r == before:
	case r.Named():
		h.Notice = Notice{Limit: r}
		l.onNotice(h)
	default:
		l.onNoticeEnded(NoticeEnded{Endpoint: m.Endpoint, Why: NoticeLifted})
	}
}

// limit is the limit of an endpoint, if it names one. The caller holds mu.
func (m *member) limit(now time.Time) limit.Rate {
	if m.announced == nil || !m.announced.limits.active {
		return limit.Rate{}
	}
	r := m.announced.limits.known.Rate(now)
	m.announced.limits.active = r.Named()
	return r
}

// renewEvenShare brings what this instance may send up to date where nobody grants it. The caller holds mu.
func (l *Pool) renewEvenShare(m *member, r limit.Rate, now time.Time) {
	if l.leased {
		return
	}
	m.announced.limits.bucket.Set(limit.NewLease(r, l.evenShare(r), now.Add(evenShareTTL)), r, now)
}

// evenShare is this instance's even part of a limit, in requests a second. The caller holds mu.
func (l *Pool) evenShare(r limit.Rate) float64 {
	return r.Bound() / float64(max(1, l.zoneInstances(), l.owners.Size()))
}

// evenShareTTL is how long an even part counts that is renewed whenever it is asked for.
const evenShareTTL = time.Minute

// allows reports whether an endpoint takes a request of this instance under the limit that it names. The caller holds mu.
func (l *Pool) allows(m *member, now time.Time) bool {
	r := m.limit(now)
	if !r.Named() {
		return true
	}
	l.renewEvenShare(m, r, now)
	return m.announced.limits.bucket.Has(r, now)
}

// expectedRate is the number of requests a second that callers here may hope for at an endpoint under a limit: what this instance is lent, or its even
// part, since what it is lent follows its callers. The caller holds mu.
func (l *Pool) expectedRate(m *member, now time.Time) float64 {
	r := m.limit(now)
	return max(m.announced.limits.bucket.Rate(r, now), l.evenShare(r))
}

// takePermit counts a request under the limit of its endpoint; nil if it names none. The caller holds mu.
func (l *Pool) takePermit(m *member, now time.Time) *limit.Bucket {
	if !m.limit(now).Named() {
		return nil
	}
	m.announced.limits.bucket.Take(now)
	return &m.announced.limits.bucket
}

// permitted reports whether a request that was picked is counted, where the endpoint names a limit by now. The caller holds mu.
func (l *Pool) permitted(s *Lease) bool {
	now := l.now()
	if s.permit != nil || !s.member.limit(now).Named() {
		return true
	}
	if !l.allows(s.member, now) {
		return false
	}
	s.permit = l.takePermit(s.member, now)
	return true
}

// underusedLimited finds an endpoint that is to get any request of the service, for it takes one that no session of its own asks for. The caller holds mu.
func (l *Pool) underusedLimited(members []*member, now time.Time) *member {
	if l.limited == 0 {
		return nil
	}
	even := 1 / float64(max(1, len(members)))
	for _, m := range members {
		if !m.healthy || m.announced == nil {
			continue
		}
		if r := m.limit(now); r.Named() && m.announced.limits.bucket.Draws(r, even, now) {
			return m
		}
	}
	return nil
}

// returnPermit gives back what was counted for a request that did not leave.
func (s *Lease) returnPermit() {
	if s.permit != nil {
		s.permit.Give()
		s.permit = nil
	}
}

// countDemand counts a request for a service while some endpoint names a limit. The caller holds mu.
func (l *Pool) countDemand(service string, now time.Time) {
	if l.limited == 0 {
		return
	}
	f := l.demand[service]
	f.add(now, 1)
	l.demand[service] = f
}

// Limits is what this instance has observed itself of limits.
func (l *Pool) Limits() Limits {
	now := l.now()
	l.mu.RLock()
	defer l.mu.RUnlock()
	var out Limits
	for _, x := range l.announced {
		if x.limits.direct == (limit.Known{}) || x.limits.direct.Over(now) {
			continue
		}
		if out == nil {
			out = make(Limits)
		}
		out[runKey(x.run)] = x.limits.direct
	}
	return out
}

// ObserveLimits takes what other instances have observed of limits.
func (l *Pool) ObserveLimits(told Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersLimits = told
	l.applyFromPeers(len(told), l.applyPeersLimit)
}

// applyPeersLimit takes what other instances have observed of an endpoint's limit. The caller holds mu.
func (l *Pool) applyPeersLimit(m *member) {
	told, ok := l.peersLimits[m.key()]
	if !ok {
		return
	}
	x := l.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	before := x.limits.known.Rate(l.now())
	x.receivedUnixMilli = max(x.receivedUnixMilli, l.wall().Add(-l.now().Sub(told.Named())).UnixMilli())
	x.limits.known.Merge(told)
	l.limitChanged(m, x, before, NoticeTaken{Endpoint: m.Endpoint, FromPeer: true, Age: l.now().Sub(m.recordAt)})
}

// Limited is an endpoint under a limit, as an exchange between instances sees it.
type Limited struct {
	Rate   limit.Rate
	Demand float64 // requests a second that this instance has for its service
}

// Limited are the endpoints under limits, by the same key as Loads.
func (l *Pool) Limited() map[uint32]Limited {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = 0
	var out map[uint32]Limited
	for _, m := range l.byID {
		r := m.limit(now)
		if !r.Named() {
			continue
		}
		if out == nil {
			out = make(map[uint32]Limited)
		}
		l.limited++
		f := l.demand[m.Service]
		out[m.key()] = Limited{Rate: r, Demand: f.rate(now)}
	}
	return out
}

// SetLeases takes what this instance is lent of limits.
func (l *Pool) SetLeases(byEndpoint map[uint32]limit.Lease) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.byID {
		if lease, ok := byEndpoint[m.key()]; ok && m.limit(now).Named() {
			m.announced.limits.bucket.Set(lease, m.limit(now), now)
		}
	}
}
