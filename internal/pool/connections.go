package pool

import "time"

// connections bounds the connections that this instance opens to each endpoint of a service, so that all instances
// together open no more than an endpoint accepts. An endpoint resets connections beyond that, and with them the
// requests that they carry.
//
// Each instance may always open an even share. It may open more while all instances together have opened less than
// half of the accepted number, according to the reported loads. With even shares alone, a service of few endpoints
// would be closed to most of several hundred instances, although requests with the same affinity should reach the
// same endpoint.
type connections struct {
	limit   int // planned connections to an endpoint from all instances together
	share   int // of this instance; 0: there are more instances than connections
	place   uint64
	size    uint64
	checked time.Time
}

const (
	// plannedConnections is the share of the connections that is divided among the instances. Instances that have
	// just started, or probe whether an endpoint has ended, open some in addition.
	plannedConnections = 0.9
	// freeConnections is the share of the planned connections below which any instance may open one. It leaves a
	// margin, since the loads of other instances arrive half a second late.
	freeConnections = 0.5
)

// SetConnections sets how many connections an endpoint of each service accepts from all callers together; 0: any
// number.
func (p *Pool) SetConnections(byService map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = make(map[string]*connections, len(byService))
	for service, limit := range byService {
		if limit > 0 {
			p.connections[service] = &connections{limit: max(1, int(plannedConnections*float64(limit)))}
		}
	}
}

// connectionsOf returns the bounds on connections to endpoints of a service; nil: no bounds. The caller holds mu.
func (p *Pool) connectionsOf(service string, now time.Time) *connections {
	c := p.connections[service]
	if c == nil || (!c.checked.IsZero() && now.Sub(c.checked) < ownersTTL) {
		return c
	}
	place, size := p.owners.Position()
	c.place, c.size = uint64(max(0, place)), uint64(max(1, size)) //nolint:gosec // neither is below 0
	c.share = c.limit / max(1, size)
	c.checked = now
	return c
}

// mayConnect reports whether one more connection may be opened to an endpoint. If there are more instances than
// connections, only some instances may open one each; the endpoint and the place of the instance determine which. The
// caller holds mu.
func (p *Pool) mayConnect(m *member, c *connections, now time.Time) bool {
	switch {
	case c == nil, m.open < c.share:
		return true
	case p.peerLoadsFresh(now) && float64(m.open+m.peerLoad.Open) < freeConnections*float64(c.limit):
		return true
	case c.share > 0 || m.open > 0:
		return false
	}
	return (c.place+m.hash)%c.size < uint64(c.limit) //nolint:gosec // it is above 0
}
