package follow

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// maxBatches is the number of updates that are retained. A peer that has missed more gets a full list.
const maxBatches = 64

// batch holds the endpoint changes of one update.
type batch struct {
	at        int64 // the revision up to which the update reaches
	endpoints []pool.Endpoint
	removed   []string
}

// history retains the state and the recent changes of the store, so that other instances can follow the store through
// this one.
type history struct {
	mu        sync.Mutex
	cursor    Cursor
	oldest    int64 // the revision after which batches holds all changes
	batches   []batch
	endpoints map[string]pool.Endpoint
	config    *route.Config
	evacuated evacuation.State
	asOf      time.Time // when this state was last known to be current
	removed   removals
}

func newHistory() *history {
	return &history{endpoints: make(map[string]pool.Endpoint), removed: make(removals)}
}

// add applies an update that reaches up to a cursor. asOf is when the store answered.
func (h *history) add(u Update, complete bool, at Cursor, asOf time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Config != nil && (h.config == nil || u.Config.Version > h.config.Version) {
		h.config = u.Config
	}
	if asOf.After(h.asOf) {
		h.asOf = asOf
	}
	if complete {
		h.replace(u.Endpoints, at, asOf)
		return
	}
	b := batch{at: at.At, removed: u.Removed}
	for _, e := range u.Endpoints {
		delete(h.removed, e.ID)
		if e.Outdated(h.endpoints[e.ID]) {
			continue
		}
		if known, found := h.endpoints[e.ID]; !found || known.ChangedBy(e) {
			b.endpoints = append(b.endpoints, e)
		}
		h.endpoints[e.ID] = e
	}
	for _, id := range u.Removed {
		delete(h.endpoints, id)
		h.removed.add(id, asOf)
	}
	h.cursor = at
	if len(b.endpoints)+len(b.removed) > 0 {
		h.push(b)
	}
}

// applyEvacuations applies the operator's orders of an update. It returns the orders that changed the state, and all
// zones that are evacuated afterwards. An unreliable list adds orders but removes none.
func (h *history) applyEvacuations(u Update, reliable bool) (changed []evacuation.Order, zones []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case u.Evacuated == nil:
	case reliable:
		changed = h.evacuated.Replace(*u.Evacuated)
	default:
		changed = h.evacuated.Add(*u.Evacuated)
	}
	for _, o := range u.Evacuations {
		if h.evacuated.Apply(o) {
			changed = append(changed, o)
		}
	}
	return changed, h.evacuated.Zones()
}

// replace replaces the state by a list of all endpoints. Those that follow this instance receive the difference, unless
// the list is of another epoch or the first one. The caller holds mu.
func (h *history) replace(list []pool.Endpoint, at Cursor, asOf time.Time) {
	continues := h.cursor.At > 0 && external.EpochOf(h.cursor.At) == external.EpochOf(at.At)
	before, diff := h.endpoints, batch{at: at.At}
	h.endpoints = make(map[string]pool.Endpoint, len(list))
	for _, e := range list {
		if known, found := before[e.ID]; !found || known.ChangedBy(e) {
			diff.endpoints = append(diff.endpoints, e)
		}
		h.endpoints[e.ID] = e
		delete(before, e.ID)
		delete(h.removed, e.ID)
	}
	for id := range before {
		diff.removed = append(diff.removed, id)
		h.removed.add(id, asOf)
	}
	h.cursor = at
	if !continues {
		h.oldest, h.batches = at.At, nil
		return
	}
	if len(diff.endpoints)+len(diff.removed) > 0 {
		h.push(diff)
	}
}

func (h *history) push(b batch) {
	h.batches = append(h.batches, b)
	if len(h.batches) > maxBatches {
		h.oldest = h.batches[0].at
		h.batches = h.batches[1:]
	}
}

// UpdateSince returns the changes since a cursor, for an instance that follows the store through this one. The update
// is complete if the retained changes do not reach back to the cursor. ok is false if this instance has no
// configuration yet, or if the cursor is of a later epoch.
func (f *Follower) UpdateSince(since Cursor) (u Update, ok bool) {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil || external.EpochOf(since.At) > external.EpochOf(h.cursor.At) {
		return Update{}, false
	}
	u = Update{
		At: max(since.At, h.cursor.At), ConfigAt: max(since.ConfigAt, h.cursor.ConfigAt), OperatorAt: h.cursor.OperatorAt, FromPeer: true,
		Evacuated: &evacuation.Set{At: h.cursor.OperatorAt, Zones: h.evacuated.Zones()}, Age: f.now().Sub(h.asOf),
	}
	if since.ConfigAt < h.cursor.ConfigAt {
		u.Config = h.config
	}
	if since.At < h.oldest {
		u.Complete = true
		u.Endpoints = slices.Collect(maps.Values(h.endpoints))
		return u, true
	}
	h.appendChanged(&u, since.At)
	return u, true
}

// appendChanged adds the current state of the endpoints that have changed after a revision. The caller holds mu.
func (h *history) appendChanged(u *Update, at int64) {
	changed := make(map[string]bool)
	for _, b := range h.batches {
		if b.at <= at {
			continue
		}
		for _, e := range b.endpoints {
			changed[e.ID] = true
		}
		for _, id := range b.removed {
			changed[id] = true
		}
	}
	for id := range changed {
		if e, found := h.endpoints[id]; found {
			u.Endpoints = append(u.Endpoints, e)
		} else {
			u.Removed = append(u.Removed, id)
		}
	}
}
