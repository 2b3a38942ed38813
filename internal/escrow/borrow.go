package escrow

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/kernel"
)

// follows says whether the zone's leader writes this holder's rows.
func (h *Holder) follows() bool { return h.leader != nil && !h.leader.Leads() }

// borrow reserves of the leader's grant.
func (h *Holder) borrow(ctx context.Context, customer string, most int64, rank int) (*Reservation, error) {
	number, ok := h.nextLoan(customer)
	if !ok {
		return nil, h.refuse(customer, most)
	}
	ctx, cancel := context.WithTimeout(ctx, h.times.Borrow)
	defer cancel()
	lent, err := h.leader.Borrow(ctx, Loan{Holder: h.id, Number: number, Customer: customer, Most: most, Rank: rank})
	if err != nil {
		h.notLent(customer, lent, number)
		return nil, h.refuse(customer, most)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count(h.accounts[customer], most)
	return &Reservation{holder: h, customer: customer, most: most, lent: lent, number: number}, nil
}

// notLent notes that a loan was refused. Where that is not known, as the answer was lost, it is returned all the same.
func (h *Holder) notLent(customer, lent string, number int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accounts[customer].dry = h.now()
	if lent != "" {
		h.repay(lent, number, 0)
	}
}

// nextLoan numbers a loan; not while the last one was refused only just now.
func (h *Holder) nextLoan(customer string) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.now().Sub(h.accounts[customer].dry) < h.times.Dry {
		return 0, false
	}
	h.loanCount++
	return h.loanCount, true
}

// repay notes what was used of a loan. The caller holds mu.
func (h *Holder) repay(lent string, number, used int64) {
	owed := h.owed[lent]
	if owed == nil {
		owed = make(map[int64]int64)
		h.owed[lent] = owed
	}
	owed[number] = used
}

// repayments is the service that returns loans that have ended.
type repayments struct{ holder *Holder }

// Repayments is the service that returns ended loans to the leaders that gave them.
func (h *Holder) Repayments() kernel.Service { return &repayments{holder: h} }

// Name implements kernel.Service.
func (*repayments) Name() string { return "repayments" }

// Run implements kernel.Service.
func (r *repayments) Run(ctx context.Context) error {
	kernel.Every(ctx, r.holder.times.Repay, r.holder.repayAll)
	return nil
}

func (h *Holder) repayAll(ctx context.Context) {
	h.mu.Lock()
	owed := h.owed
	h.owed = make(map[string]map[int64]int64)
	h.mu.Unlock()
	for lent, used := range owed {
		h.repayOne(ctx, lent, used)
	}
	h.writeOff()
}

// repayOne returns loans to one leader. What did not arrive is tried again until it is too old to matter.
func (h *Holder) repayOne(ctx context.Context, lent string, used map[int64]int64) {
	ctx, cancel := context.WithTimeout(ctx, h.times.Borrow)
	defer cancel()
	if h.leader.Return(ctx, lent, Repayment{Holder: h.id, Used: used}) == nil {
		delete(h.unpaid, lent)
		return
	}
	if h.unpaid[lent].IsZero() {
		h.unpaid[lent] = h.now()
	}
	if h.now().Sub(h.unpaid[lent]) > loanLife {
		delete(h.unpaid, lent)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for number, n := range used {
		h.repay(lent, number, n)
	}
}
