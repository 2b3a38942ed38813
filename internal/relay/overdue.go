package relay

import (
	"context"
	"sync"
	"time"
)

// overdue knows the requests under way that have an end. Timers stand still while the machine is suspended, so it ends those whose time was up
// by then. Its zero value knows none.
type overdue struct {
	mu   sync.Mutex
	jobs map[*job]context.CancelFunc
}

// add takes a request; the function that it returns takes it out.
func (o *overdue) add(j *job, cancel context.CancelFunc) (done func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.jobs == nil {
		o.jobs = make(map[*job]context.CancelFunc)
	}
	o.jobs[j] = cancel
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.jobs, j)
	}
}

// end ends the requests whose time is up.
func (o *overdue) end(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for j, cancel := range o.jobs {
		if !now.Before(j.end) {
			cancel()
		}
	}
}

// CancelExpired ends the requests whose time is up by now, however long their timers still have.
func (c *Core) CancelExpired() { c.overdue.end(c.now()) }

// over reports whether a request ended because its time was up.
func (j *job) over(ctx context.Context) bool {
	return ctx.Err() != nil && !j.end.IsZero() && !j.core.now().Before(j.end)
}
