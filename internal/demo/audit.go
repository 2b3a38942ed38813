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

// audit holds the findings of the auditor, which trusts no instance: it reads the endpoints' logs, the store and the
// callers' records.
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

	// crashed means that an instance has crashed. The store may then contain charges that the instance could not report.
	crashed bool
}

func (a *audit) note(format string, args ...any) {
	const maxNotes = 20
	if len(a.Notes) < maxNotes {
		a.Notes = append(a.Notes, fmt.Sprintf(format, args...))
	}
}

// promptRuns is the number of engine runs for one response text, and the maximum cost of a run in tokens.
type promptRuns struct {
	runs int
	cost int64
}

// runsByText returns the engines' runs by the hash of their response text.
func (f *fleet) runsByText() map[uint64]promptRuns {
	out := make(map[uint64]promptRuns)
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

// runAudit checks every guarantee.
func runAudit(ctx context.Context, s *scenario, calls []*call) (*audit, error) {
	a := &audit{crashed: s.f.hasCrashed()}
	ran := s.f.runsByText()
	a.checkResponses(calls, ran, s.f)
	a.checkPayments(calls, s.f)
	a.checkDrains(s)
	if err := a.checkBills(ctx, s.f, calls, ran); err != nil {
		return nil, err
	}
	return a, nil
}

func (a *audit) checkResponses(calls []*call, ran map[uint64]promptRuns, f *fleet) {
	for _, c := range calls {
		if len(c.verdicts) == 0 {
			a.Lost++
			a.note("lost: call %d has no verdict", c.serial)
		}
		if c.complete && c.text != c.expectedText() {
			a.Crossed++
			a.note("crossed: call %d got another answer", c.serial)
		}
		if c.cutByStop {
			a.CutByStop++
			a.note("cut: call %d was broken by a planned stop", c.serial)
		}
		if !c.mayHaveRun() && a.hasRun(c, ran, f) {
			a.NotRunButRan++
			a.note("not run: call %d (%s) ran all the same", c.serial, c.id)
		}
	}
}

// hasRun reports whether an endpoint ran a call.
func (a *audit) hasRun(c *call, ran map[uint64]promptRuns, f *fleet) bool {
	switch c.kind {
	case chatStream, chatNonStreaming:
		return ran[textHash(c)].runs > 0
	default:
		return f.plainRuns(string(c.body())) > 0
	}
}

// plainRuns returns how often the plain services ran a body.
func (f *fleet) plainRuns(body string) int {
	n := 0
	for _, p := range f.plainServices {
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

func (a *audit) checkDrains(s *scenario) {
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

// bounds are the limits between which a bill must lie, in tokens.
type bounds struct{ low, high int64 }

// checkBills compares the spending in the store with what the callers received and the endpoints ran.
func (a *audit) checkBills(ctx context.Context, f *fleet, calls []*call, ran map[uint64]promptRuns) error {
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
		for k := range budgetsPerCustomer {
			if err := a.checkBudget(ctx, f, budgetName(i, k), depositOf(i, k), want[budgetName(i, k)]); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkCharges compares the charges that instances reported for a call with its cost. A call without a charge is
// unbilled, unless an instance has crashed: an instance that crashes while it writes charges cannot report them, whether
// the store accepted them or not. In that case checkBudget decides, by the sum in the store.
func (a *audit) checkCharges(c *call, charged map[string][]int64, low, high int64) {
	if c.id == "" {
		return
	}
	bills := charged[c.id]
	if len(bills) > 1 {
		a.DoubleBilled++
		a.note("double: call %d (%s) has %d charges", c.serial, c.id, len(bills))
	}
	if c.complete && len(bills) == 0 && !a.crashed {
		a.Unbilled++
		a.note("unbilled: call %d (%s) was answered whole", c.serial, c.id)
	}
	for _, n := range bills {
		if n < low || n > high {
			a.note("odd: call %d (%s, %v) was billed %d, not %d to %d", c.serial, c.id, c.verdicts, n, low, high)
		}
	}
}

// billBounds returns the minimum and maximum cost of the call: exactly its price if its response was complete, nothing if
// it has not run, and otherwise at most what the endpoint ran.
func (c *call) billBounds(ran map[uint64]promptRuns, f *fleet) (low, high int64) {
	if c.complete {
		return c.price(), c.price()
	}
	if !c.mayHaveRun() {
		return 0, 0
	}
	if c.kind == payment || c.kind == lookup {
		if f.plainRuns(string(c.body())) > 0 {
			return 0, c.maxCost
		}
		return 0, c.maxCost // a call that may have run is billed
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
	a.checkBill(name, bill{spent: v.Spent, held: held, deposited: deposited}, *want)
	return nil
}

// bill is the state of a budget in the store, in tokens.
type bill struct {
	spent     int64
	held      int64 // for runs with an unknown outcome: billed or released once it is known
	deposited int64
}

// checkBill checks a budget's bill against its deposit and its bounds.
func (a *audit) checkBill(name string, b bill, want bounds) {
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

// settle waits until every charge is in the store and no crashed holder has escrow, for at most limit.
func (f *fleet) settle(ctx context.Context, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if f.isSettled(ctx) {
			return true
		}
		time.Sleep(settlePoll)
	}
	return false
}

func (f *fleet) isSettled(ctx context.Context) bool {
	if f.kv.On(kv.Down) {
		return false
	}
	for _, n := range f.live("") {
		if n.in.Client().Open() > 0 || n.in.Holder().OpenCount() > 0 {
			return false
		}
	}
	return f.countDeadGrants(ctx) == 0
}

// countDeadGrants counts grants of holders that no longer run. It returns -1 if the store cannot be read.
func (f *fleet) countDeadGrants(ctx context.Context) int {
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

func countVerdicts(calls []*call) (complete, notRun, mayHave, refusedBudget int) {
	for _, c := range calls {
		switch {
		case c.complete:
			complete++
		case c.code == verdict.CodeBudgetExhausted && !c.mayHaveRun():
			refusedBudget++
		case !c.mayHaveRun():
			notRun++
		default:
			mayHave++
		}
	}
	return complete, notRun, mayHave, refusedBudget
}
