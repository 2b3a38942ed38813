package demo

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// audit is what the auditor has found. It trusts no instance: it reads the endpoints' logs, the store and the callers' records.
type audit struct {
	Overspend    int64
	DoubleBilled int
	Unbilled     int
	Lost         int
	Crossed      int
	RanTwice     int
	NotRunButRan int
	LateNewWork  int
	CutByStop    int
	Held         int64
	Billed       int64
	Notes        []string

	// crashed: an instance has crashed, so charges may be in the store of which it could not tell any more
	crashed bool
}

func (a *audit) note(format string, args ...any) {
	const most = 20
	if len(a.Notes) < most {
		a.Notes = append(a.Notes, fmt.Sprintf(format, args...))
	}
}

// ranPrompts finds what the engines ran for each answer text: how often, and the most that a run cost.
type ranPrompt struct {
	runs int
	cost int64
}

func (f *fleet) ranByText() map[uint64]ranPrompt {
	out := make(map[uint64]ranPrompt)
	for _, e := range f.engines {
		for _, r := range e.engine.Log() {
			p := out[r.Text]
			p.runs++
			p.cost = max(p.cost, r.Prompt+r.Output)
			out[r.Text] = p
		}
	}
	return out
}

func textHash(c *call) uint64 {
	p, n := c.generated()
	return xxhash.Sum64String(strings.Join(engine.Text(p, n), ""))
}

// runAudit checks every promise.
func runAudit(ctx context.Context, s *scene, calls []*call) (*audit, error) {
	a := &audit{crashed: s.f.hasCrashed()}
	ran := s.f.ranByText()
	a.checkAnswers(calls, ran, s.f)
	a.checkPayments(calls, s.f)
	a.checkDrains(s)
	if err := a.checkBills(ctx, s.f, calls, ran); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *audit) checkAnswers(calls []*call, ran map[uint64]ranPrompt, f *fleet) {
	for _, c := range calls {
		if len(c.verdicts) == 0 {
			a.Lost++
			a.note("lost: call %d has no verdict", c.serial)
		}
		if c.whole && c.text != c.expected() {
			a.Crossed++
			a.note("crossed: call %d got another answer", c.serial)
		}
		if c.cut {
			a.CutByStop++
			a.note("cut: call %d was broken by a planned stop", c.serial)
		}
		if !c.everRan() && a.ranAnyway(c, ran, f) {
			a.NotRunButRan++
			a.note("not run: call %d (%s) ran all the same", c.serial, c.id)
		}
	}
}

func (a *audit) ranAnyway(c *call, ran map[uint64]ranPrompt, f *fleet) bool {
	switch c.kind {
	case chatStream, chatWhole:
		return ran[textHash(c)].runs > 0
	default:
		return f.plainRuns(string(c.body())) > 0
	}
}

// plainRuns is how often the plain services ran a body.
func (f *fleet) plainRuns(body string) int {
	n := 0
	for _, p := range f.plains {
		n += p.Runs(body)
	}
	return n
}

func (a *audit) checkPayments(calls []*call, f *fleet) {
	for _, c := range calls {
		if c.kind != payment {
			continue
		}
		if n := f.plainRuns(string(c.body())); n > 1 {
			a.RanTwice++
			a.note("ran twice: payment %d ran %d times", c.serial, n)
		}
	}
}

func (a *audit) checkDrains(s *scene) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.drains {
		for _, e := range s.f.engines {
			if e.name != d.endpoint {
				continue
			}
			for _, r := range e.engine.Log() {
				if r.Started.After(d.from) && (d.to.IsZero() || r.Started.Before(d.to)) {
					a.LateNewWork++
					a.note("late: %s got run %s after its drain", e.name, r.RequestID)
				}
			}
		}
	}
}

// bounds are what a budget's bill must lie between.
type bounds struct{ low, high int64 }

// checkBills compares what the store says was spent with what the callers got and the endpoints ran.
func (a *audit) checkBills(ctx context.Context, f *fleet, calls []*call, ran map[uint64]ranPrompt) error {
	want := make(map[string]*bounds)
	charged := f.chargesByID()
	for _, c := range calls {
		b := want[c.budget]
		if b == nil {
			b = &bounds{}
			want[c.budget] = b
		}
		low, high := c.billBounds(ran, f)
		b.low += low
		b.high += high
		a.checkCharges(c, charged, low, high)
	}
	for i := range customers {
		for k := range budgetsPerClient {
			if err := a.checkBudget(ctx, f, budgetName(i, k), depositOf(i, k), want[budgetName(i, k)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkCharges compares what instances told of a call's charges with what it must cost. A call without a charge is unbilled, unless an
// instance has crashed: one that crashes while it writes charges cannot tell of them, whether the store took them or not. Then
// checkBudget decides, by the store's sum.
func (a *audit) checkCharges(c *call, charged map[string][]int64, low, high int64) {
	if c.id == "" {
		return
	}
	bills := charged[c.id]
	if len(bills) > 1 {
		a.DoubleBilled++
		a.note("double: call %d (%s) has %d charges", c.serial, c.id, len(bills))
	}
	if c.whole && len(bills) == 0 && !a.crashed {
		a.Unbilled++
		a.note("unbilled: call %d (%s) was answered whole", c.serial, c.id)
	}
	for _, n := range bills {
		if n < low || n > high {
			a.note("odd: call %d (%s, %v) was billed %d, not %d to %d", c.serial, c.id, c.verdicts, n, low, high)
		}
	}
}

// billBounds is what the call must and may cost: exactly its price if it was answered whole; nothing if it has not run;
// up to what the endpoint ran otherwise.
func (c *call) billBounds(ran map[uint64]ranPrompt, f *fleet) (low, high int64) {
	if c.whole {
		return c.price(), c.price()
	}
	if !c.everRan() {
		return 0, 0
	}
	if c.kind == payment || c.kind == lookup {
		if f.plainRuns(string(c.body())) > 0 {
			return 0, c.need
		}
		return 0, c.need // a call that may have run is billed
	}
	return 0, ran[textHash(c)].cost
}

func (f *fleet) chargesByID() map[string][]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string][]int64, len(f.charges))
	for id, cs := range f.charges {
		for _, c := range cs {
			out[id] = append(out[id], c.Tokens)
		}
	}
	return out
}

func (a *audit) checkBudget(ctx context.Context, f *fleet, name string, deposited int64, want *bounds) error {
	v, err := budget.Inspect(ctx, f.storeClient(), name)
	if err != nil {
		return err
	}
	if want == nil {
		want = &bounds{}
	}
	held := v.Granted
	for _, h := range v.Holders {
		held -= h.Spent
	}
	a.Billed += v.Spent
	a.Held += held
	a.compare(name, bill{spent: v.Spent, held: held, deposited: deposited}, *want)
	return nil
}

// bill is what the store says of a budget, in tokens.
type bill struct {
	spent     int64
	held      int64 // for runs whose fate nobody knows yet: it is billed or freed once somebody does
	deposited int64
}

// compare judges a budget's bill.
func (a *audit) compare(name string, b bill, want bounds) {
	if b.spent > b.deposited {
		a.Overspend += b.spent - b.deposited
		a.note("overspend: budget %s spent %d of %d", name, b.spent, b.deposited)
	}
	if b.spent > want.high {
		a.DoubleBilled++
		a.note("double: budget %s spent %d, more than %d", name, b.spent, want.high)
	}
	if b.spent+b.held < want.low {
		a.Unbilled++
		a.note("unbilled: budget %s spent %d and holds %d, less than %d", name, b.spent, b.held, want.low)
	}
}

func (f *fleet) storeClient() external.Store { return etcdstore.New(f.kvSrv.URL()) }

const settlePoll = 50 * time.Millisecond

// settle waits until every charge is in the store and no dead holder has escrow, for at most limit.
func (f *fleet) settle(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if f.settled(ctx) {
			return true
		}
		time.Sleep(settlePoll)
	}
	return false
}

func (f *fleet) settled(ctx context.Context) bool {
	if f.kv.On(kv.Down) {
		return false
	}
	for _, n := range f.live("") {
		if n.in.Client().Open() > 0 || n.in.Holder().OpenCount() > 0 {
			return false
		}
	}
	return f.deadGrants(ctx) == 0
}

// deadGrants counts grants of holders that do not live any more.
func (f *fleet) deadGrants(ctx context.Context) int {
	alive := make(map[string]bool)
	for _, n := range f.live("") {
		alive[n.in.Holder().ID()] = true
	}
	es, err := f.storeClient().List(ctx, budget.PagePrefix)
	if err != nil {
		return -1
	}
	n := 0
	for _, e := range es {
		page, err := budget.DecodePage(e)
		if err != nil {
			return -1
		}
		for _, id := range page.Budgets() {
			row, err := page.Row(id)
			if err != nil {
				return -1
			}
			for _, h := range row.Holders() {
				if !alive[h] {
					n++
				}
			}
		}
	}
	return n
}

func countVerdicts(calls []*call) (whole, notRun, mayHave, refusedBudget int) {
	for _, c := range calls {
		switch {
		case c.whole:
			whole++
		case c.code == verdict.CodeBudgetExhausted && !c.everRan():
			refusedBudget++
		case !c.everRan():
			notRun++
		default:
			mayHave++
		}
	}
	return whole, notRun, mayHave, refusedBudget
}
