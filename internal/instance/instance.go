// Package instance wires the services of one instance.
package instance

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/burn"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/external/httplist"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/observe"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/operator"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/rollout"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
)

// Instance is one process's worth of services.
type Instance struct {
	set  *settings.Settings
	log  zerolog.Logger
	hook step.Hook

	kernel    *kernel.Kernel
	router    *mesh.Router
	store     *external.Meter
	transport *mesh.Transport
	view      *member.View
	feed      *rollout.Feed
	home      *budget.Home
	client    *budget.Client
	keys      *once.Keys
	targets   *targets.Targets
	driver    *endpoint.Driver
	gateway   *gateway.Gateway
	planner   *intent.Service
	cache     *rollout.Cache
	recorder  *burn.Recorder
	metrics   *observe.Metrics
	callers   *server
	operators *server

	killed context.Context //nolint:containedctx // ends everything at once
	kill   context.CancelFunc
	opts   options
}

type options struct {
	billed    budget.BilledFunc
	outcomes  func(gateway.Outcome)
	meshTo    func(addr string) bool
	meshFrom  mesh.Gate
	transport http.RoundTripper
	endpoints http.RoundTripper
	times     func(*budget.Times)
	beat      time.Duration
	list      time.Duration
	poll      time.Duration
	policy    budget.SizePolicy
	maxHold   time.Duration
	keys      []once.KeysOption
}

// Option changes an Instance.
type Option func(*Instance)

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(in *Instance) { in.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(in *Instance) { in.log = log } }

// WithBilled sets the receiver of durable charges.
func WithBilled(b budget.BilledFunc) Option { return func(in *Instance) { in.opts.billed = b } }

// WithGate cuts links to and from other instances.
func WithGate(to func(addr string) bool, from mesh.Gate) Option {
	return func(in *Instance) { in.opts.meshTo, in.opts.meshFrom = to, from }
}

// WithPlatformTransport replaces the HTTP transport to the platform.
func WithPlatformTransport(t http.RoundTripper) Option {
	return func(in *Instance) { in.opts.transport = t }
}

// WithEndpointTransport replaces the HTTP transport to endpoints.
func WithEndpointTransport(t http.RoundTripper) Option {
	return func(in *Instance) { in.opts.endpoints = t }
}

// WithIntervals sets the membership's intervals and the configuration's backstop.
func WithIntervals(beat, list, poll time.Duration) Option {
	return func(in *Instance) { in.opts.beat, in.opts.list, in.opts.poll = beat, list, poll }
}

// WithSizePolicy replaces the policy that sizes grants.
func WithSizePolicy(p budget.SizePolicy) Option { return func(in *Instance) { in.opts.policy = p } }

// WithBudgetTimes changes the escrow's intervals.
func WithBudgetTimes(f func(*budget.Times)) Option { return func(in *Instance) { in.opts.times = f } }

// WithMaxHold changes how long a reservation may be used.
func WithMaxHold(d time.Duration) Option { return func(in *Instance) { in.opts.maxHold = d } }

// WithKeysOptions changes the registry of idempotency keys.
func WithKeysOptions(opts ...once.KeysOption) Option {
	return func(in *Instance) { in.opts.keys = opts }
}

// New builds an instance; it listens already, but runs only with Run.
func New(set *settings.Settings, opts ...Option) (*Instance, error) {
	in := &Instance{set: set, log: zerolog.Nop(), hook: step.None, kernel: kernel.New(), router: mesh.NewRouter()}
	in.opts = options{
		billed:   func(ledger.Charge) {},
		meshTo:   func(string) bool { return true },
		meshFrom: func(mesh.Peer) bool { return true },
		times:    func(*budget.Times) {},
		beat:     500 * time.Millisecond,
		list:     2 * time.Second,
		poll:     30 * time.Second,
		maxHold:  budget.DefaultMaxHold,
	}
	for _, opt := range opts {
		opt(in)
	}
	in.killed, in.kill = context.WithCancel(context.Background())
	for _, build := range in.steps() {
		if err := build(); err != nil {
			in.closeEarly()
			return nil, err
		}
	}
	return in, in.kernel.Register(in.services()...)
}

// steps are the parts of an instance in the order in which they are built.
func (in *Instance) steps() []func() error {
	return []func() error{
		in.buildPlatform,
		in.buildMesh,
		in.buildMembers,
		in.buildBudget,
		in.buildRouting,
		in.buildGateway,
		in.buildOperators,
		in.listen,
	}
}

// services are the parts that run, in the order in which they start.
func (in *Instance) services() []kernel.Service {
	return []kernel.Service{
		in.transport,
		in.view,
		in.feed,
		in.home,
		in.client,
		in.keys,
		rollout.NewOrders(in.feed, in.view, in.driver, external.NewRateWeights(in.set.Platform.WeightLoads), in.hook, in.log),
		in.cache,
		in.planner,
		in.gateway,
		in.callers,
		in.operators,
	}
}

func (in *Instance) buildPlatform() error {
	var opts []etcdstore.Option
	opts = append(opts, etcdstore.WithTimeout(in.set.Platform.StoreTimeout))
	if in.opts.transport != nil {
		opts = append(opts, etcdstore.WithTransport(in.opts.transport))
	}
	in.store = external.NewMeter(etcdstore.New(in.set.Platform.StoreURL, opts...))
	in.metrics = observe.NewMetrics(in.set.Instance.ID, in.set.Instance.Zone)
	in.recorder = burn.NewRecorder(time.Now)
	in.driver = endpoint.NewDriver()
	if in.opts.endpoints != nil {
		in.driver = endpoint.NewDriverWith(in.opts.endpoints)
	}
	return nil
}

func (in *Instance) buildMesh() error {
	ca, cert, key, err := in.set.Mesh.PEMs()
	if err != nil {
		return err
	}
	cfg, err := mesh.TLS(ca, cert, key)
	if err != nil {
		return err
	}
	self := mesh.Peer{
		ID: in.set.Instance.ID, Zone: in.set.Instance.Zone, Addr: in.set.Mesh.Listen, Inc: strings.ToLower(ulid.Make().String()),
	}
	in.transport, err = mesh.Listen(self, cfg, in.router, mesh.WithGate(in.opts.meshTo, in.opts.meshFrom), mesh.WithLogger(in.log))
	return eris.Wrap(err, "starting the mesh")
}

func (in *Instance) buildMembers() error {
	list := httplist.New(in.set.Platform.InstancesURL, in.opts.transport)
	in.view = member.New(in.transport.Self(), list, in.transport, in.router,
		member.WithIntervals(in.opts.beat, in.opts.list),
		member.WithConfigVersion(func() int64 { return in.feed.Version() }),
		member.WithInFlight(func() map[string]int { return in.targets.InFlight() }),
		member.WithLogger(in.log))
	in.feed = rollout.NewFeed(in.store, in.view, in.transport, in.router, rollout.WithPoll(in.opts.poll), rollout.WithFeedLogger(in.log))
	in.view.OnBeat(in.feed.HandleBeat)
	heard, silenced := pool.LogNotices(in.log)
	in.targets = targets.New(in.set.Instance.Zone, targets.WithZoneView(in.view.InFlight, func() int { return len(in.view.Zone()) }),
		targets.OnNotice(heard), targets.OnNoticeEnded(silenced))
	in.feed.OnChange(in.targets.SetDocument)
	in.cache = rollout.NewCache(in.feed, in.view, in.transport, in.router, in.driver, in.targets)
	in.feed.OnChange(in.recorder.SetDocument)
	return nil
}

func (in *Instance) buildBudget() error {
	times := budget.DefaultTimes()
	b := in.set.Budget
	times.Flush, times.RefreshInterval, times.Horizon = b.Flush, b.Beat, b.Horizon
	times.Idle, times.DeadTimeout, times.OrphanTimeout = b.Idle, b.Dead, b.Orphan
	in.opts.times(&times)
	opts := []budget.HomeOption{
		budget.WithTimes(times), budget.WithHook(in.hook), budget.WithLogger(in.log), budget.OnBilled(in.opts.billed),
		budget.WithKeyCheck(func(ctx context.Context, customer, request string, place budget.Place, tokens int64) (bill, sure bool) {
			return in.keys.BillOrphan(ctx, customer, request, place, tokens)
		}),
	}
	if in.opts.policy != nil {
		opts = append(opts, budget.WithSize(in.opts.policy))
	}
	stopper := endpoint.NewStopper(in.driver, in.targets)
	in.home = budget.NewHome(in.store, in.view, in.transport, in.router, stopper, opts...)
	in.client = budget.NewClient(in.store, in.view, in.transport, in.router,
		budget.WithClientLogger(in.log), budget.WithMaxHold(in.opts.maxHold))
	in.feed.OnChange(func(doc *declare.Document) { in.home.SetReleases(releasesOf(doc)) })
	return nil
}

func releasesOf(doc *declare.Document) []budget.Release {
	out := make([]budget.Release, 0, len(doc.Decl.Releases))
	for _, r := range doc.Decl.Releases {
		out = append(out, budget.Release{Holder: r.Holder, Client: r.Client})
	}
	return out
}

func (in *Instance) buildRouting() error {
	in.keys = once.NewKeys(in.view, in.transport, in.router, in.keyZones, append(in.opts.keys, once.WithKeysLogger(in.log))...)
	return nil
}

// keyZones lists the zones in which a customer's keys live: those of its region if it has one, else all.
func (in *Instance) keyZones(customer string) []string {
	decl := &in.feed.Document().Decl
	region := decl.Customers[customer].Region
	var out []string
	for name, z := range decl.Zones {
		if region == "" || z.Region == region {
			out = append(out, name)
		}
	}
	return out
}

func (in *Instance) buildGateway() error {
	in.gateway = gateway.New(gateway.Deps{
		Feed: in.feed, Members: in.view, Caller: in.transport, Router: in.router, Targets: in.targets, Budgets: in.client,
		Keys: in.keys, Claims: once.NewClaims(in.store, in.view.Self().Who(), time.Now), Driver: in.driver,
		Stopper: endpoint.NewStopper(in.driver, in.targets),
	},
		gateway.WithHook(in.hook), gateway.WithLogger(in.log), gateway.WithScope(in.metrics.Scope()),
		gateway.WithOutcomes(in.outcome), gateway.WithMaxBody(in.set.Callers.MaxBodyBytes), gateway.WithKill(in.killed))
	in.feed.OnChange(in.gateway.SetDocument)
	return nil
}

func (in *Instance) outcome(o gateway.Outcome) {
	in.recorder.Record(o)
	if in.opts.outcomes != nil {
		in.opts.outcomes(o)
	}
}

func (in *Instance) buildOperators() error {
	in.planner = intent.New(in.store, in.feed, in.view, in.transport, in.router, in.targets.InFlight,
		intent.WithHook(in.hook), intent.WithLogger(in.log))
	return nil
}

func (in *Instance) listen() error {
	op := operator.New(operator.Deps{
		Keys: in.set.Operators.Keys, Feed: in.feed, Members: in.view, Caller: in.transport, Router: in.router, Planner: in.planner,
		Store: in.store, Targets: in.targets, Home: in.home, Recorder: in.recorder, Metrics: in.metrics.Handler(),
		Calls: in.store.Calls, Now: time.Now,
	})
	var err error
	in.callers, err = newServer("callers", in.set.Callers.Listen, in.set.Callers.TLS, in.gateway.Handler())
	if err != nil {
		return err
	}
	in.operators, err = newServer("operators", in.set.Operators.Listen, in.set.Operators.TLS, op.Handler())
	return err
}

func (in *Instance) closeEarly() {
	in.kill()
	if in.transport != nil {
		_ = in.transport.Close()
	}
	for _, s := range []*server{in.callers, in.operators} {
		if s != nil {
			s.kill()
		}
	}
}

// Run runs the instance until ctx ends, without a planned stop: use Stop for that.
func (in *Instance) Run(ctx context.Context) error {
	in.log.Info().Str("event", "instance_started").Str("callers", in.CallersAddr()).Str("operators", in.OperatorsAddr()).
		Str("mesh", in.Peer().Addr).Msg("instance started")
	err := in.kernel.Run(ctx)
	in.driver.Close()
	_ = in.metrics.Close()
	return err
}

// CallersAddr is the address for callers.
func (in *Instance) CallersAddr() string { return in.callers.addr() }

// OperatorsAddr is the address for operators.
func (in *Instance) OperatorsAddr() string { return in.operators.addr() }

// Peer is this instance as its peers see it.
func (in *Instance) Peer() mesh.Peer { return in.transport.Self() }

// Feed is the configuration in force.
func (in *Instance) Feed() *rollout.Feed { return in.feed }

// Home is the holder.
func (in *Instance) Home() *budget.Home { return in.home }

// View is the membership view.
func (in *Instance) View() *member.View { return in.view }

// Client is the serving side of reservations.
func (in *Instance) Client() *budget.Client { return in.client }

// Store is the metered store.
func (in *Instance) Store() *external.Meter { return in.store }

// Kernel has the instance's services by name.
func (in *Instance) Kernel() *kernel.Kernel { return in.kernel }

// Stop is a planned stop: no new requests, those in progress end, charges are flushed, escrow goes back, then the
// services end. ctx limits the wait. If the escrow cannot go back, the zone takes it over later.
func (in *Instance) Stop(ctx context.Context) error {
	in.gateway.Leave()
	in.view.Leave()
	err := in.gateway.Drain(ctx)
	if err == nil {
		err = in.home.Stop(ctx)
	}
	if err == nil {
		err = in.flushed(ctx)
	}
	if err != nil {
		in.log.Warn().Str("event", "stop_unclean").Err(err).Msg("the zone will take over what is left")
	}
	in.callers.shutdown(ctx)
	in.operators.shutdown(ctx)
	return in.kernel.Close()
}

const flushedPoll = 20 * time.Millisecond

// flushed waits until every charge of this serving instance is in the store.
func (in *Instance) flushed(ctx context.Context) error {
	for in.client.Open() > 0 {
		select {
		case <-time.After(flushedPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Kill ends the instance at once, as a crash would: nothing is flushed, connections break.
func (in *Instance) Kill() {
	in.kill()
	in.callers.kill()
	in.operators.kill()
	_ = in.transport.Close()
	_ = in.kernel.Close()
}
