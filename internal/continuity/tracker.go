// Package continuity determines the software version at which an interrupted stream has to continue.
//
// Endpoints of several software versions may serve side by side. What two versions write does not fit together, and no
// endpoint checks who began a stream. A caller may take an interrupted stream up at any instance, also after the one that
// sent its first event is lost. Instances therefore send the origin of each stream, which is the version that began it, to
// a few others, and an instance that does not know an origin asks for it.
//
// While a single version has served for as long as a stream may last, all streams began at it. Then nothing is sent and
// nobody is asked.
package continuity

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"
)

// Key identifies a stream by its customer and the ID of the request that brought its first event. It is a part of a
// SHA-256 sum, so that no customer can choose an ID with the key of another customer's stream.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(customer, request string) Key {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(customer)))
	h := sha256.New()
	_, _ = h.Write(size[:])
	_, _ = h.Write([]byte(customer))
	_, _ = h.Write([]byte(request))
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Origin is the service and the software version of the endpoint that sent the first event of a stream.
type Origin struct {
	Service  string
	Software string
	Began    time.Time
}

// Endpoints is the history of the endpoints' software versions. *pool.Pool implements it.
type Endpoints interface {
	// SoftwareSince returns the versions of the endpoints of a service that are listed, or were at any moment since a time.
	// An empty version is unknown.
	SoftwareSince(service string, since time.Time) []string
	// NoteSoftware adds a version that was last listed at some time.
	NoteSoftware(service, version string, lastSeen time.Time)
	// Services returns the names of the services that have endpoints.
	Services() []string
}

const (
	maxOrigins = 16384 // of some 100 bytes each
	maxUnsent  = 4096  // origins of own streams that others have not received
	// maxContactAge is the age from which the list of endpoints may lack a version that other instances know.
	maxContactAge = 4 * time.Second
	// maxRecentAge is the age up to which a list of endpoints decides although other instances do not answer.
	maxRecentAge = time.Second
	// startGrace is how long after the first start of the fleet the list of endpoints may be incomplete: no stream begins yet.
	startGrace = 10 * time.Second

	defaultLifetime = time.Minute
)

// unsent is an origin that other instances have not received.
type unsent struct {
	key       Key
	failed    int  // attempts to send it
	delegated bool // another instance of the zone has sent it, to be passed on to other zones
}

// Tracker keeps the origins of streams, and determines whether a service has had a single software version. It performs no
// I/O and is safe for concurrent use.
type Tracker struct {
	endpoints   Endpoints
	now         func() time.Time
	lifetime    func() time.Duration
	lastContact func() time.Time
	firstStart  bool
	startedAt   time.Time

	mu            sync.Mutex
	origins       map[Key]Origin
	order         []Key // of the origins, oldest first
	unsent        map[Key]unsent
	observedSince time.Time // since when the endpoints have been followed without a gap
	contact       time.Time // as of the last call of Observe; zero: there was none yet
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(t *Tracker) { t.now = now } }

// WithLifetime sets the function that returns how long after its first event a stream may be taken up again.
func WithLifetime(f func() time.Duration) Option { return func(t *Tracker) { t.lifetime = f } }

// WithLastContact sets the function that returns when the list of endpoints was last known to be current. By default, it
// always is.
func WithLastContact(f func() time.Time) Option { return func(t *Tracker) { t.lastContact = f } }

// WithFirstStart states that the fleet starts for the first time, so that no stream can have begun before.
func WithFirstStart() Option { return func(t *Tracker) { t.firstStart = true } }

// New returns a Tracker.
func New(endpoints Endpoints, opts ...Option) *Tracker {
	t := &Tracker{
		endpoints: endpoints, now: time.Now, lifetime: func() time.Duration { return defaultLifetime }, origins: make(map[Key]Origin), unsent: make(map[Key]unsent),
	}
	for _, opt := range opts {
		opt(t)
	}
	if t.lastContact == nil {
		t.lastContact = t.now
	}
	t.startedAt = t.now()
	if !t.firstStart {
		t.observedSince = t.startedAt
	}
	return t
}

// Begin records the software version at which a stream began, when its first event is forwarded. It reports whether other
// instances need to receive it now. An unknown version is not recorded.
func (t *Tracker) Begin(service string, key Key, software string) bool {
	if software == "" {
		return false
	}
	_, sole := t.Sole(service)
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(key, Origin{Service: service, Software: software, Began: now}, now)
	t.addUnsent(unsent{key: key})
	return !sole
}

// Origin returns the origin of a stream.
func (t *Tracker) Origin(key Key) (Origin, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.origins[key]
	if !ok || t.now().Sub(o.Began) > t.lifetime() {
		return Origin{}, false
	}
	return o, true
}

// Put records an origin that another instance has sent. If an origin of the stream is known, it stays.
func (t *Tracker) Put(key Key, o Origin) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(key, o, now)
}

// PutDelegated records an origin that another instance has sent to be passed on to other availability zones.
func (t *Tracker) PutDelegated(key Key, o Origin) {
	t.Put(key, o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addUnsent(unsent{key: key, delegated: true})
}

// addUnsent adds an origin to those that others have not received, unless there are too many. The caller holds mu.
func (t *Tracker) addUnsent(u unsent) {
	if len(t.unsent) < maxUnsent {
		t.unsent[u.key] = u
	}
}

// End records that a stream was sent completely. Its caller hardly takes it up again, so its origin is not sent any more.
func (t *Tracker) End(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unsent, key)
}

// put records an origin, and removes old ones. The caller holds mu.
func (t *Tracker) put(key Key, o Origin, now time.Time) {
	if _, known := t.origins[key]; known {
		return
	}
	expired := now.Add(-t.lifetime())
	for len(t.order) > 0 && (len(t.order) >= maxOrigins || t.origins[t.order[0]].Began.Before(expired)) {
		delete(t.origins, t.order[0])
		t.order = t.order[1:]
	}
	t.origins[key] = o
	t.order = append(t.order, key)
}

// current reports whether the list of endpoints is up to date.
func (t *Tracker) current() bool { return t.now().Sub(t.lastContact()) <= maxContactAge }

// Sole returns the software version at which all streams of a service began that may still be taken up again. ok is
// false if there may be several, or if this instance has not observed the endpoints for long enough.
func (t *Tracker) Sole(service string) (software string, ok bool) {
	if !t.current() || !t.ObservedForLifetime() {
		return "", false
	}
	versions := t.endpoints.SoftwareSince(service, t.now().Add(-t.lifetime()))
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// recentSole returns the version that Sole returns if the list of endpoints is recent, and else an empty string.
func (t *Tracker) recentSole(service string) string {
	if t.now().Sub(t.lastContact()) > maxRecentAge {
		return ""
	}
	software, _ := t.Sole(service)
	return software
}

// Observe detects gaps in the observation of the endpoints, and reports whether there was one. It has to be called
// more often than once in maxContactAge. After a gap, versions may have come and gone unseen.
func (t *Tracker) Observe() (gap bool) {
	contact, now := t.lastContact(), t.now()
	if contact.IsZero() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.firstStart && now.Sub(t.startedAt) < startGrace:
	case t.contact.IsZero():
		gap = true
	default:
		gap = contact.Sub(t.contact) > maxContactAge || now.Sub(contact) > maxContactAge
	}
	if gap {
		t.observedSince = now
	}
	t.contact = contact
	return gap
}

// ObservedForLifetime reports whether the endpoints have been observed for as long as a stream may last.
func (t *Tracker) ObservedForLifetime() bool {
	since := t.now().Add(-t.lifetime())
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.observedSince.After(since)
}

// due reports whether other instances need to receive origins that were not sent. It removes those that have expired.
func (t *Tracker) due() bool {
	services := make(map[string]bool)
	expired := t.now().Add(-t.lifetime())
	t.mu.Lock()
	for key := range t.unsent {
		o, known := t.origins[key]
		if !known || o.Began.Before(expired) {
			delete(t.unsent, key)
			continue
		}
		services[o.Service] = true
	}
	t.mu.Unlock()
	for service := range services {
		if _, sole := t.Sole(service); !sole {
			return true
		}
	}
	return false
}

// takeUnsent returns the origins that other instances need to receive, and takes them off the list. Those of services with
// a single version stay on it.
func (t *Tracker) takeUnsent() []unsent {
	sole := make(map[string]bool)
	t.mu.Lock()
	list := slices.Collect(maps.Values(t.unsent))
	t.mu.Unlock()
	var out, done []unsent
	for _, u := range list {
		o, known := t.Origin(u.key)
		if !known {
			done = append(done, u)
			continue
		}
		if _, checked := sole[o.Service]; !checked {
			_, sole[o.Service] = t.Sole(o.Service)
		}
		if !sole[o.Service] || u.delegated {
			out = append(out, u)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range append(done, out...) {
		delete(t.unsent, u.key)
	}
	return out
}

// returnUnsent puts origins back on the list that could not be sent.
func (t *Tracker) returnUnsent(list []unsent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range list {
		t.addUnsent(u)
	}
}
