package budget

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

const (
	orphansPerTick = 16
	stopTimeout    = time.Second
)

// orphan is a reservation whose serving instance is missing.
type orphan struct {
	account *account
	r       *reservation
	place   Place
	owner   string
}

// resolveOrphans settles reservations whose serving instance has been missing for longer than any reservation may be
// used. The endpoint reports how far the run came, and will not start it any more. While the endpoint does not answer, or
// cannot promise that, the tokens stay held.
func (h *Home) resolveOrphans(ctx context.Context) {
	for _, o := range h.orphans() {
		if !h.members.Lost(o.owner) {
			continue
		}
		c, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyOther), stopTimeout)
		used, known, final, err := h.stopper.StopRun(c, o.place)
		cancel()
		if err != nil || (!known && !final) {
			h.log.Info().Str("event", "orphan_held").Str("request", o.r.request).Str("budget", o.account.budget).
				Int64("tokens", o.r.tokens).Msg("a reservation stays held: its run's fate is unknown")
			h.postpone(o)
			continue
		}
		if used, ok := h.checked(ctx, o, used); ok {
			h.resolve(o, used)
		} else {
			h.postpone(o)
		}
	}
}

// checked asks about a keyed orphan whether the same request has been billed by another run. ok is false while nobody
// can say.
func (h *Home) checked(ctx context.Context, o orphan, used int64) (tokens int64, ok bool) {
	if !o.r.keyed || used == 0 {
		return used, true
	}
	bill, sure := h.keyCheck(ctx, o.r.customer, o.r.request, o.place, used)
	if !bill {
		used = 0
	}
	return used, sure
}

// orphans lists reservations that are due, and notes when their owners were first missed.
func (h *Home) orphans() []orphan {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []orphan
	for _, a := range h.accounts {
		for _, r := range a.open {
			if len(out) == orphansPerTick {
				return out
			}
			if h.missed(r, now) {
				out = append(out, orphan{account: a, r: r, place: r.place, owner: r.owner})
			}
		}
	}
	return out
}

// missed reports whether a reservation's owner has been missing for long enough.
func (h *Home) missed(r *reservation, now time.Time) bool {
	if h.members.Alive(r.owner) {
		r.orphan = time.Time{}
		return false
	}
	if r.orphan.IsZero() {
		r.orphan = now
	}
	return now.Sub(r.orphan) >= h.times.Orphan
}

func (h *Home) postpone(o orphan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.r.orphan = h.now()
}

func (h *Home) resolve(o orphan, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := o.account.open[o.r.request]
	if !ok || r != o.r || r.owner != o.owner || r.place != o.place {
		return
	}
	h.log.Info().Str("event", "orphan_settled").Str("request", r.request).Str("budget", o.account.budget).
		Int64("tokens", used).Msg("settled a request of a serving instance that is gone")
	h.close(o.account, r, used)
	h.stats.Orphans++
}
