package demo

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

// brake stands between an instance and the rest: it can freeze the instance, and cut it from others.
type brake struct {
	mu       sync.Mutex
	frozen   chan struct{} // closed on resume; nil while the instance runs
	dead     bool
	cutStore bool
	cutPeer  func(zoneOf mesh.Peer) bool
	addrZone func(addr string) (mesh.Peer, bool)
}

func newBrake(addrZone func(addr string) (mesh.Peer, bool)) *brake {
	return &brake{cutPeer: func(mesh.Peer) bool { return false }, addrZone: addrZone}
}

// pause freezes the instance at whatever it does next with the outside.
func (b *brake) pause() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen == nil {
		b.frozen = make(chan struct{})
	}
}

// kill keeps the instance from doing anything more to the outside, as a crash would.
func (b *brake) kill() {
	b.mu.Lock()
	b.dead = true
	b.mu.Unlock()
	b.resume()
}

// resume lets it go on.
func (b *brake) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen != nil {
		close(b.frozen)
		b.frozen = nil
	}
}

func (b *brake) setCutStore(cut bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutStore = cut
}

func (b *brake) setCutPeer(f func(mesh.Peer) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutPeer = f
}

// wait blocks while the instance is frozen.
func (b *brake) wait(ctx context.Context) error {
	for {
		b.mu.Lock()
		ch, dead := b.frozen, b.dead
		b.mu.Unlock()
		if dead {
			return errDead
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

// hook is the instance's step hook.
func (b *brake) hook(ctx context.Context, _ step.Step) error { return b.wait(ctx) }

// to reports whether an address may be called.
func (b *brake) to(addr string) bool {
	if b.wait(context.Background()) != nil {
		return false
	}
	p, ok := b.addrZone(addr)
	return !ok || b.from(p)
}

// from reports whether a peer may call.
func (b *brake) from(p mesh.Peer) bool {
	if b.wait(context.Background()) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.cutPeer(p)
}

var (
	errCut  = errors.New("cut off from the platform")
	errDead = errors.New("the instance has crashed")
)

// braked is an instance's way to the platform or to endpoints.
type braked struct {
	b        *brake
	platform bool
	next     http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *braked) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.b.wait(r.Context()); err != nil {
		return nil, err
	}
	t.b.mu.Lock()
	cut := t.b.cutStore
	t.b.mu.Unlock()
	if cut && t.platform {
		return nil, errCut
	}
	resp, err := t.next.RoundTrip(r)
	if werr := t.b.wait(r.Context()); werr != nil {
		if resp != nil {
			_ = resp.Body.Close()
		}
		return nil, werr
	}
	return resp, err
}
