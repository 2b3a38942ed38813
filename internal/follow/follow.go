// Package follow keeps this instance's view of the configuration and the endpoints up to date from the platform's store.
//
// It asks for what has changed at short intervals, each call bounded, and never relies on a call that waits: one that was
// opened before a cut may stay silent after it. Endpoints write their records all the time, so a history that tells nothing
// is suspect, and everything is read again.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// Update is what was read or what has changed.
type Update struct {
	Config    *route.Config    // nil: not changed, or not there
	Endpoints []pool.Endpoint  // all of them in a snapshot, else those that have written
	Removed   []string         // endpoints whose records were removed
	Entries   []external.Entry // other values
	Bad       []BadRecord      // records that could not be read; the others hold
	At        int64            // the revision to go on from
	ConfigAt  int64            // the revision of the configuration that was read last; 0: none was
	// OperatorAt is the revision up to which all is known that the operator writes; 0: that was not read
	OperatorAt  int64
	Evacuations []evacuation.Order // those that have changed
	Evacuated   *evacuation.Set    // all that hold; nil: not told
	Events      int                // changes that the store told, of whatever kind
	Complete    bool               // Endpoints is all of them, though changes were asked for
	FromPeer    bool               // it comes from another instance, which follows the store
	Age         time.Duration      // since that instance heard the store
}

// Source reads the store in the product's terms.
type Source interface {
	// Snapshot reads everything. What another instance knows counts only if that is as far as known.
	Snapshot(ctx context.Context, known Cursor) (Update, error)
	// Changes reads what has changed since; external.ErrHistoryGone asks for a snapshot. Without own, it leaves out what the
	// fleet writes itself.
	Changes(ctx context.Context, since Cursor, own bool) (Update, error)
}

// Cursor is how far the store has been read, in its revisions.
type Cursor struct {
	At         int64 // of the last change that was told
	ConfigAt   int64 // of the last configuration
	OperatorAt int64 // of the last change of what the operator writes
}

// Times are a follower's intervals.
type Times struct {
	Poll     time.Duration // between calls
	PeerPoll time.Duration // between calls that another instance answers
	Call     time.Duration // limit of one call
	PeerCall time.Duration // beside it, for asking other instances first
	Retry    time.Duration // after a call that failed
	Silence  time.Duration // without any change for this long, everything is read again
}

// DefaultTimes put a change in force well within two seconds of its acknowledgement.
func DefaultTimes() Times {
	return Times{
		Poll: 500 * time.Millisecond, PeerPoll: 300 * time.Millisecond, Call: 800 * time.Millisecond, PeerCall: 500 * time.Millisecond, Retry: 150 * time.Millisecond,
		Silence: 1200 * time.Millisecond,
	}
}

// Follower is the service that follows the store.
type Follower struct {
	source  Source
	pool    *pool.Pool
	times   Times
	now     func() time.Time
	log     zerolog.Logger
	table   atomic.Pointer[route.Table]
	changed []func(*route.Table)
	entries func(external.Entry)
	polled  func(own bool)
	own     func() bool
	history *history
	kicks   chan struct{}

	rejected   map[string]int64 // revisions of records that could not be read, by key
	onRejected func()

	mu        sync.Mutex
	since     Cursor
	answered  time.Time
	contact   time.Time // see Heard
	changedAt time.Time // the last answer that told of any change
	deaf      bool      // answers have told nothing for too long
	failed    int       // calls for changes that failed in a row
	near      bool      // the last answer came from another instance
	lost      bool
	restored  restoration
}

// Option changes a Follower.
type Option func(*Follower)

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(f *Follower) { f.times = t } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(f *Follower) { f.log = log } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(f *Follower) { f.now = now } }

// OnTable adds what is notified of a newer configuration.
func OnTable(g func(*route.Table)) Option {
	return func(f *Follower) { f.changed = append(f.changed, g) }
}

// OnEntry sets what is notified of other values.
func OnEntry(g func(external.Entry)) Option { return func(f *Follower) { f.entries = g } }

// OnPolled sets what is called after each answer that tells what has changed, once all of that has been told. own reports whether
// that included what the fleet writes itself.
func OnPolled(g func(own bool)) Option { return func(f *Follower) { f.polled = g } }

// OnRejected sets what is called for each record that cannot be read, once for each revision of it.
func OnRejected(g func()) Option { return func(f *Follower) { f.onRejected = g } }

// WithFleetRecords sets whether to ask for what the fleet writes itself. A small fleet gets it in the same call; in a large one each
// instance would read what all others write.
func WithFleetRecords(g func() bool) Option { return func(f *Follower) { f.own = g } }

// New makes a follower that fills a pool.
func New(source Source, p *pool.Pool, opts ...Option) *Follower {
	f := &Follower{
		source: source, pool: p, times: DefaultTimes(), now: time.Now, log: zerolog.Nop(), entries: func(external.Entry) {},
		polled: func(bool) {}, own: func() bool { return true }, history: newHistory(), kicks: make(chan struct{}, 1), rejected: make(map[string]int64), onRejected: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Name implements kernel.Service.
func (*Follower) Name() string { return "follow" }

// Table is the configuration in force; nil until one is known.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Age is the time since the store last answered.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.answered)
}

// LastContact is a moment since which nothing that is known can have been older than the store's: when the last call was made that was answered, less the
// age of what another instance told. An answer may have waited in a socket while this machine was suspended. The zero time: none was answered.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// contacted notes an answer to a call that was made at a moment.
func (f *Follower) contacted(asked time.Time, u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := asked.Add(-u.Age); at.After(f.contact) {
		f.contact = at
	}
}

// PollNow lets the next call be made at once.
func (f *Follower) PollNow() {
	select {
	case f.kicks <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		f.note(err)
		t := time.NewTimer(f.wait(err))
		select {
		case <-ctx.Done():
		case <-f.kicks:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// wait is the time until the next call.
func (f *Follower) wait(err error) time.Duration {
	switch {
	case err != nil && f.own():
		return f.times.Retry
	case err != nil:
		return largeFleetRetries*f.times.Retry + rand.N(f.times.Retry)
	case f.near:
		return f.times.PeerPoll
	}
	return f.times.Poll
}

// largeFleetRetries is by how much calls that failed are repeated more rarely in a large fleet.
const largeFleetRetries = 4

// Step makes one call and applies what it brings. What has changed may be more than everything, as when a large configuration was written
// many times: where it did not arrive whole in time, everything is read at once.
func (f *Follower) Step(ctx context.Context) error {
	reread := f.restored.due(f.now())
	if f.since.At > 0 && !f.deaf && f.failed < mostFailed && !reread {
		err := f.follow(ctx)
		if !errors.Is(err, external.ErrHistoryGone) && !errors.Is(err, external.ErrSlowResponse) {
			return err
		}
	}
	f.failed = 0
	err := f.snapshot(ctx)
	if err == nil && reread {
		f.restored.rereads++
	}
	return err
}

// mostFailed is the number of calls for changes that fail in a row before everything is read once instead: what has changed may be
// more than everything, as when a large configuration was written many times, and never fit into the time of a call.
const mostFailed = 2

// follow reads what has changed. Answers that tell nothing for too long are suspect; calls that fail say nothing of that.
func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyConfig), f.times.Call+f.times.PeerCall)
	defer cancel()
	own, asked := f.own(), f.now()
	u, err := f.source.Changes(ctx, f.since, own)
	if err != nil {
		f.failed++
		return eris.Wrap(err, "reading what has changed")
	}
	f.failed = 0
	f.near = u.FromPeer
	now := f.now()
	if u.Events > 0 || f.changedAt.IsZero() {
		f.changedAt = now
	}
	f.deaf = now.Sub(f.changedAt) >= f.times.Silence
	f.apply(u, u.Complete)
	f.contacted(asked, u)
	f.polled(own && !u.FromPeer)
	return nil
}

// snapshot reads everything. It may take longer than a call for changes, as it is larger.
func (f *Follower) snapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyConfig), snapshotCalls*f.times.Call+f.times.PeerCall)
	defer cancel()
	asked := f.now()
	u, err := f.source.Snapshot(ctx, f.since)
	if err != nil {
		return eris.Wrap(err, "reading the configuration and the endpoints")
	}
	f.changedAt, f.deaf, f.near = f.now(), false, u.FromPeer
	f.apply(u, true)
	f.contacted(asked, u)
	return nil
}

// snapshotCalls is how many times the limit of a call a snapshot may take.
const snapshotCalls = 2

// apply brings the view up to date.
func (f *Follower) apply(u Update, whole bool) {
	f.reject(u.Bad)
	f.learn(u)
	if whole {
		u.Endpoints = f.reconcile(u.Endpoints)
	}
	f.since.At = max(f.since.At, u.At)
	f.since.ConfigAt = max(f.since.ConfigAt, u.ConfigAt)
	f.since.OperatorAt = max(f.since.OperatorAt, u.OperatorAt)
	if u.Config != nil {
		f.take(*u.Config)
	}
	f.history.add(u, whole, f.since, f.now().Add(-u.Age))
	f.evacuate(u)
	if whole {
		came, went := f.pool.Replace(u.Endpoints)
		f.logEndpoints("endpoints_read", came, went, u.At)
	} else {
		f.applyEndpoints(u)
	}
	for _, e := range u.Entries {
		f.entries(e)
	}
}

// BadRecord is a record that cannot be read, as another writer may leave it. It names no endpoint.
type BadRecord struct {
	Key      string
	Revision int64
	Err      error // names the field at fault
}

const (
	mostRejected = 256 // records whose last fault is remembered, so that each is told once
	mostTold     = 20  // lines about them for one answer of the store
)

// reject logs records that cannot be read: one line for each and its revision, and one for those that are too many.
func (f *Follower) reject(list []BadRecord) {
	told := 0
	for _, b := range list {
		if f.rejected[b.Key] == b.Revision {
			continue
		}
		if len(f.rejected) >= mostRejected {
			clear(f.rejected)
		}
		f.rejected[b.Key] = b.Revision
		f.onRejected()
		if told++; told <= mostTold {
			f.log.Warn().Str("event", "record_rejected").Str("key", b.Key).Err(b.Err).Int64("revision", b.Revision).
				Msg("a record cannot be read; it names no endpoint")
		}
	}
	if told > mostTold {
		f.log.Warn().Str("event", "records_rejected").Int("more", told-mostTold).Msg("more records cannot be read")
	}
}

// evacuate puts the operator's orders to evacuate availability zones in force.
func (f *Follower) evacuate(u Update) {
	reliable := !f.restored.missing(f.now())
	changed, zones := f.history.evacuate(u, reliable)
	if u.Evacuated != nil && !reliable && !slices.Equal(slices.Sorted(slices.Values(u.Evacuated.Zones)), zones) {
		f.restored.differs = true
	}
	if len(changed) == 0 {
		return
	}
	f.pool.SetEvacuated(zones)
	for _, o := range changed {
		event, msg := "zone_returned", "an availability zone's endpoints get work again"
		if o.On {
			event, msg = "zone_evacuated", "an availability zone's endpoints get no new work"
		}
		f.log.Info().Str("event", event).Str("zone", o.Zone).Int64("revision", o.Revision).Bool("told", u.FromPeer).Msg(msg)
	}
}

func (f *Follower) applyEndpoints(u Update) {
	for _, e := range u.Endpoints {
		if f.pool.Put(e) {
			f.log.Info().Str("event", "endpoint_seen").Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Addr).
				Bool("draining", e.Draining).Int64("revision", u.At).Msg("an endpoint is new or has changed its state")
		}
	}
	for _, id := range u.Removed {
		if f.pool.Remove(id) {
			f.log.Info().Str("event", "endpoint_gone").Str("endpoint", id).Int64("revision", u.At).Msg("an endpoint's record is gone")
		}
	}
}

func (f *Follower) logEndpoints(event string, came, went int, at int64) {
	if came+went == 0 {
		return
	}
	f.log.Info().Str("event", event).Int("came", came).Int("went", went).Int64("revision", at).Msg("the endpoints were read")
}

// take puts a configuration in force if it is newer than the one that is.
func (f *Follower) take(cfg route.Config) {
	old := f.table.Load()
	if old != nil && cfg.Version <= old.Version() {
		return
	}
	t, err := route.Compile(cfg)
	if err != nil {
		f.log.Error().Str("event", "configuration_rejected").Int64("version", cfg.Version).Err(err).Msg("the configuration in force holds")
		return
	}
	f.table.Store(t)
	f.log.Info().Str("event", "configuration_taken").Int64("version", cfg.Version).Int("routes", len(cfg.Routes)).
		Int("customers", len(cfg.Customers)).Msg("a configuration is in force")
	for _, g := range f.changed {
		g(t)
	}
}

// note keeps whether the store answers, and logs when that changes.
func (f *Follower) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case err != nil && !f.lost && now.Sub(f.answered) > f.times.Call:
		f.lost = true
		f.log.Warn().Str("event", "store_lost").Err(err).Dur("age", now.Sub(f.answered)).Msg("the store does not answer")
	case err == nil && f.lost:
		f.lost = false
		f.log.Info().Str("event", "store_regained").Dur("after", now.Sub(f.answered)).Msg("the store answers again")
	}
	if err == nil {
		f.answered = now
	}
}
