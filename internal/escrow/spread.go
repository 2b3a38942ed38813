package escrow

import "time"

// A power loss of all instances loses tokens that cannot be accounted for, so a budget may end long before its customer
// has used it. The rest is then spread over the requests that arrive until the operator pays in more: they reserve with
// a probability that falls as the rest shrinks. If requests were served in the order in which they arrive, the first
// seconds after the return would use the rest, and service would end again.
const (
	// lossThreshold is the unproven part of the prepaid amount from which the rest is spread. It is more than the loss
	// of one busy instance.
	lossThreshold = 0.1
	// spreadHorizon is how much use by all holders the rest covers when spreading begins.
	spreadHorizon = 5 * time.Second
)

// reserveProbability returns the probability with which a request may reserve. It is 1 unless losses took a large part
// of the budget and little is left.
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

// rejectAtRandom rejects requests at random while the rest of their budget is spread. Errors are like those of Reserve.
func (h *Holder) rejectAtRandom(customer string, maxTokens int64) error {
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
