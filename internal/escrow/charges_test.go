package escrow

import (
	"context"

	"pgregory.net/rapid"
)

// checkCharges checks that customers are charged no more than holders have used.
func (w *world) checkCharges(t *rapid.T) {
	for c := range w.prepaid {
		if charged, used := w.charged(c), w.usedBy(c); charged > used {
			t.Fatalf("customer %s is charged %d, and its holders have used %d", c, charged, used)
		}
	}
}

// recordUse records what the holders have spent or reserved.
func (w *world) recordUse() {
	for _, n := range w.nodes {
		used := w.used[n.holder.id]
		if used == nil {
			used = make(map[string]int64)
			w.used[n.holder.id] = used
		}
		for c, a := range n.holder.accounts {
			used[c] = max(used[c], a.used())
		}
	}
}

// usedBy returns the most that all holders, also those that have ended, have spent or reserved of a customer's budget.
func (w *world) usedBy(customer string) int64 {
	total := int64(0)
	for _, used := range w.used {
		total += used[customer]
	}
	return total
}

// charged returns what the pages charge a customer for and holders have reported. What lost holders may have spent beyond
// their reports is left out.
func (w *world) charged(customer string) int64 {
	total := int64(0)
	entries, _, _ := w.store.ReadAll(context.Background(), propertyPrefix)
	for _, e := range entries {
		p, err := DecodePage(e.Data)
		if err != nil {
			panic(err) // holders write valid pages
		}
		if a := p.Accounts[customer]; a != nil {
			total += a.Spent() - a.Unproven
		}
	}
	return total
}

// stopInSteps is a planned stop that makes several attempts, with other work of the process between them, and a new start.
func (w *world) stopInSteps(t *rapid.T, n *simNode) {
	w.settleAll(n)
	for range rapid.IntRange(1, 5).Draw(t, "attempts") {
		p := n.holder.pages[rapid.IntRange(0, len(n.holder.pages)-1).Draw(t, "page")]
		_ = n.holder.leaveOnce(context.Background(), p)
		switch rapid.IntRange(0, 4).Draw(t, "between") {
		case 0:
			w.refresh(n)
		case 1:
			w.observe(n)
		case 2:
			w.store.SetLoseResponses(rapid.Bool().Draw(t, "lose"))
		case 3:
			w.spendAll(n, propertyCustomers[0])
		}
		w.checkCharges(t)
	}
	w.start(n)
}
