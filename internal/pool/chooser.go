package pool

import (
	"math/rand/v2"
)

// Candidate is an endpoint as a Chooser sees it.
type Candidate struct {
	ID         string
	Own        int     // requests in progress through this instance, exact
	Zone       int     // requests in progress through the zone's other instances, as last reported
	Limit      int     // requests that it runs at once
	FirstToken float64 // recent time to the first token, taken as that at low load, in seconds; 0 if unknown
	PerToken   float64 // recent longest time between two tokens of a response, in seconds; 0 if unknown
	Cached     float64 // share of the prompt that it probably has cached, 0 to 1
}

// Load is the share of the limit in use.
func (c Candidate) Load() float64 { return float64(c.Own+c.Zone) / float64(max(c.Limit, 1)) }

// Rand is the source of randomness of choosers.
type Rand interface{ IntN(n int) int }

var _ Rand = (*rand.Rand)(nil)

// Chooser picks one of several candidates, of which there is at least one. It does no I/O.
type Chooser[C any] interface {
	Name() string
	Pick(cs []C, r Rand) int
}

// Random picks any candidate.
type Random struct{}

// Name implements Chooser.
func (Random) Name() string { return "random" }

// Pick implements Chooser.
func (Random) Pick(cs []Candidate, r Rand) int { return r.IntN(len(cs)) }

// PowerOfTwo picks the less loaded one of two random candidates.
type PowerOfTwo struct{}

// Name implements Chooser.
func (PowerOfTwo) Name() string { return "power-of-two" }

// Pick implements Chooser.
func (PowerOfTwo) Pick(cs []Candidate, r Rand) int {
	if len(cs) == 1 {
		return 0
	}
	i := r.IntN(len(cs))
	j := r.IntN(len(cs) - 1)
	if j >= i {
		j++
	}
	if cs[j].Load() < cs[i].Load() {
		return j
	}
	return i
}

// LeastExpected picks the candidate with the shortest expected time to the first token. Among equal ones it picks at
// random, so that instances with the same outdated loads do not all pick the same endpoint.
type LeastExpected struct{}

// Name implements Chooser.
func (LeastExpected) Name() string { return "least-expected" }

// Pick implements Chooser.
func (LeastExpected) Pick(cs []Candidate, r Rand) int {
	return least(cs, r, func(c Candidate) float64 { return expectedFirstToken(c, 0) })
}

// prefillShare is how much of the time to the first token a cached prompt saves.
const prefillShare = 0.7

// assumedFirstToken is the time to the first token that is assumed for an endpoint without a measured one, in seconds.
const assumedFirstToken = 0.3

// expectedFirstToken returns the expected time to the first token, in seconds. It grows with load. weight, from 0 to 1,
// is how much the cached part of the prompt reduces it.
func expectedFirstToken(c Candidate, weight float64) float64 {
	first := c.FirstToken
	if first <= 0 {
		first = assumedFirstToken
	}
	load := c.Load()
	scale := 1 + load
	if load >= 1 {
		scale += 10 * (load - 1)
	}
	return first * scale * (1 - weight*prefillShare*c.Cached)
}

// PrefixAffinity compares a few random candidates and the best one that has the prefix cached, by expected time to the
// first token. Because of the random sample, instances with the same outdated loads do not all pick the same endpoint.
// Load is bounded: an endpoint that is loaded more than Bound times the mean gets no bonus for its cache.
type PrefixAffinity struct {
	Bound  float64
	Sample int
}

// Name implements Chooser.
func (PrefixAffinity) Name() string { return "prefix-affinity" }

// Pick implements Chooser.
func (p PrefixAffinity) Pick(cs []Candidate, r Rand) int {
	limit := p.limit(cs)
	best, cost := -1, 0.0
	for i, c := range cs {
		if c.Cached == 0 || c.Load() > limit {
			continue
		}
		if e := expectedFirstToken(c, 1); best < 0 || e < cost {
			best, cost = i, e
		}
	}
	for range p.Sample {
		i := r.IntN(len(cs))
		if e := expectedFirstToken(cs[i], 0); best < 0 || e < cost {
			best, cost = i, e
		}
	}
	return best
}

// limit is the load above which a cached prefix does not count.
func (p PrefixAffinity) limit(cs []Candidate) float64 {
	var sum float64
	for _, c := range cs {
		sum += c.Load()
	}
	return p.Bound * (sum/float64(len(cs)) + 1/float64(max(cs[0].Limit, 1)))
}

// tolerance makes candidates within this factor of the best count as equal.
const tolerance = 1.02

// least picks at random among the candidates whose cost is close to the least, without allocating.
func least(cs []Candidate, r Rand, cost func(Candidate) float64) int {
	best := cost(cs[0])
	for _, c := range cs[1:] {
		best = min(best, cost(c))
	}
	chosen, n := 0, 0
	for i, c := range cs {
		if cost(c) > best*tolerance {
			continue
		}
		n++
		if r.IntN(n) == 0 {
			chosen = i
		}
	}
	return chosen
}

// DefaultChooser returns the chooser in use; docs/design/balancing.md has the measurements.
func DefaultChooser() Chooser[Candidate] { return PrefixAffinity{Bound: 1.05, Sample: 6} }

// pickByChooser returns the healthy endpoint that the pool's Chooser picks. The caller holds mu.
func (p *Pool) pickByChooser(members []*member, q Query) *member {
	p.candidates, p.candidateMembers = p.candidates[:0], p.candidateMembers[:0]
	for _, m := range members {
		if !m.healthy {
			continue
		}
		p.candidateMembers = append(p.candidateMembers, m)
		p.candidates = append(p.candidates, Candidate{
			ID: m.ID, Own: m.open, Zone: p.zoneLoad(m.ID), Limit: m.Slots,
			FirstToken: m.pace.first, PerToken: m.pace.token, Cached: p.prefixes.Share(m.ID, q.Blocks),
		})
	}
	m := p.candidateMembers[p.chooser.Pick(p.candidates, p.chooserRand)]
	p.prefixes.Add(m.ID, q.Blocks)
	return m
}

// BlockCached records that an endpoint has cached a block of prompts.
func (p *Pool) BlockCached(endpoint string, block uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.Add(endpoint, []uint64{block})
}

// BlockEvicted records that an endpoint has evicted a block of prompts from its cache.
func (p *Pool) BlockEvicted(endpoint string, block uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.Remove(endpoint, block)
}

// ForgetPrompts removes all records of an endpoint's cached prompts.
func (p *Pool) ForgetPrompts(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.Forget(endpoint)
}
