// Package meshtest is an in-memory transport for tests, with links that can be cut and replies that can be lost.
package meshtest

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Net connects routers by address.
type Net struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   func(from, to mesh.Peer) bool
	lose  func(kind mesh.Kind) bool
	calls map[mesh.Kind]int
}

type node struct {
	peer   mesh.Peer
	router *mesh.Router
	down   bool
}

// New makes a net without links.
func New() *Net {
	return &Net{
		nodes: make(map[string]*node),
		cut:   func(_, _ mesh.Peer) bool { return false },
		lose:  func(mesh.Kind) bool { return false },
		calls: make(map[mesh.Kind]int),
	}
}

// Join adds a peer and returns its end.
func (n *Net) Join(p mesh.Peer, r *mesh.Router) mesh.Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[p.Addr] = &node{peer: p, router: r}
	return &end{net: n, self: p}
}

// SetDown stops a peer from taking or making calls, or lets it again.
func (n *Net) SetDown(addr string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if nd, ok := n.nodes[addr]; ok {
		nd.down = down
	}
}

// SetCut says which links are cut.
func (n *Net) SetCut(f func(from, to mesh.Peer) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

// SetReplyLoss says which replies are lost after the call took effect.
func (n *Net) SetReplyLoss(f func(kind mesh.Kind) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = f
}

// Calls counts the calls of a kind.
func (n *Net) Calls(kind mesh.Kind) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[kind]
}

type end struct {
	net  *Net
	self mesh.Peer
}

func (e *end) find(addr string, kind mesh.Kind) (*node, bool, error) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.calls[kind]++
	to, ok := e.net.nodes[addr]
	me := e.net.nodes[e.self.Addr]
	if !ok || to.down || me.down || e.net.cut(e.self, to.peer) {
		return nil, false, eris.Wrapf(mesh.ErrUnreachable, "%s to %s", kind, addr)
	}
	return to, e.net.lose(kind), nil
}

func (n *Net) isDown(nd *node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return nd.down
}

// Call implements mesh.Caller.
func (e *end) Call(ctx context.Context, addr string, kind mesh.Kind, body []byte) ([]byte, error) {
	to, lost, err := e.find(addr, kind)
	if err != nil {
		return nil, err
	}
	type result struct {
		out []byte
		err error
	}
	done := make(chan result, 1)
	go func() {
		out, err := to.router.Dispatch(ctx, e.self, kind, body)
		done <- result{out, err}
	}()
	select {
	case res := <-done:
		if lost || e.net.isDown(to) {
			return nil, eris.Wrapf(mesh.ErrNoReply, "%s to %s", kind, addr)
		}
		return res.out, res.err
	case <-ctx.Done(): // the peer hangs
		return nil, eris.Wrapf(mesh.ErrNoReply, "%s to %s", kind, addr)
	}
}

// Stream implements mesh.Caller.
func (e *end) Stream(ctx context.Context, addr string, kind mesh.Kind, body []byte, each func([]byte) error) error {
	to, _, err := e.find(addr, kind)
	if err != nil {
		return err
	}
	return to.router.DispatchStream(ctx, e.self, kind, body, each)
}
