package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Crash is one run of a request that the process of its endpoint did not outlive.
type Crash struct {
	Run      string // names one run of the endpoint's process
	Began    time.Time
	Ended    time.Time
	Streamed bool // the run had passed events on
}

// What ends weigh. A request that three endpoints in a row did not outlive from its first token on is kept back at the third end; one whose
// runs had passed events on, so that something else may have ended their endpoints, after six: else requests would be kept back that were only caught by an
// endpoint's end.
const (
	endWeight    = 2
	eventsWeight = 1
	heldFrom     = 3 * endWeight
	// overlapMost is what all runs weigh together that were under way at once with one that counts: many endpoints that end at the same moment
	// end for another reason than one request that several callers send.
	overlapMost = 2
	// loneFrom is the weight from which a request runs once at a time here and is not sent again by us: two ends in a row.
	loneFrom = 2 * endWeight
)

const (
	// sameEnd is how far apart two instances may see one end. An endpoint that has ended is back after a second or more.
	sameEnd = time.Second
	// clockSlack is by how much moments reported by other instances may be off: the time that a message takes.
	clockSlack = 20 * time.Millisecond

	// DefaultDuration is how long a request is kept back after its last end, before it is tried again once. Endpoints with a fault in their
	// software are replaced in minutes; each try that fails ends one more.
	DefaultDuration = 10 * time.Minute
	oldLives        = 3 // after so many without a word it counts as new
	mostLonger      = 3 // times that the life doubles, once for each such try that ended its endpoint

	mostRecords  = 4096 // some 300 bytes each
	mostCustomer = 512  // of one customer: many different requests of one do not drive out those of others
	mostEnds     = 16   // of one request
)

// record is what is known of one request.
type record struct {
	digest   Digest
	customer string
	// gen counts the runs that ended well after a suspicion: what was known before them is void
	gen    uint32
	ends   []Crash // in the order in which they ended
	held   time.Time
	probes int // tries after a life that ended their endpoints
	at     time.Time
	seq    uint64
	from   string // the instance that told all that is known, and need not be told; empty: none did
	open   int    // runs under way here that began under suspicion
}

// weight sums up the ends: those of runs in a row, each of which began after the one before had ended, and a little for others.
func (r *record) weight() int {
	total, overlap := 0, 0
	var last time.Time
	for _, e := range r.ends {
		w := endWeight
		if e.Streamed {
			w = eventsWeight
		}
		if last.IsZero() || e.Began.After(last.Add(-clockSlack)) {
			total += w
			last = e.Ended
			continue
		}
		overlap++
	}
	return total + min(overlap, overlapMost)
}

func (r *record) suspected() bool { return len(r.ends) > 0 || !r.held.IsZero() }

// note adds an end that is not known yet; false if it is. One end may be seen by several instances.
func (r *record) note(e Crash, same time.Duration) bool {
	for _, known := range r.ends {
		if known.Run == e.Run && e.Ended.Sub(known.Ended).Abs() < same {
			return false
		}
	}
	if len(r.ends) == mostEnds {
		return false
	}
	r.ends = append(r.ends, e)
	slices.SortFunc(r.ends, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	return true
}

// Decision reports what becomes of a request that comes.
type Decision int

// The decisions.
const (
	Run    Decision = iota // it may run
	Wait                   // a run of it is under way, after two in a row that ended their endpoints
	Refuse                 // it ended several endpoints
)

// Change reports that a request is kept back from now on, or not any more.
type Change struct {
	Digest      Digest
	Customer    string
	Quarantined bool
	Crashes     []Crash
	Local       bool // it was decided here, and not told
}

// Tracker remembers ends and decides. It does no I/O. All its methods may be called at once.
type Tracker struct {
	now     func() time.Time
	life    time.Duration
	prober  func(Digest) bool
	changed func(Change)
	news    func()

	active atomic.Int64 // requests under suspicion

	mu        sync.Mutex
	records   map[Digest]*record
	customers map[string]int // records under suspicion
	seq       uint64
}

// Option changes a Memory.
type Option func(*Tracker)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(m *Tracker) { m.now = now } }

// WithDuration sets how long a request is kept back.
func WithDuration(d time.Duration) Option { return func(m *Tracker) { m.life = d } }

// WithProber sets what reports whether this instance is the one that tries a request again once its life is over. Where none does for another
// life, all may.
func WithProber(f func(Digest) bool) Option { return func(m *Tracker) { m.prober = f } }

// OnChange sets what is told when a request is kept back or is not any more.
func OnChange(f func(Change)) Option { return func(m *Tracker) { m.changed = f } }

// OnUpdate sets what is called when something was seen here that others are to know.
func OnUpdate(f func()) Option { return func(m *Tracker) { m.news = f } }

// New makes an empty memory.
func New(opts ...Option) *Tracker {
	m := &Tracker{
		now: time.Now, life: DefaultDuration, prober: func(Digest) bool { return true }, changed: func(Change) {}, news: func() {},
		records: make(map[Digest]*record), customers: make(map[string]int),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Suspects reports whether any request of a customer is under suspicion. It costs one atomic read where none is.
func (m *Tracker) Suspects(customer string) bool {
	if m.active.Load() == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.customers[customer] > 0
}

// Enter decides on a request that comes, and when its caller may come back if it does not run. Leave ends what runs.
func (m *Tracker) Enter(p Digest) (Decision, time.Duration) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.current(p, now)
	if r == nil || !r.suspected() {
		return Run, 0
	}
	if !r.held.IsZero() {
		due := r.held.Add(m.lifeOf(r))
		mine := now.After(due) && (m.prober(p) || now.After(due.Add(m.lifeOf(r))))
		if !mine || r.open > 0 {
			return Refuse, max(due.Sub(now), time.Second)
		}
	} else if r.open > 0 && r.weight() >= loneFrom {
		return Wait, 0
	}
	r.open++
	return Run, 0
}

// Leave ends a run that Enter has let in.
func (m *Tracker) Leave(p Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.records[p]; r != nil && r.open > 0 {
		r.open--
	}
}

// Quarantined reports whether a request is kept back by now, though it was let in before.
func (m *Tracker) Quarantined(p Digest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[p]
	return r != nil && !r.held.IsZero() && m.now().Before(r.held.Add(m.lifeOf(r)))
}

// NoRetry reports whether only its caller may send a request again.
func (m *Tracker) NoRetry(p Digest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[p]
	return r != nil && (!r.held.IsZero() || r.weight() >= loneFrom)
}

// RecordCrash takes an end that was seen here.
func (m *Tracker) RecordCrash(p Digest, customer string, e Crash) {
	now := m.now()
	m.mu.Lock()
	r := m.of(p, customer, now)
	if !r.note(e, sameEnd) {
		m.mu.Unlock()
		return
	}
	probed := !r.held.IsZero() && now.After(r.held.Add(m.lifeOf(r)))
	change := m.judge(r, now, true)
	if probed {
		r.held, r.probes = now, r.probes+1
	}
	m.mu.Unlock()
	m.tell(change)
	m.news()
}

// RecordSuccess takes a run that ended well: what was known of the request before is void, everywhere.
func (m *Tracker) RecordSuccess(p Digest) {
	now := m.now()
	m.mu.Lock()
	r := m.records[p]
	if r == nil || !r.suspected() {
		m.mu.Unlock()
		return
	}
	change := m.void(r, r.gen+1, true)
	m.touch(r, now)
	m.mu.Unlock()
	m.tell(change)
	m.news()
}

func (m *Tracker) tell(c *Change) {
	if c != nil {
		m.changed(*c)
	}
}

// lifeOf is how long a request is kept back. The caller holds mu.
func (m *Tracker) lifeOf(r *record) time.Duration { return m.life << min(r.probes, mostLonger) }

// current finds a record, unless all it says is old. The caller holds mu.
func (m *Tracker) current(p Digest, now time.Time) *record {
	r := m.records[p]
	if r != nil && m.old(r, now) {
		m.drop(r)
		return nil
	}
	return r
}

// old reports whether nothing was heard of a request for so long that it counts as new. The caller holds mu.
func (m *Tracker) old(r *record, now time.Time) bool { return now.Sub(r.at) > oldLives*m.lifeOf(r) }

// of finds or makes a record. The caller holds mu.
func (m *Tracker) of(p Digest, customer string, now time.Time) *record {
	if r := m.current(p, now); r != nil {
		return r
	}
	m.makeRoom(customer)
	r := &record{digest: p, customer: customer, at: now}
	m.records[p] = r
	return r
}

// makeRoom drops the record that was heard of least lately: of the customer if it has too many, else of all. Those of requests that are kept
// back go last. The caller holds mu.
func (m *Tracker) makeRoom(customer string) {
	ofCustomer := m.customers[customer] >= mostCustomer
	if !ofCustomer && len(m.records) < mostRecords {
		return
	}
	var oldest *record
	for _, r := range m.records {
		if ofCustomer && r.customer != customer {
			continue
		}
		if oldest == nil || less(r, oldest) {
			oldest = r
		}
	}
	if oldest != nil {
		m.drop(oldest)
	}
}

// less reports whether a record is less worth keeping than another.
func less(a, b *record) bool {
	if a.held.IsZero() != b.held.IsZero() {
		return a.held.IsZero()
	}
	return a.at.Before(b.at)
}

// drop forgets a record. The caller holds mu.
func (m *Tracker) drop(r *record) {
	m.count(r, r.suspected(), false)
	delete(m.records, r.digest)
}

// touch notes that a record has changed, for those that are told. The caller holds mu.
func (m *Tracker) touch(r *record, now time.Time) {
	m.seq++
	r.seq, r.at, r.from = m.seq, now, ""
}

// count keeps the numbers of requests under suspicion. The caller holds mu.
func (m *Tracker) count(r *record, before, after bool) {
	switch {
	case after && !before:
		m.active.Add(1)
		m.customers[r.customer]++
	case before && !after:
		m.active.Add(-1)
		if m.customers[r.customer]--; m.customers[r.customer] <= 0 {
			delete(m.customers, r.customer)
		}
	}
}

// judge takes that a record has more ends: the request is kept back if they weigh enough. The caller holds mu and has added to ends only.
func (m *Tracker) judge(r *record, now time.Time, own bool) *Change {
	m.count(r, len(r.ends) > 1 || !r.held.IsZero(), true)
	m.touch(r, now)
	if !r.held.IsZero() || r.weight() < heldFrom {
		return nil
	}
	r.held = now
	return &Change{Digest: r.digest, Customer: r.customer, Quarantined: true, Crashes: slices.Clone(r.ends), Local: own}
}

// void forgets what a record says and goes on to a later generation. The caller holds mu.
func (m *Tracker) void(r *record, gen uint32, own bool) *Change {
	wasHeld := !r.held.IsZero()
	m.count(r, r.suspected(), false)
	r.gen, r.ends, r.held, r.probes = gen, nil, time.Time{}, 0
	if !wasHeld {
		return nil
	}
	return &Change{Digest: r.digest, Customer: r.customer, Local: own}
}
