package demo

import (
	"fmt"
	"sync"
)

// accounts track the budgets from the callers' side, so that a refusal by a budget can be checked. Amounts are in tokens.
type accounts struct {
	mu            sync.Mutex
	open          map[string]int64 // maximum cost of the calls in progress
	spent         map[string]int64 // maximum cost of the calls that have ended
	falseRefusals int64
	trueRefusals  int64
}

func newAccounts() *accounts {
	return &accounts{open: make(map[string]int64), spent: make(map[string]int64)}
}

func (a *accounts) callStarted(c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c.budget] += c.maxCost
}

func (a *accounts) callEnded(c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c.budget] -= c.maxCost
	switch {
	case c.complete:
		a.spent[c.budget] += c.price()
	case c.mayHaveRun():
		a.spent[c.budget] += c.maxCost
	}
}

// recordRefusal counts a refusal by a budget. The refusal is false if the deposit covers everything spent and all open
// calls, this one included.
func (a *accounts) recordRefusal(c *call) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var i, k int
	if !parseBudget(c.budget, &i, &k) {
		return
	}
	if depositOf(i, k)-a.spent[c.budget]-a.open[c.budget] >= 0 {
		a.falseRefusals++
	} else {
		a.trueRefusals++
	}
}

func (a *accounts) refusals() (falseRefusals, trueRefusals int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.falseRefusals, a.trueRefusals
}

func parseBudget(name string, i, k *int) bool {
	n, err := fmt.Sscanf(name, "budget-%d-%d", i, k)
	return err == nil && n == 2
}
