package router

import (
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// restorationWindow is how long after a restoration of the store the log lines of requests mention it.
const restorationWindow = time.Minute

// restorationTracker records when this instance last discovered that the store was restored.
type restorationTracker struct {
	now func() time.Time
	at  atomic.Pointer[time.Time]
}

// record records a restoration.
func (r *restorationTracker) record() {
	now := r.now()
	r.at.Store(&now)
}

// age returns the time since the last restoration, or 0 if there was none within restorationWindow.
func (r *restorationTracker) age() time.Duration {
	at := r.at.Load()
	if at == nil {
		return 0
	}
	if d := r.now().Sub(*at); d < restorationWindow {
		return max(d, time.Millisecond)
	}
	return 0
}

// followEpochs registers callbacks for changes of the store's epoch.
func (r *Router) followEpochs(epochs *external.Epochs) {
	r.restored.now = r.bootClock.Now
	epochs.OnRestored(r.storeRestored)
	epochs.OnEarlier(r.epochIgnored)
}

// storeRestored logs and counts that the store was restored from an older copy. It is called while Epochs is locked.
func (r *Router) storeRestored(x external.Restoration) {
	r.restored.record()
	r.metrics.recordRestoration(x)
	r.log.Warn().Str("event", "store_restored").Int64("epoch", x.Epoch).Int64("before", x.Before).Int64("revision", x.Number).
		Int64("revision_before", x.Known).Int64("revisions_back", x.LostRevisions()).Dur("copy_age", x.Age).
		Msg("the store was restored from an older copy: later writes are lost")
}

// epochIgnored logs and counts a response of the store whose epoch is earlier than the known one, or that has no epoch
// although previous responses had one. It is called while Epochs is locked.
func (r *Router) epochIgnored(epoch, known int64) {
	r.metrics.metrics.Scope().Counter("store_epochs_ignored_total").Inc(1)
	r.log.Warn().Str("event", "store_epoch_ignored").Int64("epoch", epoch).Int64("known", known).
		Msg("ignoring a response from an earlier epoch of the store than the known one")
}

// recordRestoration counts a restoration of the store and records the new epoch.
func (m *meters) recordRestoration(x external.Restoration) {
	m.metrics.Scope().Counter("store_restorations_total").Inc(1)
	m.metrics.Scope().Gauge("store_epoch").Update(float64(x.Epoch))
}
