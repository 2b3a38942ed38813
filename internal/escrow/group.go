package escrow

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// reachesStore reports whether the store has answered recently, or has not been called yet.
func (h *Holder) reachesStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastAnswer.IsZero() || h.now().Sub(h.lastAnswer) < 2*h.times.ContactTimeout
}

const (
	submissionWait = 1800 * time.Millisecond // limit of the wait for the write
	submissionTTL  = 2500 * time.Millisecond // a submission that is not written by then is dropped
	loanTTL        = 90 * time.Second        // a loan that is not repaid by then counts as used
)

// pendingPart is a submitted part that waits for the next write of its page.
type pendingPart struct {
	holder      string
	part        Part
	arrived     time.Time
	urgent      bool // the holder cannot serve until it is written
	relayed     bool // the leader of another zone has passed it on
	receipt     PartReceipt
	settlements []Settlement
	done        chan struct{} // closed once the receipt is set
}

// Submit accepts rows of another holder of the availability zone, and returns once they are written.
func (h *Holder) Submit(ctx context.Context, s Submission) (Receipt, error) {
	if !h.reachesStore() {
		return Receipt{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store does not answer here")
	}
	if h.retired() {
		return Receipt{}, verdict.New(verdict.NotRun, verdict.CodeStopping, "this holder writes no more rows")
	}
	ctx, cancel := context.WithTimeout(ctx, submissionWait)
	defer cancel()
	own := h.enqueue(s)
	zone := make([][]*pendingPart, 0, len(s.Zone))
	for _, x := range s.Zone {
		zone = append(zone, h.enqueue(x))
	}
	out, err := awaitWritten(ctx, own)
	for _, list := range zone {
		if err != nil {
			return Receipt{}, err
		}
		var r Receipt
		r, err = awaitWritten(ctx, list)
		out.Zone = append(out.Zone, r)
	}
	return out, err
}

// awaitWritten waits until parts are in the store.
func awaitWritten(ctx context.Context, list []*pendingPart) (Receipt, error) {
	out := Receipt{Parts: make([]PartReceipt, 0, len(list))}
	for _, p := range list {
		select {
		case <-p.done:
			out.Parts = append(out.Parts, p.receipt)
		case <-ctx.Done():
			return Receipt{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the rows were not written in time")
		}
	}
	return out, nil
}

func (h *Holder) enqueue(s Submission) []*pendingPart {
	for _, part := range s.Parts {
		if part.Report.Epoch > 0 {
			// Parts of an earlier epoch are not written. Their receipts report the current epoch.
			_ = h.epochs.Observe(part.Report.Epoch, 0)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !s.Relayed && len(s.DemandRates) > 0 {
		h.zoneDemand[s.Holder] = reportedDemand{rates: s.DemandRates, at: now}
	}
	out := make([]*pendingPart, 0, len(s.Parts))
	for _, part := range s.Parts {
		if part.Page < 0 || part.Page >= len(h.pages) {
			continue
		}
		p := &pendingPart{
			holder: s.Holder, part: part, arrived: now, relayed: s.Relayed, urgent: (part.Report.Count == 1 && !part.Dormant) || (s.Relayed && part.urgent()),
			done: make(chan struct{}),
		}
		page := h.pages[part.Page]
		page.pending = append(page.pending, p)
		out = append(out, p)
	}
	h.wake()
	return out
}

// groupReady reports whether the parts that wait for a page are to be written now. The caller holds mu.
func (h *Holder) groupReady(p *pageState) bool {
	if len(p.pending) == 0 {
		return false
	}
	now := h.now()
	group := h.times.MinGroupGap
	for _, x := range p.pending {
		if x.urgent && now.Sub(x.arrived) >= h.times.UrgentGatherWindow {
			return true
		}
		if x.relayed {
			group = h.times.MinRelayedGap
		}
	}
	return now.Sub(p.pending[0].arrived) >= h.times.GatherWindow && now.Sub(p.refreshedAt) >= group
}

// dropExpired drops parts whose holders no longer wait for them. The caller holds mu.
func (h *Holder) dropExpired(p *pageState) {
	now := h.now()
	live := p.pending[:0]
	for _, x := range p.pending {
		if now.Sub(x.arrived) < submissionTTL {
			live = append(live, x)
		}
	}
	clear(p.pending[len(live):])
	p.pending = live
}

// applyPending applies the waiting parts to a page that is about to be written. The caller holds mu.
func (h *Holder) applyPending(p *pageState, g *granter) []*pendingPart {
	h.dropExpired(p)
	h.sumZoneDemand(p)
	list := append([]*pendingPart(nil), p.pending...)
	for _, x := range list {
		x.receipt = h.applyPart(x, g)
	}
	return list
}

// reportedDemand is the demand at one holder of the zone, in tokens per second by customer.
type reportedDemand struct {
	rates map[string]float64
	at    time.Time
}

// demandTTL is the time for which a reported demand counts.
const demandTTL = 6 * time.Second

// sumZoneDemand sums the zone's demand of a page's customers. The caller holds mu.
func (h *Holder) sumZoneDemand(p *pageState) {
	now := h.now()
	for holder, x := range h.zoneDemand {
		if now.Sub(x.at) > demandTTL {
			delete(h.zoneDemand, holder)
		}
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p {
			continue
		}
		a.zoneRate = a.meter.rate()
		for _, x := range h.zoneDemand {
			a.zoneRate += x.rates[name]
		}
	}
}

// applyPart applies one part to a page. It skips a part that does not directly follow the holder's row in the page, and
// one of a process that has ended. The caller holds mu.
func (h *Holder) applyPart(x *pendingPart, g *granter) PartReceipt {
	if x.part.Dormant {
		return x.settleDormant(g)
	}
	targets := make(map[string]int64, len(x.part.Rows))
	if !g.page.hasEnded(x.holder) && g.page.isNextPart(x.holder, x.part.Report) && !g.page.hasSuccessor(x.holder, x.part.Report) {
		h.grantPart(x, g, targets)
	}
	return h.receipt(x, g, targets)
}

// grantPart sets the rows of one part. The caller holds mu.
func (h *Holder) grantPart(x *pendingPart, g *granter, targets map[string]int64) {
	report := x.part.Report
	x.settlements = nil
	if x.part.Start.Node != "" {
		x.settlements = g.settlePredecessors(x.holder, x.part.Start)
	}
	g.report(x.holder, report)
	for name, need := range x.part.Rows {
		a := h.accounts[name]
		if a == nil || a.prepaid < 0 || h.pageOf(name) != h.pages[x.part.Page] {
			continue
		}
		_, targets[name] = g.grant(name, x.holder, need, a.prepaid)
	}
}

// receipt returns the state of a page for a holder. The caller holds mu.
func (h *Holder) receipt(x *pendingPart, g *granter, targets map[string]int64) PartReceipt {
	page := g.page
	report, present := page.Holders[x.holder]
	r := PartReceipt{
		Page: x.part.Page, Present: present, Unsettled: g.unsettled(x.holder, x.part.Report.Node), Report: report, Holders: len(page.Holders), FleetRate: h.fleetMeter.rate(),
		Epoch: page.Epoch, Rows: make(map[string]AccountReceipt, len(x.part.Rows)), Ended: page.hasEnded(x.holder), Pages: page.Pages,
	}
	for name := range x.part.Rows {
		a, acc := h.accounts[name], page.Accounts[name]
		if a == nil || acc == nil {
			continue
		}
		remaining, ungranted := g.unspent(name, a.prepaid)
		r.Rows[name] = AccountReceipt{
			Row: acc.Rows[x.holder], Target: targets[name], Remaining: remaining, Ungranted: ungranted,
			OthersDemand: a.othersDemand, FleetRate: a.fleetMeter.rate(), ZoneRate: a.zoneRate, Unproven: acc.Unproven,
		}
	}
	return r
}

// complete ends the wait of holders whose parts are in the store. The caller holds mu.
func (p *pageState) complete(list []*pendingPart) {
	done := make(map[*pendingPart]bool, len(list))
	for _, x := range list {
		done[x] = true
		close(x.done)
	}
	waiting := p.pending[:0]
	for _, x := range p.pending {
		if !done[x] {
			waiting = append(waiting, x)
		}
	}
	clear(p.pending[len(waiting):])
	p.pending = waiting
}

// loanRecord is a loan that this holder has given.
type loanRecord struct {
	reservation *Reservation
	at          time.Time
}

type loanKey struct {
	holder string
	number int64
}

// reserveLoan reserves tokens for a loan from what this holder has, or from what a refresh brings.
func (h *Holder) reserveLoan(ctx context.Context, l Loan) (*Reservation, error) {
	h.countLoanDemand(l)
	var r *Reservation
	var err error
	if l.HeldOnly || h.isFollower() {
		r, _, err = h.tryReserve(l.Customer, l.MaxTokens, l.Rank, true)
	} else {
		r, err = h.reserveWithRefresh(ctx, l.Customer, l.MaxTokens, l.Rank, waitForRefresh{forLoan: true, limit: h.loanWait(l)})
	}
	if r != nil && r.holder != nil {
		return r, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	after, a := retryLater, h.accounts[l.Customer]
	if err := h.exhausted(a, l.MaxTokens); err != nil && l.Dormant {
		return nil, err
	}
	if a != nil {
		after = h.retryAfter(a, l.MaxTokens)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnavailable, "nothing to lend", verdict.WithRetryAfter(after), verdict.WithCause(err))
}

// Lend reserves a part of this holder's grant for a request at another holder.
func (h *Holder) Lend(ctx context.Context, l Loan) error {
	r, err := h.reserveLoan(ctx, l)
	if err != nil {
		return err
	}
	h.mu.Lock()
	key := loanKey{l.Holder, l.Number}
	_, returned := h.returnedEarly[key]
	if !returned {
		h.loans[key] = loanRecord{reservation: r, at: h.now()}
	}
	h.mu.Unlock()
	if returned {
		r.Settle(0)
		return refuseBudget("the loan was returned before it was given", retrySoon)
	}
	return nil
}

// Repaid ends loans. If a loan is not known yet, because its holder did not wait for it, Repaid records it so that it
// is not given later.
func (h *Holder) Repaid(r Repayment) {
	for number, used := range r.Used {
		h.mu.Lock()
		key := loanKey{r.Holder, number}
		l, ok := h.loans[key]
		delete(h.loans, key)
		if !ok {
			h.returnedEarly[key] = h.now()
		}
		h.mu.Unlock()
		if ok {
			l.reservation.Settle(used)
		}
	}
}

// writeOffLoans counts loans as used that have not been repaid for a long time.
func (h *Holder) writeOffLoans() {
	h.mu.Lock()
	now := h.now()
	var old []*Reservation
	for key, l := range h.loans {
		if now.Sub(l.at) > loanTTL {
			old = append(old, l.reservation)
			delete(h.loans, key)
		}
	}
	for key, at := range h.returnedEarly {
		if now.Sub(at) > loanTTL {
			delete(h.returnedEarly, key)
		}
	}
	h.mu.Unlock()
	for _, r := range old {
		r.Settle(r.maxTokens)
	}
}
