package demo

import (
	"fmt"
	"sync"
)

// accounts are the callers' own accounts of their budgets; with them a refusal can be judged. Amounts are tokens.
type accounts struct {
	mu            sync.Mutex
	open          map[string]int64 // the most that calls in progress can cost
	spent         map[string]int64 // the most that ended calls can have cost
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

// recordRefusal judges a refusal: it is false if the deposit covers everything spent, everything open and this call.
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
