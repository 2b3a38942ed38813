package gateway

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// deferred is a request that was served while the key's registrar, the instance that stores the key's record, did not
// answer. Its tokens stay reserved until the registrar reports whether another instance has billed the same request.
type deferred struct {
	j    *job
	used int64
}

func (g *Gateway) deferSettlement(j *job, used int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deferred = append(g.deferred, deferred{j: j, used: used})
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
		g.mu.Lock()
		g.deferred = append(g.deferred, d)
		g.mu.Unlock()
	}
}

// inFleet reports whether an incarnation of an instance is in the fleet.
func (g *Gateway) inFleet(p mesh.Peer) bool {
	for _, q := range g.members.Fleet() {
		if q.IncarnationID() == p.IncarnationID() {
			return true
		}
	}
	return false
}

// settleOne bills a deferred request, unless another instance owns it. It returns false if that cannot be decided yet.
func (g *Gateway) settleOne(ctx context.Context, d deferred) bool {
	var place budget.Place
	if d.j.hold != nil {
		place = d.j.hold.Place()
	}
	resp, err := g.keys.Begin(ctx, d.j.customer, d.j.keyRecord(place, true, d.used))
	if err != nil {
		return false
	}
	rec := resp.Record
	if !resp.New {
		if rec, err = g.keys.TakeOverUnbilled(ctx, d.j.customer, rec); err != nil {
			return false
		}
	}
	self := g.members.Self().IncarnationID()
	// This instance may itself have billed another run of the request: an orphaned run, whose escrow it holds.
	billedOther := rec.Done && rec.Tokens > 0 && rec.Place.Run != place.Run
	if resp.New || (rec.Owner.IncarnationID() == self && !billedOther) {
		_, _ = g.keys.Update(ctx, d.j.customer, d.j.keyRecord(place, true, d.used))
		d.j.hold.Settle(d.used)
		return true
	}
	if !rec.Done && g.inFleet(rec.Owner) {
		return false // the owner's run may still end as not run
	}
	g.log.Info().Str("event", "duplicate_unbilled").Str("request", d.j.id).Int64("tokens", d.used).
		Msg("request is billed for another run; this run is not billed")
	d.j.hold.Settle(0)
	return true
}
