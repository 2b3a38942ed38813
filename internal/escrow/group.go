package escrow

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// reachesStore reports whether the store has answered lately, or was not asked yet.
func (h *Holder) reachesStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.answered.IsZero() || h.now().Sub(h.answered) < 2*h.times.ContactTimeout
}

const (
	submissionWait = 1800 * time.Millisecond // for the write
	submissionLife = 2500 * time.Millisecond // a submission that was not written by then is dropped
	loanLife       = 90 * time.Second        // a loan that was not repaid by then counts as used
)

// pending is a part that waits for the next write of its page.
type pending struct {
	holder  string
	part    Part
	came    time.Time
	hasty   bool // the holder cannot serve before it is written
	relayed bool // the leader of another zone has passed it on
	receipt PartReceipt
	folded  []Settlement
	done    chan struct{} // closed once the receipt stands
}

// Submit takes rows of another holder of the zone, and returns once they are written.
func (h *Holder) Submit(ctx context.Context, s Submission) (Receipt, error) {
	if !h.reachesStore() {
		return Receipt{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store does not answer here")
	}
	ctx, cancel := context.WithTimeout(ctx, submissionWait)
	defer cancel()
	own := h.enqueue(s)
	zone := make([][]*pending, 0, len(s.Zone))
	for _, x := range s.Zone {
		zone = append(zone, h.enqueue(x))
	}
	out, err := written(ctx, own)
	for _, list := range zone {
		if err != nil {
			return Receipt{}, err
		}
		var r Receipt
		r, err = written(ctx, list)
		out.Zone = append(out.Zone, r)
	}
	return out, err
}

// written waits until parts are in the store.
func written(ctx context.Context, list []*pending) (Receipt, error) {
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

func (h *Holder) enqueue(s Submission) []*pending {
	for _, part := range s.Parts {
		if part.Report.Epoch > 0 {
			_ = h.epochs.Observe(part.Report.Epoch, 0) // a part of an earlier one is not written, and its receipt reports why
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !s.Relayed {
		h.asked[s.Holder] = asked{rates: s.DemandRates, at: now}
	}
	out := make([]*pending, 0, len(s.Parts))
	for _, part := range s.Parts {
		if part.Page < 0 || part.Page >= len(h.pages) {
			continue
		}
		p := &pending{
			holder: s.Holder, part: part, came: now, relayed: s.Relayed, hasty: part.Report.Count == 1 || (s.Relayed && part.urgent()),
			done: make(chan struct{}),
		}
		page := h.pages[part.Page]
		page.pending = append(page.pending, p)
		out = append(out, p)
	}
	h.kick()
	return out
}

// gathered reports whether the parts that wait for a page are to be written now. The caller holds mu.
func (h *Holder) gathered(p *pageState) bool {
	if len(p.pending) == 0 {
		return false
	}
	now := h.now()
	group := h.times.MinGroupGap
	for _, x := range p.pending {
		if x.hasty && now.Sub(x.came) >= h.times.UrgentGatherWindow {
			return true
		}
		if x.relayed {
			group = h.times.MinRelayedGap
		}
	}
	return now.Sub(p.pending[0].came) >= h.times.GatherWindow && now.Sub(p.drawn) >= group
}

// expire drops parts whose holders have stopped waiting. The caller holds mu.
func (h *Holder) expire(p *pageState) {
	now := h.now()
	kept := p.pending[:0]
	for _, x := range p.pending {
		if now.Sub(x.came) < submissionLife {
			kept = append(kept, x)
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// applyAll puts the parts that wait into a page that is about to be written. The caller holds mu.
func (h *Holder) applyAll(p *pageState, g *granting) []*pending {
	h.expire(p)
	h.sumZone(p)
	list := append([]*pending(nil), p.pending...)
	for _, x := range list {
		x.receipt = h.apply(x, g)
	}
	return list
}

// asked is what one holder of the zone is asked for, in tokens a second by customer.
type asked struct {
	rates map[string]float64
	at    time.Time
}

// askedLife is how long it counts.
const askedLife = 6 * time.Second

// sumZone adds up what the zone is asked for of a page's customers. The caller holds mu.
func (h *Holder) sumZone(p *pageState) {
	now := h.now()
	for holder, x := range h.asked {
		if now.Sub(x.at) > askedLife {
			delete(h.asked, holder)
		}
	}
	for name, a := range h.accounts {
		if h.pageOf(name) != p {
			continue
		}
		a.zoneRate = a.meter.rate()
		for _, x := range h.asked {
			a.zoneRate += x.rates[name]
		}
	}
}

// apply puts one part into a page, unless the holder's row there is not the one that the part follows. The caller holds mu.
func (h *Holder) apply(x *pending, g *granting) PartReceipt {
	targets := make(map[string]int64, len(x.part.Rows))
	if g.page.follows(x.holder, x.part.Report) {
		h.grantAll(x, g, targets)
	}
	return h.receipt(x, g, targets)
}

// grantAll sets the rows of one part. The caller holds mu.
func (h *Holder) grantAll(x *pending, g *granting, targets map[string]int64) {
	report := x.part.Report
	x.folded = nil
	if x.part.Start.Node != "" {
		x.folded = g.fold(x.holder, x.part.Start)
	}
	g.report(x.holder, report)
	for name, need := range x.part.Rows {
		a := h.accounts[name]
		if a == nil || a.prepaid < 0 {
			continue
		}
		_, targets[name] = g.grant(name, x.holder, need, a.prepaid)
	}
}

// receipt tells how a page stands for a holder. The caller holds mu.
func (h *Holder) receipt(x *pending, g *granting, targets map[string]int64) PartReceipt {
	page := g.page
	report, present := page.Holders[x.holder]
	r := PartReceipt{
		Page: x.part.Page, Present: present, Unsettled: g.unsettled(x.holder, x.part.Report.Node), Report: report, Holders: len(page.Holders), FleetRate: h.all.rate(),
		Epoch: page.Epoch, Rows: make(map[string]AccountReceipt, len(x.part.Rows)),
	}
	for name := range x.part.Rows {
		a, acc := h.accounts[name], page.Accounts[name]
		if a == nil || acc == nil {
			continue
		}
		rest, free := g.rest(name, a.prepaid)
		r.Rows[name] = AccountReceipt{
			Row: acc.Rows[x.holder], Target: targets[name], Remaining: rest, Ungranted: free,
			OthersDemand: a.others, FleetRate: a.all.rate(), ZoneRate: a.zoneRate, Unproven: acc.Unproven,
		}
	}
	return r
}

// release tells holders whose parts are in the store. The caller holds mu.
func (p *pageState) release(list []*pending) {
	done := make(map[*pending]bool, len(list))
	for _, x := range list {
		done[x] = true
		close(x.done)
	}
	kept := p.pending[:0]
	for _, x := range p.pending {
		if !done[x] {
			kept = append(kept, x)
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// lent is a loan that this holder has given.
type lent struct {
	reservation *Reservation
	at          time.Time
}

type loanKey struct {
	holder string
	number int64
}

// lend reserves what is lent, of what there is or of what a draw brings.
func (h *Holder) lend(ctx context.Context, l Loan) (*Reservation, error) {
	var r *Reservation
	var err error
	if l.HeldOnly || h.follows() {
		r, _, err = h.try(l.Customer, l.MaxTokens, l.Rank, true)
	} else {
		r, err = h.draws(ctx, l.Customer, l.MaxTokens, l.Rank, true)
	}
	if r != nil && r.holder != nil {
		return r, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	after := retryLater
	if a := h.accounts[l.Customer]; a != nil {
		after = h.comeBack(a, l.MaxTokens)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, "nothing to lend", verdict.WithRetryAfter(after), verdict.WithCause(err))
}

// Lend reserves a part of this holder's grant for a request at another holder.
func (h *Holder) Lend(ctx context.Context, l Loan) error {
	r, err := h.lend(ctx, l)
	if err != nil {
		return err
	}
	h.mu.Lock()
	key := loanKey{l.Holder, l.Number}
	_, over := h.returned[key]
	if !over {
		h.loans[key] = lent{reservation: r, at: h.now()}
	}
	h.mu.Unlock()
	if over {
		r.Settle(0)
		return refuseBudget("the loan was returned before it was given", retrySoon)
	}
	return nil
}

// Repaid ends loans. One that is not known yet, as its holder did not wait for it, is remembered, so that it is not given.
func (h *Holder) Repaid(r Repayment) {
	for number, used := range r.Used {
		h.mu.Lock()
		key := loanKey{r.Holder, number}
		l, ok := h.loans[key]
		delete(h.loans, key)
		if !ok {
			h.returned[key] = h.now()
		}
		h.mu.Unlock()
		if ok {
			l.reservation.Settle(used)
		}
	}
}

// writeOff takes loans that nobody has repaid for long as used.
func (h *Holder) writeOff() {
	h.mu.Lock()
	now := h.now()
	var old []*Reservation
	for key, l := range h.loans {
		if now.Sub(l.at) > loanLife {
			old = append(old, l.reservation)
			delete(h.loans, key)
		}
	}
	for key, at := range h.returned {
		if now.Sub(at) > loanLife {
			delete(h.returned, key)
		}
	}
	h.mu.Unlock()
	for _, r := range old {
		r.Settle(r.most)
	}
}
