package budget

import "time"

// OpenHold is a reservation or a charge of a Client as logs show it.
type OpenHold struct {
	Request     string        `json:"request"`
	Budget      string        `json:"budget"`
	Holder      string        `json:"holder"`
	Run         string        `json:"run"`
	State       string        `json:"state"`
	Used        int64         `json:"used"`
	Unconfirmed bool          `json:"unconfirmed"`
	Age         time.Duration `json:"age_ns"`
}

// OpenHolds returns up to limit reservations and charges that are not in the store yet, for logs.
func (c *Client) OpenHolds(limit int) []OpenHold {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []OpenHold
	now := c.now()
	for h := range c.holds {
		if len(out) == limit {
			break
		}
		out = append(out, OpenHold{
			Request: h.request, Budget: h.budget, Holder: h.holder, Run: h.place.Run, State: h.state.String(), Used: h.used,
			Unconfirmed: h.unconfirmed, Age: now.Sub(h.requestedAt),
		})
	}
	return out
}
