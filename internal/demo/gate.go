package demo

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

// gate controls all outside communication of an instance. It can pause or crash the instance, and cut it off from peers
// or from the store.
type gate struct {
	mu       sync.Mutex
	paused   chan struct{} // closed on resume; nil while the instance runs
	crashed  bool
	cutStore bool
	cutPeer  func(p mesh.Peer) bool
	peerAt   func(addr string) (mesh.Peer, bool)
}

func newGate(peerAt func(addr string) (mesh.Peer, bool)) *gate {
	return &gate{cutPeer: func(mesh.Peer) bool { return false }, peerAt: peerAt}
}

// pause blocks the instance at its next step or outside call.
func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

// kill makes every later step and outside call of the instance fail, as after a crash.
func (g *gate) kill() {
	g.mu.Lock()
	g.crashed = true
	g.mu.Unlock()
	g.resume()
}

// resume ends a pause.
func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *gate) setCutStore(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutStore = cut
}

func (g *gate) setCutPeer(f func(mesh.Peer) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cutPeer = f
}

// waitResumed blocks while the instance is paused, and fails once it has crashed.
func (g *gate) waitResumed(ctx context.Context) error {
	for {
		g.mu.Lock()
		ch, crashed := g.paused, g.crashed
		g.mu.Unlock()
		if crashed {
			return errCrashed
		}
		if ch == nil {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// hook is the instance's step hook, which blocks while the instance is paused.
func (g *gate) hook(ctx context.Context, _ step.Step) error { return g.waitResumed(ctx) }

// allowsCallTo reports whether the instance may call an address.
func (g *gate) allowsCallTo(addr string) bool {
	if g.waitResumed(context.Background()) != nil {
		return false
	}
	p, ok := g.peerAt(addr)
	return !ok || g.allowsCallFrom(p)
}

// allowsCallFrom reports whether a peer may call the instance.
func (g *gate) allowsCallFrom(p mesh.Peer) bool {
	if g.waitResumed(context.Background()) != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cutPeer(p)
}

var (
	errCut     = errors.New("cut off from the platform")
	errCrashed = errors.New("the instance has crashed")
)

// gatedTransport is an instance's transport to the platform or to endpoints.
type gatedTransport struct {
	g        *gate
	platform bool
	next     http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *gatedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.g.waitResumed(r.Context()); err != nil {
		return nil, err
	}
	t.g.mu.Lock()
	cut := t.g.cutStore
	t.g.mu.Unlock()
	if cut && t.platform {
		return nil, errCut
	}
	resp, err := t.next.RoundTrip(r)
	if werr := t.g.waitResumed(r.Context()); werr != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, werr
	}
	return resp, err
}
