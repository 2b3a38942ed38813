package pool

import "time"

// connections bounds what this instance opens to each endpoint of a service, so that all instances together open no more than one takes: an endpoint
// resets connections beyond that, and the requests on them. Each instance has an even part, whatever it knows of others. It opens more while all
// together have opened less than half of what the endpoint takes, as far as others tell: requests of one subject belong together, and a few endpoints
// before hundreds of instances would else be closed to most of them.
type connections struct {
	most    int // that are opened to an endpoint by all instances
	part    int // of this instance; 0: there are more instances than that
	place   uint64
	size    uint64
	checked time.Time
}

const (
	// usedConnections is the part of the connections that is planned for: instances that have just started, or look whether an endpoint has ended,
	// open some beside.
	usedConnections = 0.9
	// freeConnections is the part of those below which anybody may open one: what others have is told half a second late.
	freeConnections = 0.5
)

// SetConnections takes how many connections an endpoint of each service takes from all callers together; 0: any number.
func (l *Pool) SetConnections(byService map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections = make(map[string]*connections, len(byService))
	for service, most := range byService {
		if most > 0 {
			l.connections[service] = &connections{most: max(1, int(usedConnections*float64(most)))}
		}
	}
}

// connected is what this instance may open to endpoints of a service; nil: any number. The caller holds mu.
func (l *Pool) connected(service string, now time.Time) *connections {
	c := l.connections[service]
	if c == nil || (!c.checked.IsZero() && now.Sub(c.checked) < ownersFor) {
		return c
	}
	place, size := l.owners.Position()
	c.place, c.size = uint64(max(0, place)), uint64(max(1, size)) //nolint:gosec // neither is below 0
	c.part = c.most / max(1, size)
	c.checked = now
	return c
}

// connects reports whether one more connection may be opened to an endpoint. The caller holds mu.
func (l *Pool) connects(m *member, c *connections, now time.Time) bool {
	switch {
	case c == nil, m.open < c.part:
		return true
	case l.othersKnown(now) && float64(m.open+m.others.Open) < freeConnections*float64(c.most):
		return true
	case c.part > 0 || m.open > 0:
		return false
	}
	return (c.place+m.hash)%c.size < uint64(c.most) //nolint:gosec // it is above 0
}
