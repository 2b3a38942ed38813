package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// KindConnect is the message that has an instance connect to an endpoint.
const KindConnect mesh.Kind = "reach.connect"

// ConnectRequest names the endpoint to connect to. The receiver uses its own record of the endpoint.
type ConnectRequest struct {
	Service  string `cbor:"1,keyasint"`
	Endpoint string `cbor:"2,keyasint"`
}

// Errors of connections through other instances. Nothing was sent to the endpoint.
var (
	ErrNoForwarder = errors.New("no instance forwards connections to the endpoints")
	// ErrEndpoint reports that an instance that reaches endpoints of the service did not reach this one.
	ErrEndpoint = errors.New("the endpoint is not reached through another instance either")
)

const (
	forwardTimeout  = 600 * time.Millisecond // for a connection through another instance
	searchCount     = 8                      // instances to try if many endpoints cannot be reached
	confirmCount    = 2                      // instances to try otherwise
	maxForwardTries = 3                      // instances that one connection is attempted through
)

func randomInt(n int) int { return rand.IntN(n) }

// Reached reports whether another instance reaches an endpoint. known is false if none gave a conclusive response.
func (m *Monitor) Reached(name, endpoint string) (reached, known bool) {
	m.mu.Lock()
	s := m.services[name]
	m.mu.Unlock()
	e, ok := m.endpoints.Lookup(endpoint)
	if s == nil || !ok {
		return false, false
	}
	var c Change
	reached = m.confirm(s, []pool.Endpoint{e}, true, &c)
	return reached, reached || c.Denied > 0
}

// Connect establishes a connection to an endpoint through another instance, and returns that instance's ID.
func (m *Monitor) Connect(ctx context.Context, name, endpoint string) (conn net.Conn, via string, err error) {
	tried := make(map[string]bool, maxForwardTries)
	for range maxForwardTries {
		s, f := m.pickForwarder(name, tried)
		if f == nil {
			break
		}
		tried[f.peer.ID] = true
		began := m.now()
		conn, err := m.connectThrough(ctx, f.peer, ConnectRequest{Service: name, Endpoint: endpoint})
		if err == nil {
			m.reportDelay(m.now().Sub(began))
			m.succeeded(f)
			return &forwardedConn{Conn: conn, release: sync.OnceFunc(func() { m.release(f) })}, f.peer.ID, nil
		}
		m.release(f)
		if ctx.Err() != nil {
			return nil, f.peer.ID, eris.Wrapf(ctx.Err(), "connecting through %s", f.peer.ID)
		}
		switch reason := refusalOf(err); reason {
		case refusedEndpoint:
			return nil, f.peer.ID, eris.Wrapf(errors.Join(ErrEndpoint, err), "connecting through %s", f.peer.ID)
		case refusedUnknown:
		case refusedBusy, refusedSilent, refusedOther:
			m.avoid(s, f, pauses[reason])
			m.onAvoided(Avoided{Service: name, Instance: f.peer.ID, Pause: pauses[reason], Cause: err})
		}
	}
	return nil, "", eris.Wrapf(ErrNoForwarder, "connecting to an endpoint of %s", name)
}

func (m *Monitor) connectThrough(ctx context.Context, to mesh.Peer, req ConnectRequest) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return m.peers.Tunnel(ctx, to, req)
}

// refusal is the reason why an instance did not establish a connection.
type refusal int

const (
	refusedEndpoint refusal = iota // it reaches other endpoints of the service, but not this one
	refusedUnknown                 // it has no record of the endpoint, or no path to it, but may reach others
	refusedBusy                    // it carries as many connections as it accepts
	refusedSilent                  // it did not respond
	refusedOther                   // it has no path either, or does not forward
)

func refusalOf(err error) refusal {
	if errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrNoReply) {
		return refusedSilent
	}
	switch verdict.From(err).Code() {
	case verdict.CodeNoEndpoint:
		return refusedEndpoint
	case verdict.CodeNotFound:
		return refusedUnknown
	case verdict.CodeOverloaded:
		return refusedBusy
	default:
		return refusedOther
	}
}

// pauses are the times for which an instance is not used after it has not established a connection for a reason of its
// own.
var pauses = map[refusal]time.Duration{refusedBusy: busyPause, refusedSilent: silentPause, refusedOther: failedPause}

// pickForwarder picks an instance that has not been tried, and counts a connection through it.
func (m *Monitor) pickForwarder(name string, tried map[string]bool) (*service, *forwarder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[name]
	if s == nil {
		return nil, nil
	}
	f := s.forwarders.pick(m.now(), tried)
	if f != nil {
		f.open++
	}
	return s, f
}

func (m *Monitor) release(f *forwarder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.open--
}

func (m *Monitor) succeeded(f *forwarder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.failures = 0
}

func (m *Monitor) avoid(s *service, f *forwarder, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.forwarders.avoid(f, m.now(), pause)
}

func (m *Monitor) usableForwarders(s *service) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.forwarders.usable(m.now())
}

// confirm has other instances connect to endpoints that this one did not reach, and keeps those that can as forwarders. If
// there are few instances, each tries several endpoints, because it may have lost its path to some. many states whether
// to try many instances. The result is recorded in c; confirm reports whether an endpoint was reached and returns at the
// first one. Later responses still add forwarders.
func (m *Monitor) confirm(s *service, unreached []pool.Endpoint, many bool, c *Change) bool {
	n := confirmCount
	if many {
		n = searchCount
	}
	list := m.peers.Forwarders(n)
	type answer struct {
		endpoint string
		err      error
	}
	attempts := 0
	if len(list) > 0 {
		attempts = max(len(list), min(n, len(list)*len(unreached)))
	}
	answers := make(chan answer, attempts)
	first := m.random(len(unreached))
	for i := range attempts {
		p, e := list[i%len(list)], unreached[(first+i+i/len(list))%len(unreached)]
		m.wg.Go(func() {
			answers <- answer{e.ID, m.try(s, p, ConnectRequest{Service: e.Service, Endpoint: e.ID})}
		})
	}
	c.Asked = attempts
	for range attempts {
		a := <-answers
		if a.err == nil || refusalOf(a.err) != refusedSilent {
			c.Answered++
		}
		if a.err != nil && refusalOf(a.err) == refusedEndpoint {
			c.Denied++
		}
		if a.err == nil {
			c.Confirmed = append(c.Confirmed, a.endpoint)
			return true
		}
	}
	return false
}

// try has an instance connect to an endpoint, and records it as a forwarder if it can.
func (m *Monitor) try(s *service, p mesh.Peer, req ConnectRequest) error {
	began := m.now()
	conn, err := m.connectThrough(m.ctx, p, req)
	if err != nil {
		return err
	}
	m.reportDelay(m.now().Sub(began))
	m.mu.Lock()
	s.forwarders.add(p, m.now())
	m.mu.Unlock()
	return conn.Close()
}

// forwardedConn is a connection through another instance.
type forwardedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *forwardedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
