package follow

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// A store that was restored from an older copy lacks the last changes, and has what they had changed. Endpoints and the operator write theirs again, so
// for some seconds what is known counts for more than a list that is read; a change that is made in the new epoch always counts.

const (
	// returnWait is how long an endpoint, or an order of the operator, that a list lacks after a restoration counts as there.
	returnWait = 3 * time.Second
	// lapseWait is how long a record in such a list does not make an endpoint ready that was known to drain or to be gone: the record of one that has
	// ended lapses by then.
	lapseWait = 6 * time.Second
)

// removals are when endpoints were last known to have gone, by ID.
type removals map[string]time.Time

// mostRemovals is the number of endpoints from which on those that went long ago are dropped.
const mostRemovals = 512

// removalLife is how long an endpoint that has gone may come back with a copy, and until that copy's records are reliable.
const removalLife = external.MaxCopyAge + lapseWait

func (r removals) add(id string, at time.Time) {
	if len(r) >= mostRemovals {
		for old, since := range r {
			if at.Sub(since) > removalLife {
				delete(r, old)
			}
		}
	}
	if len(r) < mostRemovals {
		r[id] = at
	}
}

// restoration is what a follower knows of the store's last restoration.
type restoration struct {
	at      time.Time // when it was learnt; zero: there was none
	rereads int       // of everything, since its records are reliable
	differs bool      // the store's lists are not what is known
}

// missing reports whether what a list lacks counts as there.
func (r restoration) missing(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < returnWait }

// older reports whether what a list has may be older than what is known.
func (r restoration) older(now time.Time) bool { return !r.at.IsZero() && now.Sub(r.at) < lapseWait }

// rereadAt are the times after a restoration at which everything is read once more.
var rereadAt = []time.Duration{returnWait, lapseWait}

// due reports whether everything is to be read once more now.
func (r restoration) due(now time.Time) bool {
	return r.differs && !r.at.IsZero() && r.rereads < len(rereadAt) && now.Sub(r.at) >= rereadAt[r.rereads]
}

// learn notes that an update is of a later epoch than what was followed so far.
func (f *Follower) learn(u Update) {
	if f.since.At == 0 || external.EpochOf(u.At) <= external.EpochOf(f.since.At) {
		return
	}
	f.restored = restoration{at: f.now()}
}

// reconcile makes a list of all endpoints that was read after a restoration agree with what is known.
func (f *Follower) reconcile(list []pool.Endpoint) []pool.Endpoint {
	now := f.now()
	if !f.restored.older(now) {
		return list
	}
	out, kept := f.history.reconcile(list, f.restored.missing(now))
	if kept != (keptBack{}) {
		f.restored.differs = true
		f.log.Info().Str("event", "endpoints_reconciled").Int("missing", kept.missing).Int("draining", kept.draining).Int("gone", kept.gone).
			Msg("the store was restored: what is known of endpoints counts for more than its records")
	}
	return out
}

// keptBack counts the endpoints of which what is known counts for more than a list.
type keptBack struct {
	missing  int // the list lacks them
	draining int // it has them as ready
	gone     int // it has them
}

// reconcile adds known endpoints that a list lacks, if missing says so, and leaves those draining, or out, that are known to drain, or to have gone.
func (h *history) reconcile(list []pool.Endpoint, missing bool) (out []pool.Endpoint, kept keptBack) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		known, there := h.endpoints[e.ID]
		if _, gone := h.removed[e.ID]; gone && !there {
			kept.gone++
			continue
		}
		if there && known.Draining && !e.Draining && known.Run() == e.Run() {
			kept.draining++
			e.Draining = true
		}
		out = append(out, e)
	}
	for id, e := range h.endpoints {
		if missing && !listed[id] {
			kept.missing++
			out = append(out, e)
		}
	}
	return out, kept
}
