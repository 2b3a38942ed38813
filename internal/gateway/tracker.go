package gateway

import (
	"context"
	"sync"
)

// tracker counts the work in progress. Unlike a WaitGroup, wait may be called while more work starts. enter and close
// exclude each other: wait covers all work that entered before close, and nothing enters after it.
type tracker struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{} // closed while nothing is in progress
}

func newTracker() *tracker {
	t := &tracker{idle: make(chan struct{})}
	close(t.idle)
	return t
}

// enter counts a new piece of work. It returns false if the tracker is closed.
func (t *tracker) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.add()
	return true
}

func (t *tracker) add() {
	if t.n == 0 {
		t.idle = make(chan struct{})
	}
	t.n++
}

// leave counts a piece of work as ended.
func (t *tracker) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 {
		close(t.idle)
	}
}

// run calls f in the background and counts it as work. It does so even after close, since f belongs to work that
// entered before.
func (t *tracker) run(f func()) {
	t.mu.Lock()
	t.add()
	t.mu.Unlock()
	go func() {
		defer t.leave()
		f()
	}()
}

// close makes enter return false from now on.
func (t *tracker) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

func (t *tracker) isClosed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.closed
}

// wait blocks until no work is in progress, or ctx ends.
func (t *tracker) wait(ctx context.Context) error {
	for {
		t.mu.Lock()
		n, idle := t.n, t.idle
		t.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
