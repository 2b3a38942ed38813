// Package rollout brings the accepted configuration to every instance and carries out endpoint orders.
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
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// FeedName is the feed's name in the kernel.
const FeedName = "rollout.feed"

// The feed's messages.
const (
	KindPush  mesh.Kind = "config.push"
	KindFetch mesh.Kind = "config.fetch"
)

const (
	readersPerZone = 2
	defaultPoll    = 30 * time.Second
	watchPause     = 300 * time.Millisecond
	pushTimeout    = time.Second
	roleCheck      = time.Second
)

// Snapshot is a document as it travels between instances.
type Snapshot struct {
	Version int64  `cbor:"1,keyasint"`
	Data    []byte `cbor:"2,keyasint"` // the document's JSON as it stands in the store
}

// Listener is notified of every newer document.
type Listener func(doc *declare.Document)

// Feed holds the newest accepted document that this instance has heard of. It never goes back.
//
// A document is proved accepted by where it comes from: the store, or a peer whose certificate is of this fleet, and
// which took it under the same rule.
type Feed struct {
	store   external.Store
	members members
	caller  mesh.Caller
	poll    time.Duration
	log     zerolog.Logger

	mu        sync.RWMutex
	doc       *declare.Document
	data      []byte
	rev       int64
	listeners []Listener
	changed   chan struct{}
	adoptedAt time.Time
	inPush    sync.WaitGroup
}

// members is what the feed uses of the membership view.
type members interface {
	Self() mesh.Peer
	Zone() []mesh.Peer
}

// FeedOption changes a Feed.
type FeedOption func(*Feed)

// WithPoll sets the time between backstop reads of the store.
func WithPoll(d time.Duration) FeedOption { return func(f *Feed) { f.poll = d } }

// WithFeedLogger sets the logger.
func WithFeedLogger(log zerolog.Logger) FeedOption { return func(f *Feed) { f.log = log } }

// NewFeed makes a feed with an empty document of version 0 and registers its messages.
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

// OnChange adds a listener; call it before Run.
func (f *Feed) OnChange(l Listener) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners = append(f.listeners, l)
}

// Document is the document in force. It must not be changed.
func (f *Feed) Document() *declare.Document {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.doc
}

// Version is the version in force.
func (f *Feed) Version() int64 { return f.Document().Version }

// Await waits until at least a version is in force.
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

// Adopt takes a document if it is newer than the one in force.
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

// push tells the zone's other instances, if this one is a reader.
func (f *Feed) push(s Snapshot) {
	if !f.isReader() {
		return
	}
	self := f.members.Self()
	for _, p := range f.members.Zone() {
		if p.ID == self.ID {
			continue
		}
		f.inPush.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
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

// HandleBeat is notified of heartbeats: a peer with a newer version is asked for it.
func (f *Feed) HandleBeat(_ context.Context, b member.Beat) {
	if b.Config <= f.Version() {
		return
	}
	f.inPush.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), pushTimeout)
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

// Run implements kernel.Service: readers watch the store, everyone reads it slowly.
func (f *Feed) Run(ctx context.Context) error {
	defer f.inPush.Wait()
	if err := f.Read(ctx); err != nil {
		f.log.Debug().Str("event", "config_unread").Err(err).Msg("configuration not read")
	}
	poll, role := time.NewTicker(f.poll), time.NewTicker(roleCheck)
	defer poll.Stop()
	defer role.Stop()
	var watch sync.WaitGroup
	defer watch.Wait()
	var stop context.CancelFunc
	toggle := func() {
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
	toggle()
	for {
		select {
		case <-ctx.Done():
			if stop != nil {
				stop()
			}
			return nil
		case <-role.C:
			toggle()
		case <-poll.C:
			_ = f.Read(ctx)
		}
	}
}

// watch follows the store until ctx ends; a broken watch is opened again.
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
