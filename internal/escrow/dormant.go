package escrow

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// A holder of a zone with hundreds of others sees each customer too rarely to hold tokens for it. Such a holder is
// dormant: it has no rows, and borrows the tokens of each request from the pools of its zone. The number of rows in a
// page, and the parts that a leader receives, then depend on the number of zones and not of holders.
//
// A dormant holder submits one part for each page after its start, which settles the rows of its earlier processes. One
// that has had rows keeps them until its process ends.

// isDormant reports whether this holder has no rows and needs none.
func (h *Holder) isDormant() bool {
	if h.fleet == nil {
		return false
	}
	h.mu.Lock()
	active := h.active
	h.mu.Unlock()
	return !active && h.fleet.NeedsNoRows()
}

// activate records that this holder is about to have rows.
func (h *Holder) activate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active = true
}

// refreshDormant makes a dormant holder ready, and settles those of its earlier processes through the leader.
func (h *Holder) refreshDormant(ctx context.Context) {
	h.mu.Lock()
	h.readyWithoutRows = len(h.accounts) > 0
	s := Submission{Holder: h.id}
	for i, p := range h.pages {
		if !p.settledEarlier && len(h.accounts) > 0 {
			s.Parts = append(s.Parts, Part{Page: i, Report: h.report(h.clock.Now(), 1), Start: h.startReport(), Dormant: true})
		}
	}
	h.mu.Unlock()
	if len(s.Parts) == 0 || !h.isFollower() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, submissionTTL)
	defer cancel()
	receipt, err := h.fleet.Submit(ctx, s)
	if err != nil {
		h.log.Debug().Str("event", "escrow_submission_failed").Err(err).Msg("the availability zone's leader did not settle the rows of earlier processes")
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordAnswer()
	for _, r := range receipt.Parts {
		if r.Pages > 0 && r.Pages != len(h.pages) {
			h.pagesStated = r.Pages
			continue
		}
		if r.Page >= 0 && r.Page < len(h.pages) {
			h.pages[r.Page].settledEarlier = r.Dormant && !r.Unsettled
		}
	}
}

// settleDormant applies a dormant holder's part to a page.
func (x *pendingPart) settleDormant(g *granter) PartReceipt {
	x.settlements = nil
	if !g.page.hasSuccessor(x.holder, x.part.Report) {
		x.settlements = g.settlePredecessors(x.holder, x.part.Start)
	}
	return PartReceipt{
		Page: x.part.Page, Pages: g.page.Pages, Dormant: true, Unsettled: g.unsettled(x.holder, x.part.Report.Node), Holders: len(g.page.Holders), Epoch: g.page.Epoch,
	}
}

// countLoanDemand counts the demand of a loan whose borrower does not report it.
func (h *Holder) countLoanDemand(l Loan) {
	if !l.Dormant {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[l.Customer]; a != nil {
		h.countDemand(a, l.MaxTokens)
	}
}

// maxLoanWait is the share of DormantLoanTimeout for which a loan waits for a refresh. The rest is for its messages.
const maxLoanWait = 0.8

// loanWait returns how long a loan waits for a refresh. A dormant holder can hardly get the tokens elsewhere.
func (h *Holder) loanWait(l Loan) time.Duration {
	if l.Dormant {
		return time.Duration(maxLoanWait * float64(h.times.DormantLoanTimeout))
	}
	return h.times.ReserveWait
}

// exhausted returns the error of a rejected loan if the budget is exhausted, else nil. The caller holds mu.
func (h *Holder) exhausted(a *account, maxTokens int64) error {
	if a == nil || a.prepaid < 0 || a.unspent() >= maxTokens || !h.storeAnswering() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, a.exhaustedDetail(), verdict.WithRetryAfter(retryLater))
}
