package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// Kept reports why an endpoint that would have been picked for its affinity gets no work now, for logs.
type Kept string

// The reasons.
const (
	KeptNot       Kept = ""
	KeptEvacuated Kept = "evacuated" // the operator has evacuated its availability zone
	KeptCold      Kept = "cold"      // it has just started, or lost what it kept, and others own its share or have room
	KeptLeaving   Kept = "leaving"   // it has said in an answer that it leaves
	KeptResting   Kept = "resting"   // it has asked this instance for rest in an answer
	KeptLimited   Kept = "limited"   // it names a limit for all instances, and has had this one's part of it
)

// ownersFor is how long it counts who owns a cold endpoint, before that is looked up again: instances come and go in seconds.
const ownersFor = time.Second

// Owners tells which instances own what, in an order that all instances come to alone.
type Owners interface {
	// IsDiscovered reports whether the other instances are known at all.
	IsDiscovered() bool
	// Size is their number, this one among them.
	Size() int
	// Position is this instance's place among them, from 0, and their number. All come to the same order.
	Position() (place, size int)
	// Owns reports whether this instance is one of the first of them in the order for a key.
	Owns(key string, first int) bool
}

// WithOwners sets who owns cold endpoints. Without, this instance is by itself.
func WithOwners(o Owners) Option { return func(l *Pool) { l.owners = o } }

// WithColdBounds sets what the operator lets cold endpoints get.
func WithColdBounds(b slowstart.Bounds) Option { return func(l *Pool) { l.coldBounds = b } }

// alone is a fleet of one instance.
type alone struct{}

func (alone) IsDiscovered() bool    { return true }
func (alone) Size() int             { return 1 }
func (alone) Owns(string, int) bool { return true }
func (alone) Position() (int, int)  { return 0, 1 }

// warming is what an instance knows of one endpoint that is cold.
type warming struct {
	until   time.Time
	bucket  slowstart.Bucket
	share   slowstart.Share
	owns    bool
	checked time.Time // when share and owns were found out
}

// SetWarmups takes what services say of their cold endpoints.
func (l *Pool) SetWarmups(byService map[string]slowstart.Warmup) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.warmups = byService
}

// SetEvacuated takes all availability zones whose endpoints get no new work. Those of a zone that returns may have turned cold a moment
// before, which their records tell too late, so they are taken to be cold.
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
			l.cool(m, now, l.warmups[m.Service].Time)
		}
	}
}

// cool notes that an endpoint is cold for some time from now on. The caller holds mu.
func (l *Pool) cool(m *member, now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(m.warming.until) {
		m.warming.until = until
	}
}

// cold reports whether an endpoint is cold and what it gets is bounded. The caller holds mu.
func (l *Pool) cold(m *member, now time.Time) bool {
	return before(now, m.warming.until) && l.warmups[m.Service].PerSecond > 0
}

// keeps reports why an endpoint gets no work now, whatever the request. The caller holds mu.
func (l *Pool) keeps(m *member, now time.Time) Kept {
	switch {
	case len(l.evacuated) > 0 && l.evacuated[m.Zone]:
		return KeptEvacuated
	case l.cold(m, now) && !l.admits(m, now):
		return KeptCold
	}
	if kept := m.abstains(now); kept != KeptNot {
		return kept
	}
	if !l.allows(m, now) {
		return KeptLimited
	}
	return KeptNot
}

// admits reports whether this instance may send a request to a cold endpoint now. The caller holds mu.
func (l *Pool) admits(m *member, now time.Time) bool {
	w := &m.warming
	if now.Sub(w.checked) > ownersFor {
		w.share = slowstart.Plan(l.warmups[m.Service], l.coldBounds, l.owners.Size())
		w.owns = l.owners.IsDiscovered() && l.owners.Owns(m.ID, w.share.Owners)
		w.checked = now
	}
	return w.owns && w.bucket.Has(now, w.share)
}

// sendsCold counts a request to a cold endpoint. The caller holds mu.
func (l *Pool) sendsCold(m *member, now time.Time) {
	if l.cold(m, now) {
		m.warming.bucket.Take(now, m.warming.share)
	}
}
