package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Crash is one run of a request during which the process of its endpoint exited unexpectedly.
// An exit is unexpected if the instance does not know, when the run is interrupted, that the endpoint is leaving. Other
// exits are planned and are not recorded.
type Crash struct {
	Run      string // identifies one run of the endpoint's process
	Began    time.Time
	Ended    time.Time
	Streamed bool // the run had passed events on to the caller
}

// Weights of crashes. A request that crashes three endpoints in a row before its first token is quarantined at the
// third crash. If the runs had passed events on, something else may have crashed their endpoints, and six crashes are
// needed: otherwise requests would be quarantined that merely ran on an endpoint when it crashed.
const (
	crashWeight      = 2
	streamedWeight   = 1
	quarantineWeight = 3 * crashWeight
	// maxOverlapWeight limits the total weight of the runs that overlap with a run that counts: if many endpoints crash
	// at the same moment, the cause is not one request that several callers send.
	maxOverlapWeight = 2
	// noRetryWeight is the weight of two crashes in a row. From this weight on, an instance runs the request only once at
	// a time and does not retry it.
	noRetryWeight = 2 * crashWeight
)

const (
	// sameCrashWindow is the time within which two observations count as the same crash. A crashed endpoint takes a
	// second or more to restart.
	sameCrashWindow = time.Second
	// clockSlack is the tolerance for times that other instances report: the transit time of a message.
	clockSlack = 20 * time.Millisecond

	// DefaultDuration is how long a request is quarantined after its last crash, before it is tried once more. Endpoints
	// with faulty software are replaced within minutes; each failed try crashes another endpoint.
	DefaultDuration = 10 * time.Minute
	expiryFactor    = 3 // a record expires after this many quarantine durations without an update
	maxDoublings    = 3 // the duration doubles with each failed try, at most this often

	maxRecords         = 4096 // of some 300 bytes each
	maxCustomerRecords = 512  // so that many different requests of one customer do not evict those of others
	maxCrashes         = 16   // per request
)

// weight is the weight of a crash that counts in full.
func (c Crash) weight() int {
	if c.Streamed {
		return streamedWeight
	}
	return crashWeight
}

// record is the crash history of one request, or of one part of prompts.
type record struct {
	digest   Digest
	customer string // of a part: PartScope
	part     bool
	label    string // ID of a part
	position int    // of a part in the prompt, the last one of several
	// clearedAt is when the run that cleared a part, as this instance observed, wrote its first event. A crash that is
	// detected later than it happened does not count if it happened before.
	clearedAt time.Time
	// gen counts the successful runs of the request while it was under suspicion; each of them resets the record
	gen           uint32
	crashes       []Crash   // ordered by the time of the crash
	quarantinedAt time.Time // zero: not quarantined
	probes        int       // failed tries after the quarantine had expired
	updatedAt     time.Time
	seq           uint64
	from          string // instance that sent the complete record and need not receive it; empty: none did
	running       int    // current runs on this instance that were under suspicion when they began
}

// weight returns the total weight of the crashes. Crashes of consecutive runs, each of which began after the previous
// crash, count in full. The total weight of the others, which ran concurrently, is limited.
func (r *record) weight() int {
	if r.part {
		return partWeight(r.crashes)
	}
	total, overlap := 0, 0
	var last time.Time
	for _, c := range r.crashes {
		if last.IsZero() || c.Began.After(last.Add(-clockSlack)) {
			total += c.weight()
			last = c.Ended
			continue
		}
		overlap++
	}
	return total + min(overlap, maxOverlapWeight)
}

func (r *record) suspected() bool { return len(r.crashes) > 0 || !r.quarantinedAt.IsZero() }

// hasCrash reports whether a crash is in the record. Several instances may observe the same one.
func (r *record) hasCrash(c Crash, window time.Duration) bool {
	return slices.ContainsFunc(r.crashes, func(known Crash) bool {
		return known.Run == c.Run && c.Ended.Sub(known.Ended).Abs() < window
	})
}

// addCrash adds a crash and reports whether it is new.
func (r *record) addCrash(c Crash, window time.Duration) bool {
	if len(r.crashes) == maxCrashes || r.hasCrash(c, window) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	return true
}

// Decision is what happens to an incoming request.
type Decision int

// Decisions of a Tracker.
const (
	Run    Decision = iota // it may run
	Wait                   // it crashed two endpoints in a row, and another run of it is in progress
	Refuse                 // it is quarantined, since it crashed several endpoints
)

// Change reports that a request, or a part of prompts, is quarantined from now on, or no longer.
type Change struct {
	Digest      Digest
	Customer    string // of a part: PartScope
	Part        string // ID of a part; empty: it is a request
	Quarantined bool
	Crashes     []Crash
	Local       bool // decided by this instance, not reported by another one
}

// Tracker records crashes and decides which requests may run. It performs no I/O and is safe for concurrent use.
type Tracker struct {
	now      func() time.Time
	duration time.Duration
	prober   func(Digest) bool
	onChange func(Change)
	onUpdate func()

	suspects atomic.Int64 // requests under suspicion

	mu        sync.Mutex
	records   map[Digest]*record
	customers map[string]int // records under suspicion, by customer
	seq       uint64
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(t *Tracker) { t.now = now } }

// WithDuration sets how long a request is quarantined.
func WithDuration(d time.Duration) Option { return func(t *Tracker) { t.duration = d } }

// WithProber sets a function that reports whether this instance is the one that tries a request again when its
// quarantine has expired. If no instance has done so after another quarantine duration, all may.
func WithProber(f func(Digest) bool) Option { return func(t *Tracker) { t.prober = f } }

// OnChange sets a function that is called when a request is quarantined or released.
func OnChange(f func(Change)) Option { return func(t *Tracker) { t.onChange = f } }

// OnUpdate sets a function that is called after an observation on this instance that others need to receive.
func OnUpdate(f func()) Option { return func(t *Tracker) { t.onUpdate = f } }

// New returns an empty Tracker.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		now: time.Now, duration: DefaultDuration, prober: func(Digest) bool { return true }, onChange: func(Change) {}, onUpdate: func() {},
		records: make(map[Digest]*record), customers: make(map[string]int),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Suspects reports whether any request of a customer is under suspicion. It costs one atomic read if no request of
// any customer is.
func (t *Tracker) Suspects(customer string) bool {
	if t.suspects.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.customers[customer] > 0
}

// Enter decides whether an incoming request may run. If not, it also returns the time after which the caller may retry.
// When a request that may run has ended, Leave must be called.
func (t *Tracker) Enter(d Digest) (Decision, time.Duration) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.lookup(d, now)
	if r == nil || !r.suspected() {
		return Run, 0
	}
	if !r.quarantinedAt.IsZero() {
		due := r.quarantinedAt.Add(t.durationOf(r))
		mayProbe := now.After(due) && (t.prober(d) || now.After(due.Add(t.durationOf(r))))
		if !mayProbe || r.running > 0 {
			return Refuse, max(due.Sub(now), time.Second)
		}
	} else if r.running > 0 && r.weight() >= noRetryWeight {
		return Wait, 0
	}
	r.running++
	return Run, 0
}

// Leave records the end of a run that Enter has admitted.
func (t *Tracker) Leave(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[d]; r != nil && r.running > 0 {
		r.running--
	}
}

// Quarantined reports whether a request is quarantined now, although it was admitted earlier.
func (t *Tracker) Quarantined(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	return r != nil && !r.quarantinedAt.IsZero() && t.now().Before(r.quarantinedAt.Add(t.durationOf(r)))
}

// NoRetry reports whether the instance must not retry a request itself. Its caller may still send it again.
func (t *Tracker) NoRetry(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	return r != nil && (!r.quarantinedAt.IsZero() || r.weight() >= noRetryWeight)
}

// RecordCrash records a crash that this instance has observed.
func (t *Tracker) RecordCrash(d Digest, customer string, c Crash) {
	now := t.now()
	t.mu.Lock()
	r := t.lookupOrCreate(d, customer, now)
	if !r.addCrash(c, sameCrashWindow) {
		t.mu.Unlock()
		return
	}
	probeFailed := !r.quarantinedAt.IsZero() && now.After(r.quarantinedAt.Add(t.durationOf(r)))
	change := t.evaluate(r, now, true)
	if probeFailed {
		r.quarantinedAt, r.probes = now, r.probes+1
	}
	t.mu.Unlock()
	t.notify(change)
	t.onUpdate()
}

// RecordSuccess records a successful run. It resets the record of the request, on all instances.
func (t *Tracker) RecordSuccess(d Digest) {
	now := t.now()
	t.mu.Lock()
	r := t.records[d]
	if r == nil || !r.suspected() {
		t.mu.Unlock()
		return
	}
	change := t.reset(r, r.gen+1, true)
	t.markChanged(r, now)
	t.mu.Unlock()
	t.notify(change)
	t.onUpdate()
}

func (t *Tracker) notify(c *Change) {
	if c != nil {
		t.onChange(*c)
	}
}

// durationOf returns how long a request or a part is quarantined. The caller holds mu.
func (t *Tracker) durationOf(r *record) time.Duration {
	if r.part {
		return t.duration / partDurationDivisor << min(r.probes, maxPartDoublings)
	}
	return t.duration << min(r.probes, maxDoublings)
}

// lookup finds a record, unless it has expired. The caller holds mu.
func (t *Tracker) lookup(d Digest, now time.Time) *record {
	r := t.records[d]
	if r != nil && t.expired(r, now) {
		t.remove(r)
		return nil
	}
	return r
}

// expired reports whether a record has had no update for so long that its request counts as new. The caller holds mu.
func (t *Tracker) expired(r *record, now time.Time) bool {
	return now.Sub(r.updatedAt) > expiryFactor*t.durationOf(r)
}

// lookupOrCreate finds or creates a record. The caller holds mu.
func (t *Tracker) lookupOrCreate(d Digest, customer string, now time.Time) *record {
	if r := t.lookup(d, now); r != nil {
		return r
	}
	t.evict(customer)
	r := &record{digest: d, customer: customer, updatedAt: now}
	t.records[d] = r
	return r
}

// evict removes the least recently updated record if there are too many. If the customer has too many, it removes one
// of the customer's records. Quarantined requests are removed last. The caller holds mu.
func (t *Tracker) evict(customer string) {
	ofCustomer := t.customers[customer] >= maxCustomerRecords
	if !ofCustomer && len(t.records) < maxRecords {
		return
	}
	var oldest *record
	for _, r := range t.records {
		if ofCustomer && r.customer != customer {
			continue
		}
		if oldest == nil || lessImportant(r, oldest) {
			oldest = r
		}
	}
	if oldest != nil {
		t.remove(oldest)
	}
}

// lessImportant reports whether a is to be evicted before b.
func lessImportant(a, b *record) bool {
	if a.quarantinedAt.IsZero() != b.quarantinedAt.IsZero() {
		return a.quarantinedAt.IsZero()
	}
	return a.updatedAt.Before(b.updatedAt)
}

// remove deletes a record. The caller holds mu.
func (t *Tracker) remove(r *record) {
	t.countSuspects(r, r.suspected(), false)
	delete(t.records, r.digest)
}

// markChanged marks a record as changed, so that other instances receive it. The caller holds mu.
func (t *Tracker) markChanged(r *record, now time.Time) {
	t.seq++
	r.seq, r.updatedAt, r.from = t.seq, now, ""
}

// countSuspects updates the counts of suspected requests for a record that was suspected before, or is after, a
// change. The caller holds mu.
func (t *Tracker) countSuspects(r *record, before, after bool) {
	switch {
	case after && !before:
		t.suspects.Add(1)
		t.customers[r.customer]++
	case before && !after:
		t.suspects.Add(-1)
		if t.customers[r.customer]--; t.customers[r.customer] <= 0 {
			delete(t.customers, r.customer)
		}
	}
}

// evaluate quarantines a request if its crashes weigh enough. The caller holds mu and has just added a single crash,
// and changed nothing else.
func (t *Tracker) evaluate(r *record, now time.Time, local bool) *Change {
	t.countSuspects(r, len(r.crashes) > 1 || !r.quarantinedAt.IsZero(), true)
	t.markChanged(r, now)
	if !r.quarantinedAt.IsZero() || r.weight() < quarantineWeight {
		return nil
	}
	r.quarantinedAt = now
	return r.change(true, local)
}

// change returns the report that the record is quarantined from now on, or no longer.
func (r *record) change(quarantined, local bool) *Change {
	return &Change{Digest: r.digest, Customer: r.customer, Part: r.label, Quarantined: quarantined, Crashes: slices.Clone(r.crashes), Local: local}
}

// reset clears a record and sets a later generation. The caller holds mu.
func (t *Tracker) reset(r *record, gen uint32, local bool) *Change {
	wasQuarantined := !r.quarantinedAt.IsZero()
	t.countSuspects(r, r.suspected(), false)
	r.gen, r.crashes, r.quarantinedAt, r.probes = gen, nil, time.Time{}, 0
	if !wasQuarantined {
		return nil
	}
	return r.change(false, local)
}
