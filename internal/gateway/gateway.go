// Package gateway serves callers: it authenticates, admits, reserves, dispatches, streams and settles requests.
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
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ServiceName is the gateway's name in the kernel.
const ServiceName = "gateway"

const (
	longestStream = 15 * time.Minute
	tickEvery     = 500 * time.Millisecond
)

// Feed is what the gateway uses of the configuration feed.
type Feed interface {
	Document() *declare.Document
	Version() int64
}

// Outcome is what the service-level report is notified of a request.
type Outcome struct {
	Class      string
	Customer   string
	Budget     string
	Verdict    verdict.Verdict
	Code       verdict.Code // empty: answered whole
	Tokens     int64
	FirstToken time.Duration
	SlowestGap time.Duration
	Attempts   int
}

// Deps are the services that the gateway needs.
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

// Gateway is the callers' side of an instance.
type Gateway struct {
	feed     Feed
	members  once.Members
	caller   mesh.Caller
	targets  *targets.Targets
	suspects *quarantine.Tracker
	looker   Prober
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
	killed   context.Context //nolint:containedctx // ends every job at once

	work *tracker // requests and what they leave behind

	mu       sync.Mutex
	gates    map[string]*admit.Gate
	jobs     map[string]*job // keyed requests by id
	ended    map[string]time.Time
	deferred []deferred
	auth     *authTable
}

// Option changes a Gateway.
type Option func(*Gateway)

// WithClock replaces the clock.
func WithClock(now func() time.Time) Option { return func(g *Gateway) { g.now = now } }

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(g *Gateway) { g.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithScope sets where metrics are made.
func WithScope(s tally.Scope) Option { return func(g *Gateway) { g.metrics = newMetrics(s) } }

// WithOutcomes sets the receiver of requests' outcomes.
func WithOutcomes(f func(Outcome)) Option { return func(g *Gateway) { g.outcomes = f } }

// WithMaxBody limits callers' bodies, in bytes.
func WithMaxBody(n int64) Option { return func(g *Gateway) { g.maxBody = n } }

// WithKill sets a context whose end ends every job at once.
func WithKill(ctx context.Context) Option { return func(g *Gateway) { g.killed = ctx } }

// WithProber replaces what finds out whether an endpoint's process has ended.
func WithProber(l Prober) Option { return func(g *Gateway) { g.looker = l } }

const defaultMaxBody = 4 << 20

// New makes a gateway and registers its message.
func New(d Deps, opts ...Option) *Gateway {
	g := &Gateway{
		feed: d.Feed, members: d.Members, caller: d.Caller, targets: d.Targets, budgets: d.Budgets,
		keys: d.Keys, claims: d.Claims, driver: d.Driver, stopper: d.Stopper,
		retries:  retry.NewBudgets(),
		looker:   upstream.New(upstream.WithMaxIdle(0)),
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
	g.suspects = quarantine.New(quarantine.WithNow(g.now), quarantine.OnChange(g.quarantined))
	mesh.HandleStream(d.Router, KindAttach, g.serveAttach)
	return g
}

// Name implements kernel.Service.
func (g *Gateway) Name() string { return ServiceName }

// Run implements kernel.Service: it forgets old answers, settles what was deferred and wakes the gates.
func (g *Gateway) Run(ctx context.Context) error {
	kernel.Every(ctx, tickEvery, g.Tick)
	return g.work.wait(context.WithoutCancel(ctx))
}

// Tick does what is due. Tests call it directly.
func (g *Gateway) Tick(ctx context.Context) {
	g.forgetOld()
	g.settleDeferred(ctx)
	g.wakeGates()
}

// SetDocument takes a newer configuration.
func (g *Gateway) SetDocument(doc *declare.Document) {
	t := newAuthTable(doc)
	g.mu.Lock()
	if t.version > g.auth.version || g.auth.version == 0 {
		g.auth = t
	}
	g.mu.Unlock()
	g.wakeGates()
}

// Leave makes the gateway refuse new requests as not run.
func (g *Gateway) Leave() {
	g.work.close()
}

// Leaving reports whether the gateway refuses new requests.
func (g *Gateway) Leaving() bool { return g.work.isClosed() }

// Drain waits until every job has ended and every deferred settlement is made, or ctx ends.
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

// adoptLocal records a keyed job, or returns the one that is there already.
func (g *Gateway) adoptLocal(j *job) (*job, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old, ok := g.jobs[j.id]; ok {
		return old, true
	}
	g.jobs[j.id] = j
	return j, false
}

func (g *Gateway) find(id string) (*job, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	j, ok := g.jobs[id]
	return j, ok
}

func (g *Gateway) forget(id string, j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.jobs[id] == j {
		delete(g.jobs, id)
		delete(g.ended, id)
	}
}

func (g *Gateway) forgetOld() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, at := range g.ended {
		if now.Sub(at) > transcriptLife {
			delete(g.jobs, id)
			delete(g.ended, id)
		}
	}
}

// record tells the logs, the metrics and the report how a request ended.
func (g *Gateway) record(j *job, err error, used int64) {
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

// requestIDBytes is how much of the hash names a keyed request: enough that no two ever meet.
const requestIDBytes = 16

// requestID names a keyed request within its customer.
func requestID(customer, key string) string {
	sum := sha256.Sum256([]byte(strconv.Itoa(len(customer)) + ":" + customer + key))
	return "k-" + hex.EncodeToString(sum[:requestIDBytes])
}
