package budget

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/ledgemount/ledgemount/internal/ledger"
)

// model is one row with holders and clients as plain data; operations strike in any order.
type model struct {
	row     *Row
	mem     map[string]*memory // living holders' memory
	journal map[string]*ledger.Journal
	reports []Report // what clients still know
	billed  map[string]int64
	seq     uint64
	n       int
	lives   [4]int
}

// memory is what a holder knows.
type memory struct {
	granted, settled, stored, reserved int64
	open                               map[string]int64
	pending                            []ledger.Charge
}

func newModel() *model {
	m := &model{
		row: &Row{Customer: "c"}, mem: make(map[string]*memory), journal: make(map[string]*ledger.Journal), billed: make(map[string]int64),
	}
	_ = m.row.Deposit("opening", 10_000)
	return m
}

func (m *model) holder(t *rapid.T) string {
	slot := rapid.IntRange(1, 3).Draw(t, "holder")
	h := fmt.Sprintf("h%d#%d", slot, m.lives[slot]) // an incarnation never comes back
	if m.mem[h] == nil {
		m.mem[h] = &memory{open: make(map[string]int64)}
		m.journal[h] = &ledger.Journal{Holder: h, Settled: make(map[string]int64)}
	}
	return h
}

func (m *model) draw(t *rapid.T) {
	h := m.holder(t)
	n := rapid.Int64Range(1, 3_000).Draw(t, "n")
	m.seq++
	if err := m.row.Draw(h, n, m.mem[h].stored, m.seq); err == nil {
		m.mem[h].granted += n
	} else if !errors.Is(err, ErrExhausted) {
		t.Fatal(err)
	}
}

func (m *model) reserve(t *rapid.T) {
	h := m.holder(t)
	mem := m.mem[h]
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
	i, r := m.pick(t, func(r Report) bool { return r.Open && m.mem[last(r)] != nil && m.mem[last(r)].open[r.Request] > 0 })
	if i < 0 {
		return
	}
	used := rapid.Int64Range(0, r.Tokens).Draw(t, "used")
	mem := m.mem[last(r)]
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

func last(r Report) string { return r.Chain[len(r.Chain)-1] }

func (m *model) pick(t *rapid.T, ok func(Report) bool) (int, Report) {
	var at []int
	for i, r := range m.reports {
		if ok(r) {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return -1, Report{}
	}
	i := at[rapid.IntRange(0, len(at)-1).Draw(t, "which")]
	return i, m.reports[i]
}

// flush writes the journal; the answer may be lost, so that the clients are not told.
func (m *model) flush(t *rapid.T) {
	h := m.holder(t)
	mem, j := m.mem[h], m.journal[h]
	for _, c := range mem.pending {
		j.Recent = append(j.Recent, c.Request)
		m.bill(t, c.Request, c.Tokens)
	}
	mem.pending = nil
	mem.stored = mem.settled
	j.Settled["b"] = mem.settled
	if rapid.Bool().Draw(t, "told") {
		m.forgetStored(j)
	}
}

func (m *model) forgetStored(j *ledger.Journal) {
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

func (m *model) giveBack(t *rapid.T) {
	h := m.holder(t)
	mem := m.mem[h]
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

// die kills a holder with everything in its memory; a successor takes over by the clients' reports.
func (m *model) die(t *rapid.T) {
	dead := m.holder(t)
	heir := m.holder(t)
	if dead == heir || m.row.Grants[dead].Granted == 0 {
		return
	}
	j := m.journal[dead]
	s := shareOf(m.row, "b", j, m.reports)
	settled := max(m.row.Grants[dead].Settled, j.Settled["b"]) + s.settled
	m.seq++
	if err := m.row.Reclaim(dead, heir, settled, s.open, m.seq); err != nil {
		t.Fatalf("reclaiming: %v (settled %d, open %d, granted %+v)", err, settled, s.open, m.row.Grants[dead])
	}
	for _, r := range s.fresh {
		m.bill(t, r.Request, r.Tokens)
	}
	mem := m.mem[heir]
	mem.granted += s.open
	for _, r := range s.opens {
		mem.open[r.Request] = r.Tokens
		mem.reserved += r.Tokens
	}
	m.passOn(dead, heir)
	delete(m.mem, dead)
	delete(m.journal, dead)
	m.lives[dead[1]-'0']++
}

// passOn is what the clients do: open reservations go on with the heir, charges that the heir has settled are forgotten.
func (m *model) passOn(dead, heir string) {
	rest := m.reports[:0]
	for _, r := range m.reports {
		if last(r) == dead {
			if !r.Open {
				continue
			}
			r.Chain = append(append([]string(nil), r.Chain...), heir)
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
		t.Fatalf("the store says %d was spent, the bills say %d", known, spent)
	}
}

// TestEscrowProperty: whatever the order of draws, reservations, settlements, flushes with lost answers, returns and
// deaths, a row never grants or spends more than was deposited, and no request is billed twice or forgotten.
func TestEscrowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"draw": m.draw, "reserve": m.reserve, "settle": m.settle, "flush": m.flush, "return": m.giveBack, "die": m.die, "": m.check,
		})
	})
}

// TestRowProperty: operations with any arguments are refused or keep the row sound.
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
				_ = r.Draw(h, amount.Draw(t, "n"), r.Grants[h].Settled, seq)
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
					t.Fatalf("not sound: %+v", r)
				}
			},
		})
	})
}
