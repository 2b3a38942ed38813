package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// limits is the limit of one run of an endpoint's process, and what this instance may send under it.
type limits struct {
	own    limit.State // as this instance has heard it itself
	known  limit.State // as all instances have heard it, as far as this one was told
	bucket limit.Bucket
	active bool // it holds, as of the last look
}

// Limits is what endpoints have said of their limits, by the same key as Loads.
type Limits map[uint32]limit.State

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
	if !r.IsSet() && (m.announced == nil || !m.announced.limits.active) {
		return
	}
	x := l.saidBy(m.Endpoint)
	if x == nil {
		return
	}
	now := l.now()
	before := x.limits.known.Rate(now)
	x.wall = l.wall().UnixMilli()
	x.limits.own.Observe(r, s.picked, now)
	x.limits.known.Observe(r, s.picked, now)
	l.turned(m, x, before, NoticeTaken{Endpoint: m.Endpoint, Answer: a, Age: now.Sub(m.recordAt)})
}

// turned reports that a limit holds, has changed or does not hold any more. The caller holds mu.
func (l *Pool) turned(m *member, x *announced, before limit.Rate, h NoticeTaken) {
	now := l.now()
	r := x.limits.known.Rate(now)
	if x.limits.active = r.IsSet(); x.limits.active && !before.IsSet() {
		l.limited++
		l.lend(m, r, now)
	}
	switch {
	case r == before:
	case r.IsSet():
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
	m.announced.limits.active = r.IsSet()
	return r
}

// lend brings what this instance may send up to date where nobody grants it. The caller holds mu.
func (l *Pool) lend(m *member, r limit.Rate, now time.Time) {
	if l.leased {
		return
	}
	m.announced.limits.bucket.Set(limit.NewLease(r, l.evenPart(r), now.Add(leaseAlone)), r, now)
}

// evenPart is this instance's even part of a limit, in requests a second. The caller holds mu.
func (l *Pool) evenPart(r limit.Rate) float64 {
	return r.Bound() / float64(max(1, l.share(), l.owners.Size()))
}

// leaseAlone is how long an even part counts that is renewed whenever it is asked for.
const leaseAlone = time.Minute

// allows reports whether an endpoint takes a request of this instance under the limit that it names. The caller holds mu.
func (l *Pool) allows(m *member, now time.Time) bool {
	r := m.limit(now)
	if !r.IsSet() {
		return true
	}
	l.lend(m, r, now)
	return m.announced.limits.bucket.Has(r, now)
}

// permits is the number of requests a second that callers here may hope for at an endpoint under a limit: what this instance is lent, or its even
// part, since what it is lent follows its callers. The caller holds mu.
func (l *Pool) permits(m *member, now time.Time) float64 {
	r := m.limit(now)
	return max(m.announced.limits.bucket.Rate(r, now), l.evenPart(r))
}

// takePermit counts a request under the limit of its endpoint; nil if it names none. The caller holds mu.
func (l *Pool) takePermit(m *member, now time.Time) *limit.Bucket {
	if !m.limit(now).IsSet() {
		return nil
	}
	m.announced.limits.bucket.Take(now)
	return &m.announced.limits.bucket
}

// permitted reports whether a request that was picked is counted, where the endpoint names a limit by now. The caller holds mu.
func (l *Pool) permitted(s *Lease) bool {
	now := l.now()
	if s.permit != nil || !s.member.limit(now).IsSet() {
		return true
	}
	if !l.allows(s.member, now) {
		return false
	}
	s.permit = l.takePermit(s.member, now)
	return true
}

// drawing finds an endpoint that is to get any request of the service, for it takes one that no session of its own asks for. The caller holds mu.
func (l *Pool) drawing(members []*member, now time.Time) *member {
	if l.limited == 0 {
		return nil
	}
	even := 1 / float64(max(1, len(members)))
	for _, m := range members {
		if !m.good || m.announced == nil {
			continue
		}
		if r := m.limit(now); r.IsSet() && m.announced.limits.bucket.Underused(r, even, now) {
			return m
		}
	}
	return nil
}

// unsent gives back what was counted for a request that did not leave.
func (s *Lease) unsent() {
	if s.permit != nil {
		s.permit.Return()
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
		if x.limits.own == (limit.State{}) || x.limits.own.Expired(now) {
			continue
		}
		if out == nil {
			out = make(Limits)
		}
		out[runKey(x.run)] = x.limits.own
	}
	return out
}

// ObserveLimits takes what other instances have observed of limits.
func (l *Pool) ObserveLimits(told Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peersLimits = told
	l.eachReported(len(told), l.applyPeersLimit)
}

// applyPeersLimit takes what other instances have observed of an endpoint's limit. The caller holds mu.
func (l *Pool) applyPeersLimit(m *member) {
	told, ok := l.peersLimits[m.key()]
	if !ok {
		return
	}
	x := l.saidBy(m.Endpoint)
	if x == nil {
		return
	}
	before := x.limits.known.Rate(l.now())
	x.wall = max(x.wall, l.wall().Add(-l.now().Sub(told.AnnouncedAt())).UnixMilli())
	x.limits.known.Merge(told)
	l.turned(m, x, before, NoticeTaken{Endpoint: m.Endpoint, FromPeer: true, Age: l.now().Sub(m.recordAt)})
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
		if !r.IsSet() {
			continue
		}
		if out == nil {
			out = make(map[uint32]Limited)
		}
		l.limited++
		f := l.demand[m.Service]
		out[m.key()] = Limited{Rate: r, Demand: f.now(now)}
	}
	return out
}

// SetLeases takes what this instance is lent of limits.
func (l *Pool) SetLeases(byEndpoint map[uint32]limit.Lease) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.byID {
		if lease, ok := byEndpoint[m.key()]; ok && m.limit(now).IsSet() {
			m.announced.limits.bucket.Set(lease, m.limit(now), now)
		}
	}
}
