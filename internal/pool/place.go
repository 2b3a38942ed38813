package pool

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	affinityChoices = 4                      // endpoints that are weighed for one request
	weakAffinity    = 0.05                   // of the time for the first event: to read a kept part anew in this is nothing
	rereadWeight    = 3                      // how much that part counts against the chance of an answer that is late
	minTarget       = time.Second            // the time for the first event where a route names less, or none
	defaultSlots    = 8                      // where an endpoint names none
	defaultGap      = 500 * time.Millisecond // where a route names none
	streamDuration  = 2 * time.Second        // how long a stream lasts, about
	openCost        = 0.2                    // of an endpoint whose slots are taken: tokens come slower
	fullShare       = 0.9                    // part of the slots from which an endpoint is as good as full
)

// rereadShare is the part of the time for the first event that reading the shared part of a prompt takes, where it is not kept.
func (l *Pool) rereadShare(q Query) float64 {
	return float64(q.Shared) / l.speeds[q.Service].perSecond() / max(minTarget, q.Target).Seconds()
}

// mayIgnoreAffinity reports whether a request may go where it is calm: it is known what others have under way, and what an endpoint may keep of its
// prompt is read so soon that it is not worth waiting for.
func (l *Pool) mayIgnoreAffinity(q Query, now time.Time) bool {
	return q.Prompt > 0 && l.peerLoadsFresh(now) && l.rereadShare(q) < weakAffinity
}

// pickLeastCost weighs the first few endpoints in the order of the request's affinity by all that runs there. All endpoints would be too
// many: each keeps what it has read, and instances hear of each other's requests late, so all would run to the same one.
func (l *Pool) pickLeastCost(members []*member, q Query, now time.Time) (*member, Reason) {
	choices := l.choices(members, xxhash.Sum64String(q.Affinity))
	best, bestCost := choices[0], l.cost(choices[0], now)
	moved := rereadWeight * l.rereadShare(q)
	for _, m := range choices[1:] {
		if m == nil {
			break
		}
		if cost := l.cost(m, now) + moved; cost < bestCost {
			best, bestCost = m, cost
		}
	}
	if best == choices[0] {
		return best, ReasonAffinity
	}
	return best, ReasonLoad
}

// cost is about the chance that a stream fails or rests for too long at an endpoint, and a little for each one that runs there.
func (l *Pool) cost(m *member, now time.Time) float64 {
	x := l.total(m, now)
	slots := m.slots()
	cost := x.failureShare() + streamDuration.Seconds()*x.Interference + openCost*float64(x.Open)/slots
	if float64(x.Open) >= fullShare*slots {
		cost++
	}
	return cost
}

// gap is the longest that the answer's stream may rest.
func (q Query) gap() time.Duration {
	if q.Gap > 0 {
		return q.Gap
	}
	return defaultGap
}

// choices are the first sound endpoints in the order of a key, best first; fewer leave nils at the end.
func (l *Pool) choices(members []*member, key uint64) (out [affinityChoices]*member) {
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
