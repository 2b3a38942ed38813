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
	holder   *Holder
	customer string
	most     int64
	once     sync.Once
	lender   string // the holder that has lent it; empty: it is this holder's own
	number   int64  // of the loan
}

// View is what the holder knows of a customer's budget, in tokens.
type View struct {
	Available   int64 // may be reserved here now
	Granted     int64 // held here
	Spent       int64 // spent or reserved here
	Remaining   int64 // unspent by all holders, as last reported
	Outstanding int64 // of Rest: granted to holders, who may have spent it unseen
	// Unproven is what was taken as spent though no holder had reported it: holders were lost.
	Unproven int64
	Age      time.Duration // since the store last answered
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
		Available: a.headroom(h.clock.Now()), Granted: a.row.row.Granted, Spent: a.used(), Remaining: a.unspent(), Age: h.now().Sub(h.answered),
		Outstanding: a.rest - a.free, Unproven: a.unproven,
	}
}

// Settle ends the reservation: used tokens are spent, the rest is free again. Only the first call counts.
func (r *Reservation) Settle(used int64) {
	if r == nil || r.holder == nil {
		return
	}
	used = min(max(used, 0), r.most)
	r.once.Do(func() {
		r.holder.mu.Lock()
		defer r.holder.mu.Unlock()
		if r.lender != "" {
			r.holder.repay(r.lender, r.number, used)
			return
		}
		a := r.holder.accounts[r.customer]
		a.open -= r.most
		a.spent += used
	})
}

// Reserve sets aside the most that a request can use. Where the grant does not hold it, it draws on the store if this holder does
// its own writing, or borrows from others, but waits no longer than Times.Wait and Times.Borrow. rank is the request's among the
// customer's own, 0 first: what is short is kept for the first ranks. Its errors are verdicts: not run, with the time to come back
// where that makes sense.
func (h *Holder) Reserve(ctx context.Context, customer string, most int64, rank int) (*Reservation, error) {
	if err := h.lot(customer, most); err != nil {
		return nil, err
	}
	r, _, err := h.try(customer, most, rank, false)
	if r != nil || (err != nil && !errors.Is(err, errKept)) {
		return r, err
	}
	var later time.Duration
	if h.role(customer) == RolePooled {
		if r, later = h.borrow(ctx, customer, most, rank); r != nil {
			return r, nil
		}
	}
	if err == nil && !h.follows() {
		if r, err := h.draws(ctx, customer, most, rank, false); r != nil || ctx.Err() != nil {
			return r, err
		}
	}
	r, again := h.borrow(ctx, customer, most, rank)
	if r != nil {
		return r, nil
	}
	return nil, h.refuse(customer, most, err, max(later, again))
}

// draws reserves of this holder's own grant, and draws on the store for it.
func (h *Holder) draws(ctx context.Context, customer string, most int64, rank int, lent bool) (*Reservation, error) {
	var end <-chan time.Time
	for {
		r, changed, err := h.try(customer, most, rank, lent)
		if r != nil || err != nil {
			return r, err
		}
		if end == nil {
			if !h.worthDrawing(customer, most) {
				return nil, errDry
			}
			t := time.NewTimer(h.times.ReserveWait)
			defer t.Stop()
			end = t.C
			h.await(customer, most)
			defer h.await(customer, -most)
		}
		h.kick()
		select {
		case <-changed:
		case <-end:
			return nil, errDry
		case <-ctx.Done():
			return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "the caller left", verdict.WithCause(ctx.Err()))
		}
	}
}

// await counts a request that waits for a draw, or one that does not any more.
func (h *Holder) await(customer string, tokens int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accounts[customer].waiting += tokens
}

// Why a holder's own grant does not serve.
var (
	errDry  = errors.New("the holder's grant does not hold it, nor would a draw")
	errKept = errors.New("what is left of the grant is kept for the customer's first ranks")
)

// try reserves of this holder's own grant, as it is. Without a reservation or an error it is worth another try once the channel
// is closed. lent reports that it is for a request at another holder.
func (h *Holder) try(customer string, most int64, rank int, lent bool) (*Reservation, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return nil, nil, refuseBudget("the customer's budget is not known yet", retrySoon)
	}
	if a.prepaid < 0 {
		return &Reservation{}, nil, nil
	}
	if h.short(a, most, rank) {
		return nil, nil, errKept
	}
	if a.headroom(h.clock.Now()) >= most {
		a.open += most
		if !lent {
			h.count(a, most)
		}
		return &Reservation{holder: h, customer: customer, most: most}, nil, nil
	}
	if lent || h.role(customer) != RolePooled {
		a.urgent = max(a.urgent, most)
	}
	return nil, h.changed, nil
}

// Times after which a refused request may be served.
const (
	retrySoon  = 250 * time.Millisecond
	retryLater = 2 * time.Second
	retryCut   = 3 * time.Second // out of touch with the store
)

// lastRank is the rank from which on a customer's requests give way to its first ones.
const lastRank = 2

// short reports whether a request gives way to those of first ranks: in a cut they keep a part of what is granted here. The caller holds mu.
func (h *Holder) short(a *account, most int64, rank int) bool {
	if rank < lastRank || h.inTouch() {
		return false
	}
	held := a.row.row.Granted - a.row.row.Spent
	return float64(a.row.row.Granted-a.used()-most) < h.policy.OutageReserve*float64(held)
}

// count measures what is asked for. The caller holds mu.
func (h *Holder) count(a *account, tokens int64) {
	a.meter.add(tokens)
	h.own.add(tokens)
}

// refuse explains a refusal: the budget is used up, or this instance does not hold enough of it right now. later is when another
// holder may lend; 0: none has said.
func (h *Holder) refuse(customer string, most int64, why error, later time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	h.count(a, most)
	if a.unspent() < most && h.inTouch() {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, a.exhausted(), verdict.WithRetryAfter(retryLater))
	}
	if errors.Is(why, errKept) {
		return refuseBudget("what is left here is kept for the customer's first ranks in a cut", retryLater)
	}
	after := h.comeBack(a, most)
	if later > 0 {
		after = min(after, later)
	}
	return refuseBudget("this instance holds too little of the budget now", after)
}

// inTouch reports whether the store has answered lately. The caller holds mu.
func (h *Holder) inTouch() bool { return h.now().Sub(h.answered) < h.times.ContactTimeout }

// comeBack is when a request that was refused may be served: at the next draw, or in a cut once the steps in which the grant is
// released allow it. The caller holds mu.
func (h *Holder) comeBack(a *account, most int64) time.Duration {
	if h.inTouch() {
		return retrySoon
	}
	row := a.row.row
	if row.Rate <= 0 || row.Granted-a.used() < most {
		return retryCut
	}
	missing := float64(most - a.headroom(h.clock.Now()))
	return min(retryCut, max(retrySoon, time.Duration(missing/float64(row.Rate)*float64(time.Second))))
}

// refuseBudget is a refusal for now.
func refuseBudget(detail string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, detail, verdict.WithRetryAfter(after))
}

// worthDrawing reports whether a draw is likely to be answered and to bring something.
func (h *Holder) worthDrawing(customer string, most int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	a := h.accounts[customer]
	if a.free+a.row.row.Granted-a.used() < most && a.unspent() >= most {
		return false // others hold it
	}
	return !h.answered.IsZero() && h.inTouch() && now.Sub(a.dry) > h.times.ExhaustedPause*h.crowd()
}
