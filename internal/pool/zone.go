package pool

import "time"

// zoneHealth is what this instance has observed of its path to an availability zone.
type zoneHealth struct {
	unreachable map[string]bool // endpoints that could not be reached since the zone last responded
	lastFailure time.Time       // when the last of them could not be reached
	lastProbe   time.Time       // the last pick there since then
}

const (
	minUnreachable = 2                      // unreachable endpoints of a zone from which on the path is suspect
	suspicionTTL   = 5 * time.Second        // after this the zone is used as before
	probeInterval  = 700 * time.Millisecond // between picks that probe a suspect path
)

func (p *Pool) zoneOf(m *member) *zoneHealth {
	z := p.zones[m.Zone]
	if z == nil {
		z = &zoneHealth{unreachable: make(map[string]bool)}
		p.zones[m.Zone] = z
	}
	return z
}

// markUnreachable records that an endpoint could not be reached. The caller holds mu.
func (p *Pool) markUnreachable(m *member, now time.Time) {
	z := p.zoneOf(m)
	z.unreachable[m.ID] = true
	z.lastFailure = now
}

// markReached records that an endpoint has sent data. The caller holds mu.
func (p *Pool) markReached(m *member) {
	if z := p.zones[m.Zone]; z != nil && len(z.unreachable) > 0 {
		clear(z.unreachable)
	}
}

// zoneSuspect reports whether the path to an endpoint's zone is suspect and no probe is due. It is always false for
// the instance's own zone, whose endpoints are evaluated one by one. The caller holds mu.
func (p *Pool) zoneSuspect(m *member, now time.Time) bool {
	if len(p.zones) == 0 || m.Zone == p.zone {
		return false
	}
	z := p.zones[m.Zone]
	if z == nil || len(z.unreachable) < minUnreachable || now.Sub(z.lastFailure) > suspicionTTL {
		return false
	}
	return now.Sub(z.lastProbe) < probeInterval
}

// noZoneSuspect reports whether no path to a zone is suspect. The caller holds mu.
func (p *Pool) noZoneSuspect() bool {
	for _, z := range p.zones {
		if len(z.unreachable) >= minUnreachable {
			return false
		}
	}
	return true
}

// markProbed records that a suspect zone is probed. The caller holds mu.
func (p *Pool) markProbed(m *member, now time.Time) {
	if z := p.zones[m.Zone]; z != nil && len(z.unreachable) >= minUnreachable {
		z.lastProbe = now
	}
}
