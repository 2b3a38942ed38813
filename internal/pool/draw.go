package pool

import "time"

// crossZoneSurcharge is by how much the load of an endpoint in another availability zone counts as higher: a path
// between zones may be cut, and costs a little.
const crossZoneSurcharge = 0.1

// busierFactor is how many times as busy one of two endpoints must be for the other to be preferred. A smaller
// difference is chance, and acting on it would send half of all requests to one endpoint until its load is reported
// again.
const busierFactor = 1.2

// pickOfTwo draws two healthy endpoints at random and picks the less busy one, or either of them if they differ
// little. It serves requests without affinity.
//
// It is meant for a large fleet in front of a few small endpoints, such as those of plain services. Each instance has
// almost no requests open there itself, so all endpoints are equal by its own count, and any fixed order sends the
// requests of all instances to the same endpoint. The loads of other instances arrive half a second late, when
// requests of some 60 ms have long ended: if open requests were compared, all instances would move to one endpoint
// after the other. So pickOfTwo compares how many requests have ended in the last seconds. TestPickOfTwo reproduces
// the problem.
func (p *Pool) pickOfTwo(members []*member, now time.Time) *member {
	var a, b *member
	n := 0
	for _, m := range members {
		if !m.healthy {
			continue
		}
		n++ // each pair of those seen so far is as likely as any other
		switch {
		case a == nil:
			a = m
		case b == nil:
			b = m
		default:
			switch p.random(n) {
			case 0:
				a = m
			case 1:
				b = m
			}
		}
	}
	if b == nil {
		return a
	}
	x, y := p.busyness(a, now), p.busyness(b, now)
	switch {
	case x > busierFactor*y:
		return b
	case y > busierFactor*x:
		return a
	}
	return [...]*member{a, b}[p.random(2)]
}

// busyness is the rate of requests from all instances to an endpoint, as far as it is known, for each of its slots.
func (p *Pool) busyness(m *member, now time.Time) float64 {
	load := p.total(m, now).Ended / m.slots()
	if m.Zone != p.zone {
		load *= 1 + crossZoneSurcharge
	}
	return load
}

// slots is the number of requests that an endpoint works on at once, or defaultSlots if its record has none.
func (m *member) slots() float64 {
	if m.Slots <= 0 {
		return defaultSlots
	}
	return float64(m.Slots)
}
