package pool

import "time"

// zoneHealth is what this instance has seen of its path to another availability zone.
type zoneHealth struct {
	unreachable map[string]bool // endpoints that could not be reached since the zone was last heard
	lastFailure time.Time       // when the last of them was
	lastProbe   time.Time       // the last pick there since
}

const (
	minUnreachable = 2                      // endpoints of a zone that cannot be reached: the path is suspect
	suspicionTTL   = 5 * time.Second        // after this the zone is tried as before
	probeInterval  = 700 * time.Millisecond // between picks that try whether the path is back
)

func (l *Pool) zoneOf(m *member) *zoneHealth {
	z := l.zones[m.Zone]
	if z == nil {
		z = &zoneHealth{unreachable: make(map[string]bool)}
		l.zones[m.Zone] = z
	}
	return z
}

// markUnreachable notes that an endpoint could not be reached. The caller holds mu.
func (l *Pool) markUnreachable(m *member, now time.Time) {
	z := l.zoneOf(m)
	z.unreachable[m.ID] = true
	z.lastFailure = now
}

// markReached notes that an endpoint was heard. The caller holds mu.
func (l *Pool) markReached(m *member) {
	if z := l.zones[m.Zone]; z != nil && len(z.unreachable) > 0 {
		clear(z.unreachable)
	}
}

// zoneSuspect reports whether the path to an endpoint's zone is suspect. Endpoints of the own zone are judged one by one. The caller
// holds mu.
func (l *Pool) zoneSuspect(m *member, now time.Time) bool {
	if len(l.zones) == 0 || m.Zone == l.zone {
		return false
	}
	z := l.zones[m.Zone]
	if z == nil || len(z.unreachable) < minUnreachable || now.Sub(z.lastFailure) > suspicionTTL {
		return false
	}
	return now.Sub(z.lastProbe) < probeInterval
}

// noZoneSuspect reports whether no path to a zone is suspect. The caller holds mu.
func (l *Pool) noZoneSuspect() bool {
	for _, z := range l.zones {
		if len(z.unreachable) >= minUnreachable {
			return false
		}
	}
	return true
}

// markProbed notes that a suspect zone is tried. The caller holds mu.
func (l *Pool) markProbed(m *member, now time.Time) {
	if z := l.zones[m.Zone]; z != nil && len(z.unreachable) >= minUnreachable {
		z.lastProbe = now
	}
}
