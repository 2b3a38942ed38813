package reach

import "github.com/ledgemount/ledgemount/internal/pool"

// startReturn starts probes of the lost paths of a service, unless there are any in progress. The caller holds mu.
func (m *Monitor) startReturn(name string, s *service) {
	if s.returning || m.closed {
		return
	}
	s.returning = true
	m.wg.Go(func() {
		m.probeCut(s)
		if m.ServiceState(name) == Forwarded {
			m.probeReturn(name, s)
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		s.returning = false
	})
}

// probeReturn probes the endpoints that were not reached when the path was lost, and a random one. If all are reached,
// connections are direct again, and also if some are and no instance forwards any more. Most of the time, the first one
// is not reached, and the others are not probed.
func (m *Monitor) probeReturn(name string, s *service) {
	m.mu.Lock()
	targets := m.known(s.unreached)
	m.mu.Unlock()
	targets = append(targets, m.endpoints.ProbeTargets(name, 1, "")...)
	reached, unreached := m.probe(targets[:min(1, len(targets))])
	if len(unreached) == 0 {
		reached, unreached = m.probe(targets)
	}
	c := Change{Reached: len(reached), Unreached: len(unreached)}
	switch {
	case len(unreached) == 0:
		c.To = Direct
	case m.usableForwarders(s) > 0 || m.confirm(s, targets, true, &c) || c.Answered == 0:
		c.To = Forwarded
	case len(reached) == 0 && !m.reachesOthers(name, targets, &c):
		c.To = Lost
	}
	m.mu.Lock()
	m.setState(name, s, &c)
	m.mu.Unlock()
	m.report(c)
}

// known returns the current records of those endpoints of a list that still accept work.
func (m *Monitor) known(list []pool.Endpoint) []pool.Endpoint {
	out := make([]pool.Endpoint, 0, len(list))
	for _, e := range list {
		if current, ok := m.endpoints.Lookup(e.ID); ok {
			out = append(out, current)
		}
	}
	return out
}

// probeCut probes some of the endpoints that only other instances reach. Those that are reached, or that accept no more
// work, are tracked no longer.
func (m *Monitor) probeCut(s *service) {
	var targets []pool.Endpoint
	m.mu.Lock()
	for id := range s.cut {
		e, ok := m.endpoints.Lookup(id)
		switch {
		case !ok:
			delete(s.cut, id)
		case len(targets) < cutProbesATick:
			targets = append(targets, e)
		}
	}
	m.mu.Unlock()
	reached, _ := m.probe(targets)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range reached {
		delete(s.cut, e.ID)
	}
}
