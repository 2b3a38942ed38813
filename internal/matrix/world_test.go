package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/rollout"
	"github.com/ledgemount/ledgemount/internal/standin/clock"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/inproc"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
)

const (
	testBudget   = "budget"
	testCustomer = "customer"
	testKey      = "secret"
	testModel    = "drafts"
	deposit      = int64(100_000)
	storeHost    = "store"
)

var errCrashed = errors.New("the instance has crashed")

// world is a small fleet on fake wires: two zones of two instances, one engine and one plain service in each.
type world struct {
	t       *testing.T
	clock   *clock.Clock
	net     *meshtest.Net
	http    *inproc.Transport
	kv      *kv.Server
	nodes   []*node
	engines map[string]*engine.Engine
	plains  map[string]*plain.Service

	key string // the caller's idempotency key
	// wrap and wrapStore plant bugs.
	wrap      func(mesh.Caller) mesh.Caller
	wrapStore func(http.RoundTripper) http.RoundTripper

	mu     sync.Mutex
	lag    bool // crashed and frozen instances still look alive
	strike func(n *node, s step.Step)
}

var testTimes = budget.Times{
	Tick: time.Millisecond, Flush: 0, RefreshInterval: time.Second, Horizon: time.Minute, Idle: time.Hour, OrphanTimeout: 10 * time.Second,
	DeadTimeout: 4 * time.Second, DrawBackoff: 10 * time.Millisecond, DoneRetention: time.Hour,
}

func newWorld(t *testing.T) *world { return newWorldWith(t, func(*world) {}) }

// newWorldWith makes a world after opt has changed its wiring.
func newWorldWith(t *testing.T, opt func(*world)) *world {
	w := &world{
		t: t, clock: clock.New(), net: meshtest.New(), http: inproc.New(), kv: kv.New(kv.WithLost(1)),
		engines: make(map[string]*engine.Engine), plains: make(map[string]*plain.Service),
		key:       "the-key",
		strike:    func(*node, step.Step) {},
		wrap:      func(c mesh.Caller) mesh.Caller { return c },
		wrapStore: func(rt http.RoundTripper) http.RoundTripper { return rt },
	}
	opt(w)
	w.http.Handle(storeHost, w.kv.Handler())
	t.Cleanup(w.close)
	doc := &declare.Document{Version: 1, Fences: declare.Fences{}, Decl: w.declarations()}
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.store().Put(t.Context(), declare.Key, data, 0, 0); err != nil {
		t.Fatal(err)
	}
	w.deposit()
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		w.nodes = append(w.nodes, w.newNode(id, "zone-"+id[:1]))
	}
	for _, n := range w.nodes {
		if err := n.feed.Read(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	w.warm(t.Context())
	return w
}

// replace starts an instance in every zone that has none left, as the platform does.
func (w *world) replace(ctx context.Context) {
	for _, zone := range []string{"zone-a", "zone-b"} {
		if w.anyIn(zone) {
			continue
		}
		n := w.newNode(zone[len("zone-"):]+"9", zone)
		if err := n.feed.Read(ctx); err != nil {
			w.t.Error(err)
		}
		w.nodes = append(w.nodes, n)
	}
	w.warm(ctx)
}

func (w *world) anyIn(zone string) bool {
	for _, n := range w.nodes {
		if n.peer.Zone == zone && !n.isDead() {
			return true
		}
	}
	return false
}

// lastCalls is more than the slowest call takes: the calls that are under way when a cell ends come to their own end.
const lastCalls = 10 * time.Second

func (w *world) close() {
	for _, n := range w.nodes {
		n.crash()
	}
	w.kv.Close()
	time.Sleep(lastCalls)
}

func (w *world) store() external.Store {
	return etcdstore.New("http://"+storeHost, etcdstore.WithTransport(w.http))
}

func (w *world) declarations() declare.Declarations {
	d := declare.Declarations{
		Zones:     map[string]declare.Zone{"zone-a": {Region: "r"}, "zone-b": {Region: "r"}},
		Endpoints: map[string]declare.Endpoint{},
		Pools: map[string]declare.Pool{
			"drafts": {Kind: declare.KindEngine, Model: testModel, Spill: true},
			"portal": {Kind: declare.KindPlain, Spill: true},
		},
		Classes: map[string]declare.Class{
			"c": {Priority: 1, DeadlineMS: 60_000, FirstTokenMS: 1000, BetweenTokensMS: 1000, Objective: 0.9},
		},
		Customers: map[string]declare.Customer{testCustomer: {
			Budget: testBudget, Keys: map[string]declare.KeyRef{"k": {Hash: declare.HashKey(testKey), Class: "c"}},
		}},
		Routes: map[string]declare.Route{"pay": {Path: "/pay", Pool: "portal", Tokens: 40}},
	}
	for _, zone := range []string{"zone-a", "zone-b"} {
		e := engine.New(testModel, engine.WithTimes(0, 200*time.Microsecond))
		p := plain.New(0)
		w.engines[zone], w.plains[zone] = e, p
		w.http.Handle("engine."+zone, e.Handler())
		w.http.Handle("plain."+zone, p)
		d.Endpoints["engine-"+zone] = declare.Endpoint{
			Zone: zone, URL: "http://engine." + zone, Pool: "drafts", State: declare.StateActive, Capacity: 8, ChecksFence: true,
		}
		d.Endpoints["plain-"+zone] = declare.Endpoint{
			Zone: zone, URL: "http://plain." + zone, Pool: "portal", State: declare.StateActive, Capacity: 8,
		}
	}
	return d
}

func (w *world) deposit() {
	var page budget.Page
	row := &budget.Row{Customer: testCustomer}
	if err := row.Deposit("opening", deposit); err != nil {
		w.t.Fatal(err)
	}
	page.Put(testBudget, row)
	data, err := page.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.store().Put(w.t.Context(), budget.PageKey(budget.PageOf(testBudget)), data, 0, 0); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) newNode(id, zone string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{w: w, peer: mesh.Peer{ID: id, Zone: zone, Addr: id, Incarnation: "x"}, cancel: cancel}
	router := mesh.NewRouter()
	caller := w.wrap(&gatedCaller{n: n, next: w.net.Join(n.peer, router)})
	m := members{n}
	store := etcdstore.New("http://"+storeHost, etcdstore.WithTransport(w.wrapStore(gatedHTTP{n})), etcdstore.WithTimeout(time.Second))
	n.feed = rollout.NewFeed(store, m, caller, router)
	tg := targets.New(zone, targets.WithSeed(1), targets.WithClock(w.clock.Now))
	n.feed.OnChange(tg.SetDocument)
	driver := endpoint.NewDriverWith(gatedHTTP{n})
	stopper := endpoint.NewStopper(driver, tg)
	n.home = budget.NewHome(store, m, caller, router, stopper, budget.WithTimes(testTimes), budget.WithClock(w.clock.Now), budget.WithHook(n.hook),
		budget.WithKeyCheck(func(ctx context.Context, customer, request string, place budget.Place, tokens int64) (bill, sure bool) {
			return n.keys.BillOrphan(ctx, customer, request, place, tokens)
		}))
	n.client = budget.NewClient(store, m, caller, router, budget.WithClientClock(w.clock.Now))
	zones := func(string) []string { return []string{"zone-a", "zone-b"} }
	n.keys = once.NewKeys(m, caller, router, zones, once.WithKeysClock(w.clock.Now))
	n.gateway = gateway.New(gateway.Deps{
		Feed: n.feed, Members: m, Caller: caller, Router: router, Targets: tg, Budgets: n.client, Keys: n.keys,
		Claims: once.NewClaims(store, n.peer.IncarnationID(), w.clock.Now), Driver: driver, Stopper: stopper,
	}, gateway.WithClock(w.clock.Now), gateway.WithHook(n.hook), gateway.WithKill(ctx), gateway.WithProber(w.http),
		gateway.WithLogger(zerolog.New(zerolog.SyncWriter(&n.log)).Level(zerolog.WarnLevel)))
	n.feed.OnChange(n.gateway.SetDocument)
	n.planner = intent.New(store, n.feed, m, caller, router, tg.InFlight, intent.WithHook(n.hook))
	w.http.Handle(n.peer.Addr, n.gateway.Handler())
	return n
}

func (w *world) node(id string) *node {
	for _, n := range w.nodes {
		if n.peer.ID == id {
			return n
		}
	}
	w.t.Fatalf("no node %s", id)
	return nil
}

func (w *world) reached(n *node, s step.Step) {
	w.mu.Lock()
	f := w.strike
	w.mu.Unlock()
	f(n, s)
}

func (w *world) setStrike(f func(n *node, s step.Step)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strike = f
}

func (w *world) looksAlive(n *node) bool {
	w.mu.Lock()
	lag := w.lag
	w.mu.Unlock()
	return lag || n.awake()
}

func (w *world) setLag(lag bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lag = lag
}

const (
	tickPatience = 20 * time.Millisecond
	quietLimit   = 2 * time.Second
)

// pump lets every awake instance do what is due. One that freezes in the middle of it is left behind.
func (w *world) pump(ctx context.Context) {
	for _, n := range w.nodes {
		done := n.tick(ctx)
		select {
		case <-done:
		case <-time.After(tickPatience):
		}
	}
}

// tick does what is due in the background, unless it is still at it.
func (n *node) tick(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	if !n.awake() || !n.ticking.TryLock() {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		defer n.ticking.Unlock()
		n.keys.Tick(ctx)
		n.client.Tick(ctx)
		n.home.Tick(ctx)
		n.gateway.Tick(ctx)
	}()
	return done
}

// quiesce moves the clock and pumps until nothing is open any more, or until it gives up.
func (w *world) quiesce(ctx context.Context) {
	const rounds = 60
	giveUp := time.Now().Add(quietLimit)
	for i := 0; i < rounds || time.Now().Before(giveUp); i++ {
		if i < rounds {
			w.clock.Advance(time.Second)
		}
		w.pump(ctx)
		time.Sleep(time.Millisecond)
		if w.quiet(ctx) {
			return
		}
	}
}

// elapse lets seconds pass.
func (w *world) elapse(ctx context.Context, seconds int) {
	for range seconds {
		w.clock.Advance(time.Second)
		w.pump(ctx)
	}
}

// warm lets the instances find each other: time passes, so that they trust what they know.
func (w *world) warm(ctx context.Context) {
	const rounds = 8
	for range rounds {
		w.clock.Advance(time.Second)
		for _, n := range w.nodes {
			n.keys.Tick(ctx)
		}
	}
}

func (w *world) quiet(ctx context.Context) bool {
	holders := make(map[string]bool)
	for _, n := range w.nodes {
		if n.isDead() {
			continue
		}
		holders[n.home.Holder()] = true
		if n.client.Open() > 0 || n.home.OpenCount() > 0 {
			return false
		}
	}
	v, err := budget.Inspect(ctx, w.store(), testBudget)
	if err != nil {
		return false
	}
	for _, h := range v.Holders {
		if !holders[h.Holder] {
			return false
		}
	}
	return true
}
