package matrix

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/rollout"
	"github.com/ledgemount/ledgemount/internal/step"
)

// node is one instance, made of the real services on in-process transports.
type node struct {
	fleet *testFleet
	peer  mesh.Peer

	home    *budget.Holder
	client  *budget.Client
	keys    *once.Keys
	feed    *rollout.Feed
	planner *intent.Service
	gateway *gateway.Gateway
	log     bytes.Buffer // the gateway's log

	budgetLog bytes.Buffer // the holder's log
	keysLog   bytes.Buffer // the registry's log

	cancel context.CancelFunc

	ticking sync.Mutex

	mu       sync.Mutex
	crashed  bool
	paused   chan struct{}
	cutStore bool
	leaving  bool
}

func (n *node) isCrashed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crashed
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused != nil
}

// running reports whether the instance has neither crashed nor been paused.
func (n *node) running() bool { return !n.isCrashed() && !n.isPaused() }

// waitResumed blocks while the instance is paused, and fails once it has crashed.
func (n *node) waitResumed() error {
	for {
		n.mu.Lock()
		crashed, ch := n.crashed, n.paused
		n.mu.Unlock()
		if crashed {
			return errCrashed
		}
		if ch == nil {
			return nil
		}
		<-ch
	}
}

func (n *node) crash() {
	n.mu.Lock()
	n.crashed = true
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
	n.mu.Unlock()
	// Break the connections first, since nothing that a crashed process still does may reach another process.
	n.fleet.net.SetDown(n.peer.Addr, true)
	n.fleet.http.SetDown(n.peer.Addr)
	n.cancel()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
		n.fleet.net.SetDown(n.peer.Addr, true)
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		n.fleet.net.SetDown(n.peer.Addr, false)
		close(n.paused)
		n.paused = nil
	}
}

// hook injects the cell's faults when an instance reaches their step.
func (n *node) hook(_ context.Context, s step.Step) error {
	n.fleet.stepReached(n, s)
	return n.waitResumed()
}

// gatedCaller implements mesh.Caller. A paused instance sends nothing until it resumes.
type gatedCaller struct {
	n    *node
	next mesh.Caller
}

func (c *gatedCaller) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	if err := c.n.waitResumed(); err != nil {
		return nil, errors.Join(mesh.ErrUnreachable, err)
	}
	out, err := c.next.Call(ctx, addr, kind, body)
	if werr := c.n.waitResumed(); werr != nil {
		return nil, errors.Join(mesh.ErrNoReply, werr)
	}
	return out, err
}

func (c *gatedCaller) Stream(ctx context.Context, addr string, kind mesh.Kind, body []byte, each func([]byte) error) error {
	if err := c.n.waitResumed(); err != nil {
		return errors.Join(mesh.ErrUnreachable, err)
	}
	return c.next.Stream(ctx, addr, kind, body, each)
}

// gatedTransport is an instance's transport to the store and the endpoints.
type gatedTransport struct{ n *node }

// RoundTrip implements http.RoundTripper.
func (g gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := g.n.waitResumed(); err != nil {
		return nil, err
	}
	g.n.mu.Lock()
	cut := g.n.cutStore && r.URL.Host == storeHost
	g.n.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "test", Err: errors.New("cut off from the store")}
	}
	resp, err := g.n.fleet.http.RoundTrip(r)
	if werr := g.n.waitResumed(); werr != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, werr
	}
	return resp, err
}

// members is an instance's view of the fleet: the real state, unless a cell delays the instance list.
type members struct{ n *node }

func (m members) Self() mesh.Peer { return m.n.peer }

func (m members) peers(include func(*node) bool) []mesh.Peer {
	var out []mesh.Peer
	for _, o := range m.n.fleet.allNodes() {
		if o == m.n || include(o) {
			out = append(out, o.peer)
		}
	}
	return out
}

func (m members) Zone() []mesh.Peer {
	return m.peers(func(o *node) bool {
		return o.peer.Zone == m.n.peer.Zone && m.n.fleet.appearsAlive(m.n, o) && !o.isLeaving()
	})
}

func (m members) Fleet() []mesh.Peer {
	return m.peers(func(o *node) bool { return m.n.fleet.appearsAlive(m.n, o) && !o.isLeaving() })
}

func (m members) Find(incarnationID string) (mesh.Peer, bool) {
	id, _ := mesh.SplitIncarnationID(incarnationID)
	for _, o := range m.n.fleet.allNodes() {
		if o.peer.ID == id {
			return o.peer, true
		}
	}
	return mesh.Peer{}, false
}

func (m members) Alive(incarnationID string) bool {
	for _, o := range m.n.fleet.allNodes() {
		if o.peer.IncarnationID() == incarnationID {
			return o == m.n || m.n.fleet.appearsAlive(m.n, o)
		}
	}
	return false
}

func (m members) Lost(incarnationID string) bool { return !m.Alive(incarnationID) }

func (m members) Leaving(incarnationID string) bool {
	for _, o := range m.n.fleet.allNodes() {
		if o.peer.IncarnationID() == incarnationID {
			return o.isLeaving()
		}
	}
	return false
}

func (n *node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}
