// Package rollout distributes the accepted configuration to every instance and sends orders to endpoints.
package rollout

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// FeedName is the kernel service name of Feed.
const FeedName = "rollout.feed"

// The feed's messages.
const (
	KindPush  mesh.Kind = "config.push"
	KindFetch mesh.Kind = "config.fetch"
)

const (
	readersPerZone    = 2 // instances of a zone that watch the store and push new documents to the others
	defaultPoll       = 30 * time.Second
	watchPause        = 300 * time.Millisecond
	peerCallTimeout   = time.Second
	roleCheckInterval = time.Second
)

// Snapshot is a document as it is sent between instances.
type Snapshot struct {
	Version int64  `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"` // the document's JSON as it is stored
}

// Listener is notified of every newer document.
type Listener func(doc *declare.Document)

// Feed holds the newest accepted document that this instance has received. Its version never decreases.
//
// The source of a document proves that it was accepted: the store, or a peer that has a certificate of this fleet and
// adopted the document under the same rule.
type Feed struct {
	store   external.Store
	members members
	caller  mesh.Caller
	poll    time.Duration
	log     zerolog.Logger

	mu         sync.RWMutex
	doc        *declare.Document
	data       []byte
	rev        int64
	listeners  []Listener
	changed    chan struct{}
	adoptedAt  time.Time
	background kernel.Jobs
}

// members is the part of the membership view that this package uses.
type members interface {
	Self() mesh.Peer
	Zone() []mesh.Peer
}

// FeedOption changes a Feed.
type FeedOption func(*Feed)

// WithPoll sets the interval between the reads of the store that every instance makes as a backup for the watches.
func WithPoll(d time.Duration) FeedOption { return func(f *Feed) { f.poll = d } }

// WithFeedLogger sets the logger.
func WithFeedLogger(log zerolog.Logger) FeedOption { return func(f *Feed) { f.log = log } }

// NewFeed makes a feed with an empty document of version 0 and registers its message handlers.
func NewFeed(store external.Store, members members, caller mesh.Caller, router *mesh.Router, opts ...FeedOption) *Feed {
	f := &Feed{
		store:   store,
		members: members,
		caller:  caller,
		poll:    defaultPoll,
		log:     zerolog.Nop(),
		doc:     &declare.Document{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	mesh.Handle(router, KindPush, func(_ context.Context, _ mesh.Peer, s Snapshot) (mesh.Empty, error) {
		return mesh.Empty{}, f.Adopt(s.Data, 0)
	})
	mesh.Handle(router, KindFetch, func(_ context.Context, _ mesh.Peer, _ mesh.Empty) (Snapshot, error) {
		f.mu.RLock()
		defer f.mu.RUnlock()
		return Snapshot{Version: f.doc.Version, Data: f.data}, nil
	})
	return f
}

// Name implements kernel.Service.
func (f *Feed) Name() string { return FeedName }

// OnChange adds a listener. It must be called before Run.
func (f *Feed) OnChange(l Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, l)
}

// Document returns the document in force. It must not be modified.
func (f *Feed) Document() *declare.Document {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.doc
}

// Version returns the version in force.
func (f *Feed) Version() int64 { return f.Document().Version }

// Await waits until the given version or a newer one is in force.
func (f *Feed) Await(ctx context.Context, version int64) error {
	for {
		f.mu.RLock()
		v, ch := f.doc.Version, f.changed
		f.mu.RUnlock()
		if v >= version {
			return nil
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "waiting for configuration version %d", version)
		}
	}
}

// Adopt puts a document in force if it is newer than the current one.
func (f *Feed) Adopt(data []byte, rev int64) error {
	if len(data) == 0 {
		return nil
	}
	var doc declare.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return eris.Wrap(err, "decoding the configuration")
	}
	f.mu.Lock()
	if doc.Version <= f.doc.Version {
		f.mu.Unlock()
		return nil
	}
	f.doc, f.data = &doc, data
	if rev > f.rev {
		f.rev = rev
	}
	f.adoptedAt = time.Now()
	close(f.changed)
	f.changed = make(chan struct{})
	listeners := f.listeners
	f.mu.Unlock()
	f.log.Info().Str("event", "config_adopted").Int64("version", doc.Version).Msg("configuration in force")
	for _, l := range listeners {
		l(&doc)
	}
	f.push(Snapshot{Version: doc.Version, Data: data})
	return nil
}

// push sends a document to the zone's other instances if this one is a reader.
func (f *Feed) push(s Snapshot) {
	if !f.isReader() {
		return
	}
	self := f.members.Self()
	for _, p := range f.members.Zone() {
		if p.ID == self.ID {
			continue
		}
		f.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
			defer cancel()
			_, _ = mesh.Call[Snapshot, mesh.Empty](ctx, f.caller, p.Addr, KindPush, s)
		})
	}
}

func (f *Feed) isReader() bool {
	ranked := member.Rank("config-readers", f.members.Zone())
	for _, p := range ranked[:min(len(ranked), readersPerZone)] {
		if p.ID == f.members.Self().ID {
			return true
		}
	}
	return false
}

// HandleBeat processes a heartbeat. If the sender has a newer configuration, the feed fetches it from the sender.
func (f *Feed) HandleBeat(_ context.Context, b member.Beat) {
	if b.Config <= f.Version() {
		return
	}
	f.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
		defer cancel()
		s, err := mesh.Call[mesh.Empty, Snapshot](ctx, f.caller, b.Peer.Addr, KindFetch, mesh.Empty{})
		if err == nil {
			_ = f.Adopt(s.Data, 0)
		}
	})
}

// Read reads the store once.
func (f *Feed) Read(ctx context.Context) error {
	e, err := f.store.Get(external.WithDuty(ctx, external.DutyConfig), declare.Key)
	if err != nil {
		return eris.Wrap(err, "reading the configuration")
	}
	return f.Adopt(e.Data, e.Revision)
}

// Run implements kernel.Service. Readers watch the store; every instance also reads it at long intervals.
func (f *Feed) Run(ctx context.Context) error {
	defer f.background.Close()
	if err := f.Read(ctx); err != nil {
		f.log.Debug().Str("event", "config_unread").Err(err).Msg("configuration not read")
	}
	poll, role := time.NewTicker(f.poll), time.NewTicker(roleCheckInterval)
	defer poll.Stop()
	defer role.Stop()
	var watch sync.WaitGroup
	defer watch.Wait()
	var stop context.CancelFunc
	updateWatch := func() {
		switch reader := f.isReader(); {
		case reader && stop == nil:
			var wctx context.Context
			wctx, stop = context.WithCancel(ctx)
			watch.Go(func() { f.watch(wctx) })
		case !reader && stop != nil:
			stop()
			stop = nil
		}
	}
	updateWatch()
	for {
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return nil
		case <-role.C:
			updateWatch()
		case <-poll.C:
			_ = f.Read(ctx)
		}
	}
}

// watch watches the store until ctx ends. It reopens a broken watch.
func (f *Feed) watch(ctx context.Context) {
	ctx = external.WithDuty(ctx, external.DutyConfig)
	for ctx.Err() == nil {
		f.mu.RLock()
		rev := f.rev
		f.mu.RUnlock()
		ch, err := f.store.Watch(ctx, declare.Key, rev)
		if err == nil {
			for e := range ch {
				_ = f.Adopt(e.Data, e.Revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
}
