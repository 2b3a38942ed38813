package escrow

import "time"

// A loss of power of all instances takes what nobody can account for, so that a budget may end long before its customer has used it up.
// What is left then is spread over the callers who come until the operator pays in more: requests reserve by lot, more rarely as the
// rest falls. In the order in which they come the first seconds after the return take all of it, and service ends again.
const (
	// lossThreshold is the unproven part of the prepaid figure from which on the rest is spread: more than the loss of one busy instance takes.
	lossThreshold = 0.1
	// spreadHorizon is how much use by all holders the rest holds when it begins to be spread.
	spreadHorizon = 5 * time.Second
)

// reserveProbability are the odds that a request may reserve: 1 but where losses took a large part of the budget and little is left.
func (a *account) reserveProbability() float64 {
	if a.prepaid < 0 || float64(a.unproven) < lossThreshold*float64(a.prepaid) {
		return 1
	}
	rate := a.fleetMeter.rate()
	if a.led {
		rate = a.leaderRate
	}
	enough := rate * spreadHorizon.Seconds()
	left := float64(max(0, a.unspent()))
	if left >= enough {
		return 1
	}
	return left / enough
}

// checkLot refuses a request where the rest of its budget is spread and the lot falls so. Its errors are as Reserve's.
func (h *Holder) checkLot(customer string, maxTokens int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[customer]
	if a == nil {
		return nil
	}
	probability := a.reserveProbability()
	if probability >= 1 || a.unspent() < maxTokens || h.random() < probability {
		return nil
	}
	h.countDemand(a, maxTokens)
	return refuseBudget("instances were lost with a large part of the budget, and what is left is spread over the next seconds", retryLater)
}
