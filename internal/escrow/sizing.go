package escrow

// Need is what a holder asks for of one account.
type Need struct {
	Spent  int64 // spent or reserved so far
	Want   int64 // to hold unspent
	Burst  int64
	Rate   int64
	Urgent int64 // the least that a waiting request needs unspent; 0: none waits
}

// Grant sets a holder's row of an account so that nothing is overspent, and returns it. prepaid < 0 is no limit.
//
// A holder gets what it wants while the unspent rest covers what all want, else its part of the rest. What it holds beyond
// that goes back. A row never falls below what is spent already.
func (a *Account) Grant(holder string, n Need, prepaid int64) Row {
	old := a.Rows[holder]
	row := Row{Spent: n.Spent, Want: n.Want, Burst: n.Burst, Rate: n.Rate}
	free := prepaid - a.Committed() + old.Granted // what the row may reach, counted from the holder's start
	target := n.Spent + max(a.share(holder, n, prepaid), n.Urgent)
	row.Granted = max(n.Spent, min(target, free))
	a.Rows[holder] = row
	return row
}

// share is the part of the unspent rest that a holder may keep.
func (a *Account) share(holder string, n Need, prepaid int64) int64 {
	rest := prepaid - a.Settled - n.Spent
	wants := n.Want
	for id, r := range a.Rows {
		if id != holder {
			rest -= r.Spent
			wants += r.Want
		}
	}
	if rest <= 0 {
		return 0
	}
	if rest >= wants || wants == 0 {
		return n.Want
	}
	return int64(float64(rest) * float64(n.Want) / float64(wants))
}
