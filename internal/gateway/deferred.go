package gateway

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// deferred is a request that was served while the home of its key could not be asked. Its tokens stay held until the
// home reports whether the same request has been billed elsewhere.
type deferred struct {
	j    *job
	used int64
}

func (g *Gateway) deferSettle(j *job, used int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deferred = append(g.deferred, deferred{j: j, used: used})
}

// settleDeferred asks the homes again.
func (g *Gateway) settleDeferred(ctx context.Context) {
	g.mu.Lock()
	todo := g.deferred
	g.deferred = nil
	g.mu.Unlock()
	for _, d := range todo {
		if ctx.Err() == nil && g.settleOne(ctx, d) {
			continue
		}
		g.mu.Lock()
		g.deferred = append(g.deferred, d)
		g.mu.Unlock()
	}
}

// stillThere reports whether an instance is in the fleet.
func (g *Gateway) stillThere(p mesh.Peer) bool {
	for _, q := range g.members.Fleet() {
		if q.IncarnationID() == p.IncarnationID() {
			return true
		}
	}
	return false
}

// settleOne bills a deferred request unless another instance owns it. It reports whether the home has answered.
func (g *Gateway) settleOne(ctx context.Context, d deferred) bool {
	var place budget.Place
	if d.j.hold != nil {
		place = d.j.hold.Place()
	}
	resp, err := g.keys.Begin(ctx, d.j.customer, d.j.record(place, true, d.used))
	if err != nil {
		return false
	}
	rec := resp.Record
	if !resp.New {
		if rec, err = g.keys.TakeUnbilled(ctx, d.j.customer, rec); err != nil {
			return false
		}
	}
	self := g.members.Self().IncarnationID()
	// This very instance may have billed another run: that of an orphan whose escrow it holds.
	billedOther := rec.Done && rec.Tokens > 0 && rec.Place.Run != place.Run
	if resp.New || (rec.Owner.IncarnationID() == self && !billedOther) {
		_, _ = g.keys.Note(ctx, d.j.customer, d.j.record(place, true, d.used))
		d.j.hold.Settle(d.used)
		return true
	}
	if !rec.Done && g.stillThere(rec.Owner) {
		return false // it may yet end as not run
	}
	g.log.Info().Str("event", "duplicate_unbilled").Str("request", d.j.id).Int64("tokens", d.used).
		Msg("another zone has billed this request; this run is not billed")
	d.j.hold.Settle(0)
	return true
}
