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
	used    int64 // tokens, if the owner has reported them; otherwise 0
}

// resolveOrphans settles reservations whose serving instance has been missing for longer than any reservation may be
// used. Unless the serving instance has reported the run's outcome, the endpoint reports how far the run came, and
// guarantees that it does not start the run later. While the endpoint does not respond, or cannot guarantee that, the
// tokens stay reserved.
func (h *Holder) resolveOrphans(ctx context.Context) {
	for _, o := range h.dueOrphans() {
		if !h.members.Lost(o.owner) {
			continue
		}
		used, known := h.outcome(ctx, o)
		if !known {
			h.log.Info().Str("event", "orphan_held").Str("request", o.r.request).Str("budget", o.account.budget).
				Int64("tokens", o.r.tokens).Msg("reservation stays open: the outcome of its run is unknown")
			h.postpone(o)
			continue
		}
		if used, ok := h.checkKey(ctx, o, used); ok {
			h.settleOrphan(o, used)
		} else {
			h.postpone(o)
		}
	}
}

// outcome returns the tokens used by the run of an orphan. known is false while neither its owner nor the endpoint has
// reported them, or while the run may still start there.
func (h *Holder) outcome(ctx context.Context, o orphan) (used int64, known bool) {
	if o.used > 0 {
		return o.used, true
	}
	ctx, cancel := context.WithTimeout(external.WithDuty(ctx, external.DutyOther), stopTimeout)
	defer cancel()
	used, found, final, err := h.stopper.StopRun(ctx, o.place)
	return used, err == nil && (found || final)
}

// checkKey checks for a keyed orphan whether another run of the same request has been billed, and returns the tokens
// to bill. ok is false while this cannot be determined.
func (h *Holder) checkKey(ctx context.Context, o orphan, used int64) (tokens int64, ok bool) {
	if !o.r.keyed || used == 0 {
		return used, true
	}
	bill, sure := h.keyCheck(ctx, o.r.customer, o.r.request, o.place, used)
	if !bill {
		used = 0
	}
	return used, sure
}

// dueOrphans lists the orphaned reservations that are due, and records when their owners were first missing.
func (h *Holder) dueOrphans() []orphan {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []orphan
	for _, a := range h.accounts {
		for _, r := range a.open {
			if len(out) == orphansPerTick {
				return out
			}
			if h.isOrphaned(r, now) {
				out = append(out, orphan{account: a, r: r, place: r.place, owner: r.owner, used: r.used})
			}
		}
	}
	return out
}

// isOrphaned reports whether a reservation's owner has been missing for long enough.
func (h *Holder) isOrphaned(r *reservation, now time.Time) bool {
	if h.members.Alive(r.owner) {
		r.orphanedAt = time.Time{}
		return false
	}
	if r.orphanedAt.IsZero() {
		r.orphanedAt = now
	}
	return now.Sub(r.orphanedAt) >= h.times.OrphanTimeout
}

func (h *Holder) postpone(o orphan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.r.orphanedAt = h.now()
}

func (h *Holder) settleOrphan(o orphan, used int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := o.account.open[o.r.request]
	if !ok || r != o.r || r.owner != o.owner || r.place != o.place {
		return
	}
	h.log.Info().Str("event", "orphan_settled").Str("request", r.request).Str("budget", o.account.budget).
		Int64("tokens", used).Msg("settled a request of a lost serving instance")
	h.closeReservation(o.account, r, used)
	h.stats.Orphans++
}
