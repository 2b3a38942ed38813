package follow

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// A store that was restored from an older copy lacks the latest changes, and holds the values from before them.
// Endpoints and the operator write their records again. Until they have had time to do so, the state that this instance
// has cached overrides a list that it reads from the store. A change that is made in the new epoch always takes effect.

const (
	// missingGrace is how long after a restoration an endpoint, or an order of the operator, is retained although the
	// store's list lacks it.
	missingGrace = 3 * time.Second
	// staleGrace is how long after a restoration a record in a list does not make an endpoint ready that was known to
	// be draining or removed. The record of an endpoint whose process has exited expires within that time.
	staleGrace = 6 * time.Second
)

// removals holds when endpoints were last known to be removed, by ID.
type removals map[string]time.Time

// maxRemovals is the maximum number of entries in removals. At this size, expired entries are dropped, and no others
// are added.
const maxRemovals = 512

// removalRetention is how long a removal is retained. A restored copy may contain the removed endpoint for MaxCopyAge,
// and its records are unreliable for staleGrace after the restoration.
const removalRetention = external.MaxCopyAge + staleGrace

func (r removals) add(id string, at time.Time) {
	if len(r) >= maxRemovals {
		for old, since := range r {
			if at.Sub(since) > removalRetention {
				delete(r, old)
			}
		}
	}
	if len(r) < maxRemovals {
		r[id] = at
	}
}

// restoration is the follower's state of the store's last restoration.
type restoration struct {
	at      time.Time // when it was detected; zero: there was none
	rereads int       // completed entries of rereadDelays
	differs bool      // the store's lists differ from the cached state
}

// keepsMissing reports whether records that a list lacks are retained.
func (r restoration) keepsMissing(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < missingGrace
}

// listsStale reports whether records in a list may be older than the cached state.
func (r restoration) listsStale(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) < staleGrace
}

// rereadDelays are the delays after a restoration at which everything is read again.
var rereadDelays = []time.Duration{missingGrace, staleGrace}

// rereadDue reports whether everything must be read again now.
func (r restoration) rereadDue(now time.Time) bool {
	return r.differs && !r.at.IsZero() && r.rereads < len(rereadDelays) && now.Sub(r.at) >= rereadDelays[r.rereads]
}

// noteEpoch records a restoration if an update is of a later epoch than the one followed so far.
func (f *Follower) noteEpoch(u Update) {
	if f.since.At == 0 || external.EpochOf(u.At) <= external.EpochOf(f.since.At) {
		return
	}
	f.restoration = restoration{at: f.now()}
}

// reconcile corrects a list of all endpoints that was read after a restoration by the cached state.
func (f *Follower) reconcile(list []pool.Endpoint) []pool.Endpoint {
	now := f.now()
	if !f.restoration.listsStale(now) {
		return list
	}
	out, overridden := f.history.reconcile(list, f.restoration.keepsMissing(now))
	if overridden != (overrides{}) {
		f.restoration.differs = true
		f.log.Info().Str("event", "endpoints_reconciled").Int("missing", overridden.missing).Int("draining", overridden.draining).Int("gone", overridden.removed).
			Msg("store was restored; the cached state of endpoints overrides its records")
	}
	return out
}

// overrides counts the endpoints whose cached state overrides a list.
type overrides struct {
	missing  int // absent from the list
	draining int // listed as ready
	removed  int // listed, but known to be removed
}

// reconcile corrects a list by the cached state: it keeps draining endpoints draining and leaves out removed ones. If
// keepMissing is set, it also adds cached endpoints that the list lacks.
func (h *history) reconcile(list []pool.Endpoint, keepMissing bool) (out []pool.Endpoint, overridden overrides) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		known, found := h.endpoints[e.ID]
		if _, removed := h.removed[e.ID]; removed && !found {
			overridden.removed++
			continue
		}
		if found && known.Draining && !e.Draining && known.Run() == e.Run() {
			overridden.draining++
			e.Draining = true
		}
		out = append(out, e)
	}
	for id, e := range h.endpoints {
		if keepMissing && !listed[id] {
			overridden.missing++
			out = append(out, e)
		}
	}
	return out, overridden
}
