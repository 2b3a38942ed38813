package escrow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Reservation is a part of a budget that a request may use.
type Reservation struct {
	holder    *Holder
	customer  string
	maxTokens int64
	once      sync.Once
	lender    string // the holder that gave the loan; empty: reserved from this holder's own grant
	number    int64  // of the loan
}

// View is the holder's state of a customer's budget, in tokens.
type View struct {
	Available   int64 // can be reserved here now
	Granted     int64 // to this holder
	Spent       int64 // spent or reserved here
	Remaining   int64 // unspent by all holders, as last reported
	Outstanding int64 // part of Remaining that is granted to holders, which may have spent it unreported
	// Unproven is what counts as spent although no holder has reported it, since holders were lost.
	Unproven int64
	Age      time.Duration // since the store last answered
}

// View returns the state that decides on a customer's next reservation.
func (h *Holder) View(customer string) View {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return View{}
	}
	return View{
		Available: a.headroom(h.clock.Now()), Granted: a.confirmed.row.Granted, Spent: a.used(), Remaining: a.unspent(), Age: h.now().Sub(h.lastAnswer),
		Outstanding: a.remaining - a.ungranted, Unproven: a.unproven,
	}
}

// Settle ends the reservation: used tokens are spent, the rest is available again. Only the first call has an effect.
func (r *Reservation) Settle(used int64) {
	if r == nil || r.holder == nil {
		return
	}
	used = min(max(used, 0), r.maxTokens)
	r.once.Do(func() {
		r.holder.mu.Lock()
		defer r.holder.mu.Unlock()
		if r.lender != "" {
			r.holder.queueRepayment(r.lender, r.number, used)
			return
		}
		a := r.holder.accounts[r.customer]
		a.reserved -= r.maxTokens
		a.spent += used
	})
}

// Reserve sets aside the most that a request can use. If the holder's grant is too small, Reserve waits for a refresh,
// provided that this holder writes its own rows, or borrows from other holders. It waits no longer than
// Times.ReserveWait and Times.LoanTimeout. rank is the request's rank among the customer's own requests, 0 first:
// scarce tokens are reserved for the first ranks. Each error is a verdict that the request has not run, with the time
// to retry if there is one.
func (h *Holder) Reserve(ctx context.Context, customer string, maxTokens int64, rank int) (*Reservation, error) {
	if err := h.rejectAtRandom(customer, maxTokens); err != nil {
		return nil, err
	}
	r, _, err := h.tryReserve(customer, maxTokens, rank, false)
	if r != nil || (err != nil && !errors.Is(err, errHeldForFirstRanks)) {
		return r, err
	}
	var retryAfter time.Duration
	if h.role(customer) == RolePooled {
		if r, retryAfter = h.borrow(ctx, customer, maxTokens, rank); r != nil {
			return r, nil
		}
	}
	if err == nil && !h.isFollower() {
		if r, err := h.reserveWithRefresh(ctx, customer, maxTokens, rank, waitForRefresh{limit: h.times.ReserveWait}); r != nil || ctx.Err() != nil {
			return r, err
		}
	}
	r, lastRetry := h.borrow(ctx, customer, maxTokens, rank)
	if r != nil {
		return r, nil
	}
	if r := h.reserveHeld(customer, maxTokens, rank); r != nil {
		return r, nil // a refresh has raised the grant meanwhile
	}
	return nil, h.refuse(customer, maxTokens, err, max(retryAfter, lastRetry))
}

// waitForRefresh is how a reservation waits for a refresh.
type waitForRefresh struct {
	limit   time.Duration
	forLoan bool // the reservation is for a request at another holder
}

// reserveWithRefresh reserves from this holder's own grant, and waits for a refresh if the grant is too small.
func (h *Holder) reserveWithRefresh(ctx context.Context, customer string, maxTokens int64, rank int, wait waitForRefresh) (*Reservation, error) {
	var end <-chan time.Time
	for {
		r, changed, err := h.tryReserve(customer, maxTokens, rank, wait.forLoan)
		if r != nil || err != nil {
			return r, err
		}
		if end == nil {
			if !h.refreshMayHelp(customer, maxTokens) {
				return nil, errGrantTooSmall
			}
			t := time.NewTimer(wait.limit)
			defer t.Stop()
			end = t.C
			h.addWaiting(customer, maxTokens)
			defer h.addWaiting(customer, -maxTokens)
		}
		h.wake()
		select {
		case <-changed:
		case <-end:
			return nil, errGrantTooSmall
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller left", verdict.WithCause(ctx.Err()))
		}
	}
}

// addWaiting adds the tokens of a request that starts to wait for a refresh, or removes them with a negative amount.
func (h *Holder) addWaiting(customer string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accounts[customer].waiting += tokens
}

// Reasons why a holder's own grant does not cover a request.
var (
	errGrantTooSmall     = errors.New("the holder's grant is too small, and a refresh does not raise it enough")
	errHeldForFirstRanks = errors.New("the rest of the grant is reserved for the customer's first ranks")
)

// tryReserve reserves from this holder's own grant without waiting. If it returns neither a reservation nor an error,
// the caller can try again once the channel is closed. forLoan reports that the reservation is for a request at another
// holder.
func (h *Holder) tryReserve(customer string, maxTokens int64, rank int, forLoan bool) (*Reservation, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return nil, nil, refuseBudget("the customer's budget is not known yet", retrySoon)
	}
	if a.prepaid < 0 {
		return &Reservation{}, nil, nil
	}
	if h.yieldsToFirstRanks(a, maxTokens, rank) {
		return nil, nil, errHeldForFirstRanks
	}
	if r := h.reserveHeadroom(a, customer, maxTokens); r != nil {
		if !forLoan {
			h.countDemand(a, maxTokens)
		}
		return r, nil, nil
	}
	if forLoan || h.role(customer) != RolePooled {
		a.urgent = max(a.urgent, maxTokens)
	}
	return nil, h.changed, nil
}

// reserveHeadroom reserves what the grant allows now; it returns nil if that is too little. The caller holds mu.
func (h *Holder) reserveHeadroom(a *account, customer string, maxTokens int64) *Reservation {
	if a.headroom(h.clock.Now()) < maxTokens {
		return nil
	}
	a.reserved += maxTokens
	return &Reservation{holder: h, customer: customer, maxTokens: maxTokens}
}

// reserveHeld is tryReserve for a request that no longer waits: it requests nothing for it.
func (h *Holder) reserveHeld(customer string, maxTokens int64, rank int) *Reservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if h.yieldsToFirstRanks(a, maxTokens, rank) {
		return nil
	}
	r := h.reserveHeadroom(a, customer, maxTokens)
	if r != nil {
		h.countDemand(a, maxTokens)
	}
	return r
}

// Times after which a rejected request may succeed.
const (
	retrySoon   = 250 * time.Millisecond
	retryLater  = 2 * time.Second
	retryOutage = 3 * time.Second // the store does not answer
)

// firstYieldingRank is the first rank whose requests yield to the customer's requests of lower ranks.
const firstYieldingRank = 2

// yieldsToFirstRanks reports whether a request yields to those of the first ranks: while the store is unreachable, a
// part of the grant here is reserved for them. The caller holds mu.
func (h *Holder) yieldsToFirstRanks(a *account, maxTokens int64, rank int) bool {
	if rank < firstYieldingRank || h.storeAnswering() {
		return false
	}
	held := a.confirmed.row.Granted - a.confirmed.row.Spent
	return float64(a.confirmed.row.Granted-a.used()-maxTokens) < h.policy.OutageReserve*float64(held)
}

// countDemand measures demand. The caller holds mu.
func (h *Holder) countDemand(a *account, tokens int64) {
	a.meter.add(tokens)
	h.localMeter.add(tokens)
}

// refuse returns the error of a rejected request: the budget is exhausted, or this instance holds too little of it now.
// lenderRetry is when another holder may give a loan; 0: unknown.
func (h *Holder) refuse(customer string, maxTokens int64, why error, lenderRetry time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	h.countDemand(a, maxTokens)
	if a.unspent() < maxTokens && h.storeAnswering() {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, a.exhaustedDetail(), verdict.WithRetryAfter(retryLater))
	}
	if a.lenderExhausted {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, a.exhaustedDetail(), verdict.WithRetryAfter(retryLater))
	}
	if errors.Is(why, errHeldForFirstRanks) {
		return refuseBudget("what is left here is kept for the customer's first ranks in a cut", retryLater)
	}
	after := h.retryAfter(a, maxTokens)
	if lenderRetry > 0 {
		after = min(after, lenderRetry)
	}
	return refuseBudget("this instance holds too little of the budget now", after)
}

// storeAnswering reports whether the store has answered recently. The caller holds mu.
func (h *Holder) storeAnswering() bool { return h.now().Sub(h.lastAnswer) < h.times.ContactTimeout }

// storeMayAnswer reports whether a call to the store is likely to be answered. An idle holder calls it seldom, so a last
// answer that is old counts only if a call has been waiting since. The caller holds mu.
func (h *Holder) storeMayAnswer() bool {
	if h.lastAnswer.IsZero() || h.storeAnswering() {
		return !h.lastAnswer.IsZero()
	}
	return h.unanswered.IsZero() || h.now().Sub(h.unanswered) < h.times.ContactTimeout-h.times.RefreshInterval
}

// retryAfter returns when a rejected request may succeed: at the next refresh or, while the store is unreachable, once
// enough of the grant is released. The caller holds mu.
func (h *Holder) retryAfter(a *account, maxTokens int64) time.Duration {
	if h.storeAnswering() {
		return retrySoon
	}
	row := a.confirmed.row
	if row.Rate <= 0 || row.Granted-a.used() < maxTokens {
		return retryOutage
	}
	missing := float64(maxTokens - a.headroom(h.clock.Now()))
	return min(retryOutage, max(retrySoon, time.Duration(missing/float64(row.Rate)*float64(time.Second))))
}

// refuseBudget returns a temporary rejection.
func refuseBudget(detail string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnavailable, detail, verdict.WithRetryAfter(after))
}

// refreshMayHelp reports whether a refresh is likely to be answered and to raise the grant.
func (h *Holder) refreshMayHelp(customer string, maxTokens int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	a := h.accounts[customer]
	if a.ungranted+a.confirmed.row.Granted-a.used() < maxTokens && a.unspent() >= maxTokens {
		return false // other holders have it
	}
	return h.storeMayAnswer() && now.Sub(a.shortAt) > h.times.ExhaustedPause*h.fleetSizeFactor()
}
