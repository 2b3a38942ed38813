package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// Exclusion is the reason why an endpoint that would have been picked for its affinity gets no work now, for logs.
type Exclusion string

// The reasons.
const (
	NotExcluded       Exclusion = ""
	ExcludedEvacuated Exclusion = "evacuated" // the operator has evacuated its availability zone
	ExcludedCold      Exclusion = "cold"      // it has just started or lost its cache; others own its share or have capacity
	ExcludedLeaving   Exclusion = "leaving"   // it has announced in a response that it leaves
	ExcludedResting   Exclusion = "resting"   // it has asked this instance for rest in a response
	ExcludedLimited   Exclusion = "limited"   // it names a limit for all instances, and this one's part of that is used up
)

// ownersTTL is how long it is cached who owns a cold endpoint: instances start and stop within seconds.
const ownersTTL = time.Second

// Owners determines which instances own what, in an order that each instance computes by itself.
type Owners interface {
	// IsDiscovered reports whether the other instances are known at all.
	IsDiscovered() bool
	// Size is the number of instances, including this one.
	Size() int
	// Position is this instance's place among all, from 0, and their number. All instances compute the same order.
	Position() (place, size int)
	// Owns reports whether this instance is among the first ones in the order for a key.
	Owns(key string, first int) bool
}

// WithOwners sets which instances own cold endpoints. Without it, this instance is the only one.
func WithOwners(o Owners) Option { return func(l *Pool) { l.owners = o } }

// WithColdBounds sets the operator's bounds on requests to cold endpoints.
func WithColdBounds(b slowstart.Bounds) Option { return func(l *Pool) { l.coldBounds = b } }

// singleInstance is a fleet of one instance.
type singleInstance struct{}

func (singleInstance) IsDiscovered() bool    { return true }
func (singleInstance) Size() int             { return 1 }
func (singleInstance) Owns(string, int) bool { return true }
func (singleInstance) Position() (int, int)  { return 0, 1 }

// warming is the state of a cold endpoint.
type warming struct {
	until   time.Time
	bucket  slowstart.Bucket
	share   slowstart.Share
	owns    bool
	checked time.Time // when share and owns were determined
}

// SetWarmups sets the warm-up settings of each service.
func (l *Pool) SetWarmups(byService map[string]slowstart.Warmup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmups = byService
}

// SetEvacuated sets all availability zones whose endpoints get no new work. Those of a zone that returns may have
// become cold a moment before, and their records report that too late, so they count as cold.
func (l *Pool) SetEvacuated(zones []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.evacuated
	l.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		l.evacuated[zone] = true
	}
	now := l.now()
	for _, m := range l.byID {
		if old[m.Zone] && !l.evacuated[m.Zone] {
			l.markCold(m, now, l.warmups[m.Service].Time)
		}
	}
}

// markCold marks an endpoint as cold for some time from now on. The caller holds mu.
func (l *Pool) markCold(m *member, now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(m.warming.until) {
		m.warming.until = until
	}
}

// cold reports whether an endpoint is cold and the requests to it are bounded. The caller holds mu.
func (l *Pool) cold(m *member, now time.Time) bool {
	return before(now, m.warming.until) && l.warmups[m.Service].PerSecond > 0
}

// exclusionOf returns why an endpoint gets no work now, regardless of the request. The caller holds mu.
func (l *Pool) exclusionOf(m *member, now time.Time) Exclusion {
	switch {
	case len(l.evacuated) > 0 && l.evacuated[m.Zone]:
		return ExcludedEvacuated
	case l.cold(m, now) && !l.admits(m, now):
		return ExcludedCold
	}
	if kept := m.noticeExclusion(now); kept != NotExcluded {
		return kept
	}
	if !l.allows(m, now) {
		return ExcludedLimited
	}
	return NotExcluded
}

// admits reports whether this instance may send a request to a cold endpoint now. The caller holds mu.
func (l *Pool) admits(m *member, now time.Time) bool {
	w := &m.warming
	if now.Sub(w.checked) > ownersTTL {
		w.share = slowstart.Plan(l.warmups[m.Service], l.coldBounds, l.owners.Size())
		w.owns = l.owners.IsDiscovered() && l.owners.Owns(m.ID, w.share.Owners)
		w.checked = now
	}
	return w.owns && w.bucket.Has(now, w.share)
}

// countCold counts a request to an endpoint if that is cold. The caller holds mu.
func (l *Pool) countCold(m *member, now time.Time) {
	if l.cold(m, now) {
		m.warming.bucket.Take(now, m.warming.share)
	}
}
