package demo

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/instance"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/internal/standin"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/list"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
)

// The demo's intervals: shorter than in earnest, so that faults and recoveries fit into seconds.
const (
	beatEvery    = 100 * time.Millisecond
	listEvery    = 200 * time.Millisecond
	pollEvery    = 2 * time.Second
	deadAfter    = 1200 * time.Millisecond
	orphanAfter  = 1500 * time.Millisecond
	maxHold      = time.Second
	flushEvery   = 250 * time.Millisecond
	journalBeat  = 500 * time.Millisecond
	storeTimeout = time.Second
	stopLimit    = 10 * time.Second
	keysTick     = 200 * time.Millisecond
	keysSettling = 700 * time.Millisecond

	enginesPerZone   = 2
	instancesPerZone = 2
	modelName        = "drafts"
	operatorKey      = "demo-operator"
	poolEngines      = "drafts"
	poolPlain        = "portal"
)

var zoneNames = []string{"zone-a", "zone-b"}

// node is one running instance with its brake.
type node struct {
	id    string
	zone  string
	in    *instance.Instance
	brake *brake
	done  chan struct{}

	mu       sync.Mutex
	stopping bool // a planned stop has begun
	gone     bool
}

func (n *node) usable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.gone && !n.stopping
}

func (n *node) mark(stopping, gone bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopping = n.stopping || stopping
	n.gone = n.gone || gone
}

func (n *node) isStopping() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stopping
}

// server is a stand-in behind a listener.
type engineServer struct {
	name, zone string
	engine     *engine.Engine
	srv        *standin.Server
}

// fleet is everything that the demo runs.
type fleet struct {
	log     zerolog.Logger
	kv      *kv.Server
	kvSrv   *standin.Server
	list    *list.Server
	listSrv *standin.Server
	engines []*engineServer
	plains  map[string]*plain.Service
	plainS  map[string]*standin.Server
	ca      *mesh.Authority

	mu      sync.Mutex
	nodes   []*node
	serial  int
	charges map[string][]ledger.Charge
	zoneCut bool
	crashed bool // an instance has
}

func newFleet(log zerolog.Logger) (*fleet, error) {
	f := &fleet{
		log: log, kv: kv.New(), list: list.New(), plains: make(map[string]*plain.Service),
		plainS: make(map[string]*standin.Server), charges: make(map[string][]ledger.Charge),
	}
	var err error
	if f.ca, err = mesh.NewAuthority(); err != nil {
		return nil, err
	}
	if f.kvSrv, err = standin.Serve("127.0.0.1:0", f.kv.Handler()); err != nil {
		return nil, err
	}
	if f.listSrv, err = standin.Serve("127.0.0.1:0", f.list.Handler()); err != nil {
		return nil, err
	}
	for _, zone := range zoneNames {
		if err := f.startEndpoints(zone); err != nil {
			return nil, err
		}
	}
	for _, zone := range zoneNames {
		for range instancesPerZone {
			if err := f.startNode(zone); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *fleet) startEndpoints(zone string) error {
	for i := range enginesPerZone {
		e := engine.New(modelName, engine.WithTimes(8*time.Millisecond, 2*time.Millisecond), engine.WithCapacity(32))
		srv, err := standin.Serve("127.0.0.1:0", e.Handler())
		if err != nil {
			return err
		}
		f.engines = append(f.engines, &engineServer{name: fmt.Sprintf("%s-engine-%d", zone, i+1), zone: zone, engine: e, srv: srv})
	}
	p := plain.New(2 * time.Millisecond)
	srv, err := standin.Serve("127.0.0.1:0", p)
	if err != nil {
		return err
	}
	f.plains[zone], f.plainS[zone] = p, srv
	return nil
}

// startNode starts an instance and lists it.
func (f *fleet) startNode(zone string) error {
	f.mu.Lock()
	f.serial++
	id := fmt.Sprintf("%s-%d", zone, f.serial)
	f.mu.Unlock()
	cert, key, err := f.ca.Issue(id)
	if err != nil {
		return err
	}
	set := settings.Defaults()
	set.Instance = settings.Instance{ID: id, Zone: zone}
	set.Callers.Listen, set.Operators.Listen, set.Mesh.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	set.Operators.Keys = map[string]string{"demo": declare.HashKey(operatorKey)}
	set.Mesh.CA, set.Mesh.Cert, set.Mesh.Key = string(f.ca.PEM()), string(cert), string(key)
	set.Platform.StoreURL, set.Platform.InstancesURL = f.kvSrv.URL(), f.listSrv.URL()
	set.Platform.StoreTimeout = storeTimeout
	set.Budget.Flush, set.Budget.RefreshInterval = flushEvery, journalBeat
	set.Budget.DeadTimeout, set.Budget.OrphanTimeout = deadAfter, orphanAfter

	b := newBrake(f.peerAt)
	in, err := instance.New(&set,
		instance.WithHook(b.hook), instance.WithMeshFilters(b.to, b.from), instance.WithLogger(f.log.With().Str("instance", id).Logger()),
		instance.WithPlatformTransport(&braked{b: b, platform: true, next: &http.Transport{MaxIdleConnsPerHost: 16}}),
		instance.WithEndpointTransport(&braked{b: b, next: endpoint.NewTransport()}),
		instance.WithIntervals(beatEvery, listEvery, pollEvery), instance.WithBilled(f.billed),
		instance.WithMaxHold(maxHold), instance.WithKeysOptions(once.WithSettleTime(keysTick, keysSettling)), instance.WithBudgetTimes(func(t *budget.Times) { t.Tick = 50 * time.Millisecond }))
	if err != nil {
		return eris.Wrapf(err, "starting instance %s", id)
	}
	n := &node{id: id, zone: zone, in: in, brake: b, done: make(chan struct{})}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.applyCut()
	go func() {
		defer close(n.done)
		if err := in.Run(context.Background()); err != nil {
			f.log.Error().Err(err).Str("instance", id).Msg("instance ended")
		}
	}()
	f.list.Set(external.Instance{ID: id, Zone: zone, Addr: in.Peer().Addr, State: external.StateLive})
	return nil
}

func (f *fleet) billed(c ledger.Charge) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charges[c.Request] = append(f.charges[c.Request], c)
}

func (f *fleet) all() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.nodes...)
}

// live lists the usable instances of a zone, or of all zones.
func (f *fleet) live(zone string) []*node {
	var out []*node
	for _, n := range f.all() {
		if (zone == "" || n.zone == zone) && n.usable() {
			out = append(out, n)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (f *fleet) peerAt(addr string) (mesh.Peer, bool) {
	for _, n := range f.all() {
		if p := n.in.Peer(); p.Addr == addr {
			return p, true
		}
	}
	return mesh.Peer{}, false
}

// hasCrashed reports whether an instance has crashed.
func (f *fleet) hasCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// kill crashes an instance; the platform takes it off its list.
func (f *fleet) kill(n *node) {
	f.mu.Lock()
	f.crashed = true
	f.mu.Unlock()
	n.mark(false, true)
	n.brake.kill()
	n.in.Kill()
	<-n.done
	f.list.Remove(n.id)
}

// stop ends an instance as planned.
func (f *fleet) stop(n *node) error {
	n.mark(true, false)
	f.list.Set(external.Instance{ID: n.id, Zone: n.zone, Addr: n.in.Peer().Addr, State: external.StateLeaving})
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	err := n.in.Stop(ctx)
	<-n.done
	n.mark(false, true)
	f.list.Remove(n.id)
	return err
}

// setZoneCut cuts or heals the links between the zones.
func (f *fleet) setZoneCut(cut bool) {
	f.mu.Lock()
	f.zoneCut = cut
	f.mu.Unlock()
	f.applyCut()
}

func (f *fleet) applyCut() {
	f.mu.Lock()
	cut := f.zoneCut
	f.mu.Unlock()
	for _, n := range f.all() {
		zone := n.zone
		n.brake.setCutPeer(func(p mesh.Peer) bool { return cut && p.Zone != zone })
	}
}

func (f *fleet) close() {
	for _, n := range f.all() {
		if n.usable() || !isClosed(n.done) {
			n.brake.kill()
			n.in.Kill()
			<-n.done
		}
	}
	for _, e := range f.engines {
		_ = e.srv.Close()
	}
	for _, s := range f.plainS {
		_ = s.Close()
	}
	_ = f.listSrv.Close()
	f.kv.Close()
	_ = f.kvSrv.Close()
}

func isClosed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
