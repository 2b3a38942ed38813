package continuity

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Keys in the store, under the prefix of the fleet.
const (
	originsPrefix = "streams/"  // one key for each instance, with origins that no other instance has received
	historyKey    = "software"  // the software versions that endpoints have, or had
	historyOwner  = "software/" // key by which the instance that writes the history is chosen
)

const (
	storeTimeout       = 900 * time.Millisecond
	originsTimeout     = 250 * time.Millisecond // for reading all origins while a caller waits
	minStoreInterval   = 250 * time.Millisecond // between two writes of one instance's origins
	storeRetry         = time.Second            // after a write that failed
	historyTakeover    = 2 * time.Second        // after which another instance writes the history than the chosen one
	maxStoredOrigins   = 512
	maxHistoryAttempts = 3 // of one write, if other instances write too
)

// storedOrigins is the value that holds the origins of one instance's streams.
type storedOrigins struct {
	WallMs  int64        `cbor:"1,keyasint"` // when it was written
	Origins []sentOrigin `cbor:"2,keyasint,omitempty"`
}

// storedHistory is the value that holds the versions of all services. It outlives all instances: streams begin only
// through instances, so that no stream has begun at a version that none of them has seen.
type storedHistory struct {
	Versions []storedVersion `cbor:"1,keyasint,omitempty"`
}

// storedVersion is a software version that endpoints of a service have, or had.
type storedVersion struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Software string
	GoneMs   int64 // when the last of them was removed, by the wall clock, in Unix milliseconds; 0: some are listed
}

// Archive keeps in the store what other instances do not receive, and what has to outlive all instances.
type Archive struct {
	store  external.KV
	prefix string
	self   string // ID of this instance
	wall   func() time.Time
	reads  singleflight.Group
	wake   chan struct{}

	outdatedSince time.Time // since when the stored history has been outdated; zero: it is not; used by saveHistory only

	mu      sync.Mutex
	pending []Key         // origins to write, oldest first
	stored  storedHistory // as last read or written
}

// NewArchive returns an Archive that writes under a prefix of the store.
func NewArchive(store external.KV, prefix, self string, wall func() time.Time) *Archive {
	return &Archive{store: store, prefix: prefix, self: self, wall: wall, wake: make(chan struct{}, 1)}
}

// add adds origins to those that are written to the store.
func (a *Archive) add(list []unsent) {
	if len(list) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, u := range list {
		a.pending = append(a.pending, u.key)
	}
	a.pending = a.pending[max(0, len(a.pending)-maxStoredOrigins):]
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// history returns the stored history as last read or written.
func (a *Archive) history() storedHistory {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stored
}

func (a *Archive) setHistory(h storedHistory) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stored = h
}

// writeOrigins writes the origins that no other instance has received, until ctx ends.
func (r *Replicator) writeOrigins(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.archive.wake:
		}
		for ctx.Err() == nil && !r.saveOrigins(ctx) {
			pause(ctx, storeRetry)
		}
		pause(ctx, minStoreInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// saveOrigins writes the pending origins that have not expired, and reports whether the store has them.
func (r *Replicator) saveOrigins(ctx context.Context) bool {
	a, now := r.archive, r.tracker.now()
	value := storedOrigins{WallMs: a.wall().UnixMilli()}
	a.mu.Lock()
	a.pending = slices.DeleteFunc(a.pending, func(key Key) bool {
		o, known := r.tracker.Origin(key)
		if known {
			value.Origins = append(value.Origins, encodeOrigin(key, o, now))
		}
		return !known
	})
	a.mu.Unlock()
	raw, err := cbor.Marshal(value)
	if err == nil {
		err = a.commit(ctx, external.Commit{Put: []external.Entry{{Key: a.prefix + originsPrefix + a.self, Data: raw}}})
	}
	if err != nil {
		r.log.Debug().Str("event", "origins_unsaved").Int("origins", len(value.Origins)).Err(err).Msg("could not write the software versions of streams to the store; will retry")
	}
	return err == nil
}

// commit writes to the store.
func (a *Archive) commit(ctx context.Context, c external.Commit) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyStreams), storeTimeout)
	defer cancel()
	_, err := a.store.Commit(ctx, c)
	return eris.Wrap(err, "writing to the store")
}

// Observe handles a value of the store, if it is one of an Archive.
func (r *Replicator) Observe(e external.Entry) {
	if len(e.Data) == 0 {
		return
	}
	switch name, ours := strings.CutPrefix(e.Key, r.archive.prefix); {
	case !ours:
	case name == historyKey:
		r.observeHistory(e.Data)
	case strings.HasPrefix(name, originsPrefix) && name != originsPrefix+r.archive.self:
		r.observeOrigins(e)
	}
}

// readOrigins reads the origins of all instances. Calls at the same time share one read.
func (r *Replicator) readOrigins(ctx context.Context) {
	_, _, _ = r.archive.reads.Do(originsPrefix, func() (any, error) {
		ctx, cancel := context.WithTimeout(external.WithDuty(context.WithoutCancel(ctx), external.DutyStreams), originsTimeout)
		defer cancel()
		entries, _, err := r.archive.store.ReadAll(ctx, r.archive.prefix+originsPrefix)
		if err != nil {
			r.log.Debug().Str("event", "origins_unread").Err(err).Msg("cannot read the software versions of streams in the store")
		}
		for _, e := range entries {
			r.Observe(e)
		}
		return nil, nil
	})
}

func (r *Replicator) observeOrigins(e external.Entry) {
	var value storedOrigins
	if err := cbor.Unmarshal(e.Data, &value); err != nil {
		r.log.Warn().Str("event", "origins_unread").Str("key", e.Key).Err(err).Msg("cannot decode the software versions of streams in the store")
		return
	}
	age := min(max(0, r.archive.wall().Sub(time.UnixMilli(value.WallMs))), r.tracker.lifetime())
	now := r.tracker.now().Add(-age)
	for _, o := range value.Origins[:min(len(value.Origins), maxStoredOrigins)] {
		if o.valid() {
			r.tracker.Put(Key(o.Key), o.origin(now))
		}
	}
}

// observeHistory takes over the versions of the stored history. They do not replace an observation of the endpoints
// without a gap: see loadHistory.
func (r *Replicator) observeHistory(raw []byte) {
	var h storedHistory
	if err := cbor.Unmarshal(raw, &h); err != nil || len(h.Versions) > maxVersions {
		r.log.Warn().Str("event", "software_history_unread").Err(err).Msg("cannot decode the software versions in the store")
		return
	}
	now, wall := r.tracker.now(), r.archive.wall()
	for _, v := range h.Versions {
		lastSeen := now
		if v.GoneMs > 0 {
			lastSeen = now.Add(-max(0, wall.Sub(time.UnixMilli(v.GoneMs))))
		}
		r.tracker.endpoints.NoteSoftware(v.Service, v.Software, lastSeen)
	}
	r.archive.setHistory(h)
}

// loadHistory reads the stored history, and takes it for an observation of the endpoints: every version at which a
// stream can have begun is in it.
func (r *Replicator) loadHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyStreams), storeTimeout)
	defer cancel()
	e, _, err := r.archive.store.Read(ctx, r.archive.prefix+historyKey)
	if err != nil {
		r.log.Debug().Str("event", "software_history_unread").Err(err).Msg("cannot read the software versions in the store")
		return
	}
	if len(e.Data) == 0 {
		return
	}
	r.observeHistory(e.Data)
	r.tracker.adopt(historyReply{Observed: true})
}

// saveHistory writes the software versions to the store if they have changed. One instance does so; another one if
// the change has been missing for a while. In a large fleet only holders of copies do.
func (r *Replicator) saveHistory(ctx context.Context) {
	if r.dir.DelegatesCopies() {
		return
	}
	a, now := r.archive, r.tracker.now()
	listed, ok := r.tracker.listed()
	if !ok || !a.history().outdated(listed) {
		a.outdatedSince = time.Time{}
		return
	}
	if a.outdatedSince.IsZero() {
		a.outdatedSince = now
	}
	if !r.ownsHistory() && now.Sub(a.outdatedSince) < historyTakeover {
		return
	}
	a.outdatedSince = now
	for range maxHistoryAttempts {
		err := r.writeHistory(ctx, listed)
		if err == nil {
			return
		}
		if !errors.Is(err, external.ErrConflict) {
			r.log.Debug().Str("event", "software_history_unsaved").Err(err).Msg("could not write the software versions to the store; will retry")
			return
		}
	}
}

// ownsHistory reports whether this instance writes the history first. In a large fleet that is the leader of each zone.
func (r *Replicator) ownsHistory() bool {
	if r.dir.Large() {
		return r.dir.Leads()
	}
	return r.dir.Owns(historyOwner, 1)
}

func (r *Replicator) writeHistory(ctx context.Context, listed []seenVersion) error {
	a := r.archive
	key := a.prefix + historyKey
	readCtx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyStreams), storeTimeout)
	defer cancel()
	e, _, err := a.store.Read(readCtx, key)
	if err != nil {
		return eris.Wrap(err, "reading the software versions in the store")
	}
	if len(e.Data) > 0 {
		r.observeHistory(e.Data)
	}
	stored := a.history()
	if !stored.outdated(listed) {
		return nil // another instance has written it
	}
	h := stored.updated(listed, a.wall())
	raw, err := cbor.Marshal(h)
	if err != nil {
		return eris.Wrap(err, "encoding software versions")
	}
	err = a.commit(ctx, external.Commit{When: []external.Condition{{Key: key, Revision: e.Revision}}, Put: []external.Entry{{Key: key, Data: raw}}})
	if err != nil {
		return err
	}
	a.setHistory(h)
	return nil
}

// outdated reports whether the stored history differs from the versions that are listed.
func (h storedHistory) outdated(listed []seenVersion) bool {
	present := 0
	for _, v := range h.Versions {
		if v.GoneMs == 0 {
			present++
			if !slices.Contains(listed, seenVersion{Service: v.Service, Software: v.Software}) {
				return true
			}
		}
	}
	return present != len(listed)
}

// updated returns the history with the versions that are listed now. Those that have been gone for longer than any
// stream may last are left out.
func (h storedHistory) updated(listed []seenVersion, wall time.Time) storedHistory {
	var out storedHistory
	for _, v := range listed {
		out.Versions = append(out.Versions, storedVersion{Service: v.Service, Software: v.Software})
	}
	for _, v := range h.Versions {
		if slices.Contains(listed, seenVersion{Service: v.Service, Software: v.Software}) {
			continue
		}
		if v.GoneMs == 0 {
			v.GoneMs = wall.UnixMilli()
		}
		if wall.Sub(time.UnixMilli(v.GoneMs)) < maxLifetime && len(out.Versions) < maxVersions {
			out.Versions = append(out.Versions, v)
		}
	}
	return out
}
