package escrow

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestGranterSums applies any sequence of grants, reports and settlements to one page, and compares the cached sums
// with the rows.
func TestGranterSums(t *testing.T) {
	const nodes, runs, prepaid = 4, 3, 1000
	rapid.Check(t, func(t *rapid.T) {
		p, _ := DecodePage(nil)
		g := newGranter(p)
		for range propertySteps {
			node := fmt.Sprintf("node-%d", rapid.IntRange(0, nodes-1).Draw(t, "node"))
			holder := fmt.Sprintf("%s/%d", node, rapid.IntRange(0, runs-1).Draw(t, "run"))
			customer := rapid.SampledFrom(propertyCustomers).Draw(t, "customer")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				g.report(holder, Report{Node: node, Count: 1})
			case 1:
				g.settlePredecessors(holder, Report{Node: node})
			default:
				before := *p.account(customer)
				n := Need{Demand: rapid.Int64Range(0, prepaid).Draw(t, "want"), Spent: before.Rows[holder].Spent}
				exact := before.share(n, prepaid, before.sums().minus(before.Rows[holder]))
				if _, target := g.grant(customer, holder, n, prepaid); target != exact {
					t.Fatalf("the target of %s is %d, not %d", holder, target, exact)
				}
			}
			checkGranter(t, g, nodes, runs, prepaid)
		}
	})
}

func checkGranter(t *rapid.T, g *granter, nodes, runs int, prepaid int64) {
	for _, customer := range propertyCustomers {
		a := g.page.account(customer)
		remaining, ungranted := g.unspent(customer, prepaid)
		if remaining != prepaid-a.Spent() || ungranted != prepaid-a.Committed() {
			t.Fatalf("%s: %d unspent and %d ungranted, but %d and %d by the rows", customer, remaining, ungranted, prepaid-a.Spent(), prepaid-a.Committed())
		}
		if ungranted < 0 {
			t.Fatalf("%s: %d more than the prepaid amount is granted", customer, -ungranted)
		}
	}
	for n := range nodes {
		node := fmt.Sprintf("node-%d", n)
		for r := range runs {
			holder := fmt.Sprintf("%s/%d", node, r)
			if got, want := g.unsettled(holder, node), predecessorsLeft(g.page, holder, node); got != want {
				t.Fatalf("rows of earlier holders than %s are left: %v, but %v by the page", holder, got, want)
			}
		}
	}
}

// predecessorsLeft reports whether earlier holders of a node are left, from the page's reports alone.
func predecessorsLeft(p *Page, successor, node string) bool {
	for id, r := range p.Holders {
		if r.Node == node && id != successor {
			return true
		}
	}
	return false
}
