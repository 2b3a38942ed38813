// Package peers discovers the fleet's other instances and carries calls to the leaders of this instance's availability
// zone.
//
// Each instance writes a record of itself to the store and reads all records from time to time. A small fleet needs no
// more than that. In a large fleet the instances of a zone are ranked, and each asks the first one that it can reach
// before it asks the store itself. The number of store calls then grows with the number of zones, not of instances. The
// rank is a hint and guarantees nothing: two instances may both act as leader, at the cost of efficiency only.
//
// A zone that is too large for one leader has relays between its leader and the others: see Parents. Only the leaders of
// such a zone read the records of all instances; the others receive a list of them.
package peers

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// Record is what an instance publishes about itself.
type Record struct {
	Peer     mesh.Peer `cbor:"1,keyasint"`
	Capacity float64   `cbor:"2,keyasint,omitempty"` // size of its machine; larger machines lead
}

// Times are a directory's intervals.
type Times struct {
	InitialRead time.Duration // minimum interval between reads after the start; it doubles with each read, up to Read
	Read        time.Duration // interval between reads later on
	Call        time.Duration // timeout of one call to the store
	Settle      time.Duration // how long after the start other instances may still lack records or links
	FirstPause  time.Duration // first pause in calls to an instance that could not be reached
	MaxPause    time.Duration // upper limit of that pause, which doubles with each failure
}

// DefaultTimes returns intervals for a store that answers within milliseconds and a latency of about a millisecond
// within an availability zone.
func DefaultTimes() Times {
	return Times{
		InitialRead: 700 * time.Millisecond, Read: 5 * time.Second, Call: 900 * time.Millisecond,
		Settle: 500 * time.Millisecond, FirstPause: 700 * time.Millisecond, MaxPause: 3 * time.Second,
	}
}

// DefaultLargeFleet is the default minimum number of instances of a large fleet.
const DefaultLargeFleet = 17

// maxLeaders is the number of leaders that an instance tries before it does the work itself.
const maxLeaders = 3

// Locations of the records under the fleet's prefix.
const (
	recordsPrefix = "peers/"
	authorityKey  = "authority"
)

// Directory is the service that maintains the records.
type Directory struct {
	store      external.KV
	prefix     string
	self       Record
	router     *mesh.Router
	times      Times
	now        func() time.Time
	log        zerolog.Logger
	largeFleet int
	pooling    bool
	openCaller func() (mesh.Caller, error) // nil: opens QUIC links
	onTraffic  func(mesh.Kind, int)
	caller     atomic.Pointer[mesh.Caller]
	epochs     *external.Epochs

	discovered   chan struct{}
	restorations chan struct{}             // signals that the store was restored
	readRequests chan struct{}             // signals that the records are to be read now
	restoredAt   atomic.Pointer[time.Time] // when the last restoration was detected; nil: there was none

	// Used by Run only.
	writtenAt          time.Time // when this instance's record was last written; zero: not yet
	writtenEpoch       int64     // the store's epoch at that time
	authority          []byte    // the encoded authority that the links use; nil: none
	linkedAt           time.Time // when the links were first opened
	authorityCheckedAt time.Time // when the store was last known to hold the authority

	mu         sync.Mutex
	startedAt  time.Time
	zoneKnown  bool // the records of the own zone were read when the others had had time to start
	whole      bool // the records of all zones are known
	list       peerList
	restarted  bool // the store held a record of an earlier process of this instance
	records    map[string]Record
	zones      map[string][]Record // by zone, ranked
	rank       int                 // of this instance in its zone, from 0
	zoneAhead  []Record            // instances of the own zone that rank before this one, best first
	parents    []Record            // instances of the own zone that this one asks, best first
	fleetAhead []Record            // likewise, of all zones
	position   int                 // of this instance among all, ordered by ID
	suspects   map[string]*suspicion
	callers    map[string]recentCaller // by ID
	// unknownReadAt is when the records were last read because an instance without a known record had called.
	unknownReadAt time.Time
	leaving       bool
	leader        string // last logged leader
}

// Option changes a Directory.
type Option func(*Directory)

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(d *Directory) { d.times = t } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(d *Directory) { d.now = now } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(d *Directory) { d.log = log } }

// WithLargeFleet sets the minimum number of instances of a large fleet.
func WithLargeFleet(n int) Option { return func(d *Directory) { d.largeFleet = n } }

// WithoutPools turns off the pooling of customers' tokens within zones.
func WithoutPools() Option { return func(d *Directory) { d.pooling = false } }

// WithTraffic sets the callback for each message sent to other instances. It gets the message's kind and its size in
// bytes.
func WithTraffic(f func(kind mesh.Kind, bytes int)) Option {
	return func(d *Directory) { d.onTraffic = f }
}

// WithCaller replaces the QUIC links.
func WithCaller(c mesh.Caller) Option {
	return func(d *Directory) { d.openCaller = func() (mesh.Caller, error) { return c, nil } }
}

// New makes a directory. Records are stored under prefix. The router has the handlers for calls of other instances. An
// instance without an address in self writes no record, and leads itself.
func New(store external.KV, prefix string, self Record, router *mesh.Router, opts ...Option) *Directory {
	d := &Directory{
		store: store, prefix: prefix, self: self, router: router, times: DefaultTimes(), now: time.Now, log: zerolog.Nop(),
		largeFleet: DefaultLargeFleet, pooling: true, records: make(map[string]Record), suspects: make(map[string]*suspicion), callers: make(map[string]recentCaller),
		discovered: make(chan struct{}), restorations: make(chan struct{}, 1), readRequests: make(chan struct{}, 1), onTraffic: func(mesh.Kind, int) {}, epochs: external.NewEpochs(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.epochs.OnRestored(d.onRestored)
	router.OnCall(d.recordCaller)
	return d
}

// Name implements kernel.Service.
func (*Directory) Name() string { return "peers" }

// Run implements kernel.Service. It writes this instance's record and reads the records of all instances.
func (d *Directory) Run(ctx context.Context) error {
	if d.self.Peer.Addr == "" {
		close(d.discovered)
		<-ctx.Done()
		return nil
	}
	d.mu.Lock()
	d.startedAt = d.now()
	d.mu.Unlock()
	for reason := wakeForRead; ctx.Err() == nil; reason = d.sleep(ctx, d.readDelay(reason)) {
		switch reason {
		case wakeForRead: // the store may serve the records from a copy some seconds old
			d.updateRecords(external.WithStale(ctx))
		case wakeForCaller:
			d.updateRecords(ctx)
		case wakeForRestoration:
		}
		if err := d.syncRecord(ctx); err != nil {
			d.log.Debug().Str("event", "peer_unwritten").Err(err).Msg("own record not written")
		}
		if err := d.restoreAuthority(ctx); err != nil {
			d.log.Debug().Str("event", "authority_unread").Err(err).Msg("fleet's authority not read after a restoration of the store")
		}
		d.connect(ctx)
		d.checkDiscovered()
	}
	return d.disconnect()
}

// Discovered returns a channel that is closed once no more instances are expected to be discovered soon. In a large
// fleet this is when the links are open. In a small one it is when the other instances have had time to start, or at
// once if this instance has restarted, because the others are running already.
func (d *Directory) Discovered() <-chan struct{} { return d.discovered }

// checkDiscovered closes the channel of Discovered if the fleet is discovered by now.
func (d *Directory) checkDiscovered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.discovered:
		return
	default:
	}
	known, age := len(d.records), d.now().Sub(d.startedAt)
	switch {
	case known == 0, d.isLarge() && !d.linked():
		return
	case !d.restarted && age < d.times.Settle:
		return
	}
	close(d.discovered)
}

// wakeReason is why Run does its work again.
type wakeReason int

const (
	wakeForRead        wakeReason = iota // the next read is due
	wakeForCaller                        // an instance has called whose record is not known
	wakeForRestoration                   // the store was restored
)

// readDelay returns the time until the next read. Reads are more frequent after the start, because other instances may
// be starting too. After a restoration, the next one is when all have written their records again.
func (d *Directory) readDelay(last wakeReason) time.Duration {
	if last == wakeForRestoration {
		return d.jitter()
	}
	switch age := d.now().Sub(d.startedAt); {
	case age < d.times.Settle:
		return d.times.Settle - age
	case age < d.times.Read:
		return max(d.times.InitialRead, age)
	}
	return d.times.Read
}

// sleep waits for the time of the next read, or for an event that calls for work before, and returns which it was.
func (d *Directory) sleep(ctx context.Context, wait time.Duration) wakeReason {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.readRequests:
		return wakeForCaller
	case <-d.restorations:
		d.waitJitter(ctx)
		return wakeForRestoration
	}
	return wakeForRead
}

// writeRecord writes this instance's record.
func (d *Directory) writeRecord(ctx context.Context) error {
	raw, err := cbor.Marshal(d.self)
	if err != nil {
		return eris.Wrap(err, "encoding the instance's record")
	}
	return d.commit(ctx, external.Commit{Put: []external.Entry{{Key: d.recordKey(), Data: raw}}, Drop: []string{d.oldRecordKey()}})
}

func (d *Directory) isLeaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// Leave removes this instance's record, so that other instances stop calling it.
func (d *Directory) Leave(ctx context.Context) error {
	if d.self.Peer.Addr == "" {
		return nil
	}
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	return d.commit(ctx, external.Commit{Drop: []string{d.recordKey(), d.oldRecordKey()}})
}

func (d *Directory) commit(ctx context.Context, c external.Commit) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), d.times.Call)
	defer cancel()
	_, err := d.store.Commit(ctx, c)
	return eris.Wrap(err, "writing the instance's record")
}

// zonePrefix is the prefix of the records of the own zone.
func (d *Directory) zonePrefix() string { return d.prefix + recordsPrefix + d.self.Peer.Zone + "/" }

func (d *Directory) recordKey() string { return d.zonePrefix() + d.self.Peer.ID }

// oldRecordKey is the key under which builds of generation 5 and before store the record. They read the records of all
// keys, so each instance has only one of the two.
func (d *Directory) oldRecordKey() string { return d.prefix + recordsPrefix + d.self.Peer.ID }

// connect opens the links once other instances are known.
func (d *Directory) connect(ctx context.Context) {
	if d.Size() < 2 || d.linked() {
		return
	}
	c, err := d.dial(ctx)
	if err != nil {
		d.log.Warn().Str("event", "peers_unlinked").Err(err).Msg("links to other instances cannot be opened yet")
		return
	}
	d.caller.Store(&c)
	d.log.Info().Str("event", "peers_linked").Str("listen", d.self.Peer.Addr).Int("zone", d.ZoneSize()).Msg("links to other instances are open")
}

func (d *Directory) dial(ctx context.Context) (mesh.Caller, error) {
	if d.openCaller != nil {
		return d.openCaller()
	}
	cfg, err := d.identity(ctx)
	if err != nil {
		return nil, err
	}
	return mesh.Listen(d.self.Peer, cfg, d.router, mesh.WithLogger(d.log), mesh.WithTraffic(d.onTraffic))
}

func (d *Directory) disconnect() error {
	c := d.caller.Load()
	if c == nil {
		return nil
	}
	if t, ok := (*c).(interface{ Close() error }); ok {
		return t.Close()
	}
	return nil
}

// Settled reports whether enough instances are known to begin work. In a large fleet, a leader must also be reachable.
// Some seconds after the start it returns true in any case, unless the records were never read.
func (d *Directory) Settled() bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	relays := d.HasRelays()
	d.mu.Lock()
	age, known, whole := d.now().Sub(d.startedAt), len(d.records), d.whole
	d.mu.Unlock()
	switch {
	case known == 0:
		return false
	case age > maxSettleFactor*d.times.Settle:
		return true
	case !whole && !relays:
		return false // its zone may turn out to be larger
	case known < d.largeFleet:
		return known > startingFleetSize || age > d.times.Settle
	}
	return d.linked() && !d.LeadersUnreachable()
}

const (
	maxSettleFactor   = 6 // multiple of Settle after which an instance begins anyway
	startingFleetSize = 2 // a fleet with at most this many records may still be starting
)

// Large reports whether the fleet is so large that its zones have leaders.
func (d *Directory) Large() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLarge()
}

// Size returns the number of instances whose records are known, at least 1.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.records))
}

// ZoneSize returns the number of instances in the own zone, including this one.
func (d *Directory) ZoneSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.zones[d.self.Peer.Zone]))
}

// GroupSize returns the number of instances that share the same coordinators: those of the zone in a large fleet, else
// the whole fleet.
func (d *Directory) GroupSize() int {
	if d.Large() {
		return d.ZoneSize()
	}
	return d.Size()
}

// Call makes a call to an instance. If it cannot be reached, or does not answer in time, the directory avoids it for a
// while.
func Call[Req, Resp any](ctx context.Context, d *Directory, to mesh.Peer, kind mesh.Kind, req Req) (Resp, error) {
	var none Resp
	c := d.caller.Load()
	if c == nil {
		return none, eris.Wrap(mesh.ErrUnreachable, "no links are open")
	}
	resp, err := mesh.Call[Req, Resp](ctx, *c, to.Addr, kind, req)
	d.recordCall(to, *c, err)
	return resp, err
}

func (d *Directory) recordCall(to mesh.Peer, c mesh.Caller, err error) {
	failed := errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrNoReply)
	d.mu.Lock()
	if failed {
		d.suspect(to.ID)
	} else {
		delete(d.suspects, to.ID)
	}
	d.mu.Unlock()
	if f, ok := c.(interface{ Forget(addr string) }); ok && failed {
		f.Forget(to.Addr)
	}
}
