package gateway

import (
	"context"
	"sync"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint"
)

// transcript is an answer as it grows. The request's job writes it; any number of callers read it, from the start.
type transcript struct {
	mu      sync.Mutex
	pieces  []endpoint.Piece
	answer  *endpoint.Response // of a plain service
	usage   chat.Usage
	ended   bool
	err     error
	tapped  bool // a streaming caller has seen a piece: it cannot be taken back
	changed chan struct{}
}

func newTranscript() *transcript {
	return &transcript{changed: make(chan struct{})}
}

func (t *transcript) wake() {
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
	t.wake()
}

func (t *transcript) setAnswer(a *endpoint.Response) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answer = a
}

func (t *transcript) end(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended, t.err = true, err
	t.wake()
}

// reset takes back what nobody has seen. It reports whether that was possible.
func (t *transcript) reset() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tapped && len(t.pieces) > 0 {
		return false
	}
	t.pieces = nil
	return true
}

// delivered reports whether a caller has seen a part of the answer.
func (t *transcript) delivered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tapped && len(t.pieces) > 0
}

// tokens is the number of generated tokens in the transcript.
func (t *transcript) tokens() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n int64
	for _, p := range t.pieces {
		n += p.Tokens
	}
	return n
}

// tap marks the answer as seen while it grows.
func (t *transcript) tap() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tapped = true
}

// follow hands the pieces to each as they come, those that have come together at once, and returns the answer's end.
func (t *transcript) follow(ctx context.Context, each func([]endpoint.Piece) error) error {
	t.tap()
	for i := 0; ; {
		t.mu.Lock()
		fresh := t.pieces[min(i, len(t.pieces)):]
		ended, err, changed := t.ended, t.err, t.changed
		t.mu.Unlock()
		if len(fresh) > 0 {
			if err := each(fresh); err != nil {
				return err
			}
			i += len(fresh)
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

// whole waits for the end and returns every piece.
func (t *transcript) whole(ctx context.Context) ([]endpoint.Piece, *endpoint.Response, error) {
	for {
		t.mu.Lock()
		ended, err, changed := t.ended, t.err, t.changed
		pieces, answer := t.pieces, t.answer
		t.mu.Unlock()
		if ended {
			return pieces, answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}
