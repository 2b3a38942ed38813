package router

import (
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/boottime"
)

// arrivalTime returns the time at which a caller's request is read. It reads the boot time again, so that a suspension of
// the machine is detected and data from before it does not count as fresh.
func (r *Router) arrivalTime() time.Time {
	r.boot.Check()
	return r.boot.Now()
}

// resumeGuard prevents an instance whose machine was suspended from serving with data from before the suspension, since keys
// may have been revoked meanwhile. The instance serves again once it has received current data. If it receives none
// within maxResumeDelay, it continues like an instance without contact to the store.
type resumeGuard struct {
	clock       *boottime.Clock
	lastContact func() time.Time // when the configuration and the endpoints were last known to match the store
	resumedAt   atomic.Int64     // end of a suspension by clock, in ns; 0: none since data was last received
}

// maxResumeDelay limits how long an instance waits for current data after a suspension. Data arrives within a second if the
// store or a leader can be reached. An instance that can reach neither continues to serve, so one that was also suspended
// may do so after the time from which an instance counts as disconnected.
const maxResumeDelay = 3 * time.Second

// markResumed records that the machine has been suspended and runs again.
func (w *resumeGuard) markResumed() { w.resumedAt.Store(int64(w.clock.Elapsed())) }

// stateFresh reports whether the data of the instance is fresh enough to serve requests.
func (w *resumeGuard) stateFresh() bool {
	resumedAt := w.resumedAt.Load()
	if resumedAt == 0 {
		return true
	}
	at := time.Unix(0, resumedAt)
	if !w.lastContact().After(at) && w.clock.Now().Sub(at) < maxResumeDelay {
		return false
	}
	w.resumedAt.CompareAndSwap(resumedAt, 0)
	return true
}

// onResume handles a suspension of the machine: data from before it counts as stale, idle connections are closed, and
// requests whose deadlines have passed are cancelled.
func (r *Router) onResume(suspended time.Duration) {
	r.resumeGuard.markResumed()
	r.log.Warn().Str("event", "machine_woke").Int64("suspended_ms", suspended.Milliseconds()).
		Msg("the machine was suspended: data from before is stale until it is received again")
	r.metrics.metrics.Scope().Counter("machine_suspensions_total").Inc(1)
	r.client.CloseAllIdle()
	r.core.CancelExpired()
	r.follow.PollNow()
}
