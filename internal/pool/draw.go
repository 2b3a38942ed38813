package pool

import "time"

// crossZoneSurcharge is by how much more than one of another availability zone an endpoint of the own zone may get: a path between zones may be cut, and
// costs a little.
const crossZoneSurcharge = 0.1

// busierFactor is by how much busier one of two endpoints must be for the other to be taken for that: below it the difference is chance, and to go
// by it would send half of all requests to one endpoint until its load is told again.
const busierFactor = 1.2

// pickOfTwo picks one of two sound endpoints pickOfTwo at random, the other one if it is clearly less busy, for requests that nothing keeps anywhere.
//
// The load that it answers: a large fleet before a few small endpoints, as of plain services. Each instance has next to nothing under way there
// itself, so that by its own count all are equal, and any fixed order sends the requests of all instances to the same endpoint. What others have
// there is told half a second late, when work of some 60 ms has long changed: by the requests that are open all instances would run to one
// endpoint after the other. So it goes by how many have ended in the last seconds.
// Replayed by TestDrawn.
func (l *Pool) pickOfTwo(members []*member, now time.Time) *member {
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
			switch l.random(n) {
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
	x, y := l.busyness(a, now), l.busyness(b, now)
	switch {
	case x > busierFactor*y:
		return b
	case y > busierFactor*x:
		return a
	}
	return [...]*member{a, b}[l.random(2)]
}

// busyness is what all instances send to an endpoint, as far as it is known, for each of its slots.
func (l *Pool) busyness(m *member, now time.Time) float64 {
	load := l.total(m, now).Ended / m.slots()
	if m.Zone != l.zone {
		load *= 1 + crossZoneSurcharge
	}
	return load
}

// slots is the number of requests that an endpoint works on at once, or a guess.
func (m *member) slots() float64 {
	if m.Slots <= 0 {
		return defaultSlots
	}
	return float64(m.Slots)
}
