// Package follow keeps this instance's view of the configuration and the endpoints up to date from the platform's
// store.
//
// It polls for changes at short intervals with a timeout on each call. It does not use a long-lived watch, because a
// watch that was opened before a network partition may stay silent after it. Endpoints rewrite their records all the
// time, so a change history that stays empty for too long is suspect, and the follower reads everything again.
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

// Update is the result of one read of the store: a snapshot, or the changes since a cursor.
type Update struct {
	Config    *route.Config    // nil: not changed, or absent from the store
	Endpoints []pool.Endpoint  // all of them in a snapshot, else those whose records were written
	Removed   []string         // endpoints whose records were removed
	Entries   []external.Entry // other values
	Bad       []BadRecord      // records that could not be decoded; the other records are valid
	At        int64            // the revision from which the next read continues
	ConfigAt  int64            // the revision of the configuration that was read last; 0: none was read
	// OperatorAt is the revision up to which the operator's orders are included; 0: they were not read
	OperatorAt  int64
	Evacuations []evacuation.Order // the orders that have changed
	Evacuated   *evacuation.Set    // all orders in force; nil: not included
	Events      int                // number of changes of any kind that the store reported
	Complete    bool               // Endpoints holds all endpoints, although only changes were requested
	FromPeer    bool               // the update comes from another instance, which follows the store
	Age         time.Duration      // time since that instance received a response from the store
	Partial     bool               // further parts of the snapshot follow, from Next
	Next        Part
	Interrupted error // why the changes do not reach up to the store's revision; the next read continues after them
	Newest      int64 // the highest revision of a record in a snapshot, or in a part of one
}

// Part is the position from which a snapshot that is read in several calls continues. The zero value is its beginning.
type Part struct {
	At    int64  // the revision of the snapshot's first read
	After string // the last key that was read
}

// Source reads the store and decodes its records.
type Source interface {
	// Snapshot reads everything, or a part of it. A snapshot of another instance is accepted only if it is at least as
	// recent as known. On external.ErrHistoryGone the caller must start again from the zero Part.
	Snapshot(ctx context.Context, known Cursor, from Part) (Update, error)
	// Changes reads what has changed since a cursor. On external.ErrHistoryGone the caller must read a snapshot. Without
	// fleetRecords, the result omits the records that the fleet itself writes.
	Changes(ctx context.Context, since Cursor, fleetRecords bool) (Update, error)
}

// Cursor is the position up to which the store has been read, in its revisions.
type Cursor struct {
	At         int64 // revision of the last change that was read
	ConfigAt   int64 // revision of the last configuration
	OperatorAt int64 // revision of the last change of the operator's orders
}

// Times are a follower's intervals.
type Times struct {
	Poll     time.Duration // interval between calls
	PeerPoll time.Duration // interval between calls while another instance answers them
	Call     time.Duration // timeout of one call to the store
	PeerCall time.Duration // time added to that timeout for asking other instances first
	Retry    time.Duration // pause after a failed call
	Silence  time.Duration // after this long without any change, everything is read again
}

// DefaultTimes puts a change in force well within two seconds of its acknowledgement by the store.
func DefaultTimes() Times {
	return Times{
		Poll: 500 * time.Millisecond, PeerPoll: 300 * time.Millisecond, Call: 800 * time.Millisecond, PeerCall: 500 * time.Millisecond, Retry: 150 * time.Millisecond,
		Silence: 1200 * time.Millisecond,
	}
}

// Follower is the service that follows the store.
type Follower struct {
	source           Source
	pool             *pool.Pool
	times            Times
	now              func() time.Time
	log              zerolog.Logger
	table            atomic.Pointer[route.Table]
	onTable          []func(*route.Table)
	onEntry          func(external.Entry)
	onPolled         func(fleetRecords bool)
	withFleetRecords func() bool
	history          *history
	pollNow          chan struct{}

	rejected   map[string]int64 // revisions of records that could not be read, by key
	onRejected func()

	mu             sync.Mutex
	since          Cursor
	answered       time.Time
	contact        time.Time // see LastContact
	lastChange     time.Time // time of the last response that reported any change
	lastChangeAt   int64     // the revision up to which that response reached
	historySuspect bool      // responses have reported no change for Times.Silence
	failed         int       // consecutive failed calls for changes
	lastFromPeer   bool      // the last response came from another instance
	storeLost      bool
	restoration    restoration
	partial        partialSnapshot
}

// Option changes a Follower.
type Option func(*Follower)

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(f *Follower) { f.times = t } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(f *Follower) { f.log = log } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(f *Follower) { f.now = now } }

// OnTable adds a callback for each newer configuration.
func OnTable(g func(*route.Table)) Option {
	return func(f *Follower) { f.onTable = append(f.onTable, g) }
}

// OnEntry sets the callback for values other than the configuration, endpoints and operator's orders.
func OnEntry(g func(external.Entry)) Option { return func(f *Follower) { f.onEntry = g } }

// OnPolled sets the callback that runs after the changes of each response have been applied. fleetRecords reports
// whether they included the records that the fleet itself writes.
func OnPolled(g func(fleetRecords bool)) Option { return func(f *Follower) { f.onPolled = g } }

// OnRejected sets the callback for a record that cannot be decoded. It is called once for each revision of the record.
func OnRejected(g func()) Option { return func(f *Follower) { f.onRejected = g } }

// WithFleetRecords sets whether to read the records that the fleet itself writes. The instances of a small fleet read
// them in the same call. In a large fleet, each instance would then read what all others write.
func WithFleetRecords(g func() bool) Option { return func(f *Follower) { f.withFleetRecords = g } }

// New makes a follower that keeps a pool's endpoints up to date.
func New(source Source, p *pool.Pool, opts ...Option) *Follower {
	f := &Follower{
		source: source, pool: p, times: DefaultTimes(), now: time.Now, log: zerolog.Nop(), onEntry: func(external.Entry) {},
		onPolled: func(bool) {}, withFleetRecords: func() bool { return true }, history: newHistory(), pollNow: make(chan struct{}, 1), rejected: make(map[string]int64), onRejected: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Name implements kernel.Service.
func (*Follower) Name() string { return "follow" }

// Table returns the configuration in force; nil before the first one.
func (f *Follower) Table() *route.Table { return f.table.Load() }

// Age returns the time since the last successful call, to the store or to another instance that follows it.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.answered)
}

// LastContact returns the time at which this instance's data was last known to be current: the start of the last
// successful call, less the age of the data if another instance sent it. It uses the start of the call, because a
// response may have waited in a socket while this machine was suspended. Before the first successful call it returns
// the zero time.
func (f *Follower) LastContact() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// noteContact records a response to a call that was made at calledAt.
func (f *Follower) noteContact(calledAt time.Time, u Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := calledAt.Add(-u.Age); at.After(f.contact) {
		f.contact = at
	}
}

// PollNow starts the next call without waiting for the interval to end.
func (f *Follower) PollNow() {
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := f.Step(ctx)
		f.recordOutcome(err)
		t := time.NewTimer(f.wait(err))
		select {
		case <-ctx.Done():
		case <-f.pollNow:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

// wait returns the time until the next call, given the error of the last one.
func (f *Follower) wait(err error) time.Duration {
	switch {
	case err != nil && f.withFleetRecords():
		return f.times.Retry
	case err != nil:
		return largeFleetRetryFactor*f.times.Retry + rand.N(f.times.Retry)
	case f.lastFromPeer:
		return f.times.PeerPoll
	}
	return f.times.Poll
}

// largeFleetRetryFactor multiplies the pause after a failed call in a large fleet.
const largeFleetRetryFactor = 4

// Step makes one call and applies its result. The changes may be larger than a snapshot, for example if a large
// configuration was written many times. If they do not arrive completely in time, Step reads a snapshot at once.
func (f *Follower) Step(ctx context.Context) error {
	reread := f.restoration.rereadDue(f.now())
	if f.since.At > 0 && !f.historySuspect && f.failed < maxFailedChanges && !reread {
		err := f.follow(ctx)
		if !errors.Is(err, external.ErrHistoryGone) && !errors.Is(err, external.ErrSlowResponse) {
			return err
		}
	}
	f.failed = 0
	err := f.snapshot(ctx)
	if err == nil && reread {
		f.restoration.rereads++
	}
	return err
}

// maxFailedChanges is the number of consecutive failed calls for changes after which a snapshot is read instead. The
// changes may be larger than a snapshot, for example if a large configuration was written many times, and never arrive
// within the timeout.
const maxFailedChanges = 2

// follow reads the changes since the last read. It marks the history as suspect if successful calls have reported no
// change for too long. Failed calls do not count towards that.
func (f *Follower) follow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyConfig), f.times.Call+f.times.PeerCall)
	defer cancel()
	fleetRecords, calledAt := f.withFleetRecords(), f.now()
	u, err := f.source.Changes(ctx, f.since, fleetRecords)
	if err != nil {
		f.failed++
		return eris.Wrap(err, "reading what has changed")
	}
	if u.Interrupted != nil {
		f.log.Debug().Str("event", "changes_interrupted").Err(u.Interrupted).Int64("revision", u.At).Msg("the store has further changes")
	}
	f.failed = 0
	f.lastFromPeer = u.FromPeer
	now := f.now()
	if u.Events > 0 || f.lastChange.IsZero() {
		f.lastChange = now
	}
	f.historySuspect = now.Sub(f.lastChange) >= f.times.Silence
	f.apply(u, u.Complete)
	if u.Events > 0 {
		f.lastChangeAt = f.since.At
	}
	f.noteContact(calledAt, u)
	f.onPolled(fleetRecords && !u.FromPeer)
	return nil
}

// apply brings the configuration, the pool and the history up to date. complete reports that u holds all endpoints.
func (f *Follower) apply(u Update, complete bool) {
	f.logRejected(u.Bad)
	f.noteEpoch(u)
	if complete {
		u.Endpoints = f.reconcile(u.Endpoints)
	}
	f.since.At = max(f.since.At, u.At)
	f.since.ConfigAt = max(f.since.ConfigAt, u.ConfigAt)
	f.since.OperatorAt = max(f.since.OperatorAt, u.OperatorAt)
	if u.Config != nil {
		f.applyConfig(*u.Config)
	}
	f.history.add(u, complete, f.since, f.now().Add(-u.Age))
	f.applyEvacuations(u)
	if complete {
		added, removed := f.pool.Replace(u.Endpoints)
		f.logEndpoints("endpoints_read", added, removed, u.At)
	} else {
		f.applyEndpoints(u)
	}
	for _, e := range u.Entries {
		f.onEntry(e)
	}
}

// BadRecord is a record that cannot be decoded. Other writers may leave such records. An endpoint whose record is bad
// counts as removed.
type BadRecord struct {
	Key      string
	Revision int64
	Err      error // names the invalid field
}

const (
	maxRejected       = 256 // records whose last rejected revision is remembered, so that each is logged once
	maxRejectionLines = 20  // log lines about rejected records for one response of the store
)

// logRejected logs records that cannot be decoded and calls onRejected for each: one line for each revision of a
// record, and one line with the number of those beyond maxRejectionLines.
func (f *Follower) logRejected(list []BadRecord) {
	logged := 0
	for _, b := range list {
		if f.rejected[b.Key] == b.Revision {
			continue
		}
		if len(f.rejected) >= maxRejected {
			clear(f.rejected)
		}
		f.rejected[b.Key] = b.Revision
		f.onRejected()
		if logged++; logged <= maxRejectionLines {
			f.log.Warn().Str("event", "record_rejected").Str("key", b.Key).Err(b.Err).Int64("revision", b.Revision).
				Msg("record cannot be decoded; ignored")
		}
	}
	if logged > maxRejectionLines {
		f.log.Warn().Str("event", "records_rejected").Int("more", logged-maxRejectionLines).Msg("more records cannot be decoded")
	}
}

// applyEvacuations puts the operator's orders to evacuate availability zones in force.
func (f *Follower) applyEvacuations(u Update) {
	reliable := !f.restoration.keepsMissing(f.now())
	changed, zones := f.history.applyEvacuations(u, reliable)
	if u.Evacuated != nil && !reliable && !slices.Equal(slices.Sorted(slices.Values(u.Evacuated.Zones)), zones) {
		f.restoration.differs = true
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

// maxEndpointLines is the maximum number of log lines about endpoints of one update.
const maxEndpointLines = 20

func (f *Follower) applyEndpoints(u Update) {
	changes := 0
	for _, e := range u.Endpoints {
		if !f.pool.Put(e) {
			continue
		}
		if changes++; changes <= maxEndpointLines {
			f.log.Info().Str("event", "endpoint_seen").Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Addr).
				Str("software", e.Software).Bool("draining", e.Draining).Int64("revision", u.At).Msg("endpoint added or changed")
		}
	}
	for _, id := range u.Removed {
		if !f.pool.Remove(id) {
			continue
		}
		if changes++; changes <= maxEndpointLines {
			f.log.Info().Str("event", "endpoint_gone").Str("endpoint", id).Int64("revision", u.At).Msg("endpoint's record removed")
		}
	}
	if changes > maxEndpointLines {
		f.log.Info().Str("event", "endpoints_changed").Int("more", changes-maxEndpointLines).Int64("revision", u.At).Msg("more endpoints were added, changed or removed")
	}
}

func (f *Follower) logEndpoints(event string, added, removed int, at int64) {
	if added+removed == 0 {
		return
	}
	f.log.Info().Str("event", event).Int("came", added).Int("went", removed).Int64("revision", at).Msg("full list of endpoints applied")
}

// applyConfig puts a configuration in force if it is newer than the current one.
func (f *Follower) applyConfig(cfg route.Config) {
	old := f.table.Load()
	if old != nil && cfg.Version <= old.Version() {
		return
	}
	t, err := route.Compile(cfg)
	if err != nil {
		f.log.Error().Str("event", "configuration_rejected").Int64("version", cfg.Version).Err(err).Msg("configuration is invalid; the current one stays in force")
		return
	}
	f.table.Store(t)
	f.log.Info().Str("event", "configuration_taken").Int64("version", cfg.Version).Int("routes", len(cfg.Routes)).
		Int("customers", len(cfg.Customers)).Msg("configuration is in force")
	for _, g := range f.onTable {
		g(t)
	}
}

// recordOutcome records whether the store answers, and logs when that changes.
func (f *Follower) recordOutcome(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case err != nil && !f.storeLost && now.Sub(f.answered) > f.times.Call:
		f.storeLost = true
		f.log.Warn().Str("event", "store_lost").Err(err).Dur("age", now.Sub(f.answered)).Msg("the store does not answer")
	case err == nil && f.storeLost:
		f.storeLost = false
		f.log.Info().Str("event", "store_regained").Dur("after", now.Sub(f.answered)).Msg("the store answers again")
	}
	if err == nil {
		f.answered = now
	}
}
