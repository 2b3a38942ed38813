package escrow

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Prepaid is a customer's prepaid figure as the configuration in force tells it.
type Prepaid struct {
	Customer string
	Tokens   int64 // Unlimited: none
}

// Unlimited marks a customer without a prepaid figure.
const Unlimited = -1

// Times are a holder's intervals.
type Times struct {
	RefreshInterval time.Duration // between reports
	MinGap          time.Duration // least time between reports that are asked for by a request that waits
	CallTimeout     time.Duration // limit of one call to the store
	Backoff         time.Duration // after a call that failed
	ReserveWait     time.Duration // how long a reservation waits for a draw
	ContactTimeout  time.Duration // without an answer for this long, no reservation waits
	ExhaustedPause  time.Duration // after a draw that brought too little, no reservation of the customer waits for this long

	// Of zones that are led.
	SubmitInterval     time.Duration // from a leader's receipt to the next submission
	GatherWindow       time.Duration // the rows of others wait for more of them so long
	UrgentGatherWindow time.Duration // the same, where one of them cannot serve before
	MinGroupGap        time.Duration // least time between writes of a page for others
	// MinRelayedGap is the same, where the leaders of other zones wait too: they hold back their zones' next rows meanwhile.
	MinRelayedGap time.Duration
	RelayTimeout  time.Duration // limit of a leader's call to the leader of another zone
	LoanTimeout   time.Duration // limit of a loan; the lender may have to draw for it
	RepayInterval time.Duration // between returns of loans
}

// DefaultTimes suit a store that answers in milliseconds.
func DefaultTimes() Times {
	return Times{
		RefreshInterval: time.Second, MinGap: 30 * time.Millisecond, CallTimeout: 900 * time.Millisecond, Backoff: 250 * time.Millisecond,
		ReserveWait: 90 * time.Millisecond, ContactTimeout: 1500 * time.Millisecond, ExhaustedPause: 300 * time.Millisecond,
		SubmitInterval: 800 * time.Millisecond, GatherWindow: 120 * time.Millisecond, UrgentGatherWindow: 40 * time.Millisecond, MinGroupGap: 700 * time.Millisecond,
		MinRelayedGap: 500 * time.Millisecond, RelayTimeout: 900 * time.Millisecond, LoanTimeout: 180 * time.Millisecond, RepayInterval: 200 * time.Millisecond,
	}
}

const (
	holdersPerInterval  = 12 // holders for each Beat between regular draws
	maxIntervalFactor   = 6
	copyFreshFor        = 300 * time.Millisecond // a page that was the newest so long ago is read again before it is written
	selfWrittenFreshFor = 3 * time.Second        // the same, of a page that this holder wrote last: where others write too, a write tells so
)

// Holder is this process's part of the escrow: a service, and the place where requests reserve.
type Holder struct {
	id      string
	node    string
	started Report // of the process's start
	store   external.KV
	clock   Clock
	now     func() time.Time
	wall    func() time.Time
	random  func() float64 // from 0 to 1
	policy  Policy
	times   Times
	log     zerolog.Logger

	onFolded   func(Settlement)
	epochs     *external.Epochs
	restoredAt atomic.Pointer[time.Time] // when the store's last restoration was learnt; nil: it was not restored

	mu          sync.Mutex
	accounts    map[string]*account
	pages       []*pageState
	localMeter  meter         // of all customers here
	fleetMeter  meter         // of all customers everywhere, as reported
	lastAnswer  time.Time     // the last answer of the store
	lastFailure time.Time     // the last draw that failed
	lastRefresh time.Time     // the last regular draw
	firstDemand time.Time     // when a request was first asked for, as far as it was noticed
	holderCount int           // that the store knows
	changed     chan struct{} // closed and replaced after each draw
	stopping    bool

	fleet            Fleet                     // nil: this holder is by itself
	leaderRate       float64                   // by the zone's leader: tokens a second that all holders use of all customers
	zoneDemand       map[string]reportedDemand // by holder of the zone that this one leads
	loanCount        int64
	loans            map[loanKey]loanRecord     // given to others
	returnedEarly    map[loanKey]time.Time      // returned before they were given
	endedLoans       map[string]map[int64]int64 // loans that have ended, by lender and number
	unreachableSince map[string]time.Time       // since when a lender has not taken them; only Repayments uses it

	wakeups chan struct{}
}

// pageState is what the holder knows of one page.
type pageState struct {
	key             string
	raw             []byte
	revision        int64
	known           bool
	count           int64 // of this holder's last write that is known to have happened
	unconfirmedBase int64 // the base of a write whose outcome is not known; -1: none
	// submitted: a leader may still write rows of this holder that follow count
	submitted bool
	pending   []*pendingPart // rows of others
	joined    bool           // this holder is in it
	epoch     int64          // of the store, in which this holder last stated its rows
	prior     priorCopy
	// unsettled: rows of this node's earlier processes are left
	unsettled   bool
	refreshedAt time.Time
	verifiedAt  time.Time        // when the copy was known to be the newest
	selfWritten bool             // this holder has written it
	reported    map[string]int64 // spent, by customer, as last written
}

// Option changes a Holder.
type Option func(*Holder)

// WithPolicy replaces the sizes.
func WithPolicy(p Policy) Option { return func(h *Holder) { h.policy = p } }

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(h *Holder) { h.times = t } }

// WithClock replaces the steady clock.
func WithClock(c Clock) Option { return func(h *Holder) { h.clock = c } }

// WithNow replaces the clock by which ages are judged.
func WithNow(now func() time.Time) Option { return func(h *Holder) { h.now = now } }

// WithWall replaces the time of day.
func WithWall(wall func() time.Time) Option { return func(h *Holder) { h.wall = wall } }

// WithRandom replaces the source of lots, which are numbers from 0 to 1.
func WithRandom(f func() float64) Option { return func(h *Holder) { h.random = f } }

// WithFleet sets the way to the other holders.
func WithFleet(f Fleet) Option { return func(h *Holder) { h.fleet = f } }

// OnSettlement is notified of each earlier holder whose grants are settled; it must not call the Holder.
func OnSettlement(f func(Settlement)) Option { return func(h *Holder) { h.onFolded = f } }

// WithEpochs sets what knows the store's epoch.
func WithEpochs(e *external.Epochs) Option { return func(h *Holder) { h.epochs = e } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(h *Holder) { h.log = log } }

// New makes a holder. node outlasts the process; id is this process's own. Pages lie under prefix in the store.
func New(store external.KV, prefix string, pages int, node, id string, opts ...Option) *Holder {
	h := &Holder{
		id: id, node: node, store: store, clock: MachineClock(), now: time.Now, wall: time.Now, random: rand.Float64,
		policy: DefaultPolicy(), times: DefaultTimes(), log: zerolog.Nop(), onFolded: func(Settlement) {}, epochs: external.NewEpochs(),
		accounts: make(map[string]*account), changed: make(chan struct{}), wakeups: make(chan struct{}, 1),
		zoneDemand: make(map[string]reportedDemand), loans: make(map[loanKey]loanRecord), returnedEarly: make(map[loanKey]time.Time),
		endedLoans: make(map[string]map[int64]int64), unreachableSince: make(map[string]time.Time),
	}
	for i := range max(1, pages) {
		h.pages = append(h.pages, &pageState{key: fmt.Sprintf("%s%d", prefix, i), unconfirmedBase: -1, reported: make(map[string]int64)})
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

// pageOf finds the page of a customer.
func (h *Holder) pageOf(customer string) *pageState {
	return h.pages[xxhash.Sum64String(customer)%uint64(len(h.pages))]
}

// SetPrepaid takes the figures of a newer configuration. It starts accounts of customers that are new.
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

// StoreAnswered tells the holder that the store has just answered: the best moment for a regular draw. own reports that all pages that have
// changed were observed, so that a write can stand on them.
func (h *Holder) StoreAnswered(observed bool) {
	viaLeader := h.isFollower() || h.isRelay() // by a leader that has heard the store
	h.mu.Lock()
	now := h.now()
	if viaLeader {
		h.noteAnswer()
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

// refreshInterval is the time between regular draws: a large fleet draws more rarely, since all write the same pages. The caller holds
// mu.
func (h *Holder) refreshInterval() time.Duration {
	return h.times.RefreshInterval * h.crowdFactor()
}

// crowdFactor is by how much draws are rarer than in a small fleet. Where zones are led few holders write. The caller holds mu.
func (h *Holder) crowdFactor() time.Duration {
	if h.fleet != nil && h.fleet.Large() && !h.fleet.Stranded() {
		return 1
	}
	return time.Duration(max(1, min(h.holderCount/holdersPerInterval, maxIntervalFactor)))
}

// Ready reports whether the holder has seen the store and knows its accounts.
func (h *Holder) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.pages {
		if !p.joined {
			return false
		}
	}
	return len(h.accounts) > 0
}

// Holders is the number of holders that the store knows.
func (h *Holder) Holders() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(1, h.holderCount)
}

// ReduceDemand asks for less from now on: the process is about to stop.
func (h *Holder) ReduceDemand() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.wake()
}
