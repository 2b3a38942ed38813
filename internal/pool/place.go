package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	affinityChoices = 4                      // endpoints that are compared for one request
	weakAffinity    = 0.05                   // share of the target time below which rereading a cached part is negligible
	rereadWeight    = 3                      // weight of rereading, against the probability of a late response
	minTarget       = time.Second            // target time to the first event where a route sets less, or none
	defaultSlots    = 8                      // where the record of an endpoint has none
	defaultGap      = 500 * time.Millisecond // where a route sets none
	streamDuration  = 2 * time.Second        // approximate duration of a stream
	openCost        = 0.2                    // cost of an endpoint with all slots in use: tokens arrive more slowly
	fullShare       = 0.9                    // share of the slots in use from which an endpoint counts as full
)

// rereadShare is the time for reading the shared part of a prompt where it is not cached, as a share of the target
// time to the first event.
func (p *Pool) rereadShare(q Query) float64 {
	return float64(q.Shared) / p.speeds[q.Service].perSecond() / max(minTarget, q.Target).Seconds()
}

// mayIgnoreAffinity reports whether a request may go to a less loaded endpoint than the one that its affinity prefers:
// the loads of the other instances are known, and an endpoint reads what another one may have cached of the prompt so
// quickly that the cache is not worth waiting for.
func (p *Pool) mayIgnoreAffinity(q Query, now time.Time) bool {
	return q.Prompt > 0 && p.peerLoadsFresh(now) && p.rereadShare(q) < weakAffinity
}

// pickLeastCost compares the first few endpoints in the request's affinity order by the load of all instances. It
// does not compare all endpoints: each has different prompts cached, and loads are reported late, so all instances
// would move to the same endpoint.
func (p *Pool) pickLeastCost(members []*member, q Query, now time.Time) (*member, Reason) {
	choices := p.choices(members, xxhash.Sum64String(q.Affinity))
	best, bestCost := choices[0], p.cost(choices[0], now)
	rereadCost := rereadWeight * p.rereadShare(q)
	for _, m := range choices[1:] {
		if m == nil {
			break
		}
		if cost := p.cost(m, now) + rereadCost; cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if best == choices[0] {
		return best, ReasonAffinity
	}
	return best, ReasonLoad
}

// cost is roughly the probability that a stream fails or stalls at an endpoint, plus a little for each open request.
func (p *Pool) cost(m *member, now time.Time) float64 {
	x := p.total(m, now)
	slots := m.slots()
	cost := x.failureShare() + streamDuration.Seconds()*x.Interference + openCost*float64(x.Open)/slots
	if float64(x.Open) >= fullShare*slots {
		cost++
	}
	return cost
}

// gap is the longest gap allowed between events of the response stream.
func (q Query) gap() time.Duration {
	if q.Gap > 0 {
		return q.Gap
	}
	return defaultGap
}

// choices returns the first healthy endpoints in the order of a key, best first, with nils at the end if there are
// fewer.
func (p *Pool) choices(members []*member, key uint64) (out [affinityChoices]*member) {
	var orders [affinityChoices]uint64
	for _, m := range members {
		if !m.healthy {
			continue
		}
		order := m.order(key)
		for i := range out {
			if out[i] == nil || order > orders[i] {
				copy(out[i+1:], out[i:])
				copy(orders[i+1:], orders[i:])
				out[i], orders[i] = m, order
				break
			}
		}
	}
	return out
}
