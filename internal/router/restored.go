package router

import (
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// restoredShown is how long lines of requests report that the store was restored.
const restoredShown = time.Minute

// restorations knows when the store was last restored, as far as this instance has learnt of it.
type restorations struct {
	now func() time.Time
	at  atomic.Pointer[time.Time]
}

// note takes a restoration.
func (r *restorations) note() {
	now := r.now()
	r.at.Store(&now)
}

// age is the time since the last restoration; 0: there was none lately.
func (r *restorations) age() time.Duration {
	at := r.at.Load()
	if at == nil {
		return 0
	}
	if d := r.now().Sub(*at); d < restoredShown {
		return max(d, time.Millisecond)
	}
	return 0
}

// followEpochs reports what becomes known of the store's epoch.
func (r *Router) followEpochs(epochs *external.Epochs) {
	r.restored.now = r.boot.Now
	epochs.OnRestored(r.storeRestored)
	epochs.OnEarlier(r.epochIgnored)
}

// storeRestored reports that the store was restored from an older copy. It is called while the Epochs is locked.
func (r *Router) storeRestored(x external.Restoration) {
	r.restored.note()
	r.metrics.restored(x)
	r.log.Warn().Str("event", "store_restored").Int64("epoch", x.Epoch).Int64("before", x.Before).Int64("revision", x.Number).
		Int64("revision_before", x.Known).Int64("revisions_back", x.LostRevisions()).Dur("copy_age", x.Age).
		Msg("the store was restored from an older copy: what was written since is lost there")
}

// epochIgnored reports that an answer names an epoch that is over, or none any more. It is called while the Epochs is locked.
func (r *Router) epochIgnored(epoch, known int64) {
	r.metrics.metrics.Scope().Counter("store_epochs_ignored_total").Inc(1)
	r.log.Warn().Str("event", "store_epoch_ignored").Int64("epoch", epoch).Int64("known", known).
		Msg("an answer is of an earlier epoch of the store than the known one, and does not count")
}

// restored counts restorations of the store.
func (m *meters) restored(x external.Restoration) {
	m.metrics.Scope().Counter("store_restorations_total").Inc(1)
	m.metrics.Scope().Gauge("store_epoch").Update(float64(x.Epoch))
}
