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
func (l *Pool) Statuses() []Status {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	byID := make(map[string]*Status, len(l.byID))
	for _, m := range l.byID {
		byID[m.ID] = &Status{
			ID: m.ID, Open: m.open, Paused: m.pause > 0, Exclusion: l.exclusionOf(m, now), FirstToken: m.pace.first, PerToken: m.pace.token,
		}
	}
	for m := range l.removedInUse {
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
func (l *Pool) Capacity(q Query) int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.services[q.Service] {
		if !l.allowed(m, q) || l.exclusionOf(m, now) != NotExcluded || !l.healthy(m, now) {
			continue
		}
		capacity := l.slotShare(m)
		if c := l.connectionsOf(q.Service, now); c != nil {
			capacity = min(capacity, c.share)
		}
		if !m.window.expired(now) {
			capacity = min(capacity, m.window.limit(now))
		}
		n += capacity
	}
	return n
}
