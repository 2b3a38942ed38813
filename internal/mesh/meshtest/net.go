// Package meshtest provides an in-memory transport for tests, in which links can be cut and replies lost.
package meshtest

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Net is an in-memory network that connects the routers of peers by address.
type Net struct {
	mu        sync.Mutex
	nodes     map[string]*node
	cut       func(from, to mesh.Peer) bool
	loseReply func(kind mesh.Kind) bool
	calls     map[mesh.Kind]int
}

type node struct {
	peer   mesh.Peer
	router *mesh.Router
	down   bool
}

// New returns a Net without peers.
func New() *Net {
	return &Net{
		nodes:     make(map[string]*node),
		cut:       func(_, _ mesh.Peer) bool { return false },
		loseReply: func(mesh.Kind) bool { return false },
		calls:     make(map[mesh.Kind]int),
	}
}

// Join adds a peer and returns the Caller through which it makes calls.
func (n *Net) Join(p mesh.Peer, r *mesh.Router) mesh.Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[p.Addr] = &node{peer: p, router: r}
	return &caller{net: n, self: p}
}

// SetDown sets whether a peer is down. A peer that is down neither receives nor makes calls.
func (n *Net) SetDown(addr string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok {
		nd.down = down
	}
}

// SetCut sets the function that reports which links are cut.
func (n *Net) SetCut(f func(from, to mesh.Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// SetReplyLoss sets the function that reports which replies are lost after the call has taken effect.
func (n *Net) SetReplyLoss(f func(kind mesh.Kind) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loseReply = f
}

// Calls returns the number of calls of a kind.
func (n *Net) Calls(kind mesh.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[kind]
}

type caller struct {
	net  *Net
	self mesh.Peer
}

func (c *caller) find(addr string, kind mesh.Kind) (*node, bool, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.calls[kind]++
	to, ok := c.net.nodes[addr]
	from := c.net.nodes[c.self.Addr]
	if !ok || to.down || from.down || c.net.cut(c.self, to.peer) {
		return nil, false, eris.Wrapf(mesh.ErrUnreachable, "%s to %s", kind, addr)
	}
	return to, c.net.loseReply(kind), nil
}

func (n *Net) isDown(nd *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nd.down
}

// Call implements mesh.Caller.
func (c *caller) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	to, lost, err := c.find(addr, kind)
	if err != nil {
		return nil, err
	}
	type result struct {
		out []byte
		err error
	}
	done := make(chan result, 1)
	go func() {
		out, err := to.router.Dispatch(ctx, c.self, kind, body)
		done <- result{out, err}
	}()
	select {
	case res := <-done:
		if lost || c.net.isDown(to) {
			return nil, eris.Wrapf(mesh.ErrNoReply, "%s to %s", kind, addr)
		}
		return res.out, res.err
	case <-ctx.Done(): // the peer has not replied in time
		return nil, eris.Wrapf(mesh.ErrNoReply, "%s to %s", kind, addr)
	}
}

// Stream implements mesh.Caller.
func (c *caller) Stream(ctx context.Context, addr string, kind mesh.Kind, body []byte, each func([]byte) error) error {
	to, _, err := c.find(addr, kind)
	if err != nil {
		return err
	}
	broken := func() error { return eris.Wrapf(mesh.ErrNoReply, "%s from %s", kind, addr) }
	err = to.router.DispatchStream(ctx, c.self, kind, body, func(item []byte) error {
		if c.net.isDown(to) {
			return broken()
		}
		return each(item)
	})
	if c.net.isDown(to) { // nothing that a peer sends after it has gone down arrives
		return broken()
	}
	return err
}
