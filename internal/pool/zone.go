package pool

import "time"

// zoneHealth is what this instance has seen of its path to another availability zone.
type zoneHealth struct {
	missed map[string]bool // endpoints that could not be reached since the zone was last heard
	at     time.Time       // when the last of them was
	probed time.Time       // the last pick there since
}

const (
	zoneMissed = 2                      // endpoints of a zone that cannot be reached: the path is suspect
	zoneMemory = 5 * time.Second        // after this the zone is tried as before
	zoneProbe  = 700 * time.Millisecond // between picks that try whether the path is back
)

func (l *Pool) zoneOf(m *member) *zoneHealth {
	z := l.zones[m.Zone]
	if z == nil {
		z = &zoneHealth{missed: make(map[string]bool)}
		l.zones[m.Zone] = z
	}
	return z
}

// miss notes that an endpoint could not be reached. The caller holds mu.
func (l *Pool) miss(m *member, now time.Time) {
	z := l.zoneOf(m)
	z.missed[m.ID] = true
	z.at = now
}

// reached notes that an endpoint was heard. The caller holds mu.
func (l *Pool) reached(m *member) {
	if z := l.zones[m.Zone]; z != nil && len(z.missed) > 0 {
		clear(z.missed)
	}
}

// cutOff reports whether the path to an endpoint's zone is suspect. Endpoints of the own zone are judged one by one. The caller
// holds mu.
func (l *Pool) cutOff(m *member, now time.Time) bool {
	if len(l.zones) == 0 || m.Zone == l.zone {
		return false
	}
	z := l.zones[m.Zone]
	if z == nil || len(z.missed) < zoneMissed || now.Sub(z.at) > zoneMemory {
		return false
	}
	return now.Sub(z.probed) < zoneProbe
}

// reachesAll reports whether no path to a zone is suspect. The caller holds mu.
func (l *Pool) reachesAll() bool {
	for _, z := range l.zones {
		if len(z.missed) >= zoneMissed {
			return false
		}
	}
	return true
}

// probe notes that a suspect zone is tried. The caller holds mu.
func (l *Pool) probe(m *member, now time.Time) {
	if z := l.zones[m.Zone]; z != nil && len(z.missed) >= zoneMissed {
		z.probed = now
	}
}
