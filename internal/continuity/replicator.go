package continuity

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
)

// Kinds of messages.
const (
	KindOrigins mesh.Kind = "continuity.origins" // sends the origins of streams
	KindLookup  mesh.Kind = "continuity.lookup"  // asks for the origin of a stream
	KindHistory mesh.Kind = "continuity.history" // asks for the software versions that endpoints have had
)

const (
	copies         = 2                      // instances that receive each origin
	callTimeout    = 250 * time.Millisecond // of one message
	batchPause     = 30 * time.Millisecond  // between messages with origins
	pollInterval   = time.Second            // between checks whether origins have to be sent that were not so far
	maxBatch       = 512                    // origins in one message
	maxSends       = 3                      // attempts to send an origin
	maxHistoryAsks = 8                      // attempts to receive the history of versions
	maxPeerAsks    = 2                      // attempts to receive it from other instances, before it is read from the store
	maxVersions    = 256                    // versions in one message
	maxNameLen     = 256                    // bytes of a name in a message
)

// originsMessage sends the origins of streams. Times are ages in milliseconds, since the clocks of instances differ.
type originsMessage struct {
	Origins  []sentOrigin `cbor:"1,keyasint"`
	Delegate bool         `cbor:"2,keyasint,omitempty"` // the receiver passes them on to other availability zones
}

type sentOrigin struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte
	Service  string
	Software string
	AgeMs    int64
}

func encodeOrigin(key Key, o Origin, now time.Time) sentOrigin {
	return sentOrigin{Key: key[:], Service: o.Service, Software: o.Software, AgeMs: now.Sub(o.Began).Milliseconds()}
}

// valid reports whether a received origin can be right.
func (o sentOrigin) valid() bool {
	return len(o.Key) == len(Key{}) && o.Software != "" && len(o.Software) <= maxNameLen && len(o.Service) <= maxNameLen &&
		o.AgeMs >= 0 && o.AgeMs <= maxLifetime.Milliseconds()
}

// origin decodes an origin that was encoded at some time.
func (o sentOrigin) origin(at time.Time) Origin {
	return Origin{Service: o.Service, Software: o.Software, Began: at.Add(-time.Duration(o.AgeMs) * time.Millisecond)}
}

// lookupRequest asks for the origin of a stream of a service.
type lookupRequest struct {
	Key     []byte `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
}

// lookupReply has the origin of a stream, if it is known, and else the version at which all streams of the service began.
type lookupReply struct {
	Software string `cbor:"1,keyasint,omitempty"` // empty: not known
	AgeMs    int64  `cbor:"2,keyasint,omitempty"`
	Sole     string `cbor:"3,keyasint,omitempty"` // empty: there may be several
	Service  string `cbor:"4,keyasint,omitempty"` // at which the stream began, if its origin is known
}

// historyReply has the software versions that endpoints have had, as far as the sender has observed them.
type historyReply struct {
	Observed bool          `cbor:"1,keyasint,omitempty"` // for as long as a stream may last
	Versions []seenVersion `cbor:"2,keyasint,omitempty"`
}

type seenVersion struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Software string
}

// Replicator is the service that sends the origins of this instance's streams to others, and asks others for those that it
// does not know.
type Replicator struct {
	tracker *Tracker
	dir     *peers.Directory
	log     zerolog.Logger
	archive *Archive
	wake    chan struct{}
	asks    int // attempts to receive the history since the last gap in the observation; used by followHistory only
}

// NewReplicator returns a Replicator, and registers its message handlers.
func NewReplicator(t *Tracker, dir *peers.Directory, archive *Archive, router *mesh.Router, log zerolog.Logger) *Replicator {
	r := &Replicator{tracker: t, dir: dir, archive: archive, log: log, wake: make(chan struct{}, 1)}
	mesh.Handle(router, KindOrigins, r.handleOrigins)
	mesh.Handle(router, KindLookup, r.handleLookup)
	mesh.Handle(router, KindHistory, r.handleHistory)
	return r
}

// Name implements kernel.Service.
func (*Replicator) Name() string { return "continuity" }

// Run implements kernel.Service. Calls to the store, which may take long, do not delay messages to other instances.
func (r *Replicator) Run(ctx context.Context) error {
	var g sync.WaitGroup
	g.Go(func() { kernel.Every(ctx, pollInterval, r.followHistory) })
	g.Go(func() { r.writeOrigins(ctx) })
	r.replicate(ctx)
	g.Wait()
	return nil
}

// replicate sends the origins of this instance's streams to others until ctx ends.
func (r *Replicator) replicate(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.sendOrigins(ctx)
		pause(ctx, batchPause)
	}
}

// followHistory keeps the observation of the endpoints, and the history in the store, up to date.
func (r *Replicator) followHistory(ctx context.Context) {
	if r.tracker.Observe() {
		r.asks = 0
	}
	r.adoptHistory(ctx)
	if r.tracker.due() {
		r.wakeUp()
	}
	r.saveHistory(ctx)
}

// Begin records the software version at which a stream began.
func (r *Replicator) Begin(service, customer, request, software string) {
	if r.tracker.Begin(service, KeyOf(customer, request), software) {
		r.wakeUp()
	}
}

// End records that the response to a request, which may have begun a stream, was sent completely.
func (r *Replicator) End(customer, request string) { r.tracker.End(KeyOf(customer, request)) }

// wakeUp makes Run send origins soon.
func (r *Replicator) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// target is an instance to send origins to.
type target struct {
	peer     mesh.Peer
	delegate bool // the instance passes them on
}

// targetsOf returns the instances to send an origin to.
func (r *Replicator) targetsOf(u unsent) []target {
	key := u.key.String()
	if u.delegated {
		return toTargets(r.dir.OtherZoneCopyHolders(key, 1))
	}
	near, ok := r.dir.ZoneCopyHolder(key)
	switch {
	case !ok:
		return toTargets(r.dir.OtherZoneCopyHolders(key, copies))
	case r.dir.DelegatesCopies():
		return []target{{peer: near, delegate: true}}
	}
	return append([]target{{peer: near}}, toTargets(r.dir.OtherZoneCopyHolders(key, copies-1))...)
}

func toTargets(list []mesh.Peer) []target {
	out := make([]target, 0, len(list))
	for _, p := range list {
		out = append(out, target{peer: p})
	}
	return out
}

// sendOrigins sends the origins that other instances need and have not received. Those that no other instance can
// receive are written to the store.
func (r *Replicator) sendOrigins(ctx context.Context) {
	batches := make(map[target][]unsent)
	var unreachable []unsent
	for _, u := range r.tracker.takeUnsent() {
		targets := r.targetsOf(u)
		if len(targets) == 0 && !u.delegated {
			unreachable = append(unreachable, u)
		}
		for _, to := range targets {
			batches[to] = append(batches[to], u)
		}
	}
	var mu sync.Mutex
	var failed []unsent
	var g sync.WaitGroup
	for to, batch := range batches {
		g.Go(func() {
			rest := r.send(ctx, to, batch)
			mu.Lock()
			defer mu.Unlock()
			failed = append(failed, rest...)
		})
	}
	g.Wait()
	r.archive.add(append(unreachable, r.retryLater(failed)...))
}

// send sends origins to an instance, and returns those that it may not have received.
func (r *Replicator) send(ctx context.Context, to target, batch []unsent) []unsent {
	for len(batch) > 0 {
		n := min(len(batch), maxBatch)
		if err := r.sendBatch(ctx, to, batch[:n]); err != nil {
			r.log.Debug().Str("event", "origins_unsent").Str("peer", to.peer.ID).Int("origins", len(batch)).Err(err).
				Msg("could not send the software versions of streams to another instance")
			return batch
		}
		batch = batch[n:]
	}
	return nil
}

func (r *Replicator) sendBatch(ctx context.Context, to target, batch []unsent) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m := originsMessage{Delegate: to.delegate}
	now := r.tracker.now()
	for _, u := range batch {
		if o, ok := r.tracker.Origin(u.key); ok {
			m.Origins = append(m.Origins, encodeOrigin(u.key, o, now))
		}
	}
	_, err := peers.Call[originsMessage, mesh.Empty](ctx, r.dir, to.peer, KindOrigins, m)
	return err
}

// retryLater puts origins that were not received back on the list. The directory now avoids the instance that did not
// answer, so they go to another one. It returns those that have been sent often enough.
func (r *Replicator) retryLater(failed []unsent) (givenUp []unsent) {
	var again []unsent
	for _, u := range failed {
		if u.failed++; u.failed < maxSends {
			again = append(again, u)
			continue
		}
		givenUp = append(givenUp, u)
	}
	r.tracker.returnUnsent(again)
	return givenUp
}

func (r *Replicator) handleOrigins(_ context.Context, _ mesh.Peer, m originsMessage) (mesh.Empty, error) {
	now, put := r.tracker.now(), r.tracker.Put
	if m.Delegate {
		put = r.tracker.PutDelegated
	}
	for _, o := range m.Origins[:min(len(m.Origins), maxBatch)] {
		if o.valid() {
			put(Key(o.Key), o.origin(now))
		}
	}
	if m.Delegate {
		r.wakeUp()
	}
	return mesh.Empty{}, nil
}

func (r *Replicator) handleLookup(_ context.Context, _ mesh.Peer, req lookupRequest) (lookupReply, error) {
	var reply lookupReply
	if len(req.Key) == len(Key{}) {
		if o, ok := r.tracker.Origin(Key(req.Key)); ok {
			return lookupReply{Service: o.Service, Software: o.Software, AgeMs: r.tracker.now().Sub(o.Began).Milliseconds()}, nil
		}
	}
	reply.Sole = r.tracker.recentSole(req.Service)
	return reply, nil
}

func (r *Replicator) handleHistory(context.Context, mesh.Peer, mesh.Empty) (historyReply, error) {
	return r.tracker.history(), nil
}

// adoptHistory receives the software versions that another instance has observed. Without them, an instance that has just
// started would not know for the lifetime of a stream whether there were others.
func (r *Replicator) adoptHistory(ctx context.Context) {
	if r.asks >= maxHistoryAsks || r.tracker.ObservedForLifetime() || !r.tracker.current() {
		return
	}
	n := r.asks
	r.asks++
	if n == maxPeerAsks && !r.dir.DelegatesCopies() {
		r.loadHistory(ctx)
		return
	}
	candidates, _ := r.dir.CopyCandidates(r.Name())
	if len(candidates) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	p := candidates[n%len(candidates)]
	reply, err := peers.Call[mesh.Empty, historyReply](ctx, r.dir, p, KindHistory, mesh.Empty{})
	if err != nil {
		r.log.Debug().Str("event", "software_history_unread").Str("peer", p.ID).Err(err).Msg("could not receive the history of software versions")
		return
	}
	r.tracker.adopt(reply)
}
