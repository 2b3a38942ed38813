package pool

import (
	"slices"
	"time"
)

// activity is what this instance observes of all endpoints of a service together.
type activity struct {
	open          int       // requests of this instance
	awaitingSince time.Time // since when requests have been open without a break; zero: none has been yet
	receivedAt    time.Time // when any of the endpoints last sent data
}

func (p *Pool) activityOf(service string) *activity {
	a := p.activities[service]
	if a == nil {
		a = &activity{}
		p.activities[service] = a
	}
	return a
}

// began records that one more request is open.
func (a *activity) began(now time.Time) {
	if a.open == 0 {
		a.awaitingSince = now
	}
	a.open++
}

// silentFor returns how long requests have been open without any data from an endpoint.
func (a *activity) silentFor(now time.Time) time.Duration {
	since := a.awaitingSince
	if a.receivedAt.After(since) {
		since = a.receivedAt
	}
	return now.Sub(since)
}

// minStalledOpen is how many requests must be open before the silence of all endpoints of a service means anything: a
// single one may have a long prompt.
const minStalledOpen = 2

// Stalled returns the services of which no endpoint has sent data for the given time, although several requests are
// open.
func (p *Pool) Stalled(silence time.Duration) []string {
	now := p.now()
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for service, a := range p.activities {
		if a.open >= minStalledOpen && a.silentFor(now) >= silence {
			out = append(out, service)
		}
	}
	return out
}

// ReceivedSince reports whether an endpoint of a service has sent data to this instance since the given time.
func (p *Pool) ReceivedSince(service string, since time.Time) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	a := p.activities[service]
	return a != nil && a.receivedAt.After(since)
}

// ProbeTargets returns up to n endpoints of a service by which to check the path to all of them: the one that has sent
// data last, and random ones. The one with the ID without is left out.
func (p *Pool) ProbeTargets(service string, n int, without string) []Endpoint {
	p.mu.RLock()
	defer p.mu.RUnlock()
	members := slices.DeleteFunc(slices.Clone(p.services[service]), func(m *member) bool { return m.ID == without })
	last := 0
	for i, m := range members {
		if m.receivedAt.After(members[last].receivedAt) {
			last = i
		}
	}
	out := make([]Endpoint, 0, n)
	for i := range min(n, len(members)) {
		pick := i + p.random(len(members)-i)
		if i == 0 {
			pick = last
		}
		members[i], members[pick] = members[pick], members[i]
		out = append(out, members[i].Endpoint)
	}
	return out
}

// Services returns the names of the services that have endpoints.
func (p *Pool) Services() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]string, 0, len(p.services))
	for name, members := range p.services {
		if len(members) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Endpoints returns all endpoints of a service.
func (p *Pool) Endpoints(service string) []Endpoint {
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make([]Endpoint, 0, len(p.services[service]))
	for _, m := range p.services[service] {
		out = append(out, m.Endpoint)
	}
	return out
}

// Lookup returns the record of an endpoint that accepts work.
func (p *Pool) Lookup(id string) (Endpoint, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	m := p.byID[id]
	if m == nil || m.Draining || m.announced.leaves(p.now()) {
		return Endpoint{}, false
	}
	return m.Endpoint, true
}

// ResetPath clears what was concluded about endpoints from failures that were due to the path of this instance. These
// failures are no longer reported to other instances.
func (p *Pool) ResetPath(ids []string) {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		m := p.byID[id]
		if m == nil {
			continue
		}
		m.pausedUntil, m.pause, m.failures = time.Time{}, 0, 0
		m.errorShare, m.failed = 0, flow{}
		m.receivedAt = now
		if z := p.zones[m.Zone]; z != nil {
			delete(z.unreachable, m.ID)
		}
	}
}
