package pool

// Status is how an endpoint stands with this instance.
type Status struct {
	ID         string
	Open       int       // requests of this instance
	Paused     bool      // after failures, until it has answered well again
	Exclusion  Exclusion // why it gets no work whatever the request
	FirstToken float64
	PerToken   float64 // seconds, as these lately were; 0: not known
}

// Statuses tells how all endpoints stand, those too that are gone and still have requests of this instance.
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

// Capacity is how many requests this instance may have open at endpoints to which a query may go.
func (l *Pool) Capacity(q Query) int {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, m := range l.services[q.Service] {
		if !l.allowed(m, q) || l.exclusionOf(m, now) != NotExcluded || !l.healthy(m, now) {
			continue
		}
		room := l.slotShare(m)
		if c := l.connectionsOf(q.Service, now); c != nil {
			room = min(room, c.share)
		}
		if !m.window.expired(now) {
			room = min(room, m.window.limit(now))
		}
		n += room
	}
	return n
}
