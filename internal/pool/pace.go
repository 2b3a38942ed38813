package pool

import (
	"sort"
	"time"
)

const (
	paceSmoothing = 0.2 // weight of one response
	slowSamples   = 5   // responses from which an endpoint may count as slow
)

// pace is an endpoint's recent time to the first token, and longest time between two tokens of a response, in seconds;
// 0: unknown.
type pace struct {
	first, token float64
	samples      int
}

func (p *pace) observe(first, token time.Duration) {
	p.first = smooth(p.first, first.Seconds())
	p.token = smooth(p.token, token.Seconds())
	p.samples++
}

func smooth(old, sample float64) float64 {
	switch {
	case sample <= 0:
		return old
	case old == 0:
		return sample
	}
	return old + paceSmoothing*(sample-old)
}

// ObserveLatency records, after the end of a complete response, the time to its first token and the longest time
// between two tokens. An endpoint that is far slower than the others of its service gets no work for a while.
func (l *Lease) ObserveLatency(first, token time.Duration) {
	p, m := l.pool, l.member
	p.mu.Lock()
	defer p.mu.Unlock()
	m.pace.observe(first, token)
	if p.policy.SlowFactor <= 0 || m.pace.samples < slowSamples {
		return
	}
	if median := p.medianFirstToken(m.Service); median > 0 && m.pace.first > p.policy.SlowFactor*median {
		p.pauseMember(m, p.now())
	}
}

// medianFirstToken is the median time to the first token of a service's endpoints. The caller holds mu.
func (p *Pool) medianFirstToken(service string) float64 {
	var ts []float64
	for _, m := range p.services[service] {
		if m.pace.samples > 0 && m.pace.first > 0 {
			ts = append(ts, m.pace.first)
		}
	}
	if len(ts) == 0 {
		return 0
	}
	sort.Float64s(ts)
	return ts[(len(ts)-1)/2]
}
