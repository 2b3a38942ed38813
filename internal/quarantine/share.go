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

// KindUpdate tells what has changed and asks for the same.
const KindUpdate mesh.Kind = "quarantine.tell"

// storeKey is where the fleet keeps what is to outlive all its instances, under its prefix.
const storeKey = "quarantine"

const (
	pushLimit = 250 * time.Millisecond // of one message that reports an end
	pushRest  = 50 * time.Millisecond  // between such messages: ends come in bursts
	callLimit = 900 * time.Millisecond // of one call to the store
	lookEvery = time.Second            // at the store, by an instance that others cannot tell; and between tries to write
	mostTries = 3                      // of one write, where others write too
)

// news is a message. Both sides tell what the other has not acknowledged, so that lost messages and starts do no harm.
type news struct {
	Hello   bool     `cbor:"1,keyasint,omitempty"` // the sender has not heard the other before: it wants all
	Seq     uint64   `cbor:"2,keyasint,omitempty"` // of the last record below
	Ack     uint64   `cbor:"3,keyasint,omitempty"` // the last Seq that the sender has heard
	Records []report `cbor:"4,keyasint,omitempty"`
}

// partner is another instance as far as it has been told.
type partner struct {
	met     bool
	heard   uint64 // its last Seq
	unacked bool   // it has not been told that
	has     uint64 // our last Seq that it has acknowledged
}

// Replicator is the service that lets the instances of a fleet know what each has seen.
type Replicator struct {
	memory *Tracker
	dir    *peers.Directory
	store  external.KV
	key    string
	wall   func() time.Time
	log    zerolog.Logger
	kick   chan struct{}

	mu       sync.Mutex
	partners map[string]*partner
	unsaved  bool
	restored bool // the store was, and what is known here may be lost there
}

// ReplicatorOption changes a Share.
type ReplicatorOption func(*Replicator)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) ReplicatorOption { return func(s *Replicator) { s.log = log } }

// WithWallClock replaces the time of day.
func WithWallClock(wall func() time.Time) ReplicatorOption {
	return func(s *Replicator) { s.wall = wall }
}

// WithEpochs sets what knows the store's epoch: after a restoration what is known here is written again.
func WithEpochs(e *external.Epochs) ReplicatorOption {
	return func(s *Replicator) { e.OnRestored(s.restoredStore) }
}

// NewReplicator makes a share. Its record in the store lies under prefix.
func NewReplicator(m *Tracker, dir *peers.Directory, store external.KV, prefix string, router *mesh.Router, opts ...ReplicatorOption) *Replicator {
	s := &Replicator{
		memory: m, dir: dir, store: store, key: prefix + storeKey, wall: time.Now, log: zerolog.Nop(),
		kick: make(chan struct{}, 1), partners: make(map[string]*partner),
	}
	for _, opt := range opts {
		opt(s)
	}
	mesh.Handle(router, KindUpdate, func(_ context.Context, from mesh.Peer, n news) (news, error) {
		s.receive(from.ID, n)
		reply, _ := s.tell(from.ID)
		return reply, nil
	})
	return s
}

// Name implements kernel.Service.
func (*Replicator) Name() string { return "quarantine" }

// Wake wakes the service: something is to be told. It never blocks.
func (s *Replicator) Wake() {
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// ScheduleSave asks for a write to the store: what was decided here is to outlive the fleet.
func (s *Replicator) ScheduleSave() {
	s.mu.Lock()
	s.unsaved = true
	s.mu.Unlock()
	s.Wake()
}

// Run implements kernel.Service.
func (s *Replicator) Run(ctx context.Context) error {
	s.begin(ctx)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	saved := false // since the last look: an instance writes at most twice a second, however many endpoints end
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
			s.push(ctx)
			if !saved {
				saved = s.save(ctx)
			}
			rest(ctx)
		case <-look.C:
			if s.isolated() {
				s.load(ctx)
			}
			s.saveRestored()
			s.save(ctx)
			saved = false
		}
	}
}

// restoredStore notes that the store was restored. It is called while the Epochs is locked.
func (s *Replicator) restoredStore(external.Restoration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// saveRestored asks for a write where a restoration may have lost what is known here. In a large fleet the leaders do it.
func (s *Replicator) saveRestored() {
	writes := s.memory.any() && (!s.dir.Large() || s.dir.Leads())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsaved = s.unsaved || (s.restored && writes)
	s.restored = false
}

func rest(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pushRest):
	}
}

// begin reads the store once, unless there are others that tell.
func (s *Replicator) begin(ctx context.Context) {
	select {
	case <-s.dir.Discovered():
	case <-time.After(lookEvery):
	case <-ctx.Done():
		return
	}
	if !s.dir.Large() || s.dir.Leads() {
		s.load(ctx)
	}
}

// isolated reports whether the store is the only one that can tell of other instances. A small fleet hears it from the store in any case.
func (s *Replicator) isolated() bool {
	return s.dir.Large() && (s.dir.LeadersUnreachable() || (s.dir.Leads() && s.dir.NotifyTargetUnreachable()))
}

// Payload is what is to be told to another instance now; nil: nothing.
func (s *Replicator) Payload(to string) []byte {
	n, anything := s.tell(to)
	if !anything {
		return nil
	}
	raw, err := cbor.Marshal(n)
	if err != nil {
		s.log.Error().Str("event", "quarantine_untold").Err(err).Msg("what endpoints did not outlive cannot be told")
		return nil
	}
	return raw
}

// Receive takes what another instance tells.
func (s *Replicator) Receive(from string, raw []byte) {
	if len(raw) == 0 {
		return
	}
	var n news
	if err := cbor.Unmarshal(raw, &n); err != nil {
		s.log.Warn().Str("event", "quarantine_unread").Str("from", from).Err(err).Msg("what another instance tells cannot be read")
		return
	}
	s.receive(from, n)
}

func (s *Replicator) partner(id string) *partner {
	p := s.partners[id]
	if p == nil {
		p = &partner{}
		s.partners[id] = p
	}
	return p
}

func (s *Replicator) tell(to string) (n news, anything bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partner(to)
	n.Hello, n.Ack = !p.met, p.heard
	n.Records, n.Seq = s.memory.since(p.has, to)
	anything = n.Hello || p.unacked || len(n.Records) > 0
	p.unacked = false
	return n, anything
}

func (s *Replicator) receive(from string, n news) {
	s.mu.Lock()
	p := s.partner(from)
	p.met = true
	switch {
	case n.Hello: // it has started: it has nothing, counts anew, and waits for an answer
		p.has, p.heard, p.unacked = 0, 0, true
		s.memory.restarted(from)
	case n.Ack > p.has && n.Ack <= s.memory.last():
		p.has = n.Ack
	}
	if len(n.Records) > 0 {
		p.heard, p.unacked = n.Seq, true
	}
	s.mu.Unlock()
	fresh := false
	for _, r := range n.Records[:min(len(n.Records), mostTold)] {
		fresh = s.memory.learn(r, from, 0, sameEnd) || fresh
	}
	if fresh && s.dir.Large() && s.dir.Leads() {
		s.Wake()
	}
}

// push tells others at once: all of a small fleet; in a large one the zone's leader, and a leader those of the other zones. What does not
// reach one of them is written to the store.
func (s *Replicator) push(ctx context.Context) {
	var g sync.WaitGroup
	var mu sync.Mutex
	missed := false
	for _, p := range s.dir.NotifyTargets() {
		g.Go(func() {
			if err := s.pushTo(ctx, p); err != nil {
				mu.Lock()
				defer mu.Unlock()
				missed = true
			}
		})
	}
	g.Wait()
	if missed || s.dir.NotifyTargetUnreachable() || !s.dir.Linked() {
		s.mu.Lock()
		s.unsaved = true
		s.mu.Unlock()
	}
}

func (s *Replicator) pushTo(ctx context.Context, p mesh.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, pushLimit)
	defer cancel()
	n, anything := s.tell(p.ID)
	if !anything {
		return nil
	}
	reply, err := peers.Call[news, news](ctx, s.dir, p, KindUpdate, n)
	if err != nil {
		s.log.Debug().Str("event", "quarantine_untold").Str("peer", p.ID).Err(err).Msg("another instance was not told of an end")
		return err
	}
	s.receive(p.ID, reply)
	return nil
}

// Observe takes a value of the store, if it is ours.
func (s *Replicator) Observe(e external.Entry) {
	if e.Key == s.key {
		s.take(e)
	}
}

func (s *Replicator) take(e external.Entry) {
	if len(e.Data) == 0 {
		return
	}
	if err := s.memory.learnAll(e.Data, s.wall()); err != nil {
		s.log.Warn().Str("event", "quarantine_unread").Str("key", e.Key).Err(err).Msg("what the store has cannot be read; what is known holds")
	}
}

// load reads the store's record.
func (s *Replicator) load(ctx context.Context) {
	e, err := s.read(ctx)
	if err != nil {
		s.log.Debug().Str("event", "quarantine_unread").Err(err).Msg("the store did not tell which requests are kept back")
		return
	}
	s.take(e)
}

func (s *Replicator) read(ctx context.Context) (external.Entry, error) {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyQuarantine), callLimit)
	defer cancel()
	e, _, err := s.store.Read(ctx, s.key)
	return e, eris.Wrap(err, "reading requests that are kept back")
}

// save writes to the store what is not saved yet; false: there is nothing. Where others write too, what they wrote is taken and written with
// the rest.
func (s *Replicator) save(ctx context.Context) bool {
	s.mu.Lock()
	todo := s.unsaved
	s.unsaved = false
	s.mu.Unlock()
	if !todo {
		return false
	}
	for range mostTries {
		err := s.write(ctx)
		if err == nil {
			return true
		}
		if !errors.Is(err, external.ErrConflict) {
			s.log.Debug().Str("event", "quarantine_unsaved").Err(err).Msg("the store did not take which requests are kept back; it is tried again")
			break
		}
	}
	s.mu.Lock()
	s.unsaved = true
	s.mu.Unlock()
	return true
}

func (s *Replicator) write(ctx context.Context) error {
	e, err := s.read(ctx)
	if err != nil {
		return err
	}
	s.take(e)
	raw, err := s.memory.packAll(s.wall())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyQuarantine), callLimit)
	defer cancel()
	_, err = s.store.Commit(ctx, external.Commit{
		When: []external.Condition{{Key: s.key, Revision: e.Revision}}, Put: []external.Entry{{Key: s.key, Data: raw}},
	})
	return eris.Wrap(err, "writing requests that are kept back")
}
