// Package targets tracks the endpoints that the current configuration declares, and picks endpoints for requests of the
// chat edge. It keeps them in a pool.Pool, which picks among them. Package follow is the counterpart for the
// instances of package router: it fills their pool from the records that endpoints write to the store.
package targets

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "targets"

// Target is an endpoint that was picked for a request.
type Target struct {
	ID    string
	URL   string
	Fence int64 // fencing token of the endpoint, from the configuration
	Lease *pool.Lease
}

// Targets is an instance's view of the declared endpoints.
type Targets struct {
	zone      string
	endpoints *pool.Pool

	mu    sync.Mutex
	doc   *declare.Document
	pools map[string][]string // endpoint IDs by pool
}

// options collects the options of New.
type options struct {
	pool []pool.Option
	seed [2]uint64
}

// Option configures Targets.
type Option func(*options)

// WithSeed seeds the random choices, which makes them reproducible.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = [2]uint64{seed, seed} } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.pool = append(o.pool, pool.WithNow(now)) }
}

// WithZoneView provides the state of the other instances in the availability zone. others returns how many requests they
// last reported to be in progress at an endpoint. share returns the number of instances among which capacity is split.
func WithZoneView(others func(endpoint string) int, share func() int) Option {
	return func(o *options) { o.pool = append(o.pool, pool.WithZoneView(others, share)) }
}

// OnNotice sets the function that is called for each notice that an endpoint sent and the pool applied.
func OnNotice(f func(pool.NoticeTaken)) Option {
	return func(o *options) { o.pool = append(o.pool, pool.OnNotice(f)) }
}

// OnNoticeEnded sets the function that is called when a notice of an endpoint no longer applies.
func OnNoticeEnded(f func(pool.NoticeEnded)) Option {
	return func(o *options) { o.pool = append(o.pool, pool.OnNoticeEnded(f)) }
}

// New returns Targets without endpoints for an instance in an availability zone.
func New(zone string, opts ...Option) *Targets {
	o := options{seed: [2]uint64{rand.Uint64(), rand.Uint64()}} //nolint:gosec // not a secret
	for _, opt := range opts {
		opt(&o)
	}
	rng := rand.New(rand.NewPCG(o.seed[0], o.seed[1])) //nolint:gosec // not a secret
	o.pool = append(o.pool, pool.WithPolicy(policy()), pool.WithChooser(pool.DefaultChooser(), rng))
	return &Targets{zone: zone, endpoints: pool.New(zone, o.pool...), doc: &declare.Document{}, pools: make(map[string][]string)}
}

// policy returns the health policy. Endpoints are judged by complete requests, of which one instance sends few. Three
// consecutive failures, or responses four times slower than those of the others, eject an endpoint for 2 s or more. At
// most half of a pool is ejected. When its ejection ends, an endpoint first receives a single request. Silent endpoints are
// detected by the endpoint's driver and not by the pool, so MinResponseTimeout is longer than any response.
func policy() pool.Policy {
	p := pool.DefaultPolicy()
	p.MinResponseTimeout = time.Hour
	p.PauseAfter, p.MaxPausedShare, p.ProbeAfterPause, p.SlowFactor = 3, 0.5, true, 4
	p.FirstPause, p.MaxPause = 2*time.Second, 30*time.Second
	p.BusyDecrease = 0.7
	return p
}

// SetDocument applies a configuration, unless it is older than the current one.
func (t *Targets) SetDocument(doc *declare.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if doc.Version < t.doc.Version {
		return
	}
	t.doc = doc
	t.pools = make(map[string][]string)
	list := make([]pool.Endpoint, 0, len(doc.Decl.Endpoints))
	for id, e := range doc.Decl.Endpoints {
		t.pools[e.Pool] = append(t.pools[e.Pool], id)
		list = append(list, pool.Endpoint{
			ID: id, Service: e.Pool, Addr: e.URL, Zone: e.Zone, Slots: e.Capacity, Draining: e.State != declare.StateActive,
		})
	}
	t.endpoints.Replace(list)
}

// zoneTiers returns the sets of availability zones in which to look for endpoints of a pool, in order of preference. A nil
// set means all zones. The caller holds mu.
func (t *Targets) zoneTiers(name string) [][]string {
	own := []string{t.zone}
	if t.doc.Decl.Pools[name].Spill {
		return [][]string{own, nil}
	}
	return [][]string{own}
}

// Pick chooses an endpoint of a pool and counts the request there until its lease is done. It prefers endpoints in the
// instance's own availability zone. ok is false if no endpoint is available.
func (t *Targets) Pick(name string, blocks []uint64, tried []string) (target Target, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := pool.Query{Service: name, Blocks: blocks, HealthyOnly: true, Tried: make(map[string]bool, len(tried))}
	for _, id := range tried {
		q.Tried[id] = true
	}
	for _, q.Zones = range t.zoneTiers(name) {
		if lease := t.endpoints.Pick(q); lease != nil {
			e := lease.Endpoint()
			return Target{ID: e.ID, URL: e.Addr, Fence: t.doc.Fences[e.ID], Lease: lease}, true
		}
	}
	return Target{}, false
}

// Availability reports whether any endpoint of a pool accepts a request now.
func (t *Targets) Availability(name string) pool.Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	var o pool.Availability
	for _, zones := range t.zoneTiers(name) {
		o = t.endpoints.Availability(pool.Query{Service: name, Zones: zones})
		if o.Open {
			break
		}
	}
	return o
}

// Capacity returns how many concurrent requests this instance may have in a pool.
func (t *Targets) Capacity(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := t.zoneTiers(name)
	return t.endpoints.Capacity(pool.Query{Service: name, Zones: zones[len(zones)-1]})
}

// CacheEvents applies events of an endpoint's prompt cache. gap states that events before the first one are missing.
// Evictions may be among them, so the assumed contents of the cache are discarded first.
func (t *Targets) CacheEvents(endpoint string, events []wire.CacheEvent, gap bool) {
	if gap {
		t.endpoints.ForgetPrompts(endpoint)
	}
	for _, e := range events {
		if e.Evicted {
			t.endpoints.BlockEvicted(endpoint, e.Block)
		} else {
			t.endpoints.BlockCached(endpoint, e.Block)
		}
	}
}

// Endpoint returns an endpoint's URL and whether it checks fencing tokens. ok is false if it is not declared.
func (t *Targets) Endpoint(id string) (url string, checks, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.doc.Decl.Endpoints[id]
	return e.URL, e.ChecksFence, ok
}

// InFlight returns the number of this instance's requests in progress by endpoint.
func (t *Targets) InFlight() map[string]int {
	out := make(map[string]int)
	for _, s := range t.endpoints.Statuses() {
		if s.Open > 0 {
			out[s.ID] = s.Open
		}
	}
	return out
}

// Status is this instance's view of an endpoint. Times are in seconds.
type Status struct {
	ID              string  `json:"id"`
	InFlight        int     `json:"in_flight"`
	Ejected         bool    `json:"ejected"`
	ExclusionReason string  `json:"kept_off,omitempty"` // why it gets no new work; empty: it is not excluded
	FirstToken      float64 `json:"first_token_s"`
	PerToken        float64 `json:"per_token_s"`
}

// Statuses returns the status of every endpoint, ordered by ID.
func (t *Targets) Statuses() []Status {
	list := t.endpoints.Statuses()
	out := make([]Status, 0, len(list))
	for _, s := range list {
		out = append(out, Status{
			ID: s.ID, InFlight: s.Open, Ejected: s.Paused, ExclusionReason: string(s.Exclusion), FirstToken: s.FirstToken, PerToken: s.PerToken,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
