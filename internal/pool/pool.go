// Package pool holds the endpoints of each service and picks one for each request, by the endpoint's load and health
// and by the prompts that it probably has cached.
package pool

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/slowstart"
)

// Endpoint is an endpoint's record: what the endpoint reports of itself.
type Endpoint struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"` // takes no new work
	// Cold is for how much longer the endpoint is slow, as of its report: it has just started or has lost its cache.
	Cold time.Duration `cbor:"7,keyasint,omitempty"`
	// StartedAt is when its process started, in Unix milliseconds of its own clock; 0: not reported.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
	// Software is the version of its software. It is empty if the record comes from an instance of a build that omits it;
	// the version is then unknown.
	Software string `cbor:"9,keyasint,omitempty"`
}

// Run identifies one run of the endpoint's process: its ID, and its start time if it reports one.
func (e Endpoint) Run() string {
	if e.StartedAt == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// Outdated reports whether the record comes from an earlier run of the endpoint's process than another record.
func (e Endpoint) Outdated(other Endpoint) bool {
	return e.StartedAt > 0 && other.StartedAt > e.StartedAt
}

// ChangedBy reports whether an update changes the record. A cold period that is merely shorter is not a change.
func (e Endpoint) ChangedBy(update Endpoint) bool {
	if (e.Cold > 0) != (update.Cold > 0) || update.Cold > e.Cold {
		return true
	}
	update.Cold = e.Cold
	return e != update
}

// Policy holds the parameters by which endpoints are evaluated.
type Policy struct {
	MinResponseTimeout    time.Duration // an endpoint that owes a response and sends nothing for this long is suspect
	ResponseTimeoutFactor float64       // multiple of a prompt's expected reading time that counts instead if it is longer
	FirstPause            time.Duration // for which a failed endpoint gets no new work; doubles with each further pause
	MaxPause              time.Duration // upper bound of a pause
	LoadFactor            float64       // multiple of the mean load up to which an endpoint gets requests by affinity
	LoadMargin            int           // open requests allowed on top of that
	CrossZonePenalty      float64       // load, in requests, added to that of endpoints in other availability zones
	ErrorShare            float64       // share of failures among recent responses above which an endpoint is avoided
	ColdLast              bool          // cold endpoints get work only if no other endpoint is healthy
	BackoffJitter         float64       // share of a back-off up to which instances randomly return later, to spread them
	BackoffDecrease       float64       // share of the requests open at a back-off up to which the window grows fast; 0: no window
	BusyDecrease          float64       // the same for an endpoint that is busy and asks for no back-off; 0: no window
	PauseAfter            int           // consecutive failures from which an endpoint is paused
	MaxPausedShare        float64       // share of a service's endpoints that may be paused at once
	ProbeAfterPause       bool          // an endpoint gets a single request at first when its pause ends
	SlowFactor            float64       // multiple of the median time to the first token that pauses an endpoint; 0: never
}

// DefaultPolicy suits endpoints that answer within a second.
func DefaultPolicy() Policy {
	return Policy{
		MinResponseTimeout: 700 * time.Millisecond, ResponseTimeoutFactor: 4, FirstPause: 400 * time.Millisecond, MaxPause: 4 * time.Second,
		LoadFactor: 1.5, LoadMargin: 3, CrossZonePenalty: 0.5, ErrorShare: 0.35, ColdLast: true, BackoffJitter: 0.1, BackoffDecrease: 0.5, PauseAfter: 1, MaxPausedShare: 1,
	}
}

// member is an endpoint with the state that this instance tracks for it.
type member struct {
	Endpoint
	open            int           // requests of this instance at the endpoint
	responseTimeout time.Duration // the longest response timeout among them
	receivedAt      time.Time     // when the endpoint last sent data
	interference    flow          // caused by this instance's prompts: see Load
	ended           flow          // this instance's requests that succeeded or failed
	failed          flow          // those that failed
	peerLoad        Load          // load of the other instances, as last reported
	awaitingSince   time.Time     // since when requests have been open without a break; zero: none has been yet
	pausedUntil     time.Time
	pause           time.Duration // length of the last pause; 0: there was a success since
	failures        int           // consecutive
	window          *window       // bounds open requests after a back-off or a pause; nil: no bound
	pace            pace
	errorShare      float64 // share of failures among recent responses, as of errorShareAt
	errorShareAt    time.Time
	busyUntil       time.Time
	recordAt        time.Time  // when its record last arrived
	announced       *announced // its announcements in responses; nil: none
	activity        *activity  // of its service
	hash            uint64     // of the ID
	runKey          uint32     // see Loads
	warming         warming
	exclusion       Exclusion // within one pick: why it gets no work, regardless of the request
	eligible        bool      // within one pick: it may be sent the request
	healthy         bool      // within one pick: it is also healthy
}

// Pool is the directory of endpoints. Its methods are safe for concurrent use.
type Pool struct {
	zone   string
	policy Policy
	now    func() time.Time
	wall   func() time.Time

	mu            sync.RWMutex
	services      map[string][]*member
	shards        map[string]*shards // by service
	compared      []*member          // within one pick: the endpoints that are compared
	byID          map[string]*member
	zones         map[string]*zoneHealth
	onRemoved     func(addr string)
	onNotice      func(NoticeTaken)
	onNoticeEnded func(NoticeEnded)
	announced     map[string]*announced // by endpoint ID
	peersLeaving  Leaving               // as reported by other instances in the last exchange

	chooser          Chooser[Candidate] // nil: picks go by affinity and load
	chooserRand      Rand
	prefixes         *PrefixTable
	zoneLoad         func(endpoint string) int // open requests of the zone's other instances, where SetPeerLoads is not used
	zoneInstances    func() int                // number of instances among which an endpoint's slots are split
	candidates       []Candidate               // of one pick
	candidateMembers []*member                 // of one pick, in the same order
	peerLoads        Loads                     // loads of the other instances; nil: none received yet
	peerLoadsAt      time.Time
	speeds           map[string]*speed // by service

	removedInUse map[*member]bool // removed endpoints at which this instance still has open requests
	evacuated    map[string]bool  // availability zones
	anyExcluded  bool             // within one pick: some endpoint is excluded
	warmups      map[string]slowstart.Warmup
	owners       Owners
	coldBounds   slowstart.Bounds
	connections  map[string]*connections // by service
	activities   map[string]*activity    // by service
	regions      map[string]string       // by availability zone
	random       func(n int) int         // returns a number from 0 up to n, not including n

	rejectionLimits map[string]*rejectionLimit // by service

	software map[string]map[string]*softwareUse // by service and version

	limited     int             // approximate number of endpoints whose limits are in force
	demand      map[string]flow // rate of this instance's requests by service, counted while any endpoint has a limit
	leased      bool            // this instance is granted parts of limits; otherwise it has an even share of each
	peersLimits Limits          // as reported by other instances in the last exchange
}

// Option configures a Pool.
type Option func(*Pool)

// WithPolicy replaces the default policy.
func WithPolicy(policy Policy) Option { return func(p *Pool) { p.policy = policy } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithWall replaces the wall clock.
func WithWall(wall func() time.Time) Option { return func(p *Pool) { p.wall = wall } }

// WithRegions sets the region of each availability zone.
func WithRegions(byZone map[string]string) Option { return func(p *Pool) { p.regions = byZone } }

// WithRandom replaces the source of random numbers from 0 up to n, not including n.
func WithRandom(f func(n int) int) Option { return func(p *Pool) { p.random = f } }

// OnRemoved sets the function that is called with the address of each removed endpoint.
func OnRemoved(f func(addr string)) Option { return func(p *Pool) { p.onRemoved = f } }

// OnNotice sets the function that is called with each notice that takes effect. It runs while the pool is locked, so
// it must not call the pool.
func OnNotice(f func(NoticeTaken)) Option { return func(p *Pool) { p.onNotice = f } }

// OnNoticeEnded sets the function that is called with each notice that no longer applies. It runs while the pool is
// locked, so it must not call the pool.
func OnNoticeEnded(f func(NoticeEnded)) Option { return func(p *Pool) { p.onNoticeEnded = f } }

// WithChooser sets the Chooser that picks among healthy endpoints, and makes the pool track which endpoint recently
// saw which blocks of prompts.
func WithChooser(c Chooser[Candidate], r Rand) Option {
	return func(p *Pool) { p.chooser, p.chooserRand, p.prefixes = c, r, NewPrefixTable(prefixEntries) }
}

// WithZoneView sets the functions that return how many requests the zone's other instances have open at an endpoint,
// and among how many instances its slots are split.
func WithZoneView(load func(endpoint string) int, instances func() int) Option {
	return func(p *Pool) { p.zoneLoad, p.zoneInstances = load, instances }
}

// New returns an empty pool for an instance in an availability zone.
func New(zone string, opts ...Option) *Pool {
	p := &Pool{
		zone: zone, policy: DefaultPolicy(), now: time.Now, wall: time.Now,
		services: make(map[string][]*member), shards: make(map[string]*shards), byID: make(map[string]*member),
		zones: make(map[string]*zoneHealth), onRemoved: func(string) {}, onNotice: func(NoticeTaken) {}, onNoticeEnded: func(NoticeEnded) {},
		announced: make(map[string]*announced), removedInUse: make(map[*member]bool), zoneLoad: func(string) int { return 0 }, zoneInstances: func() int { return 1 },
		speeds: make(map[string]*speed), owners: singleInstance{}, random: rand.IntN, demand: make(map[string]flow),
		activities: make(map[string]*activity), rejectionLimits: make(map[string]*rejectionLimit),
		software: make(map[string]map[string]*softwareUse),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Replace replaces all endpoints by those of the list. It returns how many were added and removed.
func (p *Pool) Replace(list []Endpoint) (added, removed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if p.put(e) {
			added++
		}
	}
	for id := range p.byID {
		if !listed[id] {
			p.remove(id)
			removed++
		}
	}
	return added, removed
}

// Put adds an endpoint or updates its record. It returns true if the endpoint is new or starts or stops draining.
func (p *Pool) Put(e Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.put(e)
}

func (p *Pool) put(e Endpoint) bool {
	if p.outdated(e) {
		return false // a late record of the previous process
	}
	m := p.byID[e.ID]
	// A process that restarted under the same ID has lost its state, so the state tracked for the previous one is
	// dropped.
	if m != nil && m.Service == e.Service && m.Addr == e.Addr && !m.Outdated(e) {
		changed := m.Draining != e.Draining
		if e.Software == "" {
			e.Software = m.Software // of the same process: only the sender did not know it
		}
		if e.Software != m.Software {
			p.countSoftware(m.Endpoint, -1)
			p.countSoftware(e, 1)
		}
		e.StartedAt, m.recordAt = max(e.StartedAt, m.StartedAt), p.now()
		m.runKey = runKey(e)
		m.Endpoint = e
		m.announced = p.reconcileRecord(e)
		p.markCold(m, p.now(), e.Cold)
		return changed
	}
	if m != nil {
		p.remove(e.ID)
	}
	m = &member{Endpoint: e, receivedAt: p.now(), recordAt: p.now(), hash: xxhash.Sum64String(e.ID), runKey: runKey(e), activity: p.activityOf(e.Service)}
	p.markCold(m, p.now(), e.Cold)
	m.peerLoad = p.peerLoads[m.key()]
	m.announced = p.reconcileRecord(e)
	p.byID[e.ID] = m
	p.countSoftware(e, 1)
	p.applyPeersLeaving(m)
	p.applyPeersLimit(m)
	p.services[e.Service] = append(p.services[e.Service], m)
	p.divide(e.Service)
	return true
}

// Remove removes an endpoint; it returns false if the endpoint is unknown.
func (p *Pool) Remove(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.remove(id)
}

func (p *Pool) remove(id string) bool {
	m := p.byID[id]
	if m == nil {
		return false
	}
	delete(p.byID, id)
	p.countSoftware(m.Endpoint, -1)
	if m.open > 0 {
		p.removedInUse[m] = true
	}
	p.services[m.Service] = slices.DeleteFunc(p.services[m.Service], func(x *member) bool { return x == m })
	p.divide(m.Service)
	p.onRemoved(m.Addr)
	return true
}

// Len returns the number of endpoints that accept new work.
func (p *Pool) Len() int {
	p.mu.RLock()
	defer p.mu.RUnlock()
	now := p.now()
	n := 0
	for _, m := range p.byID {
		if !m.Draining && !m.announced.leaves(now) {
			n++
		}
	}
	return n
}
