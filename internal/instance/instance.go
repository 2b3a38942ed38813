// Package instance builds and runs the services of one instance.
package instance

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
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
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/observe"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/operator"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/reach"
	"github.com/ledgemount/ledgemount/internal/rollout"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// Instance is the set of services that one process runs.
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
	holder    *budget.Holder
	client    *budget.Client
	keys      *once.Keys
	targets   *targets.Targets
	driver    *endpoint.Driver
	dialer    *reach.Dialer  // nil: the transport to endpoints is not the instance's own
	paths     *reach.Monitor // nil: the same
	gateway   *gateway.Gateway
	planner   *intent.Service
	cache     *rollout.Cache
	recorder  *burn.Recorder
	metrics   *observe.Metrics
	callers   *server
	operators *server

	killCtx context.Context //nolint:containedctx // canceled by Kill
	kill    context.CancelFunc
	opts    options
}

type options struct {
	billed       budget.BilledFunc
	outcomes     func(gateway.Outcome)
	meshTo       func(addr string) bool
	meshFrom     mesh.PeerFilter
	transport    http.RoundTripper
	endpoints    http.RoundTripper
	dial         upstream.DialFunc
	adjustTimes  func(*budget.Times)
	heartbeat    time.Duration
	listInterval time.Duration
	configPoll   time.Duration
	policy       budget.SizePolicy
	maxHold      time.Duration
	keys         []once.KeysOption
}

// Option configures an Instance.
type Option func(*Instance)

// WithHook sets the hook that is called at each step.
func WithHook(h step.Hook) Option { return func(in *Instance) { in.hook = h } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(in *Instance) { in.log = log } }

// WithBilled sets the function that is called for each charge that has become durable.
func WithBilled(b budget.BilledFunc) Option { return func(in *Instance) { in.opts.billed = b } }

// WithMeshFilters sets filters that block connections to and from other instances.
func WithMeshFilters(to func(addr string) bool, from mesh.PeerFilter) Option {
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

// WithEndpointDial replaces the function that establishes connections to endpoints.
func WithEndpointDial(f upstream.DialFunc) Option {
	return func(in *Instance) { in.opts.dial = f }
}

// WithIntervals sets the intervals of heartbeats, of reading the platform's list of instances, and of polling the store for
// the configuration in case updates are missed.
func WithIntervals(heartbeat, listInterval, configPoll time.Duration) Option {
	return func(in *Instance) {
		in.opts.heartbeat, in.opts.listInterval, in.opts.configPoll = heartbeat, listInterval, configPoll
	}
}

// WithSizePolicy sets the policy that determines the size of grants.
func WithSizePolicy(p budget.SizePolicy) Option { return func(in *Instance) { in.opts.policy = p } }

// WithBudgetTimes sets a function that changes the intervals of the holder.
func WithBudgetTimes(f func(*budget.Times)) Option {
	return func(in *Instance) { in.opts.adjustTimes = f }
}

// WithMaxHold sets how long a reservation may be used.
func WithMaxHold(d time.Duration) Option { return func(in *Instance) { in.opts.maxHold = d } }

// WithKeysOptions sets options of the registry of idempotency keys.
func WithKeysOptions(opts ...once.KeysOption) Option {
	return func(in *Instance) { in.opts.keys = opts }
}

// New builds an instance. Its listeners are open when New returns, but it serves requests only after Run is called.
func New(set *settings.Settings, opts ...Option) (*Instance, error) {
	in := &Instance{set: set, log: zerolog.Nop(), hook: step.None, kernel: kernel.New(), router: mesh.NewRouter()}
	in.opts = options{
		billed:       func(ledger.Charge) {},
		meshTo:       func(string) bool { return true },
		meshFrom:     func(mesh.Peer) bool { return true },
		adjustTimes:  func(*budget.Times) {},
		heartbeat:    500 * time.Millisecond,
		listInterval: 2 * time.Second,
		configPoll:   30 * time.Second,
		maxHold:      budget.DefaultMaxHold,
	}
	for _, opt := range opts {
		opt(in)
	}
	in.killCtx, in.kill = context.WithCancel(context.Background())
	for _, build := range in.buildSteps() {
		if err := build(); err != nil {
			in.closePartial()
			return nil, err
		}
	}
	return in, in.kernel.Register(in.services()...)
}

// buildSteps returns the functions that build the parts of an instance, in the order in which New calls them.
func (in *Instance) buildSteps() []func() error {
	return []func() error{
		in.buildPlatform,
		in.buildMesh,
		in.buildMembers,
		in.buildPaths,
		in.buildBudget,
		in.buildKeys,
		in.buildGateway,
		in.buildOperators,
		in.listen,
	}
}

// services returns the services of the instance in the order in which they start.
func (in *Instance) services() []kernel.Service {
	list := []kernel.Service{in.transport, in.view, in.feed}
	if in.paths != nil {
		list = append(list, in.paths)
	}
	return append(list,
		in.holder,
		in.client,
		in.keys,
		rollout.NewOrders(in.feed, in.view, in.driver, external.NewRateWeights(in.set.Platform.WeightLoads), in.hook, in.log),
		in.cache,
		in.planner,
		in.gateway,
		in.callers,
		in.operators,
	)
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
	if in.opts.endpoints != nil {
		in.driver = endpoint.NewDriverWith(in.opts.endpoints)
	} else {
		in.driver = in.newDriver()
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
		ID: in.set.Instance.ID, Zone: in.set.Instance.Zone, Addr: in.set.Mesh.Listen, Incarnation: strings.ToLower(ulid.Make().String()),
	}
	in.transport, err = mesh.Listen(self, cfg, in.router, mesh.WithFilters(in.opts.meshTo, in.opts.meshFrom), mesh.WithLogger(in.log))
	return eris.Wrap(err, "starting the mesh")
}

func (in *Instance) buildMembers() error {
	list := httplist.New(in.set.Platform.InstancesURL, in.opts.transport)
	in.view = member.New(in.transport.Self(), list, in.transport, in.router,
		member.WithIntervals(in.opts.heartbeat, in.opts.listInterval),
		member.WithConfigVersion(func() int64 { return in.feed.Version() }),
		member.WithInFlight(func() map[string]int { return in.targets.InFlight() }),
		member.WithLogger(in.log))
	in.feed = rollout.NewFeed(in.store, in.view, in.transport, in.router, rollout.WithPoll(in.opts.configPoll), rollout.WithFeedLogger(in.log))
	in.view.OnBeat(in.feed.HandleBeat)
	onNotice, onNoticeEnded := pool.LogNotices(in.log)
	in.targets = targets.New(in.set.Instance.Zone, targets.WithZoneView(in.view.InFlight, func() int { return len(in.view.Zone()) }),
		targets.OnNotice(onNotice), targets.OnNoticeEnded(onNoticeEnded))
	in.feed.OnChange(in.targets.SetDocument)
	in.cache = rollout.NewCache(in.feed, in.view, in.transport, in.router, in.driver, in.targets)
	in.feed.OnChange(in.recorder.SetDocument)
	return nil
}

func (in *Instance) buildBudget() error {
	times := budget.DefaultTimes()
	b := in.set.Budget
	times.Flush, times.RefreshInterval, times.Horizon = b.Flush, b.RefreshInterval, b.Horizon
	times.Idle, times.DeadTimeout, times.OrphanTimeout = b.Idle, b.DeadTimeout, b.OrphanTimeout
	in.opts.adjustTimes(&times)
	opts := []budget.HolderOption{
		budget.WithTimes(times), budget.WithHook(in.hook), budget.WithLogger(in.log), budget.OnBilled(in.opts.billed),
		budget.WithKeyCheck(func(ctx context.Context, customer, request string, place budget.Place, tokens int64) (bill, sure bool) {
			return in.keys.BillOrphan(ctx, customer, request, place, tokens)
		}),
	}
	if in.opts.policy != nil {
		opts = append(opts, budget.WithSize(in.opts.policy))
	}
	stopper := endpoint.NewStopper(in.driver, in.targets)
	in.holder = budget.NewHolder(in.store, in.view, in.transport, in.router, stopper, opts...)
	in.client = budget.NewClient(in.store, in.view, in.transport, in.router,
		budget.WithClientLogger(in.log), budget.WithMaxHold(in.opts.maxHold))
	in.feed.OnChange(func(doc *declare.Document) { in.holder.SetReleases(releasesOf(doc)) })
	return nil
}

// releasesOf returns the declared releases in the form that the holder uses.
func releasesOf(doc *declare.Document) []budget.Release {
	out := make([]budget.Release, 0, len(doc.Decl.Releases))
	for _, r := range doc.Decl.Releases {
		out = append(out, budget.Release{Holder: r.Holder, Client: r.Client})
	}
	return out
}

func (in *Instance) buildKeys() error {
	in.keys = once.NewKeys(in.view, in.transport, in.router, in.keyZones, append(in.opts.keys, once.WithKeysLogger(in.log), once.WithReservations(in.holder.KeyedReservations))...)
	return nil
}

// keyZones returns the zones that store a customer's idempotency keys: those of its region if it has one, otherwise all.
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
		Keys: in.keys, Claims: once.NewClaims(in.store, in.view.Self().IncarnationID(), time.Now), Driver: in.driver,
		Stopper: endpoint.NewStopper(in.driver, in.targets),
	},
		gateway.WithHook(in.hook), gateway.WithLogger(in.log), gateway.WithScope(in.metrics.Scope()),
		gateway.WithOutcomes(in.recordOutcome), gateway.WithMaxBody(in.set.Callers.MaxBodyBytes),
		gateway.WithMemory(memory.NewBudget(memory.ForRequests(in.set.Instance.MemoryMB))), gateway.WithKill(in.killCtx))
	in.feed.OnChange(in.gateway.SetDocument)
	return nil
}

// recordOutcome records the outcome of a request.
func (in *Instance) recordOutcome(o gateway.Outcome) {
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
		Store: in.store, Targets: in.targets, Holder: in.holder, Recorder: in.recorder, Metrics: in.metrics.Handler(),
		Calls: in.store.Calls, Now: time.Now,
	})
	var err error
	in.callers, err = newServer("callers", in.set.Callers.Listen, in.set.Callers.TLS, in.gateway.Handler(), in.log)
	if err != nil {
		return err
	}
	in.operators, err = newServer("operators", in.set.Operators.Listen, in.set.Operators.TLS, op.Handler(), in.log)
	return err
}

// closePartial closes what New has opened before it failed.
func (in *Instance) closePartial() {
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

// Run runs the instance until ctx ends. It performs no planned stop; see Stop.
func (in *Instance) Run(ctx context.Context) error {
	in.log.Info().Str("event", "instance_started").Str("callers", in.CallersAddr()).Str("operators", in.OperatorsAddr()).
		Str("mesh", in.Peer().Addr).Msg("instance started")
	err := in.kernel.Run(ctx)
	in.driver.Close()
	_ = in.metrics.Close()
	return err
}

// CallersAddr returns the address of the API for callers.
func (in *Instance) CallersAddr() string { return in.callers.addr() }

// OperatorsAddr returns the address of the API for operators.
func (in *Instance) OperatorsAddr() string { return in.operators.addr() }

// Peer returns the instance's identity among its peers.
func (in *Instance) Peer() mesh.Peer { return in.transport.Self() }

// Feed returns the feed of the configuration.
func (in *Instance) Feed() *rollout.Feed { return in.feed }

// Holder returns the holder of this instance's escrow.
func (in *Instance) Holder() *budget.Holder { return in.holder }

// View returns the membership view.
func (in *Instance) View() *member.View { return in.view }

// Client returns the client that makes reservations for this instance's requests.
func (in *Instance) Client() *budget.Client { return in.client }

// Store returns the store, which counts its calls.
func (in *Instance) Store() *external.Meter { return in.store }

// Kernel returns the kernel, which has the instance's services by name.
func (in *Instance) Kernel() *kernel.Kernel { return in.kernel }

// Stop performs a planned stop: the instance accepts no new requests, finishes those in progress, flushes its charges,
// returns its escrow, and then ends its services. ctx limits the wait. An error means that something was left: the zone
// reclaims the escrow later.
func (in *Instance) Stop(ctx context.Context) error {
	in.gateway.Leave()
	in.view.Leave()
	in.callers.leave()
	in.operators.leave()
	err := in.gateway.Drain(ctx)
	if err == nil {
		err = in.returnEscrow(ctx)
	}
	if err != nil {
		in.log.Warn().Str("event", "stop_unclean").Err(err).
			Int("open_reservations", in.holder.OpenCount()).Interface("reservations", in.holder.OpenReservations(loggedAtStop)).
			Int("open_holds", in.client.Open()).Interface("holds", in.client.OpenHolds(loggedAtStop)).
			Msg("planned stop incomplete; the zone will reclaim the remaining escrow")
	}
	in.stopServers(ctx)
	return errors.Join(err, in.kernel.Close())
}

// stopServers ends the connections of callers and operators.
func (in *Instance) stopServers(ctx context.Context) {
	var g sync.WaitGroup
	for _, s := range []*server{in.callers, in.operators} {
		g.Go(func() {
			if err := s.shutdown(ctx); err != nil {
				in.log.Warn().Str("event", "requests_interrupted").Str("server", s.name).Err(err).Msg("open requests were interrupted by the end of the stop")
			}
		})
	}
	g.Wait()
}

// returnEscrow flushes the charges and returns the escrow. It leaves time of ctx for responses that are still being sent.
func (in *Instance) returnEscrow(ctx context.Context) error {
	ctx, cancel := kernel.WithReserve(ctx, shutdownTime)
	defer cancel()
	if err := in.holder.Stop(ctx); err != nil {
		return err
	}
	return in.waitFlushed(ctx)
}

const (
	shutdownTime      = time.Second // of a planned stop, for ending the connections of callers and operators
	flushPollInterval = 20 * time.Millisecond
	loggedAtStop      = 4 // reservations and holds that the log line of an incomplete stop lists
)

// waitFlushed waits until all charges for requests that this instance has served are in the store.
func (in *Instance) waitFlushed(ctx context.Context) error {
	for in.client.Open() > 0 {
		select {
		case <-time.After(flushPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Kill ends the instance at once, as a crash would: it flushes nothing and breaks all connections.
func (in *Instance) Kill() {
	in.kill()
	in.callers.kill()
	in.operators.kill()
	_ = in.transport.Close()
	_ = in.kernel.Close()
}
