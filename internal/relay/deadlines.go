package relay

import (
	"context"
	"sync"
	"time"
)

// deadlineTracker holds the requests in progress that have a deadline. Timers do not advance while the machine is
// suspended, so after a suspension it cancels the requests whose deadlines have passed. Its zero value is empty and
// ready to use.
type deadlineTracker struct {
	mu   sync.Mutex
	jobs map[*job]context.CancelFunc
}

// add adds a request. The returned function removes it.
func (t *deadlineTracker) add(j *job, cancel context.CancelFunc) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.jobs == nil {
		t.jobs = make(map[*job]context.CancelFunc)
	}
	t.jobs[j] = cancel
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.jobs, j)
	}
}

// cancelExpired cancels the requests whose deadlines have passed.
func (t *deadlineTracker) cancelExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for j, cancel := range t.jobs {
		if !now.Before(j.deadline) {
			cancel()
		}
	}
}

// CancelExpired cancels the requests whose deadlines have passed, even if their timers have not fired yet.
func (c *Core) CancelExpired() { c.deadlines.cancelExpired(c.now()) }

// deadlinePassed reports whether a request was cancelled because its deadline has passed.
func (j *job) deadlinePassed(ctx context.Context) bool {
	return ctx.Err() != nil && !j.deadline.IsZero() && !j.core.now().Before(j.deadline)
}
