// Package router assembles an instance that runs on a platform. The instance serves HTTP requests and streams of callers.
// It depends only on the platform's store, and continues to serve for a while if the store is unavailable.
package router

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/boottime"
	"github.com/ledgemount/ledgemount/internal/buildinfo"
	"github.com/ledgemount/ledgemount/internal/compat"
	"github.com/ledgemount/ledgemount/internal/continuity"
	"github.com/ledgemount/ledgemount/internal/edge"
	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/escrow/remote"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/feed"
	"github.com/ledgemount/ledgemount/internal/fleettime"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/listen"
	"github.com/ledgemount/ledgemount/internal/load"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/pressure"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/reach"
	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/slowstart"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// escrowPrefix is the prefix of the escrow's pages, relative to the fleet's prefix in the store.
const escrowPrefix = "escrow/"

// Platform holds what a router needs from the platform on which it runs.
type Platform struct {
	Store   external.KV
	Calls   *external.Observed // reports calls to the store
	Epochs  *external.Epochs   // tracks epochs of the store
	Source  follow.Source
	Dialect relay.Dialect
	Parser  edge.Parser
	// Dial establishes connections to endpoints; nil: plain TCP.
	Dial upstream.DialFunc
	// Clock determines the age of data from outside the process; nil: the machine's boot-time clock.
	Clock *boottime.Clock
}

// clientOptions returns the platform's options for the client of endpoints.
func (p *Platform) clientOptions() []upstream.Option {
	if p.Dial == nil {
		return nil
	}
	return []upstream.Option{upstream.WithDial(p.Dial)}
}

// Router is an instance of the fleet.
type Router struct {
	settings    *Settings
	log         zerolog.Logger
	kernel      *kernel.Kernel
	client      *upstream.Client
	pool        *pool.Pool
	peers       *peers.Directory
	fleetClock  *fleettime.Clock
	bootClock   *boottime.Clock
	resumeGuard resumeGuard
	load        *load.Exchange
	reach       *reach.Monitor
	forwarder   *reach.Server
	replicator  *quarantine.Replicator
	follow      *follow.Follower
	escrow      *escrow.Holder
	core        *relay.Core
	suspects    *quarantine.Tracker
	streams     *continuity.Replicator
	// streamLifetime is how long after its first event a stream may be taken up again, in nanoseconds.
	streamLifetime atomic.Int64
	callers        *edge.Server
	probes         *probes
	metricsServer  *probes // metrics on a separate address; nil: none
	metrics        *meters
	start          *startRecorder

	memory   *memory.Budget // of open requests
	pressure *pressure.Monitor
	restored restorationTracker
}

// New returns a router whose listeners for callers and probes are open. It waits for addresses that are still taken until
// ctx ends, or a predecessor would have stopped. The router serves only once Run is called.
func New(ctx context.Context, settings *Settings, platform Platform, log zerolog.Logger) (*Router, error) {
	r := &Router{settings: settings, log: log, kernel: kernel.New(), metrics: newMeters(settings), memory: memory.NewBudget(memory.ForRequests(settings.Instance.MemoryMB))}
	if r.bootClock = platform.Clock; r.bootClock == nil {
		r.bootClock = boottime.New()
	}
	r.start = newStartRecorder(log, r.metrics.recordStartStep)
	r.followEpochs(platform.Epochs)
	platform.Calls.OnCall(r.onStoreCall)
	platform.Calls.OnBackoff(r.logStoreBackoff)
	id := settings.Instance.ID + "/" + strings.ToLower(ulid.Make().String())
	meshRouter := mesh.NewRouter()
	r.newFleet(platform, meshRouter, id)
	r.newEscrow(platform, meshRouter, id)
	r.newFollower(platform, meshRouter)
	r.newSharing(platform, meshRouter)
	r.newReach(meshRouter)
	r.newStreams(platform, meshRouter)
	r.newCore(platform)
	r.resumeGuard = resumeGuard{clock: r.bootClock, lastContact: r.follow.LastContact}
	r.bootClock.OnResume(r.onResume)
	if err := r.listen(ctx, platform); err != nil {
		return nil, err
	}
	r.start.reached(StepListening)
	return r, r.kernel.Register(r.services()...)
}

// newFleet creates the components that communicate with endpoints and other instances, and the monitor of the network
// link.
func (r *Router) newFleet(platform Platform, meshRouter *mesh.Router, id string) {
	settings, now := r.settings, r.bootClock.Now
	r.pressure = pressure.New(
		pressure.WithPolicy(settings.pressurePolicy()), pressure.OnChange(r.logPressure), pressure.WithLink(settings.Instance.LinkMbps), pressure.WithNow(now),
	)
	r.client = upstream.New(append(platform.clientOptions(), upstream.WithWrap(r.pressure.Conn), upstream.WithNow(now))...)
	self := peers.Record{
		Peer:     mesh.Peer{ID: settings.Instance.ID, Zone: settings.Instance.Zone, Addr: settings.Peers.Listen, Incarnation: id},
		Capacity: settings.Instance.LinkMbps,
	}
	r.peers = peers.New(platform.Store, settings.Store.Prefix, self, meshRouter,
		append(settings.peersOptions(), peers.WithNow(now), peers.WithLogger(r.log), peers.WithEpochs(platform.Epochs), peers.WithTraffic(r.metrics.recordMeshSent))...)
	logNotice, logNoticeEnd := pool.LogNotices(r.log)
	opts := []pool.Option{
		pool.WithPolicy(settings.poolPolicy()), pool.OnRemoved(r.client.CloseIdle), pool.WithOwners(r.peers), pool.WithNow(now), pool.OnNoticeEnded(logNoticeEnd),
		pool.OnNotice(func(h pool.NoticeTaken) { r.metrics.recordNotice(h); logNotice(h) }),
		pool.WithRegions(settings.Instance.Regions), pool.WithColdBounds(slowstart.Bounds{Overage: settings.Cold.Overage, Slack: settings.Cold.Slack}),
	}
	if !settings.disabled(Loads) {
		opts = append(opts, pool.WithLeases())
	}
	r.pool = pool.New(settings.Instance.Zone, opts...)
	r.fleetClock = fleettime.New(r.peers, settings.Instance.ID, meshRouter, fleettime.WithSteady(r.bootClock.Elapsed))
}

// newEscrow creates the holder of customers' budgets.
func (r *Router) newEscrow(platform Platform, meshRouter *mesh.Router, id string) {
	settings := r.settings
	r.escrow = escrow.New(platform.Store, settings.Store.Prefix+escrowPrefix, settings.Store.pages(), settings.Instance.ID, id,
		escrow.WithLogger(r.log), escrow.WithNow(r.bootClock.Now), escrow.OnSettlement(r.metrics.recordSettlement), escrow.WithPolicy(settings.escrowPolicy()),
		escrow.WithEpochs(platform.Epochs),
		escrow.WithFleet(remote.New(r.peers, r.fleetClock, settings.fleetOptions()...)))
	remote.Serve(meshRouter, r.escrow)
}

// newFollower creates the component that watches the configuration and the endpoints.
func (r *Router) newFollower(platform Platform, meshRouter *mesh.Router) {
	r.follow = follow.New(feed.NewSource(r.peers, platform.Source, feed.WithNow(r.bootClock.Now), feed.WithEpochs(platform.Epochs)), r.pool,
		follow.WithLogger(r.log), follow.WithNow(r.bootClock.Now), follow.OnRejected(r.metrics.recordRejected),
		follow.OnTable(r.updateBudgets), follow.OnTable(r.updateServices),
		follow.OnEntry(r.observeEntry), follow.OnPolled(r.escrow.StoreAnswered), follow.WithFleetRecords(func() bool { return !r.peers.Large() }))
	feed.Serve(meshRouter, r.follow, r.peers, platform.Epochs)
}

// newSharing creates the components through which instances exchange the load of endpoints, and quarantined requests.
func (r *Router) newSharing(platform Platform, meshRouter *mesh.Router) {
	now := r.bootClock.Now
	r.suspects = quarantine.New(quarantine.WithNow(now), quarantine.WithProber(r.ownsProbe), quarantine.OnChange(r.onQuarantineChange),
		quarantine.OnUpdate(func() { r.replicator.Wake() }))
	r.replicator = quarantine.NewReplicator(r.suspects, r.peers, platform.Store, r.settings.Store.Prefix, meshRouter,
		quarantine.WithLogger(r.log), quarantine.WithEpochs(platform.Epochs))
	r.load = load.New(r.peers, r.pool, meshRouter, load.WithPiggyback(r.replicator), load.WithNow(now), load.OnLimits(r.metrics.recordLimits))
}

// newStreams creates the component that records at which software versions streams began.
func (r *Router) newStreams(platform Platform, meshRouter *mesh.Router) {
	r.streamLifetime.Store(int64(continuity.LifetimeFor(nil)))
	opts := []continuity.Option{
		continuity.WithNow(r.bootClock.Now), continuity.WithLastContact(r.follow.LastContact),
		continuity.WithLifetime(func() time.Duration { return time.Duration(r.streamLifetime.Load()) }),
	}
	if r.settings.Instance.FirstStart {
		opts = append(opts, continuity.WithFirstStart())
	}
	archive := continuity.NewArchive(platform.Store, r.settings.Store.Prefix, r.settings.Instance.ID, time.Now)
	r.streams = continuity.NewReplicator(continuity.New(r.pool, opts...), r.peers, archive, meshRouter, r.log)
}

// newCore creates the component that serves requests.
func (r *Router) newCore(platform Platform) {
	ratio, slack := r.settings.retryBudget()
	retries := retry.NewFleetBudget(ratio, slack, r.settings.Retry.Window, r.fleetSize, r.bootClock.Now)
	r.core = relay.New(relay.Deps{
		Table: r.follow.Table, Pool: r.pool, Budgets: r.escrow, Retries: retries, Client: r.client, Dialect: platform.Dialect,
	}, append(r.settings.relayOptions(), relay.WithNow(r.bootClock.Now), relay.OnOutcome(r.logRequest), relay.OnDelayedExit(r.logDelayedExit),
		relay.WithQuarantine(r.suspects), relay.WithStreams(r.streams), relay.WithStateFresh(r.resumeGuard.stateFresh), relay.OnDial(r.recordDial), relay.WithPaths(r.reach), relay.WithCongested(r.pressure.Congested))...)
}

// fleetSize returns the number of instances among which fleet-wide limits are divided. Right after its start, an instance
// may have discovered only a few holders of budgets, or only a few records of a large fleet. The larger of both numbers
// is used, so that no instance takes too large a share.
func (r *Router) fleetSize() int { return max(r.escrow.Holders(), r.peers.Size()) }

// onStoreCall handles the outcome of a call to the store.
func (r *Router) onStoreCall(c external.Call) {
	r.metrics.recordStoreCall(c)
	if c.Outcome == "ok" {
		r.start.reached(StepStore)
	}
}

// logStoreBackoff logs and counts that the store has asked for a back-off.
func (r *Router) logStoreBackoff(after time.Duration) {
	r.metrics.metrics.Scope().Counter("store_rests_total").Inc(1)
	r.log.Info().Str("event", "store_rests").Dur("rest", after).Msg("the store has asked for a back-off: calls are paused")
}

// startWatch returns the service that polls for the steps of the instance's start.
func (r *Router) startWatch() *startWatcher {
	return &startWatcher{recorder: r.start, steps: map[Step]func() bool{
		StepFleet:         r.peers.IsDiscovered,
		StepConfiguration: func() bool { return r.follow.Table() != nil },
		StepEndpoints:     func() bool { return r.pool.Len() > 0 },
		StepEscrow:        r.escrow.Ready,
		StepReady:         r.ready,
	}}
}

// services returns the services of the instance in the order in which they start.
func (r *Router) services() []kernel.Service {
	list := []kernel.Service{r.bootClock, r.peers}
	if !r.settings.disabled(FleetTime) {
		list = append(list, r.fleetClock)
	}
	if !r.settings.disabled(Loads) {
		list = append(list, r.load)
	}
	list = append(list, r.reach, r.replicator, r.streams, r.follow, r.escrow, r.escrow.Repayments(), &sweeper{client: r.client}, &callLog{counts: r.metrics.calls, sent: r.metrics.sent, role: r.role, log: r.log}, &usageMeter{router: r}, r.startWatch(), r.callers, r.probes)
	if r.metricsServer != nil {
		list = append(list, r.metricsServer)
	}
	return list
}

// addressMargin is added to the time for a stop, after which a predecessor no longer holds its addresses.
const addressMargin = 2 * time.Second

// listen opens the listeners for callers and for probes. It waits for addresses that a predecessor still holds.
func (r *Router) listen(ctx context.Context, platform Platform) error {
	ctx, cancel := context.WithTimeout(ctx, r.settings.Stop.Within+addressMargin)
	defer cancel()
	callers, err := r.openListener(ctx, r.settings.Callers.Listen)
	if err != nil {
		return err
	}
	probes, err := r.openListener(ctx, r.settings.Probes.Listen)
	if err != nil {
		_ = callers.Close()
		return err
	}
	r.callers = edge.New(callers, r.core, platform.Parser, edge.DefaultTimeouts(),
		edge.WithNow(r.arrivalTime), edge.WithDiverting(r.pressure.Diverting), edge.WithListenerWrapper(r.pressure.Listener),
		edge.WithMemory(r.memory), edge.WithConnectionLimit(r.settings.Instance.maxConnections(), r.metrics.recordIdleClosed),
		edge.OnRejected(r.logRejection), edge.WithLogger(r.log))
	r.probes = newProbes(probes, r.settings.Probes, r.ready, r.metrics.handler())
	if addr := r.settings.Probes.MetricsListen; addr != "" {
		open := func(ctx context.Context) (*listen.Listener, error) { return r.openListener(ctx, addr) }
		r.metricsServer = newMetricsServer(open, r.settings.Probes, r.metrics.handler())
	}
	return nil
}

// openListener listens on an address. It logs that the address is taken, and when it has become free.
func (r *Router) openListener(ctx context.Context, addr string) (*listen.Listener, error) {
	var waitingSince time.Time
	l, err := listen.TCP(ctx, addr, listen.OnWait(func(err error) {
		waitingSince = time.Now()
		r.log.Warn().Str("event", "address_taken").Str("address", addr).Err(err).Msg("the address cannot be listened on yet; waiting for it")
	}))
	switch {
	case err != nil:
		r.log.Error().Str("event", "address_unusable").Str("address", addr).Err(err).Msg("the address cannot be listened on")
	case !waitingSince.IsZero():
		r.log.Info().Str("event", "address_free").Str("address", addr).Dur("took", time.Since(waitingSince)).Msg("listening on the address")
	}
	return l, err
}

// updateServices applies the settings of services and of their streams in a newer configuration.
func (r *Router) updateServices(t *route.Table) {
	r.pool.SetWarmups(t.Warmups())
	r.pool.SetConnections(t.Connections())
	r.streamLifetime.Store(int64(continuity.LifetimeFor(t.StreamTimeouts())))
}

// updateBudgets applies the prepaid amounts of a newer configuration to the escrow.
func (r *Router) updateBudgets(t *route.Table) {
	list := make([]escrow.Prepaid, 0, len(t.Customers()))
	for _, c := range t.Customers() {
		list = append(list, escrow.Prepaid{Customer: c.Name, Tokens: c.Prepaid})
	}
	r.escrow.SetPrepaid(list)
	prepaid := zerolog.Dict()
	for _, p := range list {
		prepaid = prepaid.Int64(p.Customer, p.Tokens)
	}
	r.log.Info().Str("event", "budgets_taken").Int64("version", t.Version()).Dict("prepaid", prepaid).
		Msg("prepaid budgets are in force")
}

// recordDial passes the connection times of endpoints in the same availability zone to the monitor of this instance's
// link. Connections to other zones may be slow for other reasons. A connection that was not established in time does not
// indicate congestion before the path has been checked; see newReach.
func (r *Router) recordDial(zone string, took time.Duration, err error) {
	if zone == r.settings.Instance.Zone && upstream.DialFailureOf(err) != upstream.DialTimeout {
		r.pressure.ObserveDial(took)
	}
}

// logPressure logs that the instance starts or stops diverting callers to other instances.
func (r *Router) logPressure(diverting bool) {
	if diverting {
		r.log.Warn().Str("event", "link_crowded").Msg("the network link is congested: callers are diverted to other instances")
		return
	}
	r.log.Info().Str("event", "link_calm").Msg("the network link is no longer congested: callers are accepted again")
}

// ready reports whether the instance accepts callers. The configuration and endpoints must be known, the escrow must be
// ready, and the network link must not be congested. After a suspension of the machine, current data must have been
// received. An instance that other instances connect to endpoints is ready; one that reaches none at all is not.
func (r *Router) ready() bool {
	return !r.reach.AllLost(r.pool.Services()) && !r.pressure.Diverting() && r.resumeGuard.stateFresh() && r.follow.Table() != nil && r.escrow.Ready() && r.pool.Len() > 0
}

// Run runs the router until ctx ends. It performs no planned stop; see Stop.
func (r *Router) Run(ctx context.Context) error {
	r.log.Info().Str("event", "instance_started").Str("callers", r.callers.Addr()).Str("probes", r.settings.Probes.Listen).
		Str("store", r.settings.Store.Address).Str("build", buildinfo.Revision()).Int("formats", compat.Generation).Int("retry_slack", r.settings.Retry.Slack).Dur("stop_within", r.settings.Stop.Within).
		Msg("instance started")
	err := r.kernel.Run(ctx)
	_ = r.client.Close()
	_ = r.metrics.Close()
	return err
}

// Phases of a planned stop. Callers still arrive until the platform has detected that the instance is not ready.
const (
	lingerShare      = 0.35                   // share of the time for a stop in which callers still arrive
	escrowReturnTime = 600 * time.Millisecond // time for returning the escrow, before exitMargin
	exitMargin       = 250 * time.Millisecond // time left before the process is killed
)

// Stop performs a planned stop. The instance reports that it is not ready, serves the requests that still arrive,
// waits for open requests to end, returns its escrow, and stops its services.
func (r *Router) Stop() error {
	started := time.Now()
	r.log.Info().Str("event", "instance_stopping").Msg("planned stop")
	r.probes.setNotReady()
	r.callers.Leave()
	r.forwarder.Leave()
	r.escrow.ReduceDemand()
	errPeers := r.leavePeers()
	time.Sleep(time.Duration(float64(r.settings.Stop.Within) * lingerShare))
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), started.Add(r.settings.Stop.Within-escrowReturnTime-exitMargin))
	defer cancelDrain()
	err := r.callers.Stop(drainCtx)
	r.forwarder.Drain(drainCtx)
	returnCtx, cancelReturn := context.WithDeadline(context.Background(), started.Add(r.settings.Stop.Within-exitMargin))
	defer cancelReturn()
	errEscrow := r.escrow.Leave(returnCtx)
	r.log.Info().Str("event", "instance_stopped").AnErr("requests", err).AnErr("escrow", errEscrow).AnErr("peers", errPeers).
		Dur("took", time.Since(started)).Msg("instance stopped")
	return eris.Wrap(r.kernel.Close(), "stopping the services")
}

// leavePeers notifies the other instances that this one is about to stop.
func (r *Router) leavePeers() error {
	ctx, cancel := context.WithTimeout(context.Background(), escrowReturnTime)
	defer cancel()
	return r.peers.Leave(ctx)
}

// Reload logs that the settings file was read again. The new values take effect when the process restarts.
func (r *Router) Reload(settings *Settings) {
	r.log.Info().Str("event", "settings_reloaded").Int("retry_slack", settings.Retry.Slack).Dur("stop_within", settings.Stop.Within).
		Msg("the settings were read again")
}

// sweeper is the service that closes connections to endpoints whose idle timeout has passed.
type sweeper struct{ client *upstream.Client }

const sweepInterval = 2 * time.Second

// Name implements kernel.Service.
func (*sweeper) Name() string { return "sweeper" }

// Run implements kernel.Service.
func (s *sweeper) Run(ctx context.Context) error {
	kernel.Every(ctx, sweepInterval, func(context.Context) { s.client.Sweep() })
	return nil
}
