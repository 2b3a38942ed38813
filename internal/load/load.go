// Package load lets the instances of a fleet know what others have under way at the endpoints.
//
// An instance sees only its own requests, which in a large fleet is next to nothing of what runs at an endpoint. Each tells one
// instance (its zone's leader in a large fleet) what it has there, and gets what all others have. Leaders exchange the sums of
// their zones. All of it is a hint: picks work without, and what is old counts as unknown.
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

// KindTell tells what the sender has under way and asks for what all others have.
const KindTell mesh.Kind = "load.tell"

// KindZone tells the sum of a zone and asks for that of the answering instance's zone.
const KindZone mesh.Kind = "load.zone"

const (
	tellEvery = 500 * time.Millisecond // between exchanges: a stream lasts some seconds, and each exchange costs a message
	askLimit  = 250 * time.Millisecond // of one exchange
	life      = pool.OthersLife        // what was told counts for so long
	sumFor    = tellEvery / 2          // a sum that is told to many is made anew after this
)

// report is what some instances know of endpoints.
type report struct {
	loads   pool.Loads
	leaving pool.Leaving // which endpoints have said to them that they leave
	limits  pool.Limits  // what endpoints have said to them of their limits
}

func newReport() report {
	return report{loads: make(pool.Loads), leaving: make(pool.Leaving), limits: make(pool.Limits)}
}

// add adds what other instances know.
func (r report) add(other report) {
	r.loads.Add(other.loads)
	r.leaving.Add(other.leaving)
	r.limits.Add(other.limits)
}

// received is what one instance or zone said last.
type received struct {
	digest digest
	report report
	at     time.Time
}

// summary is what this instance and those that tell it have under way, as it is told to many of them. It is made once for all, and the part of the
// one that is told is left out of it: made anew for each, it took the leader of a large zone most of its processor time.
type summary struct {
	lines    []line
	included map[string][]line // of each instance that tells this one
	at       time.Time
}

// Rider has something to tell to the same instances, rarely and in few bytes. It travels with the loads: messages of its own would double what
// the leader of a zone handles.
type Rider interface {
	// Tell is what is to be told to an instance now; nil: nothing.
	Tell(to string) []byte
	// Receive takes what an instance tells.
	Receive(from string, b []byte)
}

type noRider struct{}

func (noRider) Tell(string) []byte     { return nil }
func (noRider) Receive(string, []byte) {}

// Exchange is the service that tells and asks.
type Exchange struct {
	dir   *peers.Directory
	pool  *pool.Pool
	now   func() time.Time
	rider Rider

	mu      sync.Mutex
	members map[string]received // by instance, where this one gathers
	zones   map[string]received // by zone other than its own, likewise
	summary summary

	division *limit.Division
	rates    map[uint32]limit.Rate // of endpoints that name limits, as of synced
	synced   time.Time             // the last exchange began
	limits   func(endpoints int, perSecond float64)
}

// Option changes an Exchange.
type Option func(*Exchange)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(x *Exchange) { x.now = now } }

// WithRider lets something else travel with the loads.
func WithRider(r Rider) Option { return func(x *Exchange) { x.rider = r } }

// OnLimits sets what is told, with each exchange, how many endpoints name limits, and how many requests a second this instance may send to all of
// them.
func OnLimits(f func(endpoints int, perSecond float64)) Option {
	return func(x *Exchange) { x.limits = f }
}

// New makes an exchange and registers its messages.
func New(dir *peers.Directory, p *pool.Pool, router *mesh.Router, opts ...Option) *Exchange {
	x := &Exchange{
		dir: dir, pool: p, now: time.Now, rider: noRider{}, members: make(map[string]received), zones: make(map[string]received),
		division: limit.NewDivision(), limits: func(int, float64) {},
	}
	for _, opt := range opts {
		opt(x)
	}
	mesh.Handle(router, KindTell, x.tell)
	mesh.Handle(router, KindZone, x.zone)
	return x
}

// Name implements kernel.Service.
func (*Exchange) Name() string { return "load" }

// Run implements kernel.Service.
func (x *Exchange) Run(ctx context.Context) error {
	kernel.Every(ctx, tellEvery, x.Sync)
	return nil
}

// Sync makes one exchange.
func (x *Exchange) Sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	x.asking()
	defer x.lease()
	keepers := x.dir.Coordinators()
	if len(keepers) == 0 {
		x.askZones(ctx)
		x.observe(x.sum(""))
		return
	}
	mine := pack(x.own(), x.now())
	for _, p := range keepers {
		asked := x.now()
		mine.Rider, mine.Asks = x.rider.Tell(p.ID), x.asks(p.ID)
		others, err := peers.Call[digest, digest](ctx, x.dir, p, KindTell, mine)
		if err == nil {
			x.rider.Receive(p.ID, others.Rider)
			x.granted(others.Grants, asked)
			x.observe(others.unpack(x.now()))
			return
		}
	}
}

// own is what this instance knows itself.
func (x *Exchange) own() report {
	return report{loads: x.pool.Loads(), leaving: x.pool.Leaving(), limits: x.pool.Limits()}
}

// observe takes what all others know.
func (x *Exchange) observe(r report) {
	x.pool.SetOthers(r.loads)
	x.pool.ObserveLeaving(r.leaving)
	x.pool.ObserveLimits(r.limits)
}

// askZones exchanges sums with one instance of each other zone, if the fleet is so large that its zones are led.
func (x *Exchange) askZones(ctx context.Context) {
	if !x.dir.Large() {
		return
	}
	mine := pack(x.zoneSum(), x.now())
	top, led := x.top()
	var wg sync.WaitGroup
	for _, p := range x.dir.OtherZoneLeaders() {
		wg.Go(func() {
			asked := x.now()
			mine := digest{Lines: mine.Lines, Leaving: mine.Leaving, Limits: mine.Limits, Rider: x.rider.Tell(p.ID)}
			if led && p.ID == top {
				mine.Asks = x.asks(p.ID)
			}
			theirs, err := peers.Call[digest, digest](ctx, x.dir, p, KindZone, mine)
			if err == nil {
				x.rider.Receive(p.ID, theirs.Rider)
				x.granted(theirs.Grants, asked)
				x.note(x.zones, p.Zone, theirs)
			}
		})
	}
	wg.Wait()
}

// tell takes what another instance has under way and answers with what all but that one have.
func (x *Exchange) tell(_ context.Context, from mesh.Peer, d digest) (digest, error) {
	x.note(x.members, from.ID, d)
	if x.dir.Large() {
		return x.ride(from, d, x.summed(from.ID)), nil
	}
	sum := x.sum(from.ID)
	sum.add(x.own())
	return x.ride(from, d, pack(sum, x.now())), nil
}

// summed is the summary without the part of one instance.
func (x *Exchange) summed(without string) digest {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.now().Sub(x.summary.at) >= sumFor {
		x.summarize()
	}
	words := x.words(without)
	return digest{
		Lines: minus(x.summary.lines, x.summary.included[without]), Leaving: packLeaving(words.leaving), Limits: packLimits(words.limits, x.now()),
	}
}

// summarize makes the summary anew. The caller holds mu.
func (x *Exchange) summarize() {
	sum := make(pool.Loads)
	sum.Add(x.pool.Loads())
	add := func(r report) { sum.Add(r.loads) }
	x.eachReported(x.members, "", add)
	x.eachReported(x.zones, "", add)
	included := make(map[string][]line, len(x.members))
	for id, t := range x.members {
		included[id] = t.digest.Lines
	}
	x.summary = summary{lines: packLoads(sum), included: included, at: x.now()}
}

// words is what endpoints have said to this instance or to others but one. It is few, and told as it is now: a word must not come back to who has
// forgotten it. The caller holds mu.
func (x *Exchange) words(without string) report {
	out := report{leaving: make(pool.Leaving), limits: make(pool.Limits)}
	add := func(r report) {
		out.leaving.Add(r.leaving)
		out.limits.Add(r.limits)
	}
	add(report{leaving: x.pool.Leaving(), limits: x.pool.Limits()})
	x.eachReported(x.members, without, add)
	x.eachReported(x.zones, "", add)
	return out
}

// zone takes the sum of another zone and answers with that of the own.
func (x *Exchange) zone(_ context.Context, from mesh.Peer, d digest) (digest, error) {
	x.note(x.zones, from.Zone, d)
	return x.ride(from, d, pack(x.zoneSum(), x.now())), nil
}

// ride lets the rider hear what came with a digest, and tell with the answer; the answer has what is lent of limits, too.
func (x *Exchange) ride(from mesh.Peer, d, out digest) digest {
	x.rider.Receive(from.ID, d.Rider)
	out.Rider, out.Grants = x.rider.Tell(from.ID), x.grants(from.ID, d.Asks)
	return out
}

func (x *Exchange) note(list map[string]received, key string, d digest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	list[key] = received{digest: d, report: d.unpack(x.now()), at: x.now()}
}

// zoneSum is what the instances that tell this one know, and this one itself.
func (x *Exchange) zoneSum() report {
	out := newReport()
	out.add(x.own())
	x.mu.Lock()
	defer x.mu.Unlock()
	x.eachReported(x.members, "", out.add)
	return out
}

// sum is what all others know but one.
func (x *Exchange) sum(without string) report {
	out := newReport()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.eachReported(x.members, without, out.add)
	x.eachReported(x.zones, "", out.add)
	return out
}

// eachReported takes what was told lately by all but one, and forgets what is old. The caller holds mu.
func (x *Exchange) eachReported(list map[string]received, without string, take func(report)) {
	now := x.now()
	for key, t := range list {
		switch {
		case now.Sub(t.at) > life:
			delete(list, key)
		case key != without:
			take(t.report)
		}
	}
}
