package escrow

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"
)

// isFollower reports whether the zone's leader writes this holder's rows.
func (h *Holder) isFollower() bool { return h.fleet != nil && !h.fleet.Leads() }

// isRelay reports whether this holder leads its zone, and the leader of another zone writes its rows and those of its
// zone.
func (h *Holder) isRelay() bool { return h.fleet != nil && h.fleet.Relays() }

// role returns this holder's role in holding a customer's tokens.
func (h *Holder) role(customer string) Role {
	if h.fleet == nil {
		return RoleStandalone
	}
	return h.fleet.Role(customer)
}

// borrow reserves from another holder's grant. It returns nil if no holder gives a loan; retryAfter is when one may, 0
// if unknown.
func (h *Holder) borrow(ctx context.Context, customer string, maxTokens int64, rank int) (r *Reservation, retryAfter time.Duration) {
	number, ok := h.nextLoan(customer, maxTokens)
	if !ok {
		return nil, 0
	}
	dormant, timeout := h.isDormant(), h.times.LoanTimeout
	if dormant {
		timeout = h.times.DormantLoanTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result := h.fleet.Borrow(ctx, Loan{Holder: h.id, Number: number, Customer: customer, MaxTokens: maxTokens, Rank: rank, Dormant: dormant})
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, lender := range result.Unconfirmed {
		h.queueRepayment(lender, number, 0)
	}
	a := h.accounts[customer]
	if result.Lender == "" {
		a.refusedAt, a.refusedTokens, a.lenderExhausted = h.now(), maxTokens, result.Exhausted
		return nil, result.RetryAfter
	}
	h.countDemand(a, maxTokens)
	return &Reservation{holder: h, customer: customer, maxTokens: maxTokens, lender: result.Lender, number: number}, 0
}

// nextLoan returns the number of the next loan. It returns false if this holder is standalone, or if a loan of this
// amount or less was refused within Times.ExhaustedPause.
func (h *Holder) nextLoan(customer string, maxTokens int64) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	refused := maxTokens >= a.refusedTokens && h.now().Sub(a.refusedAt) < h.times.ExhaustedPause
	if h.fleet == nil || refused || h.now().Sub(a.shortAt) < h.times.ExhaustedPause {
		return 0, false
	}
	h.loanCount++
	return h.loanCount, true
}

// queueRepayment records what was used of a loan, for the next repayment. The caller holds mu.
func (h *Holder) queueRepayment(lender string, number, used int64) {
	ended := h.endedLoans[lender]
	if ended == nil {
		ended = make(map[int64]int64)
		h.endedLoans[lender] = ended
	}
	ended[number] = used
}

// repayments is the service that repays loans that have ended.
type repayments struct{ holder *Holder }

// Repayments returns the service that repays ended loans to the holders that gave them.
func (h *Holder) Repayments() kernel.Service { return &repayments{holder: h} }

// Name implements kernel.Service.
func (*repayments) Name() string { return "repayments" }

// Run implements kernel.Service.
func (r *repayments) Run(ctx context.Context) error {
	kernel.Every(ctx, r.holder.times.RepayInterval, r.holder.repayAll)
	return nil
}

func (h *Holder) repayAll(ctx context.Context) {
	h.mu.Lock()
	ended := h.endedLoans
	h.endedLoans = make(map[string]map[int64]int64)
	h.mu.Unlock()
	for lender, used := range ended {
		h.repayOne(ctx, lender, used)
	}
	h.writeOffLoans()
}

// repayOne repays loans to one holder. It retries failed repayments until that holder has written the loans off.
func (h *Holder) repayOne(ctx context.Context, lender string, used map[int64]int64) {
	ctx, cancel := context.WithTimeout(ctx, h.times.LoanTimeout)
	defer cancel()
	if h.fleet.Return(ctx, lender, Repayment{Holder: h.id, Used: used}) == nil {
		delete(h.unreachableSince, lender)
		return
	}
	if h.unreachableSince[lender].IsZero() {
		h.unreachableSince[lender] = h.now()
	}
	if h.now().Sub(h.unreachableSince[lender]) > loanTTL {
		delete(h.unreachableSince, lender)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, n := range used {
		h.queueRepayment(lender, number, n)
	}
}
