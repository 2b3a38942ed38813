// Package pool knows the endpoints of each service and picks one for a request, by what is known of its load, of the prompts
// that it keeps in memory, and of its health.
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

// Endpoint is what an endpoint reports of itself.
type Endpoint struct {
	ID       string `cbor:"1,keyasint"`
	Service  string `cbor:"2,keyasint"`
	Addr     string `cbor:"3,keyasint"`
	Zone     string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"` // takes no new work
	// Cold is how much longer it was slow from its start, or from losing what it kept, when it said so
	Cold time.Duration `cbor:"7,keyasint,omitempty"`
	// StartedAt is when its process started, in Unix milliseconds of its own clock; 0: it does not say
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
}

// Run names one run of the endpoint's process: its ID, and its start if it tells it.
func (e Endpoint) Run() string {
	if e.StartedAt == 0 {
		return e.ID
	}
	return e.ID + "@" + strconv.FormatInt(e.StartedAt, 10)
}

// Outdated reports whether a word of an endpoint comes from a process that ended before the one that started at by.
func (e Endpoint) Outdated(by Endpoint) bool { return e.StartedAt > 0 && by.StartedAt > e.StartedAt }

// ChangedBy reports whether what an endpoint reports of itself now is news to an instance that knows the earlier word. That it is a little less cold
// than before is not.
func (e Endpoint) ChangedBy(now Endpoint) bool {
	if (e.Cold > 0) != (now.Cold > 0) || now.Cold > e.Cold {
		return true
	}
	now.Cold = e.Cold
	return e != now
}

// Policy holds the figures by which endpoints are judged.
type Policy struct {
	MinResponseTimeout    time.Duration // an endpoint that owes an answer and says nothing for this long is suspected
	ResponseTimeoutFactor float64       // how many times its expected time an answer to a long prompt may take before that
	FirstPause            time.Duration // without new work after a failure
	MaxPause              time.Duration // the most that a pause grows to
	LoadFactor            float64       // how far over the mean load an endpoint may be for the sake of a kept prompt
	LoadMargin            int           // requests that it may have beyond that
	CrossZonePenalty      float64       // load, in requests, that another zone's endpoint must be better by
	ErrorShare            float64       // failures among the last answers at which an endpoint is avoided
	ColdLast              bool          // cold endpoints get work only where no other is sound
	RestJitter            float64       // part of a rest by which an instance comes back later, drawn at random: all were told at the same time
	RestDecrease          float64       // part of what an endpoint had open here when it asked for rest that it may have again; 0: any number
	BusyDecrease          float64       // the same, when it had no room and asked for no rest; 0: any number
	PauseAfter            int           // failures in a row from which an endpoint is paused
	MaxPausedShare        float64       // part of a service's endpoints that may be paused at once
	ProbeAfterPause       bool          // an endpoint that was paused gets one request at first
	SlowFactor            float64       // times the median time to a first token of a service from which an endpoint is paused; 0: never
}

// DefaultPolicy suits endpoints that answer within a second.
func DefaultPolicy() Policy {
	return Policy{
		MinResponseTimeout: 700 * time.Millisecond, ResponseTimeoutFactor: 4, FirstPause: 400 * time.Millisecond, MaxPause: 4 * time.Second,
		LoadFactor: 1.5, LoadMargin: 3, CrossZonePenalty: 0.5, ErrorShare: 0.35, ColdLast: true, RestJitter: 0.1, RestDecrease: 0.5, PauseAfter: 1, MaxPausedShare: 1,
	}
}

// member is an endpoint with what this instance has seen of it.
type member struct {
	Endpoint
	open            int           // requests of this instance
	responseTimeout time.Duration // the most that one of them has
	receivedAt      time.Time     // the last byte
	interference    flow          // of this instance's prompts: see Load
	ended           flow          // this instance's requests that ended well or badly
	failed          flow          // those that ended badly
	peerLoad        Load          // what other instances have there, as last reported
	awaitingSince   time.Time     // since when it owes an answer without a break; zero: it owes none
	pausedUntil     time.Time
	pause           time.Duration // the last one; 0: it has answered well since
	failures        int           // in a row
	window          *window       // the bound after a rest or a pause; nil: none
	pace            pace
	errorShare      float64 // share of failures among the last answers, at errorsAt
	errorShareAt    time.Time
	busyUntil       time.Time
	recordAt        time.Time  // when its record last came
	announced       *announced // what it reports of itself in answers; nil: nothing
	hash            uint64     // of the ID
	runKey          uint32     // see Loads
	warming         warming
	exclusion       Exclusion // within one pick: why it gets no work, whatever the request
	eligible        bool      // within one pick: it may be sent the request
	healthy         bool      // within one pick: and nothing speaks against it
}

// Pool is the directory of endpoints. All its methods may be called at once.
type Pool struct {
	zone   string
	policy Policy
	now    func() time.Time
	wall   func() time.Time

	mu            sync.RWMutex
	services      map[string][]*member
	byID          map[string]*member
	zones         map[string]*zoneHealth
	onRemoved     func(addr string)
	onNotice      func(NoticeTaken)
	onNoticeEnded func(NoticeEnded)
	announced     map[string]*announced // by endpoint ID
	peersLeaving  Leaving               // by other instances, in the last exchange

	chooser          Chooser[Candidate] // nil: picks go by affinity and load
	chooserRand      Rand
	prefixes         *PrefixTable
	zoneLoad         func(endpoint string) int // requests that other instances have there, told in another way than by SetOthers
	zoneInstances    func() int                // instances among which an endpoint's slots are split
	candidates       []Candidate               // of one pick
	candidateMembers []*member                 // of one pick, in the same order
	peerLoads        Loads                     // what other instances have under way; nil: never told
	peerLoadsAt      time.Time
	speeds           map[string]*speed // by service

	removedInUse map[*member]bool // endpoints that are gone, while requests of this instance are open there
	evacuated    map[string]bool  // availability zones
	anyExcluded  bool             // within one pick: work is kept off some endpoint
	warmups      map[string]slowstart.Warmup
	owners       Owners
	coldBounds   slowstart.Bounds
	connections  map[string]*connections // by service
	regions      map[string]string       // by availability zone
	random       func(n int) int         // from 0 up to n, not including it

	limited     int             // endpoints whose limits hold, about
	demand      map[string]flow // requests of this instance for services, since some endpoint names a limit
	leased      bool            // what this instance may send under limits is granted; else it has an even part
	peersLimits Limits          // by other instances, in the last exchange
}

// Option changes a Pool.
type Option func(*Pool)

// WithPolicy replaces the figures.
func WithPolicy(p Policy) Option { return func(l *Pool) { l.policy = p } }

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(l *Pool) { l.now = now } }

// WithWall replaces the time of day.
func WithWall(wall func() time.Time) Option { return func(l *Pool) { l.wall = wall } }

// WithRegions tells the region of each availability zone.
func WithRegions(byZone map[string]string) Option { return func(l *Pool) { l.regions = byZone } }

// WithRandom replaces the source of numbers from 0 up to n, not including it.
func WithRandom(f func(n int) int) Option { return func(l *Pool) { l.random = f } }

// OnRemoved sets what is called with the address of an endpoint that is not there any more.
func OnRemoved(f func(addr string)) Option { return func(l *Pool) { l.onRemoved = f } }

// OnNotice sets what is notified of endpoints' words that were taken. It is called while the pool is locked, so it must not call the pool.
func OnNotice(f func(NoticeTaken)) Option { return func(l *Pool) { l.onNotice = f } }

// OnNoticeEnded sets what is notified of endpoints' words that do not count any more. It is called as that of OnHeard is.
func OnNoticeEnded(f func(NoticeEnded)) Option { return func(l *Pool) { l.onNoticeEnded = f } }

// WithChooser lets a Chooser pick among sound endpoints, and keeps in mind which endpoint saw which blocks of prompts lately.
func WithChooser(c Chooser[Candidate], r Rand) Option {
	return func(l *Pool) { l.chooser, l.chooserRand, l.prefixes = c, r, NewPrefixTable(prefixEntries) }
}

// WithZoneView tells how many requests the zone's other instances have at an endpoint, and among how many instances its slots are split.
func WithZoneView(elsewhere func(endpoint string) int, share func() int) Option {
	return func(l *Pool) { l.zoneLoad, l.zoneInstances = elsewhere, share }
}

// New makes an empty pool for an instance in a zone.
func New(zone string, opts ...Option) *Pool {
	l := &Pool{
		zone: zone, policy: DefaultPolicy(), now: time.Now, wall: time.Now,
		services: make(map[string][]*member), byID: make(map[string]*member),
		zones: make(map[string]*zoneHealth), onRemoved: func(string) {}, onNotice: func(NoticeTaken) {}, onNoticeEnded: func(NoticeEnded) {},
		announced: make(map[string]*announced), removedInUse: make(map[*member]bool), zoneLoad: func(string) int { return 0 }, zoneInstances: func() int { return 1 },
		speeds: make(map[string]*speed), owners: singleInstance{}, random: rand.IntN, demand: make(map[string]flow),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Replace takes the whole list of endpoints. It returns how many came and went.
func (l *Pool) Replace(list []Endpoint) (came, went int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if l.put(e) {
			came++
		}
	}
	for id := range l.byID {
		if !listed[id] {
			l.remove(id)
			went++
		}
	}
	return came, went
}

// Put takes what an endpoint reports of itself now; true if it is new or its state has changed.
func (l *Pool) Put(e Endpoint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.put(e)
}

func (l *Pool) put(e Endpoint) bool {
	if l.outdated(e) {
		return false // a word of the process before, told late
	}
	m := l.byID[e.ID]
	// A process that started again under its ID knows nothing of before, so nothing of before counts for it.
	if m != nil && m.Service == e.Service && m.Addr == e.Addr && !m.Outdated(e) {
		changed := m.Draining != e.Draining
		e.StartedAt, m.recordAt = max(e.StartedAt, m.StartedAt), l.now()
		m.runKey = runKey(e)
		m.Endpoint = e
		m.announced = l.reconcileRecord(e)
		l.markCold(m, l.now(), e.Cold)
		return changed
	}
	if m != nil {
		l.remove(e.ID)
	}
	m = &member{Endpoint: e, receivedAt: l.now(), recordAt: l.now(), hash: xxhash.Sum64String(e.ID), runKey: runKey(e)}
	l.markCold(m, l.now(), e.Cold)
	m.peerLoad = l.peerLoads[m.key()]
	m.announced = l.reconcileRecord(e)
	l.byID[e.ID] = m
	l.applyPeersLeaving(m)
	l.applyPeersLimit(m)
	l.services[e.Service] = append(l.services[e.Service], m)
	return true
}

// Remove takes an endpoint out; false if it was not there.
func (l *Pool) Remove(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.remove(id)
}

func (l *Pool) remove(id string) bool {
	m := l.byID[id]
	if m == nil {
		return false
	}
	delete(l.byID, id)
	if m.open > 0 {
		l.removedInUse[m] = true
	}
	l.services[m.Service] = slices.DeleteFunc(l.services[m.Service], func(x *member) bool { return x == m })
	l.onRemoved(m.Addr)
	return true
}

// Len is the number of endpoints that take work.
func (l *Pool) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.now()
	n := 0
	for _, m := range l.byID {
		if !m.Draining && !m.announced.leaves(now) {
			n++
		}
	}
	return n
}
