package budget

import "time"

// KeyedReservation is a keyed request that a holder knows: it has an open reservation or was settled recently.
type KeyedReservation struct {
	Request  string
	Customer string
	Owner    string // incarnation ID of the serving instance
	Place    Place
	Settled  bool
	Charged  int64 // tokens, once settled
}

// KeyedReservations returns the keyed requests that this holder knows.
func (h *Holder) KeyedReservations() []KeyedReservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []KeyedReservation
	for _, a := range h.accounts {
		for _, r := range a.open {
			if r.keyed {
				out = append(out, KeyedReservation{Request: r.request, Customer: r.customer, Owner: r.owner, Place: r.place})
			}
		}
		for request, m := range a.done {
			out = append(out, KeyedReservation{Request: request, Customer: a.customer, Owner: m.owner, Place: m.place, Settled: true, Charged: m.tokens})
		}
	}
	return out
}

func (h *Holder) isOpen(request string) bool {
	for _, a := range h.accounts {
		if _, ok := a.open[request]; ok {
			return true
		}
	}
	return false
}

// OpenReservation is an open reservation as logs show it.
type OpenReservation struct {
	Request string        `json:"request"`
	Budget  string        `json:"budget"`
	Owner   string        `json:"owner"` // incarnation ID of the serving instance
	Run     string        `json:"run"`
	Tokens  int64         `json:"tokens"`
	Age     time.Duration `json:"age_ns"`
	Missing bool          `json:"owner_missing"`
}

// OpenReservations returns up to limit open reservations, for logs.
func (h *Holder) OpenReservations(limit int) []OpenReservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []OpenReservation
	now := h.now()
	for _, a := range h.accounts {
		for _, r := range a.open {
			if len(out) == limit {
				return out
			}
			out = append(out, OpenReservation{
				Request: r.request, Budget: a.budget, Owner: r.owner, Run: r.place.Run, Tokens: r.tokens, Age: now.Sub(r.since),
				Missing: !r.orphanedAt.IsZero(),
			})
		}
	}
	return out
}
