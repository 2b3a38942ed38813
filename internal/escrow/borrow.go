package escrow

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"
)

// follows reports whether the zone's leader writes this holder's rows.
func (h *Holder) follows() bool { return h.fleet != nil && !h.fleet.Leads() }

// relays reports whether this holder leads its zone and the leader of another zone writes its rows and its zone's.
func (h *Holder) relays() bool { return h.fleet != nil && h.fleet.Relays() }

// role is this holder's part in keeping a customer's tokens.
func (h *Holder) role(customer string) Role {
	if h.fleet == nil {
		return RoleStandalone
	}
	return h.fleet.Role(customer)
}

// borrow reserves of another holder's grant; nil if none lends. later is when one may; 0: none has said.
func (h *Holder) borrow(ctx context.Context, customer string, most int64, rank int) (r *Reservation, later time.Duration) {
	number, ok := h.nextLoan(customer, most)
	if !ok {
		return nil, 0
	}
	ctx, cancel := context.WithTimeout(ctx, h.times.LoanTimeout)
	defer cancel()
	got := h.fleet.Borrow(ctx, Loan{Holder: h.id, Number: number, Customer: customer, MaxTokens: most, Rank: rank})
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, lender := range got.Unconfirmed {
		h.repay(lender, number, 0)
	}
	a := h.accounts[customer]
	if got.Lender == "" {
		a.dry, a.dryFor = h.now(), most
		return nil, got.RetryAfter
	}
	h.count(a, most)
	return &Reservation{holder: h, customer: customer, most: most, lender: got.Lender, number: number}, 0
}

// nextLoan numbers a loan; not while as much was refused only just now.
func (h *Holder) nextLoan(customer string, most int64) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if h.fleet == nil || (most >= a.dryFor && h.now().Sub(a.dry) < h.times.ExhaustedPause) {
		return 0, false
	}
	h.loanCount++
	return h.loanCount, true
}

// repay notes what was used of a loan. The caller holds mu.
func (h *Holder) repay(lender string, number, used int64) {
	owed := h.owed[lender]
	if owed == nil {
		owed = make(map[int64]int64)
		h.owed[lender] = owed
	}
	owed[number] = used
}

// repayments is the service that returns loans that have ended.
type repayments struct{ holder *Holder }

// Repayments is the service that returns ended loans to the holders that gave them.
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
	owed := h.owed
	h.owed = make(map[string]map[int64]int64)
	h.mu.Unlock()
	for lender, used := range owed {
		h.repayOne(ctx, lender, used)
	}
	h.writeOff()
}

// repayOne returns loans to one lender. What did not arrive is tried again until the lender has written it off.
func (h *Holder) repayOne(ctx context.Context, lender string, used map[int64]int64) {
	ctx, cancel := context.WithTimeout(ctx, h.times.LoanTimeout)
	defer cancel()
	if h.fleet.Return(ctx, lender, Repayment{Holder: h.id, Used: used}) == nil {
		delete(h.unpaid, lender)
		return
	}
	if h.unpaid[lender].IsZero() {
		h.unpaid[lender] = h.now()
	}
	if h.now().Sub(h.unpaid[lender]) > loanLife {
		delete(h.unpaid, lender)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, n := range used {
		h.repay(lender, number, n)
	}
}
