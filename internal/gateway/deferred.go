package gateway

import "context"

// deferred is a request that was served while the key's registrar, the instance that stores the key's record, did not
// answer, or that another instance has taken over. Its tokens stay reserved until the registrar reports whether another
// instance has billed the same request.
type deferred struct {
	j    *job
	used int64
}

func (g *Gateway) deferSettlement(j *job, used int64) {
	g.log.Info().Str("event", "settlement_deferred").Str("request", j.id).Str("run", j.hold.Place().Run).Int64("tokens", used).
		Msg("the request's registrar cannot decide now whether to bill the run; it is asked again")
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
