// Package load exchanges the load of endpoints among the instances of a fleet.
//
// An instance observes only its own requests, which in a large fleet are a small part of what runs at an endpoint. Each
// instance reports its load to one other instance (its parent in the tree of its availability zone, in a large fleet)
// and receives the load of all others in response. A parent reports the sum of its subtree. Zone leaders exchange the
// sums of their availability zones. The figures are
// hints: the pool can pick endpoints without them, and figures that are too old count as unknown.
package load

import (
	"context"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// KindReport is the message that reports the load of the sender and requests the load of all other instances.
const KindReport mesh.Kind = "load.tell"

// KindZone is the message that reports the sum of the sender's availability zone and requests that of the receiver's
// zone.
const KindZone mesh.Kind = "load.zone"

const (
	exchangeInterval = 500 * time.Millisecond // short compared with a stream of some seconds; each exchange costs a message
	exchangeTimeout  = 250 * time.Millisecond // for one exchange
	reportLifetime   = pool.PeerLoadsTTL      // how long a report counts
	summaryLifetime  = exchangeInterval / 2   // how long a summary is used before it is recomputed
)

// report is the state of endpoints as observed by one or more instances.
type report struct {
	loads   pool.Loads
	leaving pool.Leaving // endpoints that have announced to them that they are leaving
	limits  pool.Limits  // limits that endpoints have announced to them
}

func newReport() report {
	return report{loads: make(pool.Loads), leaving: make(pool.Leaving), limits: make(pool.Limits)}
}

// add merges the report of other instances.
func (r report) add(other report) {
	r.loads.Add(other.loads)
	r.leaving.Add(other.leaving)
	r.limits.Add(other.limits)
}

// received is the last report of one instance or availability zone.
type received struct {
	digest digest
	report report
	at     time.Time
}

// summary is the load of this instance and of all instances and zones that report to it. It is computed once for all
// recipients, and the contribution of a recipient is subtracted for that recipient. Computing a separate sum for each
// recipient took the leader of a large availability zone most of its processor time.
type summary struct {
	lines    []line
	included map[string][]line // contributions to lines, by instance that reports to this one
	at       time.Time
}

// Piggyback supplies data that is sent along with the loads, rarely and in few bytes. Separate messages would double
// the number of messages that the leader of an availability zone handles.
type Piggyback interface {
	// Payload returns the data to send to an instance now, or nil if there is none.
	Payload(to string) []byte
	// Receive handles data that an instance has sent.
	Receive(from string, b []byte)
}

type noPiggyback struct{}

func (noPiggyback) Payload(string) []byte  { return nil }
func (noPiggyback) Receive(string, []byte) {}

// Exchange is the service that exchanges loads with other instances.
type Exchange struct {
	dir       *peers.Directory
	pool      *pool.Pool
	now       func() time.Time
	piggyback Piggyback

	mu      sync.Mutex
	members map[string]received // by instance that reports to this one
	zones   map[string]received // by other availability zone, if this instance exchanges sums with them
	above   received            // what the last parent reported: all but this instance's subtree
	summary summary

	allocator    *limit.Allocator
	rates        map[uint32]limit.Rate // of endpoints that announce limits, as of lastExchange
	lastExchange time.Time             // when the last exchange began
	onLimits     func(endpoints int, perSecond float64)
}

// Option configures an Exchange.
type Option func(*Exchange)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(x *Exchange) { x.now = now } }

// WithPiggyback sets the data that is sent along with the loads.
func WithPiggyback(p Piggyback) Option { return func(x *Exchange) { x.piggyback = p } }

// OnLimits sets a function that is called with each exchange. It receives the number of endpoints that announce
// limits, and the requests per second that this instance may send to all of them.
func OnLimits(f func(endpoints int, perSecond float64)) Option {
	return func(x *Exchange) { x.onLimits = f }
}

// New creates an Exchange and registers its message handlers.
func New(dir *peers.Directory, p *pool.Pool, router *mesh.Router, opts ...Option) *Exchange {
	x := &Exchange{
		dir: dir, pool: p, now: time.Now, piggyback: noPiggyback{}, members: make(map[string]received), zones: make(map[string]received),
		allocator: limit.NewAllocator(), onLimits: func(int, float64) {},
	}
	for _, opt := range opts {
		opt(x)
	}
	mesh.Handle(router, KindReport, x.handleReport)
	mesh.Handle(router, KindZone, x.handleZone)
	return x
}

// Name implements kernel.Service.
func (*Exchange) Name() string { return "load" }

// Run implements kernel.Service.
func (x *Exchange) Run(ctx context.Context) error {
	kernel.Every(ctx, exchangeInterval, x.Sync)
	return nil
}

// Sync performs one exchange.
func (x *Exchange) Sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	x.updateClaims()
	defer x.applyLeases()
	coordinators := x.dir.Coordinators()
	if len(coordinators) == 0 {
		x.exchangeZones(ctx)
		x.applyOthers(x.reportExcept(""))
		return
	}
	mine := pack(x.subtreeReport(), x.now())
	for _, p := range coordinators {
		requestedAt := x.now()
		mine.Piggyback, mine.Claims = x.piggyback.Payload(p.ID), x.claimsFor(p.ID)
		others, err := peers.Call[digest, digest](ctx, x.dir, p, KindReport, mine)
		if err == nil {
			x.piggyback.Receive(p.ID, others.Piggyback)
			x.acceptGrants(others.Grants, requestedAt)
			x.recordAbove(others)
			x.applyOthers(x.reportExcept(""))
			return
		}
	}
}

// localReport returns the report of this instance alone.
func (x *Exchange) localReport() report {
	return report{loads: x.pool.Loads(), leaving: x.pool.Leaving(), limits: x.pool.Limits()}
}

// applyOthers passes the report of all other instances to the pool.
func (x *Exchange) applyOthers(r report) {
	x.pool.SetPeerLoads(r.loads)
	x.pool.ObserveLeaving(r.leaving)
	x.pool.ObserveLimits(r.limits)
}

// exchangeZones exchanges sums with one instance of each other availability zone, if the fleet is large enough for
// its zones to have leaders.
func (x *Exchange) exchangeZones(ctx context.Context) {
	if !x.dir.Large() {
		return
	}
	mine := pack(x.subtreeReport(), x.now())
	leader, ok := x.fleetLeader()
	var wg sync.WaitGroup
	for _, p := range x.dir.OtherZoneLeaders() {
		wg.Go(func() {
			requestedAt := x.now()
			mine := digest{Lines: mine.Lines, Leaving: mine.Leaving, Limits: mine.Limits, Piggyback: x.piggyback.Payload(p.ID)}
			if ok && p.ID == leader {
				mine.Claims = x.claimsFor(p.ID)
			}
			theirs, err := peers.Call[digest, digest](ctx, x.dir, p, KindZone, mine)
			if err == nil {
				x.piggyback.Receive(p.ID, theirs.Piggyback)
				x.acceptGrants(theirs.Grants, requestedAt)
				x.record(x.zones, p.Zone, theirs)
			}
		})
	}
	wg.Wait()
}

// handleReport stores the load of another instance and responds with the load of all instances except that one.
func (x *Exchange) handleReport(_ context.Context, from mesh.Peer, d digest) (digest, error) {
	x.record(x.members, from.ID, d)
	if x.dir.Large() {
		return x.reply(from, d, x.summaryExcept(from.ID)), nil
	}
	sum := x.reportExcept(from.ID)
	sum.add(x.localReport())
	return x.reply(from, d, pack(sum, x.now())), nil
}

// summaryExcept returns the summary without the part of one instance.
func (x *Exchange) summaryExcept(except string) digest {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.now().Sub(x.summary.at) >= summaryLifetime {
		x.refreshSummary()
	}
	announced := x.announcements(except)
	return digest{
		Lines: subtract(x.summary.lines, x.summary.included[except]), Leaving: packLeaving(announced.leaving), Limits: packLimits(announced.limits, x.now()),
	}
}

// refreshSummary recomputes the summary. The caller holds mu.
func (x *Exchange) refreshSummary() {
	sum := make(pool.Loads)
	sum.Add(x.pool.Loads())
	add := func(r report) { sum.Add(r.loads) }
	x.eachCurrent(x.members, "", add)
	x.eachCurrentOutside(add)
	included := make(map[string][]line, len(x.members))
	for id, r := range x.members {
		included[id] = r.digest.Lines
	}
	x.summary = summary{lines: packLoads(sum), included: included, at: x.now()}
}

// announcements returns what endpoints have announced to this instance, or to any other instance except one. The result
// is small and never cached: an instance that has withdrawn an announcement must not receive it back. The caller holds
// mu.
func (x *Exchange) announcements(except string) report {
	out := report{leaving: make(pool.Leaving), limits: make(pool.Limits)}
	add := func(r report) {
		out.leaving.Add(r.leaving)
		out.limits.Add(r.limits)
	}
	add(report{leaving: x.pool.Leaving(), limits: x.pool.Limits()})
	x.eachCurrent(x.members, except, add)
	x.eachCurrentOutside(add)
	return out
}

// handleZone stores the sum of another availability zone and responds with the sum of this instance's zone.
func (x *Exchange) handleZone(_ context.Context, from mesh.Peer, d digest) (digest, error) {
	x.record(x.zones, from.Zone, d)
	return x.reply(from, d, pack(x.subtreeReport(), x.now())), nil
}

// reply handles the piggybacked data of a received digest. It adds the piggybacked data for the sender, and the rates
// that are granted to it, to the response.
func (x *Exchange) reply(from mesh.Peer, d, out digest) digest {
	x.piggyback.Receive(from.ID, d.Piggyback)
	out.Piggyback, out.Grants = x.piggyback.Payload(from.ID), x.grantsFor(from.ID, d.Claims)
	return out
}

func (x *Exchange) record(list map[string]received, key string, d digest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	list[key] = received{digest: d, report: d.unpack(x.now()), at: x.now()}
}

// recordAbove stores what a parent has reported.
func (x *Exchange) recordAbove(d digest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.above = received{digest: d, report: d.unpack(x.now()), at: x.now()}
}

// subtreeReport sums the reports of this instance and of those that report to it.
func (x *Exchange) subtreeReport() report {
	out := newReport()
	out.add(x.localReport())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.eachCurrent(x.members, "", out.add)
	return out
}

// reportExcept sums the reports of all other instances except one.
func (x *Exchange) reportExcept(except string) report {
	out := newReport()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.eachCurrent(x.members, except, out.add)
	x.eachCurrentOutside(out.add)
	return out
}

// eachCurrentOutside calls visit with the recent reports from outside this instance's subtree: those of the parent, or of
// the other zones. The caller holds mu.
func (x *Exchange) eachCurrentOutside(visit func(report)) {
	if x.now().Sub(x.above.at) <= reportLifetime {
		visit(x.above.report)
		return
	}
	x.eachCurrent(x.zones, "", visit)
}

// eachCurrent calls visit with the recent reports of all but one instance, and drops outdated reports. The caller
// holds mu.
func (x *Exchange) eachCurrent(list map[string]received, except string, visit func(report)) {
	now := x.now()
	for key, r := range list {
		switch {
		case now.Sub(r.at) > reportLifetime:
			delete(list, key)
		case key != except:
			visit(r.report)
		}
	}
}
