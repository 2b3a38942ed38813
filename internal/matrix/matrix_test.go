package matrix

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
)

type meshPeer = mesh.Peer

var update = flag.Bool("update", false, "write the golden file")

const goldenFile = "../../docs/FAULTS.md"

// chatSteps and paymentSteps are the steps that a request of each kind reaches.
var (
	chatSteps = []step.Step{
		step.Accept, step.Authenticate, step.Admit, step.Reserve, step.Flush, step.Draw, step.Dispatch, step.FirstToken,
		step.MidStream, step.LastToken, step.Settle,
	}
	paymentSteps = []step.Step{
		step.Accept, step.Authenticate, step.Admit, step.Reserve, step.Flush, step.Draw, step.Claim, step.Dispatch, step.Settle,
	}
)

type plan struct {
	kind   kind
	step   step.Step
	faults []fault
	twice  bool
}

// plans lists every cell: each step times each fault.
func plans() []plan {
	var out []plan
	for _, f := range faultList() {
		for _, s := range chatSteps {
			out = append(out, plan{kind: kindChat, step: s, faults: []fault{f}})
		}
		if f.hangUp {
			continue // payments are not streamed
		}
		for _, s := range paymentSteps {
			out = append(out, plan{kind: kindPayment, step: s, faults: []fault{f}})
		}
	}
	out = append(out, escrowPlans()...)
	out = append(out, pairPlans()...)
	return append(out, twicePlans()...)
}

// escrowPlans are the steps of escrow that no request reaches by itself.
func escrowPlans() []plan {
	var out []plan
	for _, f := range faultList() {
		if f.hangUp {
			continue
		}
		out = append(out,
			plan{kind: kindChat, step: step.Return, faults: []fault{f}},
			plan{kind: kindChat, step: step.Reclaim, faults: []fault{f}})
	}
	return out
}

// pairPlans are faults that strike together.
func pairPlans() []plan {
	pairs := [][2]string{
		{"store-down", "home-crash"},
		{"store-answer-lost", "home-crash"},
		{"store-answer-lost", "instance-pause"},
		{"zone-cut", "instance-crash"},
		{"home-crash", "instance-crash"},
		{"home-pause", "operator-race"},
		{"caller-retry-other-zone", "zone-cut"},
		{"caller-retry", "endpoint-truncate"},
		{"drain", "endpoint-crash"},
		{"rolling-stop", "store-answer-lost"},
		{"zone-cut-from-store", "home-crash"},
	}
	var out []plan
	for _, p := range pairs {
		a, b := faultNamed(p[0]), faultNamed(p[1])
		for _, s := range []step.Step{step.Draw, step.Dispatch, step.MidStream, step.Settle} {
			out = append(out, plan{kind: kindChat, step: s, faults: []fault{a, b}})
		}
		if !a.hangUp {
			out = append(out, plan{kind: kindPayment, step: step.Claim, faults: []fault{a, b}})
		}
	}
	return out
}

func faultNamed(name string) fault {
	for _, f := range faultList() {
		if f.name == name {
			return f
		}
	}
	panic("no fault " + name)
}

// twicePlans strike whoever reaches the step, and the next one that reaches it too.
func twicePlans() []plan {
	twice := []fault{
		{name: "crash, twice", strike: func(_ *cell, n *node) { n.crash() }},
		{name: "pause, twice", strike: func(_ *cell, n *node) { n.freeze() }, heal: thawAll},
	}
	out := make([]plan, 0, (len(chatSteps)+1)*len(twice))
	for _, f := range twice {
		for _, s := range chatSteps {
			out = append(out, plan{kind: kindChat, step: s, faults: []fault{f}, twice: true})
		}
		out = append(out, plan{kind: kindPayment, step: step.Claim, faults: []fault{f}, twice: true})
	}
	return out
}

// name is the cell's name as a subtest.
func (p plan) name() string {
	return fmt.Sprintf("%s/%s/%s", p.step, faultNames(p.faults), p.kind)
}

func (p plan) run(t *testing.T) row {
	w := newWorld(t)
	c := &cell{answered: make(chan struct{}), outage: longOutage, w: w, kind: p.kind, step: p.step, faults: p.faults, twice: p.twice}
	return c.run(t.Context())
}

// TestFaultMatrix plays each cell in a bubble of virtual time. On the machine's own clock a busy machine changed the rows: a reservation
// ran into its 3 s, or a caller into its 12 s, before the step at which the fault strikes, and the row told "not-run
// budget-unavailable" where the request would have been sent. In a bubble time passes only while every goroutine waits.
func TestFaultMatrix(t *testing.T) {
	ps := plans()
	rows := make([]row, len(ps))
	t.Run("cells", func(t *testing.T) {
		for i, p := range ps {
			t.Run(p.name(), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { rows[i] = p.run(t) })
			})
		}
	})
	for _, r := range rows {
		if !r.Kept {
			t.Errorf("%s at %s, %s: saw %s, billed %s: %s", r.Fault, r.Step, r.Kind, r.Saw, r.Billed, strings.Join(r.Why, "; "))
		}
	}
	golden(t, table(rows))
	if t.Failed() {
		logRefusals(t, rows)
	}
}

// logRefusals tells what the refusals of all rows said: the golden file has their codes only.
func logRefusals(t *testing.T, rows []row) {
	t.Helper()
	for _, r := range rows {
		if said := strings.Join(r.Detail, ""); said != "" {
			t.Logf("%s at %s, %s: %q", r.Fault, r.Step, r.Kind, r.Detail)
		}
	}
}

func table(rows []row) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d cells.\n\n", len(rows))
	b.WriteString("| step | fault | request | the caller saw | billed | held tokens | promise kept |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		kept := "yes"
		if !r.Kept {
			kept = "**no**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %d | %s |\n", r.Step, r.Fault, r.Kind, r.Saw, r.Billed, r.Held, kept)
	}
	return b.String()
}

const marker = "<!-- rows: written by go test ./internal/matrix -run TestFaultMatrix -update -->\n"

// golden compares the rows with those in docs/FAULTS.md, or writes them.
func golden(t *testing.T, rows string) {
	t.Helper()
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	head, old, ok := strings.Cut(string(data), marker)
	if !ok {
		t.Fatalf("%s has no marker", goldenFile)
	}
	if *update {
		if err := os.WriteFile(goldenFile, []byte(head+marker+rows), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	if old != rows {
		t.Errorf("the rows differ from %s:\n%s", goldenFile, firstDifference(old, rows))
	}
}

func firstDifference(a, b string) string {
	as, bs := strings.Split(a, "\n"), strings.Split(b, "\n")
	var out strings.Builder
	for i := range min(len(as), len(bs)) {
		if as[i] != bs[i] {
			fmt.Fprintf(&out, "-%s\n+%s\n", as[i], bs[i])
		}
	}
	return out.String()
}
