package pool

// Status is the state of an endpoint as seen by this instance.
type Status struct {
	ID         string
	Open       int       // requests of this instance
	Paused     bool      // after failures, until the next success
	Exclusion  Exclusion // why it gets no work, regardless of the request
	FirstToken float64
	PerToken   float64 // seconds, recent values of both; 0: unknown
}

// Statuses returns the state of all endpoints, including removed ones at which this instance still has open requests.
func (p *Pool) Statuses() []Status {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[string]*Status, len(p.byID))
	for _, m := range p.byID {
		byID[m.ID] = &Status{
			ID: m.ID, Open: m.open, Paused: m.pause > 0, Exclusion: p.exclusionOf(m, now), FirstToken: m.pace.first, PerToken: m.pace.token,
		}
	}
	for m := range p.removedInUse {
		if byID[m.ID] == nil {
			byID[m.ID] = &Status{ID: m.ID}
		}
		byID[m.ID].Open += m.open
	}
	out := make([]Status, 0, len(byID))
	for _, s := range byID {
		out = append(out, *s)
	}
	return out
}

// Capacity is how many requests this instance may have open at the endpoints that may run a query.
func (p *Pool) Capacity(q Query) int {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, m := range p.services[q.Service] {
		if !p.allowed(m, q) || p.exclusionOf(m, now) != NotExcluded || !p.healthy(m, now) {
			continue
		}
		capacity := p.slotShare(m)
		if c := p.connectionsOf(q.Service, now); c != nil {
			capacity = min(capacity, c.share)
		}
		if !m.window.expired(now) {
			capacity = min(capacity, m.window.limit(now))
		}
		n += capacity
	}
	return n
}
