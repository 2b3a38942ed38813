package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

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
	// unevaluated is set if received crashes of parts were not evaluated yet. A message has the crashes of several parts, and
	// which of them is the cause shows only once all are known.
	unevaluated bool
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
	t.evaluateReceived()
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
	t.evaluateReceived()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	return r != nil && !r.quarantinedAt.IsZero() && t.now().Before(r.quarantinedAt.Add(t.durationOf(r)))
}

// NoRetry reports whether the instance must not retry a request itself. Its caller may still send it again.
func (t *Tracker) NoRetry(d Digest) bool {
	t.evaluateReceived()
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
	t.dropExplained(r)
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
