// Package gateway serves callers: it authenticates, admits, reserves, dispatches, streams and settles requests.
//
// It is the chat edge of the instances of package instance. Package relay is the counterpart for the instances of
// package router, with its own types.
package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ledgemount/ledgemount/internal/admit"
	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "gateway"

const (
	maxKeyedJobDuration = 15 * time.Minute
	tickInterval        = 500 * time.Millisecond
)

// Feed provides the current configuration.
type Feed interface {
	Document() *declare.Document
	Version() int64
}

// Outcome describes how a request ended, for the service-level report.
type Outcome struct {
	Class      string
	Customer   string
	Budget     string
	Verdict    verdict.Verdict
	Code       verdict.Code // empty: the response is complete
	Tokens     int64
	FirstToken time.Duration // from the request's acceptance to the first token, or to the response of a plain service
	SlowestGap time.Duration // longest interval between two pieces of the response
	Attempts   int
}

// Deps are the services on which the gateway depends.
type Deps struct {
	Feed    Feed
	Members once.Members
	Caller  mesh.Caller
	Router  *mesh.Router
	Targets *targets.Targets
	Budgets *budget.Client
	Keys    *once.Keys
	Claims  *once.Claims
	Driver  *endpoint.Driver
	Stopper budget.Stopper
}

// Gateway serves the callers of an instance.
type Gateway struct {
	feed     Feed
	members  once.Members
	caller   mesh.Caller
	targets  *targets.Targets
	suspects *quarantine.Tracker
	prober   Prober
	budgets  *budget.Client
	keys     *once.Keys
	claims   *once.Claims
	driver   *endpoint.Driver
	stopper  budget.Stopper
	retries  *retry.Budgets

	now      func() time.Time
	hook     step.Hook
	log      zerolog.Logger
	metrics  metrics
	outcomes func(Outcome)
	maxBody  int64
	memory   *memory.Budget
	killed   context.Context //nolint:containedctx // ends all keyed jobs at once

	work *tracker // open requests and their background work

	mu       sync.Mutex
	gates    map[string]*admit.Gate
	jobs     map[string]*job      // keyed requests by ID
	ended    map[string]time.Time // when keyed requests ended, by ID
	deferred []deferred
	auth     *authTable
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.now = now } }

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(g *Gateway) { g.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithScope sets the scope in which metrics are registered.
func WithScope(s tally.Scope) Option { return func(g *Gateway) { g.metrics = newMetrics(s) } }

// WithOutcomes sets the function that receives the outcome of each request.
func WithOutcomes(f func(Outcome)) Option { return func(g *Gateway) { g.outcomes = f } }

// WithMaxBody limits the size of request bodies, in bytes.
func WithMaxBody(n int64) Option { return func(g *Gateway) { g.maxBody = n } }

// WithMemory sets the memory that the bodies of open requests may hold together. By default, it is unlimited.
func WithMemory(b *memory.Budget) Option { return func(g *Gateway) { g.memory = b } }

// WithKill sets a context. When it ends, all keyed jobs are cancelled at once; the other jobs end with their callers'
// connections.
func WithKill(ctx context.Context) Option { return func(g *Gateway) { g.killed = ctx } }

// WithProber replaces the Prober, which detects that an endpoint's process has exited.
func WithProber(p Prober) Option { return func(g *Gateway) { g.prober = p } }

const defaultMaxBody = 4 << 20

// New returns a Gateway and registers the handler of KindAttach.
func New(d Deps, opts ...Option) *Gateway {
	g := &Gateway{
		feed: d.Feed, members: d.Members, caller: d.Caller, targets: d.Targets, budgets: d.Budgets,
		keys: d.Keys, claims: d.Claims, driver: d.Driver, stopper: d.Stopper,
		retries:  retry.NewBudgets(),
		prober:   upstream.New(upstream.WithMaxIdle(0)),
		now:      time.Now,
		hook:     step.None,
		log:      zerolog.Nop(),
		metrics:  newMetrics(tally.NoopScope),
		outcomes: func(Outcome) {},
		maxBody:  defaultMaxBody,
		killed:   context.Background(),
		gates:    make(map[string]*admit.Gate),
		jobs:     make(map[string]*job),
		ended:    make(map[string]time.Time),
		auth:     &authTable{},
		work:     newTracker(),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.suspects = quarantine.New(quarantine.WithNow(g.now), quarantine.OnChange(g.onQuarantineChange))
	mesh.HandleStream(d.Router, KindAttach, g.serveAttach)
	return g
}

// Name implements kernel.Service.
func (g *Gateway) Name() string { return ServiceName }

// Run implements kernel.Service. It calls Tick periodically until ctx ends, then waits for all work to end.
func (g *Gateway) Run(ctx context.Context) error {
	kernel.Every(ctx, tickInterval, g.Tick)
	return g.work.wait(context.WithoutCancel(ctx))
}

// Tick evicts expired jobs, retries deferred settlements and wakes the admission gates. Tests call it directly.
func (g *Gateway) Tick(ctx context.Context) {
	g.evictExpired()
	g.settleDeferred(ctx)
	g.wakeGates()
}

// SetDocument applies a configuration, unless it is older than the current one.
func (g *Gateway) SetDocument(doc *declare.Document) {
	t := newAuthTable(doc)
	g.mu.Lock()
	if t.version > g.auth.version || g.auth.version == 0 {
		g.auth = t
	}
	g.mu.Unlock()
	g.wakeGates()
}

// Leave makes the gateway refuse new requests. They count as not run.
func (g *Gateway) Leave() {
	g.work.close()
}

// Leaving reports whether the gateway refuses new requests.
func (g *Gateway) Leaving() bool { return g.work.isClosed() }

// Drain waits until all work in progress has ended, or ctx ends.
func (g *Gateway) Drain(ctx context.Context) error { return g.work.wait(ctx) }

func (g *Gateway) gate(pool string) *admit.Gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gt, ok := g.gates[pool]
	if !ok {
		gt = admit.New(func() int { return g.targets.Capacity(pool) }, g.now)
		g.gates[pool] = gt
	}
	return gt
}

func (g *Gateway) wakeGates() {
	g.mu.Lock()
	gates := make([]*admit.Gate, 0, len(g.gates))
	for _, gt := range g.gates {
		gates = append(gates, gt)
	}
	g.mu.Unlock()
	for _, gt := range gates {
		gt.Wake()
	}
}

// loadOrStore stores a keyed job, unless there is one with the same ID. It returns the job that is stored, and whether
// it was there before.
func (g *Gateway) loadOrStore(j *job) (*job, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if existing, ok := g.jobs[j.id]; ok {
		return existing, true
	}
	g.jobs[j.id] = j
	return j, false
}

func (g *Gateway) findJob(id string) (*job, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j, ok := g.jobs[id]
	return j, ok
}

func (g *Gateway) removeJob(id string, j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs[id] == j {
		delete(g.jobs, id)
		delete(g.ended, id)
	}
}

func (g *Gateway) evictExpired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, at := range g.ended {
		if now.Sub(at) > transcriptTTL {
			delete(g.jobs, id)
			delete(g.ended, id)
		}
	}
}

// recordOutcome writes the outcome of a request to the log, the metrics and the service-level report.
func (g *Gateway) recordOutcome(j *job, err error, used int64) {
	o := Outcome{
		Class: j.class, Customer: j.customer, Budget: j.budget, Verdict: verdict.Ran, Tokens: used,
		FirstToken: j.firstToken, SlowestGap: j.slowestGap, Attempts: j.attempts,
	}
	ev := g.log.Debug()
	if err != nil {
		e := verdict.From(err)
		o.Verdict, o.Code = e.Verdict(), e.Code()
		ev = g.log.Info().Str("code", string(o.Code)).Err(err)
	}
	ev.Str("event", "request_ended").Str("request", j.id).Str("customer", j.customer).Str("verdict", o.Verdict.String()).
		Int64("tokens", used).Int("attempts", j.attempts).Dur("first_token", j.firstToken).Msg("request ended")
	g.metrics.ended(o)
	g.outcomes(o)
	if j.keyed() {
		g.mu.Lock()
		g.ended[j.id] = g.now()
		g.mu.Unlock()
	}
}

// requestIDBytes is the length of the hash prefix in a keyed request's ID. It is long enough that collisions are
// practically impossible.
const requestIDBytes = 16

// requestID returns the ID of a keyed request. Equal keys of different customers give different IDs.
func requestID(customer, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(customer)) + ":" + customer + key))
	return "k-" + hex.EncodeToString(sum[:requestIDBytes])
}
