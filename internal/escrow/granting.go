package escrow

// sums are the totals of an account's rows, in tokens.
type sums struct {
	spent, granted, demand int64
	margin                 int64 // see Page.margin
}

func (s sums) add(r Row) sums {
	s.spent, s.granted, s.demand = s.spent+r.Spent, s.granted+r.Granted, s.demand+r.Demand
	return s
}

func (s sums) minus(r Row) sums {
	s.spent, s.granted, s.demand = s.spent-r.Spent, s.granted-r.Granted, s.demand-r.Demand
	return s
}

// sums returns the totals of the rows.
func (a *Account) sums() sums {
	var out sums
	for _, r := range a.Rows {
		out = out.add(r)
	}
	return out
}

// granter sets the rows of many holders of one page. It caches the sums of accounts and the number of holders of each
// node. Computing them for each holder would take most of the processor time of a large fleet's writer.
type granter struct {
	page    *Page
	frozen  bool            // no row is raised
	sums    map[string]sums // by customer
	holders map[string]int  // by node
}

func newGranter(p *Page) *granter {
	g := &granter{page: p}
	g.reset()
	return g
}

// reset clears the caches after rows have changed by other means.
func (g *granter) reset() {
	g.sums = make(map[string]sums, len(g.page.Accounts))
	g.holders = make(map[string]int, len(g.page.Holders))
	for _, r := range g.page.Holders {
		g.holders[r.Node]++
	}
}

// settlePredecessors settles the rows of a node's earlier holders; see Page.SettlePredecessors.
func (g *granter) settlePredecessors(successor string, start Report) []Settlement {
	out := g.page.SettlePredecessors(successor, start)
	if len(out) > 0 {
		g.reset()
	}
	return out
}

// report sets a holder's report.
func (g *granter) report(holder string, r Report) {
	if old, ok := g.page.Holders[holder]; ok {
		g.holders[old.Node]--
	}
	if g.page.stale(holder) {
		clear(g.sums)
	}
	g.holders[r.Node]++
	g.page.Holders[holder] = r
}

// unsettled reports whether rows of a node's earlier holders are left.
func (g *granter) unsettled(successor, node string) bool {
	n := g.holders[node]
	if r, ok := g.page.Holders[successor]; ok && r.Node == node {
		n--
	}
	return n > 0
}

// sumsOf returns the totals of a customer's account.
func (g *granter) sumsOf(customer string, a *Account) sums {
	s, ok := g.sums[customer]
	if !ok {
		s = a.sums()
		s.margin = g.page.margin(a)
		g.sums[customer] = s
	}
	return s
}

// grant sets a holder's row of a customer's account so that nothing is overspent. target is what the holder should have
// unspent. prepaid < 0 means no limit.
func (g *granter) grant(customer, holder string, n Need, prepaid int64) (row Row, target int64) {
	a := g.page.account(customer)
	old := a.Rows[holder]
	others := g.sumsOf(customer, a).minus(old)
	row, target = a.setRow(holder, n, prepaid, others, g.limit(old, prepaid-a.Settled-others.granted, others.margin))
	g.sums[customer] = others.add(row)
	return row, target
}

// limit returns the upper limit of a row. ungranted is what no other row holds. After a restoration the row is raised
// only as far as the margin allows, but never lowered because of it.
func (g *granter) limit(old Row, ungranted, margin int64) int64 {
	if g.frozen || ungranted-margin < old.Granted {
		return min(ungranted, old.Granted)
	}
	return ungranted - margin
}

// unspent returns what remains unspent of a customer's prepaid amount, and what of it is granted to nobody.
func (g *granter) unspent(customer string, prepaid int64) (remaining, ungranted int64) {
	a := g.page.account(customer)
	s := g.sumsOf(customer, a)
	return prepaid - a.Settled - s.spent, prepaid - a.Settled - s.granted - s.margin
}
