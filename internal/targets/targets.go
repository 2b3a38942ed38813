// Package targets keeps the endpoints that the configuration in force declares in a pool, and picks among them for the chat edge.
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

// ServiceName is the name of the targets in the kernel.
const ServiceName = "targets"

// Target is an endpoint that a request was given.
type Target struct {
	ID    string
	URL   string
	Fence int64
	Lease *pool.Lease
}

// Targets keeps an instance's view of the declared endpoints.
type Targets struct {
	zone      string
	endpoints *pool.Pool

	mu    sync.Mutex
	doc   *declare.Document
	pools map[string][]string // endpoints by pool
}

// options are what New is given.
type options struct {
	pool []pool.Option
	seed [2]uint64
}

// Option changes how Targets are made.
type Option func(*options)

// WithSeed makes the choices repeatable.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = [2]uint64{seed, seed} } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.pool = append(o.pool, pool.WithNow(now)) }
}

// WithZoneView sets what is known of the zone's other instances: their requests at an endpoint, as they last said, and among how many its capacity is
// split.
func WithZoneView(others func(endpoint string) int, share func() int) Option {
	return func(o *options) { o.pool = append(o.pool, pool.WithZoneView(others, share)) }
}

// OnNotice sets what is notified of the words of endpoints that were taken.
func OnNotice(f func(pool.NoticeTaken)) Option {
	return func(o *options) { o.pool = append(o.pool, pool.OnNotice(f)) }
}

// OnNoticeEnded sets what is notified of the words that do not count any more.
func OnNoticeEnded(f func(pool.NoticeEnded)) Option {
	return func(o *options) { o.pool = append(o.pool, pool.OnNoticeEnded(f)) }
}

// New makes targets for an instance of a zone.
func New(zone string, opts ...Option) *Targets {
	o := options{seed: [2]uint64{rand.Uint64(), rand.Uint64()}} //nolint:gosec // not a secret
	for _, opt := range opts {
		opt(&o)
	}
	rng := rand.New(rand.NewPCG(o.seed[0], o.seed[1])) //nolint:gosec // not a secret
	o.pool = append(o.pool, pool.WithPolicy(policy()), pool.WithChooser(pool.DefaultChooser(), rng))
	return &Targets{zone: zone, endpoints: pool.New(zone, o.pool...), doc: &declare.Document{}, pools: make(map[string][]string)}
}

// policy judges endpoints by whole requests, of which one instance sends few: three failures in a row, or answers four times slower than the
// others', put one out for 2 s and more, half of a pool at most, and it comes back by single requests. Silence is the driver's matter.
func policy() pool.Policy {
	p := pool.DefaultPolicy()
	p.MinResponseTimeout = time.Hour
	p.PauseAfter, p.MaxPausedShare, p.ProbeAfterPause, p.SlowFactor = 3, 0.5, true, 4
	p.FirstPause, p.MaxPause = 2*time.Second, 30*time.Second
	p.BusyDecrease = 0.7
	return p
}

// SetDocument takes a newer configuration.
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

// zones are those whose endpoints a pool's requests may go to first, and then.
func (t *Targets) zones(name string) [][]string {
	own := []string{t.zone}
	if t.doc.Decl.Pools[name].Spill {
		return [][]string{own, nil}
	}
	return [][]string{own}
}

// Pick chooses an endpoint of a pool, and counts the request there until its lease is done. Endpoints of the own zone come first. ok is false if
// none may be used.
func (t *Targets) Pick(name string, blocks []uint64, tried []string) (target Target, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := pool.Query{Service: name, Blocks: blocks, HealthyOnly: true, Tried: make(map[string]bool, len(tried))}
	for _, id := range tried {
		q.Tried[id] = true
	}
	for _, q.Zones = range t.zones(name) {
		if lease := t.endpoints.Pick(q); lease != nil {
			e := lease.Endpoint()
			return Target{ID: e.ID, URL: e.Addr, Fence: t.doc.Fences[e.ID], Lease: lease}, true
		}
	}
	return Target{}, false
}

// Opens reports whether any endpoint of a pool takes a request now.
func (t *Targets) Opens(name string) pool.Availability {
	t.mu.Lock()
	defer t.mu.Unlock()
	var o pool.Availability
	for _, zones := range t.zones(name) {
		o = t.endpoints.Availability(pool.Query{Service: name, Zones: zones})
		if o.Open {
			break
		}
	}
	return o
}

// Capacity is how many requests this instance may have in a pool together.
func (t *Targets) Capacity(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	zones := t.zones(name)
	return t.endpoints.Capacity(pool.Query{Service: name, Zones: zones[len(zones)-1]})
}

// CacheEvents takes what an endpoint says of its prompt cache. After a gap, evictions may be missing: what was guessed of the endpoint is
// forgotten first.
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

// Endpoint returns an endpoint's address and whether it checks fences.
func (t *Targets) Endpoint(id string) (url string, checks, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.doc.Decl.Endpoints[id]
	return e.URL, e.Checks, ok
}

// InFlight lists this instance's requests in progress by endpoint.
func (t *Targets) InFlight() map[string]int {
	out := make(map[string]int)
	for _, s := range t.endpoints.Statuses() {
		if s.Open > 0 {
			out[s.ID] = s.Open
		}
	}
	return out
}

// Status is one endpoint as this instance sees it; times are in seconds.
type Status struct {
	ID              string  `json:"id"`
	InFlight        int     `json:"in_flight"`
	Ejected         bool    `json:"ejected"`
	ExclusionReason string  `json:"kept_off,omitempty"` // why it gets no work by its own word
	FirstToken      float64 `json:"first_token_s"`
	PerToken        float64 `json:"per_token_s"`
}

// Statuses lists every endpoint, ordered by id.
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
