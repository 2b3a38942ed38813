package quarantine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// KindUpdate is the message that sends recent changes and requests those of the receiver.
const KindUpdate mesh.Kind = "quarantine.tell"

// storeKey is the key of the snapshot that outlives all instances, under the prefix of the fleet.
const storeKey = "quarantine"

const (
	pushTimeout      = 250 * time.Millisecond // for one message that reports a crash
	pushPause        = 50 * time.Millisecond  // between such messages: crashes come in bursts
	storeTimeout     = 900 * time.Millisecond // for one call to the store
	pollInterval     = time.Second            // between reads by an isolated instance, and between attempts to write
	maxWriteAttempts = 3                      // of one write, if other instances write too
)

// update is a message. Each side sends what the other has not acknowledged, so lost messages and restarts lose no
// records.
type update struct {
	Hello   bool     `cbor:"1,keyasint,omitempty"` // the sender has received nothing yet and requests all records
	Seq     uint64   `cbor:"2,keyasint,omitempty"` // sequence number of the last of Records
	Ack     uint64   `cbor:"3,keyasint,omitempty"` // last Seq that the sender has received
	Records []report `cbor:"4,keyasint,omitempty"`
}

// peerState is the progress of the exchange with another instance.
type peerState struct {
	seen     bool   // a message of it has been received
	received uint64 // last Seq that was received from it
	owesAck  bool   // this instance has not acknowledged received yet
	acked    uint64 // last Seq of this instance that it has acknowledged
}

// Replicator is the service that replicates crash records among the instances of a fleet.
type Replicator struct {
	tracker *Tracker
	dir     *peers.Directory
	store   external.KV
	key     string
	wall    func() time.Time
	log     zerolog.Logger
	wake    chan struct{}

	mu            sync.Mutex
	peers         map[string]*peerState
	dirty         bool // there are changes to write to the store
	storeRestored bool // the store was restored, and may lack records of this instance
}

// ReplicatorOption configures a Replicator.
type ReplicatorOption func(*Replicator)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) ReplicatorOption { return func(r *Replicator) { r.log = log } }

// WithWallClock replaces the wall clock.
func WithWallClock(wall func() time.Time) ReplicatorOption {
	return func(r *Replicator) { r.wall = wall }
}

// WithEpochs sets the source of the store's epochs: after a restoration of the store, the known records are written
// again.
func WithEpochs(e *external.Epochs) ReplicatorOption {
	return func(r *Replicator) { e.OnRestored(r.onStoreRestored) }
}

// NewReplicator returns a Replicator. The key of its snapshot in the store begins with prefix.
func NewReplicator(tracker *Tracker, dir *peers.Directory, store external.KV, prefix string, router *mesh.Router, opts ...ReplicatorOption) *Replicator {
	r := &Replicator{
		tracker: tracker, dir: dir, store: store, key: prefix + storeKey, wall: time.Now, log: zerolog.Nop(),
		wake: make(chan struct{}, 1), peers: make(map[string]*peerState),
	}
	for _, opt := range opts {
		opt(r)
	}
	mesh.Handle(router, KindUpdate, func(_ context.Context, from mesh.Peer, u update) (update, error) {
		r.receive(from.ID, u)
		reply, _ := r.nextUpdate(from.ID)
		return reply, nil
	})
	return r
}

// Name implements kernel.Service.
func (*Replicator) Name() string { return "quarantine" }

// Wake makes the service send recent changes. It never blocks.
func (r *Replicator) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// ScheduleSave requests a write to the store, so that a decision of this instance survives a restart of all instances.
func (r *Replicator) ScheduleSave() {
	r.mu.Lock()
	r.dirty = true
	r.mu.Unlock()
	r.Wake()
}

// Run implements kernel.Service.
func (r *Replicator) Run(ctx context.Context) error {
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	discovered := r.dir.Discovered()
	saved := false // since the last poll: an instance writes at most twice a second, however many endpoints crash
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-discovered:
			discovered = nil
			r.loadAtStart(ctx)
		case <-r.wake:
			r.push(ctx)
			if !saved {
				saved = r.save(ctx)
			}
			pause(ctx)
		case <-poll.C:
			if r.isolated() {
				r.load(ctx)
			}
			r.saveRestored()
			r.save(ctx)
			saved = false
		}
	}
}

// onStoreRestored records that the store was restored. It is called while the Epochs is locked.
func (r *Replicator) onStoreRestored(external.Restoration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeRestored = true
}

// saveRestored requests a write if a restoration of the store may have lost records of this instance. In a large
// fleet only leaders write.
func (r *Replicator) saveRestored() {
	writer := r.tracker.hasRecords() && (!r.dir.Large() || r.dir.Leads())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = r.dirty || (r.storeRestored && writer)
	r.storeRestored = false
}

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pushPause):
	}
}

// loadAtStart reads the store once, when the fleet has been discovered. In a large fleet only leaders do so, and the
// other instances receive the records from them.
func (r *Replicator) loadAtStart(ctx context.Context) {
	if !r.dir.Large() || r.dir.Leads() {
		r.load(ctx)
	}
}

// isolated reports whether records of other instances can arrive only through the store. The instances of a small fleet
// watch the store in any case.
func (r *Replicator) isolated() bool {
	return r.dir.Large() && (r.dir.LeadersUnreachable() || (r.dir.Leads() && r.dir.NotifyTargetUnreachable()))
}

// Payload returns the changes to send to another instance now, or nil if there are none.
func (r *Replicator) Payload(to string) []byte {
	u, needed := r.nextUpdate(to)
	if !needed {
		return nil
	}
	raw, err := cbor.Marshal(u)
	if err != nil {
		r.log.Error().Str("event", "quarantine_untold").Err(err).Msg("cannot encode crash records for another instance")
		return nil
	}
	return raw
}

// Receive handles the changes that another instance has sent.
func (r *Replicator) Receive(from string, raw []byte) {
	if len(raw) == 0 {
		return
	}
	var u update
	if err := cbor.Unmarshal(raw, &u); err != nil {
		r.log.Warn().Str("event", "quarantine_unread").Str("from", from).Err(err).Msg("cannot decode crash records of another instance")
		return
	}
	r.receive(from, u)
}

func (r *Replicator) peer(id string) *peerState {
	p := r.peers[id]
	if p == nil {
		p = &peerState{}
		r.peers[id] = p
	}
	return p
}

func (r *Replicator) nextUpdate(to string) (u update, needed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(to)
	u.Hello, u.Ack = !p.seen, p.received
	u.Records, u.Seq = r.tracker.changedSince(p.acked, to)
	needed = u.Hello || p.owesAck || len(u.Records) > 0
	p.owesAck = false
	return u, needed
}

func (r *Replicator) receive(from string, u update) {
	r.mu.Lock()
	p := r.peer(from)
	p.seen = true
	switch {
	case u.Hello: // it has restarted: it has no records, numbers its changes anew, and waits for a response
		p.acked, p.received, p.owesAck = 0, 0, true
		r.tracker.forgetSource(from)
	case u.Ack > p.acked && u.Ack <= r.tracker.lastSeq():
		p.acked = u.Ack
	}
	if len(u.Records) > 0 {
		p.received, p.owesAck = u.Seq, true
	}
	r.mu.Unlock()
	advanced := r.tracker.mergeAll(u.Records[:min(len(u.Records), maxReports)], from, 0, sameCrashWindow)
	r.tracker.evaluateReceived()
	if advanced && r.dir.Large() && (r.dir.Leads() || r.dir.IsRelay()) {
		r.Wake()
	}
}

// push sends recent changes at once. In a small fleet, it sends them to all instances. In a large fleet, it sends them
// towards the leader of the availability zone, or, if this instance is the leader, to the leaders of the other zones. If one
// of the receivers cannot be reached, the records are written to the store.
func (r *Replicator) push(ctx context.Context) {
	var g sync.WaitGroup
	var mu sync.Mutex
	failed := false
	for _, p := range r.dir.NotifyTargets() {
		g.Go(func() {
			if err := r.pushTo(ctx, p); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = true
			}
		})
	}
	g.Wait()
	if failed || r.dir.NotifyTargetUnreachable() || !r.dir.Linked() {
		r.mu.Lock()
		r.dirty = true
		r.mu.Unlock()
	}
}

func (r *Replicator) pushTo(ctx context.Context, p mesh.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	u, needed := r.nextUpdate(p.ID)
	if !needed {
		return nil
	}
	reply, err := peers.Call[update, update](ctx, r.dir, p, KindUpdate, u)
	if err != nil {
		r.log.Debug().Str("event", "quarantine_untold").Str("peer", p.ID).Err(err).Msg("could not send crash records to another instance")
		return err
	}
	r.receive(p.ID, reply)
	return nil
}

// Observe handles a value of the store, if its key is that of the snapshot.
func (r *Replicator) Observe(e external.Entry) {
	if e.Key == r.key {
		r.merge(e)
	}
}

func (r *Replicator) merge(e external.Entry) {
	if len(e.Data) == 0 {
		return
	}
	if err := r.tracker.mergeSnapshot(e.Data, r.wall()); err != nil {
		r.log.Warn().Str("event", "quarantine_unread").Str("key", e.Key).Err(err).Msg("cannot decode quarantined requests of the store; keeping known records")
	}
}

// load reads the snapshot in the store.
func (r *Replicator) load(ctx context.Context) {
	e, err := r.read(ctx)
	if err != nil {
		r.log.Debug().Str("event", "quarantine_unread").Err(err).Msg("cannot read quarantined requests from the store")
		return
	}
	r.merge(e)
}

func (r *Replicator) read(ctx context.Context) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyQuarantine), storeTimeout)
	defer cancel()
	e, _, err := r.store.Read(ctx, r.key)
	return e, eris.Wrap(err, "reading quarantined requests")
}

// save writes unsaved changes to the store and reports whether there were any. Records that other instances have
// written meanwhile are merged first.
func (r *Replicator) save(ctx context.Context) bool {
	r.mu.Lock()
	pending := r.dirty
	r.dirty = false
	r.mu.Unlock()
	if !pending {
		return false
	}
	for range maxWriteAttempts {
		err := r.write(ctx)
		if err == nil {
			return true
		}
		if !errors.Is(err, external.ErrConflict) {
			r.log.Debug().Str("event", "quarantine_unsaved").Err(err).Msg("cannot write quarantined requests to the store; will retry")
			break
		}
	}
	r.mu.Lock()
	r.dirty = true
	r.mu.Unlock()
	return true
}

func (r *Replicator) write(ctx context.Context) error {
	e, err := r.read(ctx)
	if err != nil {
		return err
	}
	r.merge(e)
	raw, err := r.tracker.packSnapshot(r.wall())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyQuarantine), storeTimeout)
	defer cancel()
	_, err = r.store.Commit(ctx, external.Commit{
		When: []external.Condition{{Key: r.key, Revision: e.Revision}}, Put: []external.Entry{{Key: r.key, Data: raw}},
	})
	return eris.Wrap(err, "writing quarantined requests")
}
