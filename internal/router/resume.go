package router

import (
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/boottime"
)

// arrivalTime returns the time at which a caller's request is read. It checks the boot-time clock first, so that a
// suspension of the machine is detected and data from before it does not count as fresh.
func (r *Router) arrivalTime() time.Time {
	r.bootClock.Check()
	return r.bootClock.Now()
}

// resumeGuard prevents an instance whose machine was suspended from serving with data from before the suspension, since
// keys may have been revoked meanwhile. The instance serves again once it has received current data. If it receives none
// within maxResumeDelay, it continues like an instance that cannot reach the store.
type resumeGuard struct {
	clock       *boottime.Clock
	lastContact func() time.Time // when the configuration and the endpoints were last known to match the store
	resumedAt   atomic.Int64     // when the last suspension ended, in ns of clock; 0: none, or current data was received since
}

// maxResumeDelay limits how long an instance waits for current data after a suspension. Data arrives within a second if
// the store or a leader can be reached. An instance that can reach neither continues to serve. If its machine was also
// suspended, it may therefore still serve after the time from which an instance counts as disconnected.
const maxResumeDelay = 3 * time.Second

// markResumed records that the machine has been suspended and runs again.
func (g *resumeGuard) markResumed() { g.resumedAt.Store(int64(g.clock.Elapsed())) }

// stateFresh reports whether the data of the instance is fresh enough to serve requests.
func (g *resumeGuard) stateFresh() bool {
	resumedAt := g.resumedAt.Load()
	if resumedAt == 0 {
		return true
	}
	at := time.Unix(0, resumedAt)
	if !g.lastContact().After(at) && g.clock.Now().Sub(at) < maxResumeDelay {
		return false
	}
	g.resumedAt.CompareAndSwap(resumedAt, 0)
	return true
}

// onResume handles the end of a suspension of the machine. Data from before the suspension counts as stale, idle
// connections are closed, and requests whose deadlines have passed are cancelled.
func (r *Router) onResume(suspended time.Duration) {
	r.resumeGuard.markResumed()
	r.log.Warn().Str("event", "machine_woke").Int64("suspended_ms", suspended.Milliseconds()).
		Msg("the machine was suspended: not serving until current data has been received")
	r.metrics.metrics.Scope().Counter("machine_suspensions_total").Inc(1)
	r.client.CloseAllIdle()
	r.core.CancelExpired()
	r.follow.PollNow()
}
