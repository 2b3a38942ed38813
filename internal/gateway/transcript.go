package gateway

import (
	"context"
	"sync"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint"
)

// transcript is the part of a response that has been received so far. The request's job writes it. Any number of callers
// read it, each from the start.
type transcript struct {
	mu       sync.Mutex
	pieces   []endpoint.Piece
	response *endpoint.Response // only of a plain service
	usage    chat.Usage
	ended    bool
	err      error
	followed bool // a streaming caller receives the pieces as they arrive, so they cannot be discarded any more
	changed  chan struct{}
}

func newTranscript() *transcript {
	return &transcript{changed: make(chan struct{})}
}

func (t *transcript) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *transcript) add(p endpoint.Piece) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pieces = append(t.pieces, p)
	if p.Usage != nil {
		t.usage = *p.Usage
	}
	t.notify()
}

func (t *transcript) setResponse(resp *endpoint.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.response = resp
}

func (t *transcript) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended, t.err = true, err
	t.notify()
}

// reset discards the pieces, unless a caller may have received some of them. It reports whether it has discarded them.
func (t *transcript) reset() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.followed && len(t.pieces) > 0 {
		return false
	}
	t.pieces = nil
	return true
}

// delivered reports whether a caller may have received a part of the response.
func (t *transcript) delivered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.followed && len(t.pieces) > 0
}

// tokens returns the number of generated tokens in the transcript.
func (t *transcript) tokens() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n int64
	for _, p := range t.pieces {
		n += p.Tokens
	}
	return n
}

// markFollowed records that a streaming caller reads the transcript while it grows.
func (t *transcript) markFollowed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followed = true
}

// follow calls fn with the pieces as they arrive, and returns the error with which the response ends. Pieces that have
// arrived since the last call go into one call.
func (t *transcript) follow(ctx context.Context, fn func([]endpoint.Piece) error) error {
	t.markFollowed()
	for i := 0; ; {
		t.mu.Lock()
		added := t.pieces[min(i, len(t.pieces)):]
		ended, err, changed := t.ended, t.err, t.changed
		t.mu.Unlock()
		if len(added) > 0 {
			if err := fn(added); err != nil {
				return err
			}
			i += len(added)
			continue
		}
		if ended {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// complete waits until the response has ended, and returns all of it.
func (t *transcript) complete(ctx context.Context) ([]endpoint.Piece, *endpoint.Response, error) {
	for {
		t.mu.Lock()
		ended, err, changed := t.ended, t.err, t.changed
		pieces, response := t.pieces, t.response
		t.mu.Unlock()
		if ended {
			return pieces, response, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}
