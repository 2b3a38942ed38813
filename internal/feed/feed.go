// Package feed lets an instance follow the configuration, the endpoints and the other instances through its parents in
// the tree of its availability zone: a relay, or the leader. The instance reads the store itself if it can reach no
// parent, or if no parent has data that the store has confirmed recently.
package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/packed"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// KindUpdate requests the changes since a cursor.
const KindUpdate mesh.Kind = "feed.news"

const (
	peerCallTimeout    = 450 * time.Millisecond  // of one request to a leader
	peerCallsTimeout   = 500 * time.Millisecond  // of all such requests in a step: the store call needs time too
	fullCallTimeout    = 1500 * time.Millisecond // of a request for everything in a zone with relays: its lists are long
	maxRelayAge        = 2100 * time.Millisecond // as maxLeaderAge, in a zone with relays
	maxLeaderAge       = 1300 * time.Millisecond // a leader of the own zone whose data is older than this is skipped
	maxFleetLeaderAge  = 800 * time.Millisecond  // likewise, for the instances that a zone's leader asks
	discoveryTimeout   = 1500 * time.Millisecond // for the other instances to be discovered after the start
	leaderStartTimeout = 700 * time.Millisecond  // for a leader that is starting at the same time
	leaderStartRetry   = 50 * time.Millisecond   // interval between requests to such a leader
	firstPause         = time.Second             // pause after a failed store call while the leaders fail too
	maxPause           = 4 * time.Second         // upper limit of that pause, which doubles each time
	listCacheTime      = 500 * time.Millisecond  // reuse of an encoded endpoint list: after a fault many ask at once
)

// minPacked is the number of changed endpoints from which they are sent packed.
const minPacked = 32

// updateRequest is the cursor up to which the requesting instance has followed the store.
type updateRequest struct {
	At       int64 `cbor:"1,keyasint"`
	ConfigAt int64 `cbor:"2,keyasint"`
	Epoch    int64 `cbor:"3,keyasint,omitempty"` // the store's epoch; At and ConfigAt are revision numbers within it
	// PeersVersion is the version of the requester's list of instances. The list is requested if WantPeers is set.
	PeersVersion uint64 `cbor:"4,keyasint,omitempty"`
	WantPeers    bool   `cbor:"5,keyasint,omitempty"`
	Unpacks      bool   `cbor:"6,keyasint,omitempty"` // the requester can decode updateReply.Packed
}

// newRequest makes the request of an instance that has followed the store up to a cursor. If the cursor is of an
// earlier epoch than present, the request asks for everything.
func newRequest(since follow.Cursor, present int64) updateRequest {
	epoch := external.EpochOf(since.At)
	if epoch < present {
		return updateRequest{Epoch: present}
	}
	return updateRequest{At: external.NumberOf(since.At), ConfigAt: numberIn(epoch, since.ConfigAt), Epoch: epoch}
}

// numberIn returns a revision's number if the revision is of the given epoch. Otherwise it returns 0, which lies before
// every revision of the epoch.
func numberIn(epoch, revision int64) int64 {
	if external.EpochOf(revision) != epoch {
		return 0
	}
	return external.NumberOf(revision)
}

// cursor returns the position of the requesting instance. A request without an epoch is taken to be of the present one.
func (r updateRequest) cursor(present int64) follow.Cursor {
	epoch := r.Epoch
	if epoch == 0 {
		epoch = present
	}
	if r.At == 0 {
		return follow.Cursor{}
	}
	return follow.Cursor{At: external.Revision(epoch, r.At), ConfigAt: external.Revision(epoch, r.ConfigAt)}
}

// updateReply answers an updateRequest.
type updateReply struct {
	Known     bool            `cbor:"1,keyasint"` // false: the instance has no data yet
	At        int64           `cbor:"2,keyasint"`
	ConfigAt  int64           `cbor:"3,keyasint"`
	Config    []byte          `cbor:"4,keyasint,omitempty"` // packed; empty: not changed
	Complete  bool            `cbor:"5,keyasint,omitempty"`
	Endpoints []pool.Endpoint `cbor:"6,keyasint,omitempty"`
	Removed   []string        `cbor:"7,keyasint,omitempty"`
	AgeMs     int64           `cbor:"8,keyasint,omitempty"`
	All       []byte          `cbor:"9,keyasint,omitempty"` // packed []pool.Endpoint: all of them, in place of Endpoints
	// Evacuated lists all availability zones that are evacuated as of OperatorAt.
	OperatorAt int64    `cbor:"10,keyasint,omitempty"`
	Evacuated  []string `cbor:"11,keyasint,omitempty"`
	Epoch      int64    `cbor:"12,keyasint,omitempty"` // of the store; At, ConfigAt and OperatorAt are numbers within it
	// PeersVersion is the version of the list of instances, 0 if there is none. Peers has the list, unless the requester
	// has that version.
	PeersVersion uint64 `cbor:"13,keyasint,omitempty"`
	Peers        []byte `cbor:"14,keyasint,omitempty"`
	Packed       []byte `cbor:"15,keyasint,omitempty"` // packed []pool.Endpoint: many that have changed, in place of Endpoints
}

// Source is a follow.Source that asks the zone's leaders before the store. A zone's leader first asks the instance that
// reads the store for all zones.
type Source struct {
	dir    *peers.Directory
	store  follow.Source
	now    func() time.Time
	epochs *external.Epochs
	call   time.Duration // timeout of a call for changes to the store
	// slowStore reports that the store's last response did not arrive completely in time. No leader had recent data before
	// that call, so the next snapshot is read from the store without asking the leaders again.
	slowStore  atomic.Bool
	backoff    storeBackoff
	receivedAt time.Time // when a parent last sent data, or the source was created; used by the follower only
}

var _ follow.Source = (*Source)(nil)

// Option changes a Source.
type Option func(*Source)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(s *Source) { s.now = now } }

// WithEpochs sets the tracker of the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(s *Source) { s.epochs = e } }

// NewSource makes a source that reads from store if no leader answers.
func NewSource(dir *peers.Directory, store follow.Source, opts ...Option) *Source {
	s := &Source{dir: dir, store: store, now: time.Now, call: follow.DefaultTimes().Call, epochs: external.NewEpochs()}
	for _, opt := range opts {
		opt(s)
	}
	s.receivedAt = s.now()
	return s
}

// Snapshot implements follow.Source.
func (s *Source) Snapshot(ctx context.Context, known follow.Cursor, from follow.Part) (follow.Update, error) {
	if s.slowStore.Swap(false) {
		return s.store.Snapshot(ctx, known, from)
	}
	s.awaitDiscovery(ctx)
	u, err := s.fetchAll(ctx)
	if err == nil && u.At >= known.At {
		return u, nil // an older snapshot would undo newer changes, such as a drain, and these are not sent again
	}
	if !s.mayReadStore(err) {
		if err == nil {
			err = errLeadersStale
		}
		return follow.Update{}, err
	}
	u, err = s.store.Snapshot(ctx, known, from)
	s.backoff.recordResult(s.now(), err)
	return u, err
}

// mayReadStore reports whether to read the store after the parents have sent nothing for the given reason.
func (s *Source) mayReadStore(reason error) bool {
	now := s.now()
	if errors.Is(reason, errLeadersStale) && s.backoff.active(now) {
		return false
	}
	return s.dir.ReadsStore(now.Sub(s.receivedAt))
}

// awaitDiscovery waits until the other instances have been discovered, for discoveryTimeout at most. Without this wait,
// each instance of a large fleet would start with its own calls to the store.
func (s *Source) awaitDiscovery(ctx context.Context) {
	t := time.NewTimer(discoveryTimeout)
	defer t.Stop()
	select {
	case <-s.dir.Discovered():
	case <-t.C:
	case <-ctx.Done():
	}
}

// fetchAll requests everything from a leader. It retries while the leaders are starting, since after a fault they may
// start at the same time.
func (s *Source) fetchAll(ctx context.Context) (follow.Update, error) {
	t := time.NewTimer(leaderStartTimeout)
	defer t.Stop()
	for {
		u, err := s.fetch(ctx, follow.Cursor{})
		if !errors.Is(err, errLeadersStarting) {
			return u, err
		}
		select {
		case <-time.After(leaderStartRetry):
		case <-t.C:
			return follow.Update{}, errNoLeader
		case <-ctx.Done():
			return follow.Update{}, errNoLeader
		}
	}
}

// Changes implements follow.Source.
func (s *Source) Changes(ctx context.Context, since follow.Cursor, fleetRecords bool) (follow.Update, error) {
	u, err := s.fetch(ctx, since)
	if err == nil {
		return u, nil
	}
	if !s.mayReadStore(err) {
		return follow.Update{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	u, err = s.store.Changes(ctx, since, fleetRecords)
	s.backoff.recordResult(s.now(), err)
	s.slowStore.Store(errors.Is(err, external.ErrSlowResponse))
	return u, err
}

// Reasons why no leader has sent an update.
var (
	errNoLeader        = errors.New("no leader has an update")
	errLeadersStarting = errors.New("the leaders are starting")
	errLeadersStale    = errors.New("the leaders do not reach the store")
)

// fetch asks the leaders in turn until one has recent data.
func (s *Source) fetch(ctx context.Context, since follow.Cursor) (follow.Update, error) {
	call, calls := s.timeouts(since)
	ctx, cancel := context.WithTimeout(ctx, calls)
	defer cancel()
	leaders, maxAge := s.dir.Parents(), maxLeaderAge
	switch {
	case len(leaders) == 0:
		leaders, maxAge = s.dir.FleetLeaders(), maxFleetLeaderAge
	case s.dir.HasRelays():
		maxAge = maxRelayAge
	}
	failure := errNoLeader
	for _, p := range leaders {
		u, err := s.fetchFrom(ctx, p, since, maxAge, call)
		if err == nil {
			s.receivedAt = s.now()
			return u, nil
		}
		if errors.Is(err, errLeadersStarting) || errors.Is(err, errLeadersStale) {
			failure = err
		}
	}
	return follow.Update{}, failure
}

// timeouts returns the timeouts of one request for the changes since a cursor, and of all requests in a step.
func (s *Source) timeouts(since follow.Cursor) (call, calls time.Duration) {
	if since.At == 0 && s.dir.HasRelays() {
		return fullCallTimeout, fullCallTimeout
	}
	return peerCallTimeout, peerCallsTimeout
}

// request makes the request for the changes since a cursor. In a zone with relays it also requests the list of instances.
func (s *Source) request(since follow.Cursor) updateRequest {
	req := newRequest(since, s.epochs.Current())
	req.Unpacks = true
	if s.dir.HasRelays() {
		req.PeersVersion, req.WantPeers = s.dir.ListVersion(), true
	}
	return req
}

func (s *Source) fetchFrom(ctx context.Context, p mesh.Peer, since follow.Cursor, maxAge, timeout time.Duration) (follow.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := peers.Call[updateRequest, updateReply](ctx, s.dir, p, KindUpdate, s.request(since))
	if err == nil {
		s.dir.ApplyList(reply.PeersVersion, reply.Peers)
	}
	age := time.Duration(reply.AgeMs) * time.Millisecond
	switch {
	case err != nil:
		return follow.Update{}, err
	case !reply.Known:
		return follow.Update{}, errLeadersStarting
	case age > maxAge:
		return follow.Update{}, errLeadersStale
	case !reply.Complete && (since.At == 0 || external.EpochOf(since.At) < s.epochs.Current()):
		return follow.Update{}, errNoLeader
	}
	if err := s.checkEpoch(&reply); err != nil {
		return follow.Update{}, err
	}
	operator := external.Revision(reply.Epoch, reply.OperatorAt)
	u := follow.Update{
		At: external.Revision(reply.Epoch, reply.At), ConfigAt: external.Revision(reply.Epoch, reply.ConfigAt), Complete: reply.Complete, Endpoints: reply.Endpoints, Removed: reply.Removed,
		Events: 1, FromPeer: true, Age: age, OperatorAt: operator, Evacuated: &evacuation.Set{At: operator, Zones: reply.Evacuated},
	}
	for _, data := range [][]byte{reply.All, reply.Packed} {
		if len(data) == 0 {
			continue
		}
		if u.Endpoints, err = packed.Decode[[]pool.Endpoint](data); err != nil {
			return follow.Update{}, err
		}
	}
	if len(reply.Config) > 0 {
		u.Config, err = packed.Decode[*route.Config](reply.Config)
	}
	return u, err
}

// checkEpoch checks the epoch of a reply. A reply without an epoch is rejected once the store was restored, because it
// may be of an earlier epoch.
func (s *Source) checkEpoch(reply *updateReply) error {
	switch {
	case reply.Epoch > 0:
		return s.epochs.Observe(reply.Epoch, reply.At)
	case s.epochs.Restored():
		return errNoLeader
	}
	reply.Epoch = s.epochs.Current()
	return nil
}

// storeBackoff keeps an instance from calling a store that it cannot reach while the leaders call it as well. Its zero
// value is inactive.
type storeBackoff struct {
	mu    sync.Mutex
	until time.Time
	pause time.Duration
}

// active reports whether calls to the store are suspended now.
func (b *storeBackoff) active(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until)
}

// recordResult takes the result of a call to the store.
func (b *storeBackoff) recordResult(now time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		b.pause, b.until = 0, time.Time{}
		return
	}
	b.pause = min(max(2*b.pause, firstPause), maxPause)
	b.until = now.Add(b.pause)
}
