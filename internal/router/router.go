// Package router wires one instance that stands alone on a platform: it serves callers' HTTP routes and streams with nothing but
// the platform's store behind it, and goes on without that for a while.
package router

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/boottime"
	"github.com/ledgemount/ledgemount/internal/buildinfo"
	"github.com/ledgemount/ledgemount/internal/compat"
	"github.com/ledgemount/ledgemount/internal/edge"
	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/escrow/remote"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/feed"
	"github.com/ledgemount/ledgemount/internal/fleettime"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/load"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/pressure"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/slowstart"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// escrowPrefix is where the escrow's pages lie under the fleet's own prefix.
const escrowPrefix = "escrow/"

// Platform is what a router needs of the place where it runs.
type Platform struct {
	Store   external.KV
	Calls   *external.Observed // of the store
	Epochs  *external.Epochs   // of the store
	Source  follow.Source
	Dialect relay.Dialect
	Parser  edge.Parser
	// Clock is the one by which ages of things outside the process are judged; nil: the machine's.
	Clock *boottime.Clock
}

// Router is one instance.
type Router struct {
	set      *Settings
	log      zerolog.Logger
	kernel   *kernel.Kernel
	client   *upstream.Client
	pool     *pool.Pool
	peers    *peers.Directory
	clock    *fleettime.Clock
	boot     *boottime.Clock
	waking   waking
	load     *load.Exchange
	share    *quarantine.Replicator
	follow   *follow.Follower
	escrow   *escrow.Holder
	core     *relay.Core
	suspects *quarantine.Tracker
	callers  *edge.Server
	probes   *probes
	figures  *probes // metrics on an address of their own; nil: none
	metrics  *meters
	start    *startLine

	pressure *pressure.Monitor
	restored restorations
}

// New builds a router; it listens already, but runs only with Run.
func New(set *Settings, on Platform, log zerolog.Logger) (*Router, error) {
	r := &Router{set: set, log: log, kernel: kernel.New(), metrics: newMeters(set)}
	if r.boot = on.Clock; r.boot == nil {
		r.boot = boottime.New()
	}
	r.start = newStartLine(log, r.metrics.started)
	r.followEpochs(on.Epochs)
	on.Calls.OnCall(r.called)
	on.Calls.OnRest(r.storeRests)
	id := set.Instance.ID + "/" + strings.ToLower(ulid.Make().String())
	links := mesh.NewRouter()
	r.newFleet(on, links, id)
	r.newEscrow(on, links, id)
	r.newFollower(on, links)
	r.newSharing(on, links)
	r.newCore(on)
	r.waking = waking{clock: r.boot, heard: r.follow.LastContact}
	r.boot.OnWake(r.wake)
	if err := r.listen(on); err != nil {
		return nil, err
	}
	r.start.reached(StepListening)
	return r, r.kernel.Register(r.services()...)
}

// newFleet makes what reaches others: callers' link, endpoints, and the fleet's other instances.
func (r *Router) newFleet(on Platform, links *mesh.Router, id string) {
	set, now := r.set, r.boot.Now
	r.pressure = pressure.New(
		pressure.WithPolicy(set.pressurePolicy()), pressure.OnChange(r.logPressure), pressure.WithLink(set.Instance.LinkMbps), pressure.WithNow(now),
	)
	r.client = upstream.New(upstream.WithWrap(r.pressure.Conn), upstream.WithNow(now))
	self := peers.Record{
		Peer:     mesh.Peer{ID: set.Instance.ID, Zone: set.Instance.Zone, Addr: set.Peers.Listen, Incarnation: id},
		Capacity: set.Instance.LinkMbps,
	}
	r.peers = peers.New(on.Store, set.Store.Prefix, self, links,
		append(set.peersOptions(), peers.WithNow(now), peers.WithLogger(r.log), peers.WithEpochs(on.Epochs), peers.WithTraffic(r.metrics.sentTo))...)
	heard, silenced := pool.LogNotices(r.log)
	opts := []pool.Option{
		pool.WithPolicy(set.poolPolicy()), pool.OnRemoved(r.client.CloseIdle), pool.WithOwners(r.peers), pool.WithNow(now), pool.OnNoticeEnded(silenced),
		pool.OnNotice(func(h pool.NoticeTaken) { r.metrics.noticeTaken(h); heard(h) }),
		pool.WithRegions(set.Instance.Regions), pool.WithColdBounds(slowstart.Bounds{Overage: set.Cold.Overage, Slack: set.Cold.Slack}),
	}
	if !set.without(Loads) {
		opts = append(opts, pool.WithLeases())
	}
	r.pool = pool.New(set.Instance.Zone, opts...)
	r.clock = fleettime.New(r.peers, set.Instance.ID, links, fleettime.WithSteady(r.boot.Elapsed))
}

// newEscrow makes the holder of budgets.
func (r *Router) newEscrow(on Platform, links *mesh.Router, id string) {
	set := r.set
	r.escrow = escrow.New(on.Store, set.Store.Prefix+escrowPrefix, set.Store.pages(), set.Instance.ID, id,
		escrow.WithLogger(r.log), escrow.WithNow(r.boot.Now), escrow.OnSettlement(r.metrics.folded), escrow.WithPolicy(set.escrowPolicy()),
		escrow.WithEpochs(on.Epochs),
		escrow.WithFleet(remote.New(r.peers, r.clock, set.fleetOptions()...)))
	remote.Serve(links, r.escrow)
}

// newFollower makes what follows the configuration and the endpoints.
func (r *Router) newFollower(on Platform, links *mesh.Router) {
	r.follow = follow.New(feed.NewSource(r.peers, on.Source, feed.WithNow(r.boot.Now), feed.WithEpochs(on.Epochs)), r.pool,
		follow.WithLogger(r.log), follow.WithNow(r.boot.Now), follow.OnRejected(r.metrics.rejected),
		follow.OnTable(r.fundsOf), follow.OnTable(r.servicesOf),
		follow.OnEntry(r.observe), follow.OnPolled(r.escrow.StoreAnswered), follow.WithOwn(func() bool { return !r.peers.Large() }))
	feed.Serve(links, r.follow, on.Epochs)
}

// newSharing makes what instances tell each other of endpoints, and of requests that endpoints do not outlive.
func (r *Router) newSharing(on Platform, links *mesh.Router) {
	now := r.boot.Now
	r.suspects = quarantine.New(quarantine.WithNow(now), quarantine.WithProber(r.tries), quarantine.OnChange(r.quarantined),
		quarantine.OnUpdate(func() { r.share.Wake() }))
	r.share = quarantine.NewReplicator(r.suspects, r.peers, on.Store, r.set.Store.Prefix, links,
		quarantine.WithLogger(r.log), quarantine.WithEpochs(on.Epochs))
	r.load = load.New(r.peers, r.pool, links, load.WithPiggyback(r.share), load.WithNow(now), load.OnLimits(r.metrics.limited))
}

// newCore makes what serves requests.
func (r *Router) newCore(on Platform) {
	ratio, slack := r.set.retryBudget()
	retries := retry.NewFleetBudget(ratio, slack, r.set.Retry.Window, r.fleetSize, r.boot.Now)
	r.core = relay.New(relay.Deps{
		Table: r.follow.Table, Pool: r.pool, Budgets: r.escrow, Retries: retries, Client: r.client, Dialect: on.Dialect,
	}, append(r.set.relayOptions(), relay.WithNow(r.boot.Now), relay.OnOutcome(r.ended), relay.OnDelayedExit(r.lateEnd),
		relay.WithQuarantine(r.suspects), relay.WithStateFresh(r.waking.over), relay.OnDial(r.dialed), relay.WithCongested(r.pressure.Congested))...)
}

// fleetSize is among how many instances is divided what all may do together. An instance that has just started knows few holders of budgets, and
// one that starts in a fleet of many knows few records: the greater number leaves no one too much.
func (r *Router) fleetSize() int { return max(r.escrow.Holders(), r.peers.Size()) }

// called takes how a call to the store has ended.
func (r *Router) called(c external.Call) {
	r.metrics.called(c)
	if c.Outcome == "ok" {
		r.start.reached(StepStore)
	}
}

// storeRests reports that the store wants no calls for a while.
func (r *Router) storeRests(after time.Duration) {
	r.metrics.metrics.Scope().Counter("store_rests_total").Inc(1)
	r.log.Info().Str("event", "store_rests").Dur("rest", after).Msg("the store has asked for rest, and is not called for so long")
}

// startWatch is the service that measures the start.
func (r *Router) startWatch() *startWatch {
	return &startWatch{line: r.start, steps: map[Step]func() bool{
		StepFleet:         r.peers.Known,
		StepConfiguration: func() bool { return r.follow.Table() != nil },
		StepEndpoints:     func() bool { return r.pool.Len() > 0 },
		StepEscrow:        r.escrow.Ready,
		StepReady:         r.ready,
	}}
}

// services are the parts that run, in the order in which they start.
func (r *Router) services() []kernel.Service {
	list := []kernel.Service{r.boot, r.peers}
	if !r.set.without(FleetTime) {
		list = append(list, r.clock)
	}
	if !r.set.without(Loads) {
		list = append(list, r.load)
	}
	list = append(list, r.share, r.follow, r.escrow, r.escrow.Repayments(), &sweeper{client: r.client}, &callLog{counts: r.metrics.calls, sent: r.metrics.sent, role: r.role, log: r.log}, r.startWatch(), r.callers, r.probes)
	if r.figures != nil {
		list = append(list, r.figures)
	}
	return list
}

func (r *Router) listen(on Platform) error {
	var err error
	r.callers, err = edge.Listen(r.set.Callers.Listen, r.core, on.Parser, edge.DefaultTimeouts(), edge.WithNow(r.arrived), edge.WithDiverting(r.pressure.Diverting), edge.WithListenerWrapper(r.pressure.Listener))
	if err != nil {
		return err
	}
	r.probes, err = listenProbes(r.set.Probes, r.ready, r.metrics.handler())
	if err != nil || r.set.Probes.MetricsListen == "" {
		return err
	}
	r.figures, err = listenMetrics(r.set.Probes, r.metrics.handler())
	return err
}

// servicesOf tells the pool what a newer configuration says of endpoints.
func (r *Router) servicesOf(t *route.Table) {
	r.pool.SetWarmups(t.Warmups())
	r.pool.SetConnections(t.Connections())
}

// fundsOf tells the escrow of the prepaid figures of a newer configuration.
func (r *Router) fundsOf(t *route.Table) {
	list := make([]escrow.Prepaid, 0, len(t.Customers()))
	for _, c := range t.Customers() {
		list = append(list, escrow.Prepaid{Customer: c.Name, Tokens: c.Prepaid})
	}
	r.escrow.SetPrepaid(list)
	figures := zerolog.Dict()
	for _, p := range list {
		figures = figures.Int64(p.Customer, p.Tokens)
	}
	r.log.Info().Str("event", "budgets_taken").Int64("version", t.Version()).Dict("prepaid", figures).
		Msg("prepaid figures are in force")
}

// dialed tells the gauge of this instance's link of connections within the zone: others may be slow for other reasons.
func (r *Router) dialed(zone string, took time.Duration) {
	if zone == r.set.Instance.Zone {
		r.pressure.ObserveDial(took)
	}
}

// logPressure reports that the instance begins or ends to send callers away.
func (r *Router) logPressure(away bool) {
	if away {
		r.log.Warn().Str("event", "link_crowded").Msg("connections come up slowly: callers are sent to other instances")
		return
	}
	r.log.Info().Str("event", "link_calm").Msg("callers may come again")
}

// ready reports whether callers may be sent here: the configuration, the endpoints and the escrow are known, and the link is calm; after a
// suspension all that was heard again.
func (r *Router) ready() bool {
	return !r.pressure.Diverting() && r.waking.over() && r.follow.Table() != nil && r.escrow.Ready() && r.pool.Len() > 0
}

// Run runs the router until ctx ends, without a planned stop: use Stop for that.
func (r *Router) Run(ctx context.Context) error {
	r.log.Info().Str("event", "instance_started").Str("callers", r.callers.Addr()).Str("probes", r.set.Probes.Listen).
		Str("store", r.set.Store.Address).Str("build", buildinfo.Revision()).Int("formats", compat.Generation).Int("retry_slack", r.set.Retry.Slack).Dur("stop_within", r.set.Stop.Within).
		Msg("instance started")
	err := r.kernel.Run(ctx)
	_ = r.client.Close()
	_ = r.metrics.Close()
	return err
}

// The parts of a planned stop.
const (
	lingerShare = 0.35                   // of the time for a stop: callers still come until the platform has noticed
	giveBack    = 600 * time.Millisecond // for the escrow, before the end
	exitMargin  = 250 * time.Millisecond
)

// Stop is a planned stop: the instance calls itself not ready, serves those who still come, ends open requests, gives its escrow
// back, and ends.
func (r *Router) Stop() error {
	begun := time.Now()
	r.log.Info().Str("event", "instance_stopping").Msg("planned stop")
	r.probes.leave()
	r.callers.Leave()
	r.escrow.ReduceDemand()
	errPeers := r.leavePeers()
	time.Sleep(time.Duration(float64(r.set.Stop.Within) * lingerShare))
	open, cancel := context.WithDeadline(context.Background(), begun.Add(r.set.Stop.Within-giveBack-exitMargin))
	defer cancel()
	err := r.callers.Stop(open)
	back, cancelBack := context.WithDeadline(context.Background(), begun.Add(r.set.Stop.Within-exitMargin))
	defer cancelBack()
	errBack := r.escrow.Leave(back)
	r.log.Info().Str("event", "instance_stopped").AnErr("requests", err).AnErr("escrow", errBack).AnErr("peers", errPeers).
		Dur("took", time.Since(begun)).Msg("instance stopped")
	return eris.Wrap(r.kernel.Close(), "ending the services")
}

// leavePeers tells the other instances that this one is about to stop.
func (r *Router) leavePeers() error {
	ctx, cancel := context.WithTimeout(context.Background(), giveBack)
	defer cancel()
	return r.peers.Leave(ctx)
}

// Reload takes settings that have changed; those that cannot change while the process runs hold until it starts again.
func (r *Router) Reload(set *Settings) {
	r.log.Info().Str("event", "settings_reloaded").Int("retry_slack", set.Retry.Slack).Dur("stop_within", set.Stop.Within).
		Msg("the settings were read again")
}

// sweeper closes idle connections to endpoints.
type sweeper struct{ client *upstream.Client }

const sweepEvery = 2 * time.Second

// Name implements kernel.Service.
func (*sweeper) Name() string { return "sweeper" }

// Run implements kernel.Service.
func (s *sweeper) Run(ctx context.Context) error {
	kernel.Every(ctx, sweepEvery, func(context.Context) { s.client.Sweep() })
	return nil
}
