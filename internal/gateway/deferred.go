package gateway

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

// recordTimeout limits one call that reports the outcome of a deferred run to a holder.
const recordTimeout = time.Second

// deferred is a request that was served while the key's registrar, the instance that stores the key's record, did not
// answer, or that another instance has taken over. Its tokens stay reserved until the registrar reports whether another
// instance has billed the same request.
type deferred struct {
	j        *job
	used     int64
	recorded bool // used has been reported to the budget's holder
}

// deferSettlement defers a settlement. It reports the tokens used to the budget's holder, so that the run can be billed if
// this instance is lost before the registrar answers.
func (g *Gateway) deferSettlement(ctx context.Context, j *job, used int64) {
	g.log.Info().Str("event", "settlement_deferred").Str("request", j.id).Str("run", j.hold.Place().Run).Int64("tokens", used).
		Msg("the request's registrar cannot decide now whether to bill the run; it is asked again")
	d := deferred{j: j, used: used}
	d.record(ctx, g.log)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deferred = append(g.deferred, d)
}

// record reports the outcome of the run to the budget's holder, unless that has succeeded before.
func (d *deferred) record(ctx context.Context, log zerolog.Logger) {
	if d.recorded {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := d.j.hold.RecordOutcome(ctx, d.used)
	if err != nil {
		log.Debug().Str("event", "outcome_unrecorded").Str("request", d.j.id).Err(err).Msg("the budget's holder does not know the outcome of the run yet")
	}
	d.recorded = err == nil
}

// settleDeferred settles the deferred requests whose key's registrar answers now. The others stay deferred.
func (g *Gateway) settleDeferred(ctx context.Context) {
	g.mu.Lock()
	pending := g.deferred
	g.deferred = nil
	g.mu.Unlock()
	for _, d := range pending {
		if ctx.Err() == nil && g.settleOne(ctx, d) {
			continue
		}
		d.record(ctx, g.log)
		g.mu.Lock()
		g.deferred = append(g.deferred, d)
		g.mu.Unlock()
	}
}

// settleOne bills a deferred request, unless another run of it is billed. It returns false if that cannot be decided yet.
func (g *Gateway) settleOne(ctx context.Context, d deferred) bool {
	j := d.j
	billed := j.keyRecord(j.hold.Place(), true, d.used)
	resp, err := g.keys.Begin(ctx, j.customer, billed)
	if err != nil {
		return false
	}
	switch rec := resp.Record; {
	case resp.New, rec.Billed() && rec.Place.Run == billed.Place.Run && rec.OwnedBy(billed.Owner):
		j.hold.Settle(d.used)
		return true
	case rec.Billed():
		j.leaveBilling(d.used)
		return true
	case rec.OwnedBy(billed.Owner) && rec.Term == j.term:
		return j.bill(ctx, d.used)
	default:
		won, err := g.keys.Bill(ctx, j.customer, rec, billed)
		if won && err == nil {
			j.hold.Settle(d.used)
		}
		return won && err == nil
	}
}
