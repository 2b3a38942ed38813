package pool

import (
	"time"

	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// Exclusion is the reason why an endpoint that would have been picked for its affinity gets no work now, for logs.
// Logs and reports name the field "kept_off".
type Exclusion string

// The reasons.
const (
	NotExcluded       Exclusion = ""
	ExcludedEvacuated Exclusion = "evacuated" // the operator has evacuated its availability zone
	ExcludedCold      Exclusion = "cold"      // it has just started or lost its cache; other instances or endpoints serve instead
	ExcludedLeaving   Exclusion = "leaving"   // it has announced in a response that it leaves
	ExcludedBackoff   Exclusion = "resting"   // it has asked this instance for a back-off in a response
	ExcludedLimited   Exclusion = "limited"   // it has announced a limit for all instances, and this instance has used its part
)

// ownersTTL is how long the owners of a cold endpoint are cached: instances start and stop within seconds.
const ownersTTL = time.Second

// Owners determines which instances own a key, in an order that each instance computes by itself.
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
func WithOwners(o Owners) Option { return func(p *Pool) { p.owners = o } }

// WithColdBounds sets the operator's bounds on requests to cold endpoints.
func WithColdBounds(b slowstart.Bounds) Option { return func(p *Pool) { p.coldBounds = b } }

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
func (p *Pool) SetWarmups(byService map[string]slowstart.Warmup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmups = byService
}

// SetEvacuated sets all availability zones whose endpoints get no new work. The endpoints of a zone that returns count
// as cold: they may have become cold a moment before, and their records report that too late.
func (p *Pool) SetEvacuated(zones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.evacuated
	p.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		p.evacuated[zone] = true
	}
	now := p.now()
	for _, m := range p.byID {
		if old[m.Zone] && !p.evacuated[m.Zone] {
			p.markCold(m, now, p.warmups[m.Service].Time)
		}
	}
}

// markCold marks an endpoint as cold for some time from now on. The caller holds mu.
func (p *Pool) markCold(m *member, now time.Time, d time.Duration) {
	if until := now.Add(d); d > 0 && until.After(m.warming.until) {
		m.warming.until = until
	}
}

// cold reports whether an endpoint is cold and the requests to it are bounded. The caller holds mu.
func (p *Pool) cold(m *member, now time.Time) bool {
	return before(now, m.warming.until) && p.warmups[m.Service].PerSecond > 0
}

// exclusionOf returns why an endpoint gets no work now, regardless of the request. The caller holds mu.
func (p *Pool) exclusionOf(m *member, now time.Time) Exclusion {
	switch {
	case len(p.evacuated) > 0 && p.evacuated[m.Zone]:
		return ExcludedEvacuated
	case p.cold(m, now) && !p.admits(m, now):
		return ExcludedCold
	}
	if exclusion := m.noticeExclusion(now); exclusion != NotExcluded {
		return exclusion
	}
	if !p.allows(m, now) {
		return ExcludedLimited
	}
	return NotExcluded
}

// admits reports whether this instance may send a request to a cold endpoint now. The caller holds mu.
func (p *Pool) admits(m *member, now time.Time) bool {
	w := &m.warming
	if now.Sub(w.checked) > ownersTTL {
		w.share = slowstart.Plan(p.warmups[m.Service], p.coldBounds, p.owners.Size())
		w.owns = p.owners.IsDiscovered() && p.owners.Owns(m.ID, w.share.Owners)
		w.checked = now
	}
	return w.owns && w.bucket.Has(now, w.share)
}

// countCold counts a request to an endpoint if that is cold. The caller holds mu.
func (p *Pool) countCold(m *member, now time.Time) {
	if p.cold(m, now) {
		m.warming.bucket.Take(now, m.warming.share)
	}
}
