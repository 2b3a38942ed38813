package targets

import (
	"net/url"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/reach"
)

// Paths presents the endpoints to package reach, by host and port instead of URL. A service is a pool of endpoints.
type Paths struct{ endpoints *pool.Pool }

var (
	_ reach.Endpoints = Paths{}
	_ reach.Directory = Paths{}
)

// Paths returns the endpoints for package reach.
func (t *Targets) Paths() Paths { return Paths{endpoints: t.endpoints} }

// Stalled implements reach.Endpoints. The pool is not told of each piece of a response, so it cannot tell.
func (Paths) Stalled(time.Duration) []string { return nil }

// ReceivedSince implements reach.Endpoints; see Stalled.
func (Paths) ReceivedSince(string, time.Time) bool { return false }

// ProbeTargets implements reach.Endpoints.
func (p Paths) ProbeTargets(service string, n int, without string) []pool.Endpoint {
	return dialable(p.endpoints.ProbeTargets(service, n, without))
}

// Lookup implements reach.Endpoints and reach.Directory.
func (p Paths) Lookup(id string) (pool.Endpoint, bool) {
	e, ok := p.endpoints.Lookup(id)
	e.Addr = hostPort(e.Addr)
	return e, ok
}

// Endpoints implements reach.Endpoints.
func (p Paths) Endpoints(service string) []pool.Endpoint {
	return dialable(p.endpoints.Endpoints(service))
}

// ResetPath implements reach.Endpoints.
func (p Paths) ResetPath(ids []string) { p.endpoints.ResetPath(ids) }

// At returns the endpoint with the given host and port.
func (p Paths) At(addr string) (pool.Endpoint, bool) {
	for _, service := range p.endpoints.Services() {
		for _, e := range p.Endpoints(service) {
			if e.Addr == addr {
				return e, true
			}
		}
	}
	return pool.Endpoint{}, false
}

func dialable(list []pool.Endpoint) []pool.Endpoint {
	for i := range list {
		list[i].Addr = hostPort(list[i].Addr)
	}
	return list
}

// hostPort returns the host and port of a URL; empty: it has none.
func hostPort(raw string) string {
	u, err := url.Parse(raw)
	switch {
	case err != nil || u.Hostname() == "":
		return ""
	case u.Port() != "":
		return u.Host
	case u.Scheme == "https":
		return u.Hostname() + ":443"
	}
	return u.Hostname() + ":80"
}
