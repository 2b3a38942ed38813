package escrow

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/verdict"
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
	Beat time.Duration // between reports
	Gap  time.Duration // least time between reports that are asked for by a request that waits
	Call time.Duration // limit of one call to the store
	Wait time.Duration // how long a reservation waits for a draw
	Lost time.Duration // without an answer for this long, no reservation waits
	Dry  time.Duration // after a draw that brought too little, no reservation of the customer waits for this long
}

// DefaultTimes suit a store that answers in milliseconds.
func DefaultTimes() Times {
	return Times{
		Beat: time.Second, Gap: 30 * time.Millisecond, Call: 900 * time.Millisecond,
		Wait: 90 * time.Millisecond, Lost: 1500 * time.Millisecond, Dry: 300 * time.Millisecond,
	}
}

const (
	beatHolders = 12 // holders for each Beat between regular draws
	mostBeats   = 6
	freshFor    = 300 * time.Millisecond // a page that was the newest so long ago is read again before it is written
)

// Holder is this process's part of the escrow: a service, and the place where requests reserve.
type Holder struct {
	id     string
	node   string
	store  external.KV
	clock  Clock
	now    func() time.Time
	policy Policy
	times  Times
	log    zerolog.Logger

	mu       sync.Mutex
	accounts map[string]*account
	pages    []*pageState
	own      meter         // of all customers here
	fleet    meter         // of all customers everywhere, as reported
	answered time.Time     // the last answer of the store
	beat     time.Time     // the last regular draw
	holders  int           // that the store knows
	changed  chan struct{} // closed and replaced after each draw
	stopping bool

	kicks chan struct{}
}

// pageState is what the holder knows of one page.
type pageState struct {
	key      string
	raw      []byte
	revision int64
	known    bool
	unsure   int64 // the base of a write whose outcome is not known; -1: none
	joined   bool  // this holder's earlier processes are settled
	drawn    time.Time
	seen     time.Time        // when the copy was known to be the newest
	reported map[string]int64 // spent, by customer, as last written
}

// Option changes a Holder.
type Option func(*Holder)

// WithPolicy replaces the sizes.
func WithPolicy(p Policy) Option { return func(h *Holder) { h.policy = p } }

// WithTimes replaces the intervals.
func WithTimes(t Times) Option { return func(h *Holder) { h.times = t } }

// WithClock replaces the steady clock.
func WithClock(c Clock) Option { return func(h *Holder) { h.clock = c } }

// WithNow replaces the process's clock.
func WithNow(now func() time.Time) Option { return func(h *Holder) { h.now = now } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(h *Holder) { h.log = log } }

// New makes a holder. node outlasts the process; id is this process's own. Pages lie under prefix in the store.
func New(store external.KV, prefix string, pages int, node, id string, opts ...Option) *Holder {
	h := &Holder{
		id: id, node: node, store: store, clock: MachineClock(), now: time.Now,
		policy: DefaultPolicy(), times: DefaultTimes(), log: zerolog.Nop(),
		accounts: make(map[string]*account), changed: make(chan struct{}), kicks: make(chan struct{}, 1),
	}
	for i := range max(1, pages) {
		h.pages = append(h.pages, &pageState{key: fmt.Sprintf("%s%d", prefix, i), unsure: -1, reported: make(map[string]int64)})
	}
	for _, opt := range opts {
		opt(h)
	}
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
			a = &account{prepaid: p.Tokens, rest: p.Tokens, free: p.Tokens}
			h.accounts[p.Customer] = a
		}
		if a.prepaid != p.Tokens {
			a.rest += p.Tokens - a.prepaid
			a.free += p.Tokens - a.prepaid
			a.prepaid = p.Tokens
			delete(h.pageOf(p.Customer).reported, p.Customer)
		}
	}
	h.kick()
}

func (h *Holder) kick() {
	select {
	case h.kicks <- struct{}{}:
	default:
	}
}

// Reservation is a part of a budget that a request may use.
type Reservation struct {
	holder   *Holder
	customer string
	most     int64
	once     sync.Once
}

// View is what the holder knows of a customer's budget, in tokens.
type View struct {
	Left    int64         // may be reserved here now
	Granted int64         // held here
	Spent   int64         // spent or reserved here
	Rest    int64         // unspent by all holders, as last reported
	Age     time.Duration // since the store last answered
}

// View shows what decides about a customer's next reservation.
func (h *Holder) View(customer string) View {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return View{}
	}
	return View{
		Left: a.headroom(h.clock.Now()), Granted: a.row.row.Granted, Spent: a.used(), Rest: a.unspent(), Age: h.now().Sub(h.answered),
	}
}

// Settle ends the reservation: used tokens are spent, the rest is free again. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil || r.holder == nil {
		return
	}
	r.once.Do(func() {
		r.holder.mu.Lock()
		defer r.holder.mu.Unlock()
		a := r.holder.accounts[r.customer]
		a.open -= r.most
		a.spent += min(max(used, 0), r.most)
	})
}

// Reserve sets aside the most that a request can use. Where the grant does not hold it, it draws on the store, but waits no
// longer than Times.Wait. rank is the request's among the customer's own, 0 first: what is short is kept for the first ranks.
// Its errors are verdicts: not run, with the time to come back where that makes sense.
func (h *Holder) Reserve(ctx context.Context, customer string, most int64, rank int) (*Reservation, error) {
	var end <-chan time.Time
	for {
		r, changed, err := h.try(customer, most, rank)
		if r != nil || err != nil {
			return r, err
		}
		if end == nil {
			if !h.worthDrawing(customer, most) {
				return nil, h.refuse(customer, most)
			}
			t := time.NewTimer(h.times.Wait)
			defer t.Stop()
			end = t.C
		}
		h.kick()
		select {
		case <-changed:
		case <-end:
			return nil, h.refuse(customer, most)
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller left", verdict.WithCause(ctx.Err()))
		}
	}
}

func (h *Holder) try(customer string, most int64, rank int) (*Reservation, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, "the customer's budget is not known yet",
			verdict.WithRetryAfter(retrySoon))
	}
	if a.prepaid < 0 {
		return &Reservation{}, nil, nil
	}
	if h.short(a, most, rank) {
		return nil, nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, "what is left of the budget here is kept for the customer's first ranks",
			verdict.WithRetryAfter(retryLater))
	}
	if a.headroom(h.clock.Now()) >= most {
		a.open += most
		h.count(a, most)
		return &Reservation{holder: h, customer: customer, most: most}, nil, nil
	}
	a.urgent = max(a.urgent, most)
	return nil, h.changed, nil
}

// Times after which a refused request may be served.
const (
	retrySoon  = 250 * time.Millisecond
	retryLater = 2 * time.Second
)

// Shares that are kept for a customer's first ranks.
const (
	lastRank  = 2    // from this rank on requests give way
	keptInCut = 0.5  // of what was granted when the store was last heard
	keptAtEnd = 0.08 // of the prepaid figure
)

// short says whether a request gives way to those of first ranks: in a cut they keep a part of what is granted here, and at the
// end of a budget the last of it. The caller holds mu.
func (h *Holder) short(a *account, most int64, rank int) bool {
	if rank < lastRank {
		return false
	}
	if float64(a.unspent()-most) < keptAtEnd*float64(a.prepaid) {
		return true
	}
	if h.now().Sub(h.answered) < h.times.Lost {
		return false
	}
	held := a.row.row.Granted - a.row.row.Spent
	return float64(a.row.row.Granted-a.used()-most) < keptInCut*float64(held)
}

// count measures what is asked for. The caller holds mu.
func (h *Holder) count(a *account, tokens int64) {
	a.meter.add(tokens)
	h.own.add(tokens)
}

// refuse explains a refusal: the budget is used up, or this instance does not hold enough of it right now.
func (h *Holder) refuse(customer string, most int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	h.count(a, most)
	if a.unspent() < most && h.now().Sub(h.answered) < h.times.Lost {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "what remains of the budget cannot hold the request",
			verdict.WithRetryAfter(retryLater))
	}
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, "this instance holds too little of the budget now",
		verdict.WithRetryAfter(retrySoon))
}

// worthDrawing says whether a draw is likely to be answered and to bring something.
func (h *Holder) worthDrawing(customer string, most int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	a := h.accounts[customer]
	if a.free+a.row.row.Granted-a.used() < most && a.unspent() >= most {
		return false // others hold it
	}
	return !h.answered.IsZero() && now.Sub(h.answered) < h.times.Lost && now.Sub(a.dry) > h.times.Dry*h.crowd()
}

// Tick tells the holder that the store has just answered: the best moment for a regular draw. own says that all pages that have
// changed were observed, so that a write can stand on them.
func (h *Holder) Tick(own bool) {
	h.mu.Lock()
	now := h.now()
	due := now.Sub(h.beat) >= h.interval()*9/10
	for _, p := range h.pages {
		if own {
			p.seen = now
		}
	}
	h.mu.Unlock()
	if due {
		h.kick()
	}
}

// interval is the time between regular draws: a large fleet draws more rarely, since all write the same pages. The caller holds
// mu.
func (h *Holder) interval() time.Duration {
	return h.times.Beat * h.crowd()
}

// crowd is by how much draws are rarer than in a small fleet. The caller holds mu.
func (h *Holder) crowd() time.Duration {
	return time.Duration(max(1, min(h.holders/beatHolders, mostBeats)))
}

// Ready says whether the holder has seen the store and knows its accounts.
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
	return max(1, h.holders)
}

// Shrink asks for less from now on: the process is about to stop.
func (h *Holder) Shrink() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.kick()
}
