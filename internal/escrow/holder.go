package escrow

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Prepaid is a customer's prepaid amount in the current configuration.
type Prepaid struct {
	Customer string
	Tokens   int64 // Unlimited: no limit
}

// Unlimited marks a customer without a prepaid amount.
const Unlimited = -1

// Times are a holder's intervals and time limits.
type Times struct {
	RefreshInterval time.Duration // between regular refreshes
	MinGap          time.Duration // minimum time between refreshes that waiting requests cause
	CallTimeout     time.Duration // limit of one call to the store
	Backoff         time.Duration // pause after a failed call
	ReserveWait     time.Duration // how long a reservation waits for a refresh
	ContactTimeout  time.Duration // no reservation waits if the store has not answered for this long
	// ExhaustedPause is how long no reservation of a customer waits after a refresh that brought too little.
	ExhaustedPause time.Duration

	// The following apply to zones with a leader.
	SubmitInterval     time.Duration // from a leader's receipt to the next submission
	GatherWindow       time.Duration // how long rows of other holders wait for more of them
	UrgentGatherWindow time.Duration // the same, if one of these holders cannot serve until its row is written
	MinGroupGap        time.Duration // minimum time between writes of a page for other holders
	// MinRelayedGap is the same if leaders of other zones wait as well, since these hold back their zones' next rows
	// meanwhile.
	MinRelayedGap time.Duration
	RelayTimeout  time.Duration // limit of a leader's call to the leader of another zone
	LoanTimeout   time.Duration // limit of a loan request; the holder that gives the loan may have to refresh first
	// DormantLoanTimeout is the same for a holder without rows. The pool may need two writes, the one under way and its
	// own.
	DormantLoanTimeout time.Duration
	RepayInterval      time.Duration // between repayments of loans
}

// DefaultTimes returns intervals for a store that answers within milliseconds.
func DefaultTimes() Times {
	return Times{
		RefreshInterval: time.Second, MinGap: 30 * time.Millisecond, CallTimeout: 900 * time.Millisecond, Backoff: 250 * time.Millisecond,
		ReserveWait: 90 * time.Millisecond, ContactTimeout: 1500 * time.Millisecond, ExhaustedPause: 300 * time.Millisecond,
		SubmitInterval: 800 * time.Millisecond, GatherWindow: 120 * time.Millisecond, UrgentGatherWindow: 40 * time.Millisecond, MinGroupGap: 700 * time.Millisecond,
		MinRelayedGap: 500 * time.Millisecond, RelayTimeout: 900 * time.Millisecond, LoanTimeout: 180 * time.Millisecond, DormantLoanTimeout: 350 * time.Millisecond, RepayInterval: 200 * time.Millisecond,
	}
}

const (
	holdersPerInterval = 12 // number of holders that add one RefreshInterval to the time between regular refreshes
	maxIntervalFactor  = 6
	copyFreshFor       = 300 * time.Millisecond // older copies of a page are read again before the page is written
	// selfWrittenFreshFor is the same for a page that this holder wrote last. A longer time is safe, since a write
	// reports a conflict if another holder has written the page.
	selfWrittenFreshFor = 3 * time.Second
)

// Holder is this process's part of the escrow. It runs as a service, and requests reserve tokens from it.
type Holder struct {
	id      string
	node    string
	prefix  string // of the pages' keys
	started Report // report of the process's start
	store   external.KV
	clock   Clock
	now     func() time.Time
	wall    func() time.Time
	random  func() float64 // in [0, 1)
	policy  Policy
	times   Times
	log     zerolog.Logger

	onSettlement func(Settlement)
	epochs       *external.Epochs
	restoredAt   atomic.Pointer[time.Time] // when this process noticed the store's last restoration; nil: never

	mu          sync.Mutex
	accounts    map[string]*account
	pages       []*pageState
	localMeter  meter         // of all customers at this holder
	fleetMeter  meter         // of all customers at all holders, as reported
	lastAnswer  time.Time     // of the store
	unanswered  time.Time     // when the first call since lastAnswer began; zero: none has begun
	lastFailure time.Time     // of a refresh
	lastRefresh time.Time     // the last regular refresh
	firstDemand time.Time     // when a request for tokens was first noticed
	holderCount int           // number of holders in the pages
	changed     chan struct{} // closed and replaced after each refresh
	stopping    bool
	leaving     bool // Leave has been called

	fleet Fleet // nil: this holder is standalone
	// leaderRate is the tokens per second that all holders use of all customers, as reported by the zone's leader.
	leaderRate       float64
	zoneDemand       map[string]reportedDemand // by holder of the zone that this one leads
	loanCount        int64
	loans            map[loanKey]loanRecord     // given to other holders
	returnedEarly    map[loanKey]time.Time      // repaid before they were given
	endedLoans       map[string]map[int64]int64 // ended and not yet repaid, by lending holder and number
	unreachableSince map[string]time.Time       // since when repayments to a holder have failed; only Repayments uses it

	wakeups chan struct{}

	layoutResolved bool // only Run uses it
	pagesStated    int  // the number of pages that the store or a leader has stated since the last round; 0: none

	active           bool // this holder has had rows, or is about to: see isDormant
	readyWithoutRows bool // it was dormant when it became ready
}

// pageState is the holder's state of one page.
type pageState struct {
	key             string
	raw             []byte
	revision        int64
	known           bool  // raw was read and is not known to be outdated
	count           int64 // of this holder's last write that is known to have succeeded
	unconfirmedBase int64 // the base revision of a write with unknown outcome; -1: none
	// submitted is set while a leader may still write rows of this holder that follow count.
	submitted bool
	pending   []*pendingPart // rows of other holders
	joined    bool           // the page has this holder
	epoch     int64          // of the store, in which this holder last stated its rows
	prior     priorCopy
	// unsettled is set while rows of this node's earlier processes are left.
	unsettled   bool
	refreshedAt time.Time
	verifiedAt  time.Time        // when the copy was known to be the newest
	selfWritten bool             // this holder has written the copy
	reported    map[string]int64 // spent, by customer, as last written
	presentAt   int64            // the latest revision at which the page is known to have had this holder; 0: none
	ended       bool             // this holder's rows were settled, so it must not write any again
	// settledEarlier is set if this holder is dormant and the rows of the node's earlier processes are settled.
	settledEarlier bool
}

// Option changes a Holder.
type Option func(*Holder)

// WithPolicy replaces the policy that sizes grants.
func WithPolicy(p Policy) Option { return func(h *Holder) { h.policy = p } }

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(h *Holder) { h.times = t } }

// WithClock replaces the steady clock.
func WithClock(c Clock) Option { return func(h *Holder) { h.clock = c } }

// WithNow replaces the clock that measures intervals and the age of copies.
func WithNow(now func() time.Time) Option { return func(h *Holder) { h.now = now } }

// WithWall replaces the wall clock.
func WithWall(wall func() time.Time) Option { return func(h *Holder) { h.wall = wall } }

// WithRandom replaces the source of random numbers, which are in [0, 1).
func WithRandom(f func() float64) Option { return func(h *Holder) { h.random = f } }

// WithFleet sets the connection to the other holders.
func WithFleet(f Fleet) Option { return func(h *Holder) { h.fleet = f } }

// OnSettlement sets a callback for each earlier holder whose grants are settled. It must not call the Holder.
func OnSettlement(f func(Settlement)) Option { return func(h *Holder) { h.onSettlement = f } }

// WithEpochs sets the source of the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(h *Holder) { h.epochs = e } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(h *Holder) { h.log = log } }

// New creates a holder. node is the name that outlasts the process, id is this process's own. The keys of pages in the
// store start with prefix. pages is their number if the store has none yet.
func New(store external.KV, prefix string, pages int, node, id string, opts ...Option) *Holder {
	h := &Holder{
		id: id, node: node, prefix: prefix, store: store, clock: MachineClock(), now: time.Now, wall: time.Now, random: rand.Float64,
		policy: DefaultPolicy(), times: DefaultTimes(), log: zerolog.Nop(), onSettlement: func(Settlement) {}, epochs: external.NewEpochs(),
		accounts: make(map[string]*account), changed: make(chan struct{}), wakeups: make(chan struct{}, 1),
		zoneDemand: make(map[string]reportedDemand), loans: make(map[loanKey]loanRecord), returnedEarly: make(map[loanKey]time.Time),
		endedLoans: make(map[string]map[int64]int64), unreachableSince: make(map[string]time.Time),
	}
	for i := range max(1, pages) {
		h.pages = append(h.pages, h.newPage(i))
	}
	for _, opt := range opts {
		opt(h)
	}
	h.started = h.report(h.clock.Now()+time.Millisecond-1, 0) // rounded up: an earlier process may have spent until then
	h.epochs.OnRestored(h.handleRestored)
	return h
}

// Name implements kernel.Service.
func (*Holder) Name() string { return "escrow" }

// pageOf returns the page of a customer.
func (h *Holder) pageOf(customer string) *pageState {
	return h.pages[xxhash.Sum64String(customer)%uint64(len(h.pages))]
}

// SetPrepaid applies the prepaid amounts of a newer configuration and creates the accounts of new customers.
func (h *Holder) SetPrepaid(list []Prepaid) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range list {
		a := h.accounts[p.Customer]
		if a == nil {
			a = &account{prepaid: p.Tokens, remaining: p.Tokens, ungranted: p.Tokens}
			h.accounts[p.Customer] = a
		}
		if a.prepaid != p.Tokens {
			a.remaining += p.Tokens - a.prepaid
			a.ungranted += p.Tokens - a.prepaid
			a.prepaid = p.Tokens
			delete(h.pageOf(p.Customer).reported, p.Customer)
		}
	}
	h.wake()
}

func (h *Holder) wake() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

// StoreAnswered notifies the holder that the store has just answered, which is the best moment for a regular refresh.
// observed reports that all pages that have changed were passed to Observe, so that a write can be based on them.
func (h *Holder) StoreAnswered(observed bool) {
	viaLeader := h.isFollower() || h.isRelay() // notified by a leader that has contact with the store
	h.mu.Lock()
	now := h.now()
	if viaLeader {
		h.recordAnswer()
	}
	due := now.Sub(h.lastRefresh) >= h.refreshInterval()*9/10
	for _, p := range h.pages {
		if observed {
			p.verifiedAt = now
		}
	}
	h.mu.Unlock()
	if due {
		h.wake()
	}
}

// refreshInterval returns the time between regular refreshes. A large fleet refreshes less often, since all holders
// write the same pages. The caller holds mu.
func (h *Holder) refreshInterval() time.Duration {
	return h.times.RefreshInterval * h.fleetSizeFactor()
}

// fleetSizeFactor returns the factor by which refreshes are less frequent than in a small fleet. It is 1 while zones
// have leaders that can be reached, since only few holders write then. The caller holds mu.
func (h *Holder) fleetSizeFactor() time.Duration {
	if h.fleet != nil && h.fleet.Large() && !h.fleet.LeadersUnreachable() {
		return 1
	}
	return time.Duration(max(1, min(h.holderCount/holdersPerInterval, maxIntervalFactor)))
}

// Ready reports whether the holder has accounts, and has joined all pages unless it is dormant.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.readyWithoutRows {
		return true
	}
	for _, p := range h.pages {
		if !p.joined || p.ended {
			return false
		}
	}
	return len(h.accounts) > 0
}

// Holders returns the number of holders in the pages.
func (h *Holder) Holders() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(1, h.holderCount)
}

// ReduceDemand lowers what this holder requests from now on, because the process is about to stop.
func (h *Holder) ReduceDemand() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.wake()
}
