// Package member maintains an instance's view of the fleet from the platform's list and from heartbeats.
//
// The view is a hint and guarantees nothing: everything that uses it must stay correct if it is wrong.
package member

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// ServiceName is the view's kernel service name.
const ServiceName = "member"

// KindBeat is the heartbeat message.
const KindBeat mesh.Kind = "member.beat"

const (
	defaultBeatInterval = 500 * time.Millisecond
	defaultListInterval = 2 * time.Second
	maxMissedBeats      = 5
	crossZoneLinks      = 2
	deadRetention       = 10 * time.Minute
	beatConcurrency     = 64
	beatsPerLoad        = 2 // one heartbeat in this many carries the requests in progress
)

// Beat is a heartbeat: its sender, whether the sender is leaving, and the version of its configuration.
type Beat struct {
	Peer    mesh.Peer `cbor:"1,keyasint"`
	Leaving bool      `cbor:"2,keyasint,omitempty"`
	Config  int64     `cbor:"3,keyasint,omitempty"`
	// InFlight is the sender's number of requests in progress by endpoint. It is sent only within the sender's zone.
	InFlight map[string]int `cbor:"4,keyasint,omitempty"`
	Loaded   bool           `cbor:"5,keyasint,omitempty"` // InFlight is present, although it may be empty
}

// Listener is notified of every heartbeat received.
type Listener func(ctx context.Context, b Beat)

type peerState struct {
	peer     mesh.Peer
	lastBeat time.Time
	leaving  bool
	listed   bool
	config   int64
	inFlight map[string]int
}

// View is the membership service.
type View struct {
	self         mesh.Peer
	list         external.InstanceList
	caller       mesh.Caller
	now          func() time.Time
	beatInterval time.Duration
	listInterval time.Duration
	log          zerolog.Logger
	config       func() int64
	inFlight     func() map[string]int

	mu         sync.RWMutex
	peers      map[string]*peerState
	leaving    bool
	beats      int // heartbeats sent so far; used by Run only
	listeners  []Listener
	zoneCache  []mesh.Peer
	cacheUntil time.Time
}

// Option changes a View.
type Option func(*View)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(v *View) { v.now = now } }

// WithIntervals sets the interval between heartbeats and that between reads of the platform's list.
func WithIntervals(beat, list time.Duration) Option {
	return func(v *View) { v.beatInterval, v.listInterval = beat, list }
}

// WithConfigVersion makes heartbeats carry the version of the configuration.
func WithConfigVersion(f func() int64) Option { return func(v *View) { v.config = f } }

// WithInFlight makes heartbeats within the zone carry this instance's requests in progress by endpoint.
func WithInFlight(f func() map[string]int) Option { return func(v *View) { v.inFlight = f } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(v *View) { v.log = log } }

// New makes a view and registers its message handler.
func New(self mesh.Peer, list external.InstanceList, caller mesh.Caller, router *mesh.Router, opts ...Option) *View {
	v := &View{
		self:         self,
		list:         list,
		caller:       caller,
		now:          time.Now,
		beatInterval: defaultBeatInterval,
		listInterval: defaultListInterval,
		log:          zerolog.Nop(),
		config:       func() int64 { return 0 },
		inFlight:     func() map[string]int { return nil },
		peers:        make(map[string]*peerState),
	}
	for _, opt := range opts {
		opt(v)
	}
	mesh.Handle(router, KindBeat, func(ctx context.Context, _ mesh.Peer, b Beat) (Beat, error) {
		v.Receive(ctx, b)
		return v.beat(false), nil
	})
	return v
}

// Name implements kernel.Service.
func (v *View) Name() string { return ServiceName }

// OnBeat adds a listener. It must be called before Run.
func (v *View) OnBeat(l Listener) { v.listeners = append(v.listeners, l) }

// Self returns this instance.
func (v *View) Self() mesh.Peer { return v.self }

// Leave makes later heartbeats report that this instance is leaving.
func (v *View) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
	v.cacheUntil = time.Time{}
}

// Run implements kernel.Service.
func (v *View) Run(ctx context.Context) error {
	v.refresh(ctx)
	beat, list := time.NewTicker(v.beatInterval), time.NewTicker(v.listInterval)
	defer beat.Stop()
	defer list.Stop()
	v.beatAll(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-beat.C:
			v.beatAll(ctx)
		case <-list.C:
			v.refresh(ctx)
		}
	}
}

// refresh reads the platform's list. If that fails, the last list remains valid.
func (v *View) refresh(ctx context.Context) {
	insts, err := v.list.Instances(ctx)
	if err != nil {
		v.log.Debug().Str("event", "list_unread").Err(err).Msg("instance list not read")
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, s := range v.peers {
		s.listed = false
	}
	for _, in := range insts {
		v.noteListed(in)
	}
	v.forgetDead()
}

func (v *View) noteListed(in external.Instance) {
	if in.ID == v.self.ID {
		return
	}
	s, ok := v.peers[in.ID]
	if !ok {
		s = &peerState{peer: mesh.Peer{ID: in.ID, Zone: in.Zone, Addr: in.Addr}}
		v.peers[in.ID] = s
	}
	s.listed = true
	if in.State == external.StateLeaving {
		s.leaving = true
	}
}

func (v *View) forgetDead() {
	now := v.now()
	for id, s := range v.peers {
		if !s.listed && now.Sub(s.lastBeat) > deadRetention {
			delete(v.peers, id)
		}
	}
}

// Receive processes a heartbeat.
func (v *View) Receive(ctx context.Context, b Beat) {
	if b.Peer.ID == v.self.ID || b.Peer.ID == "" {
		return
	}
	v.mu.Lock()
	s, ok := v.peers[b.Peer.ID]
	if !ok {
		s = &peerState{}
		v.peers[b.Peer.ID] = s
	}
	if s.lastBeat.IsZero() || s.leaving != b.Leaving || s.peer.Incarnation != b.Peer.Incarnation {
		v.cacheUntil = time.Time{}
	}
	s.peer, s.lastBeat, s.leaving, s.config = b.Peer, v.now(), b.Leaving, b.Config
	if b.Loaded {
		s.inFlight = b.InFlight
	}
	v.mu.Unlock()
	for _, l := range v.listeners {
		l(ctx, b)
	}
}

// beat returns this instance's heartbeat, with or without its requests in progress.
func (v *View) beat(withLoad bool) Beat {
	v.mu.RLock()
	b := Beat{Peer: v.self, Leaving: v.leaving}
	v.mu.RUnlock()
	b.Config = v.config()
	if withLoad {
		b.InFlight = v.inFlight()
		b.Loaded = true
	}
	return b
}

// InFlight returns the number of requests that the zone's other instances have in progress at an endpoint, by their
// last heartbeats.
func (v *View) InFlight(endpoint string) int {
	now := v.now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	n := 0
	for _, s := range v.peers {
		if s.inFlight != nil && v.fresh(s, now) {
			n += s.inFlight[endpoint]
		}
	}
	return n
}

func (v *View) beatAll(ctx context.Context) {
	v.beats++
	zoneBeat, farBeat := v.beat(v.beats%beatsPerLoad == 0), v.beat(false)
	var wg sync.WaitGroup
	sem := make(chan struct{}, beatConcurrency)
	for _, p := range v.targets() {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			if p.Zone == v.self.Zone {
				v.send(ctx, p, zoneBeat)
				return
			}
			v.send(ctx, p, farBeat)
		})
	}
	wg.Wait()
}

func (v *View) send(ctx context.Context, p mesh.Peer, b Beat) {
	ctx, cancel := context.WithTimeout(ctx, v.beatInterval)
	defer cancel()
	reply, err := mesh.Call[Beat, Beat](ctx, v.caller, p.Addr, KindBeat, b)
	if err == nil {
		v.Receive(ctx, reply)
	}
}

// targets returns the zone's instances and a few in other zones. The latter are chosen by hash, so that links spread
// evenly.
func (v *View) targets() []mesh.Peer {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var zone, far []mesh.Peer
	now := v.now()
	for _, s := range v.peers {
		if !s.listed && now.Sub(s.lastBeat) > time.Duration(maxMissedBeats)*v.beatInterval {
			continue
		}
		if s.peer.Zone == v.self.Zone {
			zone = append(zone, s.peer)
		} else {
			far = append(far, s.peer)
		}
	}
	far = Rank(v.self.ID, far)
	return append(zone, far[:min(len(far), crossZoneLinks)]...)
}

func (v *View) fresh(s *peerState, now time.Time) bool {
	return !s.lastBeat.IsZero() && now.Sub(s.lastBeat) <= time.Duration(maxMissedBeats)*v.beatInterval
}

// Alive reports whether a heartbeat of a process, named as by mesh.Peer.IncarnationID, was received recently. Leaving
// processes are alive.
func (v *View) Alive(incarnationID string) bool {
	id, inc := mesh.SplitIncarnationID(incarnationID)
	if id == v.self.ID {
		return inc == v.self.Incarnation
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, ok := v.peers[id]
	return ok && s.peer.Incarnation == inc && v.fresh(s, v.now())
}

// Zone returns the live instances of this zone that are not leaving, ordered by ID. It includes this one unless it is
// leaving.
func (v *View) Zone() []mesh.Peer {
	now := v.now()
	v.mu.RLock()
	if now.Before(v.cacheUntil) {
		out := v.zoneCache
		v.mu.RUnlock()
		return out
	}
	v.mu.RUnlock()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []mesh.Peer
	if !v.leaving {
		out = append(out, v.self)
	}
	for _, s := range v.peers {
		if s.peer.Zone == v.self.Zone && !s.leaving && v.fresh(s, now) {
			out = append(out, s.peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	v.zoneCache, v.cacheUntil = out, now.Add(v.beatInterval/2)
	return out
}

// Fleet returns every instance that is listed or has sent a recent heartbeat, including this one, ordered by ID.
func (v *View) Fleet() []mesh.Peer {
	now := v.now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := []mesh.Peer{v.self}
	for _, s := range v.peers {
		if !s.leaving && (s.listed || v.fresh(s, now)) {
			out = append(out, s.peer)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Find returns the instance of a process in any zone. The process itself may have been replaced.
func (v *View) Find(incarnationID string) (mesh.Peer, bool) {
	id, _ := mesh.SplitIncarnationID(incarnationID)
	if id == v.self.ID {
		return v.self, true
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, ok := v.peers[id]
	if !ok {
		return mesh.Peer{}, false
	}
	return s.peer, true
}

// Leaving reports whether a process is known to be stopping: it, or the platform's list, has announced that it leaves.
func (v *View) Leaving(incarnationID string) bool {
	id, inc := mesh.SplitIncarnationID(incarnationID)
	v.mu.RLock()
	defer v.mu.RUnlock()
	if id == v.self.ID {
		return v.leaving && inc == v.self.Incarnation
	}
	s, ok := v.peers[id]
	return ok && s.leaving && (s.peer.Incarnation == "" || s.peer.Incarnation == inc)
}

// Lost reports whether a process is neither listed nor has sent a recent heartbeat, or was replaced by another process
// of its instance.
func (v *View) Lost(incarnationID string) bool {
	id, inc := mesh.SplitIncarnationID(incarnationID)
	if id == v.self.ID {
		return inc != v.self.Incarnation
	}
	v.mu.RLock()
	defer v.mu.RUnlock()
	s, ok := v.peers[id]
	if !ok {
		return true
	}
	if s.peer.Incarnation != "" && s.peer.Incarnation != inc {
		return true
	}
	return !s.listed && !v.fresh(s, v.now())
}

// Status is an entry of the operators' view.
type Status struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Listed  bool   `json:"listed"`
	Heard   bool   `json:"heard"`
	Leaving bool   `json:"leaving"`
	Config  int64  `json:"config_version"`
}

// Statuses returns every known peer and this instance, ordered by ID.
func (v *View) Statuses() []Status {
	now := v.now()
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]Status, 0, len(v.peers)+1)
	out = append(out, Status{
		ID: v.self.ID, Zone: v.self.Zone, Addr: v.self.Addr, Listed: true, Heard: true, Leaving: v.leaving, Config: v.config(),
	})
	for id, s := range v.peers {
		out = append(out, Status{
			ID: id, Zone: s.peer.Zone, Addr: s.peer.Addr, Listed: s.listed, Heard: v.fresh(s, now), Leaving: s.leaving, Config: s.config,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
