package router

import (
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/boottime"
)

// arrived is the time at which a caller's request is read. The boot time is read anew for it: a machine that was suspended must not take
// what it heard before for fresh.
func (r *Router) arrived() time.Time {
	r.boot.Check()
	return r.boot.Now()
}

// waking keeps an instance from serving by what it heard before its machine was suspended, until it has heard it again: keys may have been
// revoked since. Where nobody tells for mostWaking, the instance goes on as one does that is cut off.
type waking struct {
	clock *boottime.Clock
	heard func() time.Time // when the configuration and the endpoints were last as the store has them
	woke  atomic.Int64     // in the clock's nanoseconds; 0: never, or it has heard everything since
}

// mostWaking is how long a woken instance waits for a word. It is told within a second where the store or a leader can be reached; an instance that
// is cut off from both serves on, so one that was suspended as well may do so after the time for which machines count as out of touch.
const mostWaking = 3 * time.Second

// begin notes that the machine has been suspended.
func (w *waking) begin() { w.woke.Store(int64(w.clock.Elapsed())) }

// over reports whether the instance may serve.
func (w *waking) over() bool {
	woke := w.woke.Load()
	if woke == 0 {
		return true
	}
	at := time.Unix(0, woke)
	if !w.heard().After(at) && w.clock.Now().Sub(at) < mostWaking {
		return false
	}
	w.woke.CompareAndSwap(woke, 0)
	return true
}

// wake takes that the machine was suspended: what was heard before is old, kept connections are given up, and requests whose time is up end.
func (r *Router) wake(suspended time.Duration) {
	r.waking.begin()
	r.log.Warn().Str("event", "machine_woke").Int64("suspended_ms", suspended.Milliseconds()).
		Msg("the machine was suspended: what was heard before is old until it is heard again")
	r.metrics.metrics.Scope().Counter("machine_suspensions_total").Inc(1)
	r.client.CloseAllIdle()
	r.core.CancelExpired()
	r.follow.PollNow()
}
