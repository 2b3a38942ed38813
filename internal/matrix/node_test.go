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

// node is one instance, made of the real services on fake wires.
type node struct {
	w    *world
	peer mesh.Peer

	home    *budget.Holder
	client  *budget.Client
	keys    *once.Keys
	feed    *rollout.Feed
	planner *intent.Service
	gateway *gateway.Gateway
	log     bytes.Buffer // lines of the gateway from warnings on
	cancel  context.CancelFunc

	ticking sync.Mutex

	mu       sync.Mutex
	dead     bool
	frozen   chan struct{}
	cutStore bool
	leaving  bool
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

func (n *node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen != nil
}

// awake reports whether the instance runs at all.
func (n *node) awake() bool { return !n.isDead() && !n.isFrozen() }

// wait blocks while the instance is frozen, and fails once it has crashed.
func (n *node) wait() error {
	for {
		n.mu.Lock()
		dead, ch := n.dead, n.frozen
		n.mu.Unlock()
		if dead {
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
	n.dead = true
	if n.frozen != nil {
		close(n.frozen)
		n.frozen = nil
	}
	n.mu.Unlock()
	// Its connections break first: what ends inside a crashed process reaches nobody any more.
	n.w.net.SetDown(n.peer.Addr, true)
	n.w.http.SetDown(n.peer.Addr)
	n.cancel()
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen == nil {
		n.frozen = make(chan struct{})
		n.w.net.SetDown(n.peer.Addr, true)
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen != nil {
		n.w.net.SetDown(n.peer.Addr, false)
		close(n.frozen)
		n.frozen = nil
	}
}

// hook strikes the cell's fault when an instance reaches its step.
func (n *node) hook(_ context.Context, s step.Step) error {
	n.w.reached(n, s)
	return n.wait()
}

// Call and Stream implement mesh.Caller: a frozen instance sends nothing until it goes on.
type gatedCaller struct {
	n    *node
	next mesh.Caller
}

func (c *gatedCaller) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	if err := c.n.wait(); err != nil {
		return nil, errors.Join(mesh.ErrUnreachable, err)
	}
	out, err := c.next.Call(ctx, addr, kind, body)
	if werr := c.n.wait(); werr != nil {
		return nil, errors.Join(mesh.ErrNoReply, werr)
	}
	return out, err
}

func (c *gatedCaller) Stream(ctx context.Context, addr string, kind mesh.Kind, body []byte, each func([]byte) error) error {
	if err := c.n.wait(); err != nil {
		return errors.Join(mesh.ErrUnreachable, err)
	}
	return c.next.Stream(ctx, addr, kind, body, each)
}

// gatedHTTP is an instance's way to the store and the endpoints.
type gatedHTTP struct{ n *node }

// RoundTrip implements http.RoundTripper.
func (g gatedHTTP) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := g.n.wait(); err != nil {
		return nil, err
	}
	g.n.mu.Lock()
	cut := g.n.cutStore && r.URL.Host == storeHost
	g.n.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "test", Err: errors.New("cut off")}
	}
	resp, err := g.n.w.http.RoundTrip(r)
	if werr := g.n.wait(); werr != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, werr
	}
	return resp, err
}

// members is a node's view: the truth, but for the lag that a cell asks for.
type members struct{ n *node }

func (m members) Self() mesh.Peer { return m.n.peer }

func (m members) peers(keep func(*node) bool) []mesh.Peer {
	var out []mesh.Peer
	for _, o := range m.n.w.nodes {
		if o == m.n || keep(o) {
			out = append(out, o.peer)
		}
	}
	return out
}

func (m members) Zone() []mesh.Peer {
	return m.peers(func(o *node) bool { return o.peer.Zone == m.n.peer.Zone && m.n.w.looksAlive(o) && !o.isLeaving() })
}

func (m members) Fleet() []mesh.Peer {
	return m.peers(func(o *node) bool { return m.n.w.looksAlive(o) && !o.isLeaving() })
}

func (m members) Find(who string) (mesh.Peer, bool) {
	id, _ := mesh.SplitIncarnationID(who)
	for _, o := range m.n.w.nodes {
		if o.peer.ID == id {
			return o.peer, true
		}
	}
	return mesh.Peer{}, false
}

func (m members) Alive(who string) bool {
	for _, o := range m.n.w.nodes {
		if o.peer.IncarnationID() == who {
			return o == m.n || m.n.w.looksAlive(o)
		}
	}
	return false
}

func (m members) Lost(who string) bool { return !m.Alive(who) }

func (n *node) isLeaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}
