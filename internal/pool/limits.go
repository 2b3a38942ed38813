package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
)

// limits holds the limit of one run of an endpoint's process, and what this instance may send under it.
type limits struct {
	direct limit.State // as received by this instance itself
	known  limit.State // as received by any instance, as far as reported to this one
	bucket limit.Bucket
	active bool // the limit is in force, as of the last check
}

// Limits holds the limits that endpoints have announced, by the same key as Loads.
type Limits map[uint32]limit.State

// Add merges the limits that other instances have received.
func (l Limits) Add(other Limits) {
	for key, k := range other {
		merged := l[key]
		merged.Merge(k)
		l[key] = merged
	}
}

// WithLeases makes the pool send to endpoints with limits what SetLeases grants it. Without it, the pool sends an
// even share of each limit.
func WithLeases() Option { return func(p *Pool) { p.leased = true } }

// observeLimit applies the limit that a response announces, or its absence. The caller holds mu.
func (p *Pool) observeLimit(lease *Lease, r limit.Rate, info ResponseInfo) {
	m := lease.member
	if !r.IsSet() && (m.announced == nil || !m.announced.limits.active) {
		return
	}
	x := p.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	now := p.now()
	before := x.limits.known.Rate(now)
	x.receivedUnixMilli = p.wall().UnixMilli()
	x.limits.direct.Observe(r, lease.picked, now)
	x.limits.known.Observe(r, lease.picked, now)
	p.limitChanged(m, x, before, NoticeTaken{Endpoint: m.Endpoint, Response: info, Age: now.Sub(m.recordAt)})
}

// limitChanged reports that a limit takes effect, changes or ends. The caller holds mu.
func (p *Pool) limitChanged(m *member, x *announced, before limit.Rate, n NoticeTaken) {
	now := p.now()
	r := x.limits.known.Rate(now)
	if x.limits.active = r.IsSet(); x.limits.active && !before.IsSet() {
		p.limited++
		p.renewEvenShare(m, r, now)
	}
	switch {
	case r == before:
	case r.IsSet():
		n.Notice = Notice{Limit: r}
		p.onNotice(n)
	default:
		p.onNoticeEnded(NoticeEnded{Endpoint: m.Endpoint, Why: NoticeLifted})
	}
}

// limit returns the limit of an endpoint; it is unset if the endpoint has none. The caller holds mu.
func (m *member) limit(now time.Time) limit.Rate {
	if m.announced == nil || !m.announced.limits.active {
		return limit.Rate{}
	}
	r := m.announced.limits.known.Rate(now)
	m.announced.limits.active = r.IsSet()
	return r
}

// renewEvenShare updates what this instance may send if nobody grants it a part of the limit. The caller holds mu.
func (p *Pool) renewEvenShare(m *member, r limit.Rate, now time.Time) {
	if p.leased {
		return
	}
	m.announced.limits.bucket.Set(limit.NewLease(r, p.evenShare(r), now.Add(evenShareTTL)), r, now)
}

// evenShare is this instance's even part of a limit, in requests a second. The caller holds mu.
func (p *Pool) evenShare(r limit.Rate) float64 {
	return r.Bound() / float64(max(1, p.zoneInstances(), p.owners.Size()))
}

// evenShareTTL is how long an even share is valid. It is renewed whenever it is used.
const evenShareTTL = time.Minute

// allows reports whether an endpoint accepts a request of this instance under its limit. The caller holds mu.
func (p *Pool) allows(m *member, now time.Time) bool {
	r := m.limit(now)
	if !r.IsSet() {
		return true
	}
	p.renewEvenShare(m, r, now)
	return m.announced.limits.bucket.Has(r, now)
}

// expectedRate is the number of requests a second that callers here may expect to get through to an endpoint with a
// limit: what this instance is granted, or its even share if that is larger, since grants follow demand. The caller
// holds mu.
func (p *Pool) expectedRate(m *member, now time.Time) float64 {
	r := m.limit(now)
	return max(m.announced.limits.bucket.Rate(r, now), p.evenShare(r))
}

// takePermit counts a request under the limit of its endpoint; it returns nil if there is none. The caller holds mu.
func (p *Pool) takePermit(m *member, now time.Time) *limit.Bucket {
	if !m.limit(now).IsSet() {
		return nil
	}
	m.announced.limits.bucket.Take(now)
	return &m.announced.limits.bucket
}

// permitted reports whether a picked request may be sent under the limit of its endpoint. If the endpoint has
// announced the limit since the pick, permitted counts the request under it. The caller holds mu.
func (p *Pool) permitted(lease *Lease) bool {
	now := p.now()
	if lease.permit != nil || !lease.member.limit(now).IsSet() {
		return true
	}
	if !p.allows(lease.member, now) {
		return false
	}
	lease.permit = p.takePermit(lease.member, now)
	return true
}

// underusedLimited returns an endpoint whose limit admits more requests than affinity sends there; nil if there is
// none. It gets the next request of the service regardless of affinity. The caller holds mu.
func (p *Pool) underusedLimited(members []*member, now time.Time) *member {
	if p.limited == 0 {
		return nil
	}
	even := 1 / float64(max(1, len(members)))
	for _, m := range members {
		if !m.healthy || m.announced == nil {
			continue
		}
		if r := m.limit(now); r.IsSet() && m.announced.limits.bucket.Underused(r, even, now) {
			return m
		}
	}
	return nil
}

// returnPermit returns the permit of a request that was not sent.
func (l *Lease) returnPermit() {
	if l.permit != nil {
		l.permit.Return()
		l.permit = nil
	}
}

// countDemand counts a request for a service while some endpoint has a limit. The caller holds mu.
func (p *Pool) countDemand(service string, now time.Time) {
	if p.limited == 0 {
		return
	}
	f := p.demand[service]
	f.add(now, 1)
	p.demand[service] = f
}

// Limits returns the limits that this instance has observed itself.
func (p *Pool) Limits() Limits {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out Limits
	for _, x := range p.announced {
		if x.limits.direct == (limit.State{}) || x.limits.direct.Expired(now) {
			continue
		}
		if out == nil {
			out = make(Limits)
		}
		out[runKey(x.run)] = x.limits.direct
	}
	return out
}

// ObserveLimits applies the limits that other instances have observed.
func (p *Pool) ObserveLimits(reported Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peersLimits = reported
	p.applyFromPeers(len(reported), p.applyPeersLimit)
}

// applyPeersLimit applies what other instances have observed of an endpoint's limit. The caller holds mu.
func (p *Pool) applyPeersLimit(m *member) {
	reported, ok := p.peersLimits[m.key()]
	if !ok {
		return
	}
	x := p.announcedBy(m.Endpoint)
	if x == nil {
		return
	}
	before := x.limits.known.Rate(p.now())
	x.receivedUnixMilli = max(x.receivedUnixMilli, p.wall().Add(-p.now().Sub(reported.AnnouncedAt())).UnixMilli())
	x.limits.known.Merge(reported)
	p.limitChanged(m, x, before, NoticeTaken{Endpoint: m.Endpoint, FromPeer: true, Age: p.now().Sub(m.recordAt)})
}

// Limited is an endpoint with a limit, as the exchange between instances uses it.
type Limited struct {
	Rate   limit.Rate
	Demand float64 // requests a second that this instance has for its service
}

// Limited returns the endpoints with limits, by the same key as Loads.
func (p *Pool) Limited() map[uint32]Limited {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limited = 0
	var out map[uint32]Limited
	for _, m := range p.byID {
		r := m.limit(now)
		if !r.IsSet() {
			continue
		}
		if out == nil {
			out = make(map[uint32]Limited)
		}
		p.limited++
		f := p.demand[m.Service]
		out[m.key()] = Limited{Rate: r, Demand: f.rate(now)}
	}
	return out
}

// SetLeases sets what this instance is granted of limits.
func (p *Pool) SetLeases(byEndpoint map[uint32]limit.Lease) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.byID {
		if lease, ok := byEndpoint[m.key()]; ok && m.limit(now).IsSet() {
			m.announced.limits.bucket.Set(lease, m.limit(now), now)
		}
	}
}
