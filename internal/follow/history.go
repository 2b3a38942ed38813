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

// mostBatches is how many updates are remembered; who has missed more is told everything.
const mostBatches = 64

// batch is what one update said of endpoints.
type batch struct {
	at        int64 // the revision that it leads to
	endpoints []pool.Endpoint
	gone      []string
}

// history remembers what the store told, so that it can be told to other instances.
type history struct {
	mu        sync.Mutex
	at        Cursor
	from      int64 // the revision from which batches go on
	batches   []batch
	endpoints map[string]pool.Endpoint
	config    *route.Config
	evacuated evacuation.State
	asOf      time.Time // when all this was the newest
	removed   removals
}

func newHistory() *history {
	return &history{endpoints: make(map[string]pool.Endpoint), removed: make(removals)}
}

// add takes an update that leads to a cursor. asOf is when the store answered.
func (h *history) add(u Update, whole bool, at Cursor, asOf time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if u.Config != nil && (h.config == nil || u.Config.Version > h.config.Version) {
		h.config = u.Config
	}
	if asOf.After(h.asOf) {
		h.asOf = asOf
	}
	if whole {
		h.replace(u.Endpoints, at, asOf)
		return
	}
	b := batch{at: at.At, gone: u.Removed}
	for _, e := range u.Endpoints {
		delete(h.removed, e.ID)
		if e.Outdated(h.endpoints[e.ID]) {
			continue
		}
		if before, there := h.endpoints[e.ID]; !there || before.Tells(e) {
			b.endpoints = append(b.endpoints, e)
		}
		h.endpoints[e.ID] = e
	}
	for _, id := range u.Removed {
		delete(h.endpoints, id)
		h.removed.add(id, asOf)
	}
	h.at = at
	if len(b.endpoints)+len(b.gone) > 0 {
		h.push(b)
	}
}

// evacuate takes the operator's orders of an update. It returns those that change what holds, and all zones that are evacuated then. A list that is
// not to be relied on adds orders only.
func (h *history) evacuate(u Update, reliable bool) (changed []evacuation.Order, zones []string) {
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

// replace takes a list of all endpoints. The caller holds mu.
func (h *history) replace(list []pool.Endpoint, at Cursor, asOf time.Time) {
	before := h.endpoints
	h.endpoints = make(map[string]pool.Endpoint, len(list))
	for _, e := range list {
		h.endpoints[e.ID] = e
		delete(before, e.ID)
		delete(h.removed, e.ID)
	}
	for id := range before {
		h.removed.add(id, asOf)
	}
	h.at, h.from, h.batches = at, at.At, nil
}

func (h *history) push(b batch) {
	h.batches = append(h.batches, b)
	if len(h.batches) > mostBatches {
		h.from = h.batches[0].at
		h.batches = h.batches[1:]
	}
}

// News tells an instance that follows the store through this one what has changed since a cursor: all of it, if that is not
// remembered from there on. ok is false while there is nothing to tell.
func (f *Follower) UpdateSince(since Cursor) (u Update, ok bool) {
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil || external.EpochOf(since.At) > external.EpochOf(h.at.At) {
		return Update{}, false
	}
	u = Update{
		At: max(since.At, h.at.At), ConfigAt: max(since.ConfigAt, h.at.ConfigAt), OperatorAt: h.at.OperatorAt, FromPeer: true,
		Evacuated: &evacuation.Set{At: h.at.OperatorAt, Zones: h.evacuated.Zones()}, Age: f.now().Sub(h.asOf),
	}
	if since.ConfigAt < h.at.ConfigAt {
		u.Config = h.config
	}
	if since.At < h.from {
		u.Complete = true
		u.Endpoints = slices.Collect(maps.Values(h.endpoints))
		return u, true
	}
	h.since(&u, since.At)
	return u, true
}

// since adds what has become of the endpoints that have changed after a revision. The caller holds mu.
func (h *history) since(u *Update, at int64) {
	changed := make(map[string]bool)
	for _, b := range h.batches {
		if b.at <= at {
			continue
		}
		for _, e := range b.endpoints {
			changed[e.ID] = true
		}
		for _, id := range b.gone {
			changed[id] = true
		}
	}
	for id := range changed {
		if e, there := h.endpoints[id]; there {
			u.Endpoints = append(u.Endpoints, e)
		} else {
			u.Removed = append(u.Removed, id)
		}
	}
}
