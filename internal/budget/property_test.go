package budget

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/ledgemount/ledgemount/internal/ledger"
)

// model is one row with its holders and clients as plain data. Its operations can run in any order.
type model struct {
	row          *Row
	holders      map[string]*holderState // in-memory state of the running holders
	journal      map[string]*ledger.Journal
	reports      []Report // reservations and charges that the clients track
	billed       map[string]int64
	seq          uint64
	n            int
	incarnations [4]int
}

// holderState is the in-memory state of a holder.
type holderState struct {
	granted, settled, stored, reserved int64
	open                               map[string]int64
	pending                            []ledger.Charge
}

func newModel() *model {
	m := &model{
		row: &Row{Customer: "c"}, holders: make(map[string]*holderState), journal: make(map[string]*ledger.Journal), billed: make(map[string]int64),
	}
	_ = m.row.Deposit("opening", 10_000)
	return m
}

func (m *model) holder(t *rapid.T) string {
	slot := rapid.IntRange(1, 3).Draw(t, "holder")
	h := fmt.Sprintf("h%d#%d", slot, m.incarnations[slot]) // an incarnation never returns
	if m.holders[h] == nil {
		m.holders[h] = &holderState{open: make(map[string]int64)}
		m.journal[h] = &ledger.Journal{Holder: h, Settled: make(map[string]int64)}
	}
	return h
}

func (m *model) increase(t *rapid.T) {
	h := m.holder(t)
	n := rapid.Int64Range(1, 3_000).Draw(t, "n")
	m.seq++
	if err := m.row.Increase(h, n, m.holders[h].stored, m.seq); err == nil {
		m.holders[h].granted += n
	} else if !errors.Is(err, ErrExhausted) {
		t.Fatal(err)
	}
}

func (m *model) reserve(t *rapid.T) {
	h := m.holder(t)
	mem := m.holders[h]
	n := rapid.Int64Range(1, 500).Draw(t, "n")
	if mem.granted-mem.settled-mem.reserved < n {
		return
	}
	m.n++
	id := fmt.Sprintf("r%d", m.n)
	mem.open[id] = n
	mem.reserved += n
	m.reports = append(m.reports, Report{Request: id, Budget: "b", Tokens: n, Open: true, Chain: []string{h}})
}

func (m *model) settle(t *rapid.T) {
	i, r := m.pickReport(t, func(r Report) bool {
		return r.Open && m.holders[currentHolder(r)] != nil && m.holders[currentHolder(r)].open[r.Request] > 0
	})
	if i < 0 {
		return
	}
	used := rapid.Int64Range(0, r.Tokens).Draw(t, "used")
	mem := m.holders[currentHolder(r)]
	delete(mem.open, r.Request)
	mem.reserved -= r.Tokens
	mem.settled += used
	if used == 0 {
		m.reports = append(m.reports[:i], m.reports[i+1:]...)
		return
	}
	mem.pending = append(mem.pending, ledger.Charge{Request: r.Request, Budget: "b", Tokens: used})
	m.reports[i].Open, m.reports[i].Tokens = false, used
}

func currentHolder(r Report) string { return r.Chain[len(r.Chain)-1] }

func (m *model) pickReport(t *rapid.T, ok func(Report) bool) (int, Report) {
	var matches []int
	for i, r := range m.reports {
		if ok(r) {
			matches = append(matches, i)
		}
	}
	if len(matches) == 0 {
		return -1, Report{}
	}
	i := matches[rapid.IntRange(0, len(matches)-1).Draw(t, "which")]
	return i, m.reports[i]
}

// flush writes the journal. In some cases the clients are not notified, as after a lost response of the store.
func (m *model) flush(t *rapid.T) {
	h := m.holder(t)
	mem, j := m.holders[h], m.journal[h]
	for _, c := range mem.pending {
		j.Recent = append(j.Recent, c.Request)
		m.bill(t, c.Request, c.Tokens)
	}
	mem.pending = nil
	mem.stored = mem.settled
	j.Settled["b"] = mem.settled
	if rapid.Bool().Draw(t, "told") {
		m.dropStoredReports(j)
	}
}

func (m *model) dropStoredReports(j *ledger.Journal) {
	rest := m.reports[:0]
	for _, r := range m.reports {
		if r.Open || !j.Charged(r.Request) {
			rest = append(rest, r)
		}
	}
	m.reports = rest
	j.Recent = nil
}

func (m *model) bill(t *rapid.T, id string, n int64) {
	if m.billed[id] != 0 {
		t.Fatalf("%s billed twice", id)
	}
	m.billed[id] = n
}

func (m *model) returnEscrow(t *rapid.T) {
	h := m.holder(t)
	mem := m.holders[h]
	free := mem.granted - mem.settled - mem.reserved
	if free <= 0 || mem.granted == 0 {
		return
	}
	n := rapid.Int64Range(1, free).Draw(t, "n")
	m.seq++
	if err := m.row.Return(h, n, mem.stored, m.seq); err != nil {
		t.Fatal(err)
	}
	mem.granted -= n
}

// crashHolder removes a holder with its in-memory state. A successor takes it over by means of the clients' reports.
func (m *model) crashHolder(t *rapid.T) {
	dead := m.holder(t)
	successor := m.holder(t)
	if dead == successor || m.row.Grants[dead].Granted == 0 {
		return
	}
	j := m.journal[dead]
	s := totalReports(m.row, "b", j, m.reports)
	settled := max(m.row.Grants[dead].Settled, j.Settled["b"]) + s.settled
	m.seq++
	if err := m.row.Reclaim(dead, successor, settled, s.openTokens, m.seq); err != nil {
		t.Fatalf("reclaiming: %v (settled %d, open %d, granted %+v)", err, settled, s.openTokens, m.row.Grants[dead])
	}
	for _, r := range s.newCharges {
		m.bill(t, r.Request, r.Tokens)
	}
	mem := m.holders[successor]
	mem.granted += s.openTokens
	for _, r := range s.openReports {
		mem.open[r.Request] = r.Tokens
		mem.reserved += r.Tokens
	}
	m.transferReports(dead, successor, rapid.Bool().Draw(t, "told"))
	delete(m.holders, dead)
	delete(m.journal, dead)
	m.incarnations[dead[1]-'0']++
}

// transferReports models the clients: open reservations continue at the successor. Charges that the successor has settled
// are dropped if the clients are notified, and otherwise are reported again when the successor is lost.
func (m *model) transferReports(dead, successor string, told bool) {
	rest := m.reports[:0]
	for _, r := range m.reports {
		if currentHolder(r) == dead {
			if !r.Open && told {
				continue
			}
			if r.Open {
				r.Chain = append(append([]string(nil), r.Chain...), successor)
			}
		}
		rest = append(rest, r)
	}
	m.reports = rest
}

func (m *model) check(t *rapid.T) {
	if !m.row.Valid() {
		t.Fatalf("granted and spent exceed what was deposited: %+v", m.row)
	}
	var spent int64
	for _, n := range m.billed {
		spent += n
	}
	known := m.row.Closed
	for h, g := range m.row.Grants {
		settled := g.Settled
		if j := m.journal[h]; j != nil {
			settled = max(settled, j.Settled["b"])
		}
		known += settled
	}
	if known != spent {
		t.Fatalf("spent according to the store: %d, according to the bills: %d", known, spent)
	}
}

// TestEscrowProperty checks that in any order of increases of grants, reservations, settlements, flushes with lost
// responses, returns and crashes, a row never grants or spends more than was deposited, and no request is billed twice
// or lost.
func TestEscrowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"draw": m.increase, "reserve": m.reserve, "settle": m.settle, "flush": m.flush, "return": m.returnEscrow, "die": m.crashHolder, "": m.check,
		})
	})
}

// TestRowProperty checks that operations with any arguments are rejected or keep the row valid.
func TestRowProperty(t *testing.T) {
	amount := rapid.OneOf(rapid.Int64Range(-10, 2_000), rapid.Int64())
	holder := rapid.SampledFrom([]string{"h1", "h2"})
	rapid.Check(t, func(t *rapid.T) {
		r := &Row{}
		_ = r.Deposit("opening", 1_000)
		var seq uint64
		t.Repeat(map[string]func(*rapid.T){
			"deposit": func(t *rapid.T) { _ = r.Deposit(rapid.StringN(1, 2, 2).Draw(t, "id"), amount.Draw(t, "n")) },
			"draw": func(t *rapid.T) {
				h := holder.Draw(t, "h")
				seq++
				_ = r.Increase(h, amount.Draw(t, "n"), r.Grants[h].Settled, seq)
			},
			"return": func(t *rapid.T) {
				h := holder.Draw(t, "h")
				seq++
				_ = r.Return(h, amount.Draw(t, "n"), r.Grants[h].Settled, seq)
			},
			"close":   func(t *rapid.T) { _ = r.Close(holder.Draw(t, "h"), amount.Draw(t, "n")) },
			"reclaim": func(t *rapid.T) { _ = r.Reclaim("h1", "h2", amount.Draw(t, "s"), amount.Draw(t, "o"), seq) },
			"": func(t *rapid.T) {
				if !r.Valid() {
					t.Fatalf("invariant violated: %+v", r)
				}
			},
		})
	})
}
