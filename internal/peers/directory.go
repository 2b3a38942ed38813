// Package peers knows the fleet's other instances and carries calls to those that lead this instance's availability zone.
//
// Each instance keeps a record of itself in the store and reads all of them now and then. In a small fleet that is all. In a
// large one the instances of a zone are ranked, and each asks the first that it can reach before it asks the store itself, so
// that the store's calls grow with zones and not with instances. The rank is a hint, never a proof: two instances may both
// believe that they lead, and only efficiency suffers.
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

// Record is what an instance tells the fleet of itself.
type Record struct {
	Peer     mesh.Peer `cbor:"1,keyasint"`
	Capacity float64   `cbor:"2,keyasint,omitempty"` // size of its machine; larger ones lead
}

// Times are a directory's intervals.
type Times struct {
	Soon   time.Duration // the least time between reads after the start; it doubles until it is Read
	Read   time.Duration // between reads later on
	Call   time.Duration // limit of one call to the store
	Settle time.Duration // after the start others may not have told of themselves yet, or their links are not open
	First  time.Duration // an instance that could not be reached is left alone for this long
	Longer time.Duration // the most that this grows to
}

// DefaultTimes suit a store that answers in milliseconds and zones a millisecond wide.
func DefaultTimes() Times {
	return Times{
		Soon: 700 * time.Millisecond, Read: 5 * time.Second, Call: 900 * time.Millisecond,
		Settle: 500 * time.Millisecond, First: 700 * time.Millisecond, Longer: 3 * time.Second,
	}
}

// DefaultLarge is the number of instances from which a fleet is large.
const DefaultLarge = 17

// mostLeaders is the number of instances that one tries to reach before it does the work itself.
const mostLeaders = 3

// Where records lie under the fleet's prefix.
const (
	recordsPrefix = "peers/"
	authorityKey  = "authority"
)

// Directory is the service that keeps the records.
type Directory struct {
	store   external.KV
	prefix  string
	self    Record
	router  *mesh.Router
	times   Times
	now     func() time.Time
	log     zerolog.Logger
	large   int
	pools   bool
	open    func() (mesh.Caller, error) // nil: over QUIC
	traffic func(mesh.Kind, int)
	caller  atomic.Pointer[mesh.Caller]
	epochs  *external.Epochs

	met      chan struct{}
	wakes    chan struct{}             // the store was restored
	restored atomic.Pointer[time.Time] // when that was learnt last; nil: it was not

	// Used by Run only.
	wrote     time.Time // when this instance's record was written last; zero: not yet
	wroteIn   int64     // the store's epoch then
	authority []byte    // that the links use, as the store has it; nil: none
	linkedAt  time.Time // when they were opened first
	checked   time.Time // when the store was last known to have it

	mu        sync.Mutex
	begun     time.Time
	restarted bool // the store had a record of an earlier process of this instance
	records   map[string]Record
	zones     map[string][]Record // by zone, ranked
	ahead     []Record            // of the own zone, ranked before this instance, best first
	all       []Record            // of all zones, likewise
	place     int                 // of this instance among all, by ID
	suspects  map[string]*suspicion
	leaving   bool
	leader    string // as last logged
}

// Option changes a Directory.
type Option func(*Directory)

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(d *Directory) { d.times = t } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(d *Directory) { d.now = now } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(d *Directory) { d.log = log } }

// WithLarge sets the number of instances from which a fleet is large.
func WithLarge(n int) Option { return func(d *Directory) { d.large = n } }

// WithoutPools makes a directory in which no zone pools its customers' tokens.
func WithoutPools() Option { return func(d *Directory) { d.pools = false } }

// WithTraffic sets what is notified of each message sent to other instances: its kind and its size in bytes.
func WithTraffic(f func(kind mesh.Kind, bytes int)) Option {
	return func(d *Directory) { d.traffic = f }
}

// WithCaller replaces QUIC.
func WithCaller(c mesh.Caller) Option {
	return func(d *Directory) { d.open = func() (mesh.Caller, error) { return c, nil } }
}

// New makes a directory. Records lie under prefix in the store; router has the handlers for calls of other instances. An
// instance without an address in self keeps no record, and leads itself.
func New(store external.KV, prefix string, self Record, router *mesh.Router, opts ...Option) *Directory {
	d := &Directory{
		store: store, prefix: prefix, self: self, router: router, times: DefaultTimes(), now: time.Now, log: zerolog.Nop(),
		large: DefaultLarge, pools: true, records: make(map[string]Record), suspects: make(map[string]*suspicion),
		met: make(chan struct{}), wakes: make(chan struct{}, 1), traffic: func(mesh.Kind, int) {}, epochs: external.NewEpochs(),
	}
	for _, opt := range opts {
		opt(d)
	}
	d.epochs.OnRestored(d.restoredStore)
	return d
}

// Name implements kernel.Service.
func (*Directory) Name() string { return "peers" }

// Run implements kernel.Service: it keeps this instance's record, and reads those of all.
func (d *Directory) Run(ctx context.Context) error {
	if d.self.Peer.Addr == "" {
		close(d.met)
		<-ctx.Done()
		return nil
	}
	d.mu.Lock()
	d.begun = d.now()
	d.mu.Unlock()
	for woken := false; ctx.Err() == nil; woken = d.sleep(ctx) {
		if !woken {
			d.tryRead(ctx)
		}
		if err := d.write(ctx); err != nil {
			d.log.Debug().Str("event", "peer_unwritten").Err(err).Msg("this instance's record was not written")
		}
		if err := d.keepAuthority(ctx); err != nil {
			d.log.Debug().Str("event", "authority_unread").Err(err).Msg("the fleet's authority was not read after a restoration")
		}
		d.connect(ctx)
		d.meet()
	}
	return d.disconnect()
}

// Met is closed once the fleet is known as well as it soon will be: a large one is linked, and a small one was there before, or has
// had time to start.
func (d *Directory) Met() <-chan struct{} { return d.met }

// meet closes Met if the fleet is known by now.
func (d *Directory) meet() {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.met:
		return
	default:
	}
	known, age := len(d.records), d.now().Sub(d.begun)
	switch {
	case known == 0, d.isLarge() && !d.linked():
		return
	case known < d.large && !d.restarted && age < d.times.Settle:
		return
	}
	close(d.met)
}

// sleep waits for the time of the next read. After the start reads are closer together: others may be starting too. It reports whether a restoration of
// the store has ended it.
func (d *Directory) sleep(ctx context.Context) bool {
	wait := d.times.Read
	switch age := d.now().Sub(d.begun); {
	case age < d.times.Settle:
		wait = d.times.Settle - age
	case age < d.times.Read:
		wait = max(d.times.Soon, age)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.wakes:
		d.spread(ctx)
		return true
	}
	return false
}

// tell writes this instance's record.
func (d *Directory) tell(ctx context.Context) error {
	raw, err := cbor.Marshal(d.self)
	if err != nil {
		return eris.Wrap(err, "encoding the instance's record")
	}
	return d.commit(ctx, external.Commit{Put: []external.Entry{{Key: d.recordKey(), Data: raw}}})
}

func (d *Directory) leaves() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// Leave removes this instance's record: others ask it no more.
func (d *Directory) Leave(ctx context.Context) error {
	if d.self.Peer.Addr == "" {
		return nil
	}
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	return d.commit(ctx, external.Commit{Drop: []string{d.recordKey()}})
}

func (d *Directory) commit(ctx context.Context, c external.Commit) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyMembers), d.times.Call)
	defer cancel()
	_, err := d.store.Commit(ctx, c)
	return eris.Wrap(err, "writing the instance's record")
}

func (d *Directory) recordKey() string { return d.prefix + recordsPrefix + d.self.Peer.ID }

// tryRead reads all records; where that fails, those that are known hold.
func (d *Directory) tryRead(ctx context.Context) {
	if err := d.read(ctx); err != nil {
		d.log.Debug().Str("event", "peers_unread").Err(err).Msg("the instances' records were not read")
	}
}

// read reads all records, from a copy that may be some seconds old.
func (d *Directory) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(external.WithStale(ctx), external.DutyMembers), d.times.Call)
	defer cancel()
	entries, _, err := d.store.ReadAll(ctx, d.prefix+recordsPrefix)
	if err != nil {
		return eris.Wrap(err, "reading the instances' records")
	}
	records := make(map[string]Record, len(entries)+1)
	for _, e := range entries {
		var r Record
		if err := cbor.Unmarshal(e.Data, &r); err != nil || r.Peer.ID == "" {
			d.log.Warn().Str("event", "record_rejected").Str("key", e.Key).Err(err).Msg("an instance's record cannot be read")
			continue
		}
		records[r.Peer.ID] = r
	}
	if before, ok := records[d.self.Peer.ID]; ok && before.Peer.Incarnation != d.self.Peer.Incarnation {
		d.mu.Lock()
		d.restarted = true
		d.mu.Unlock()
	}
	records[d.self.Peer.ID] = d.self
	if d.keepMissing() {
		d.addMissing(records)
	}
	d.take(records)
	return nil
}

// addMissing adds the known records that others lack.
func (d *Directory) addMissing(records map[string]Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, r := range d.records {
		if _, there := records[id]; !there {
			records[id] = r
		}
	}
}

// connect opens the links once there are other instances.
func (d *Directory) connect(ctx context.Context) {
	if d.Size() < 2 || d.linked() {
		return
	}
	c, err := d.dialer(ctx)
	if err != nil {
		d.log.Warn().Str("event", "peers_unlinked").Err(err).Msg("no links to other instances yet")
		return
	}
	d.caller.Store(&c)
	d.log.Info().Str("event", "peers_linked").Str("listen", d.self.Peer.Addr).Int("zone", d.ZoneSize()).Msg("links to other instances are open")
}

func (d *Directory) dialer(ctx context.Context) (mesh.Caller, error) {
	if d.open != nil {
		return d.open()
	}
	cfg, err := d.identity(ctx)
	if err != nil {
		return nil, err
	}
	return mesh.Listen(d.self.Peer, cfg, d.router, mesh.WithLogger(d.log), mesh.WithTraffic(d.traffic))
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

// Settled reports whether the others are known well enough to begin with: in a large fleet a leader is to be found first, for a few
// seconds.
func (d *Directory) Settled() bool {
	if d.self.Peer.Addr == "" {
		return true
	}
	d.mu.Lock()
	age, known := d.now().Sub(d.begun), len(d.records)
	d.mu.Unlock()
	switch {
	case known == 0:
		return false
	case age > settleMost*d.times.Settle:
		return true
	case known < d.large:
		return known > soleRecords || age > d.times.Settle
	}
	return d.linked() && !d.Stranded()
}

const (
	settleMost  = 6 // times Settle
	soleRecords = 2 // no more records than these may be a fleet that is just starting
)

// Large reports whether the fleet is so large that its zones are led.
func (d *Directory) Large() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLarge()
}

// Size is the number of instances whose records are known, at least 1.
func (d *Directory) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.records))
}

// ZoneSize is the number of instances of the own zone, this one among them.
func (d *Directory) ZoneSize() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(1, len(d.zones[d.self.Peer.Zone]))
}

// GroupSize is the number of instances that agree through the same keepers: those of the zone, or of the whole of a small fleet.
func (d *Directory) GroupSize() int {
	if d.Large() {
		return d.ZoneSize()
	}
	return d.Size()
}

// Call asks an instance. One that cannot be reached, or does not answer in time, is left alone for a while.
func Call[Req, Resp any](ctx context.Context, d *Directory, to mesh.Peer, kind mesh.Kind, req Req) (Resp, error) {
	var none Resp
	c := d.caller.Load()
	if c == nil {
		return none, eris.Wrap(mesh.ErrUnreachable, "no links are open")
	}
	resp, err := mesh.Call[Req, Resp](ctx, *c, to.Addr, kind, req)
	d.learn(to, *c, err)
	return resp, err
}

func (d *Directory) learn(to mesh.Peer, c mesh.Caller, err error) {
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
