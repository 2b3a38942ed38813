package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Times of a division.
const (
	// givenUpFor is how long an instance does without its part after it has offered it: longer than the part can be in use elsewhere, which is
	// countsFor at each of the instances that it is passed on to, then LeaseTime, and the time of the messages.
	givenUpFor = 5 * time.Second
	// countsFor is how long what an instance has said counts: it says it again twice a second.
	countsFor = 800 * time.Millisecond
	// LeaseDuration is how long a granted rate may be used.
	LeaseDuration = 1500 * time.Millisecond
	// keeping is by how much more others must have to send for a lease to move to them: an instance that is given one begins with nothing.
	keeping = 1.5
)

// SettleTime is how long an instance that has started again has no part of its own: the process before it may have given it up.
const SettleTime = givenUpFor

// Claim is what an instance, or a group of them, says of one endpoint.
type Claim struct {
	Demand float64 // requests a second that it would send there
	Offer  float64 // requests a second that are its own part, and that it gives up for some seconds
}

// Grant is what is lent for an Ask.
type Grant struct {
	Limit       float64 // under which, in requests a second
	PerSecond   float64
	For         time.Duration // from when the instance asked
	Holders     int           // among how many instances it may be divided
	FleetDemand float64       // requests a second that all instances have for the endpoint's service
	Partial     bool          // other instances that have requests were lent nothing
}

// Claims are by endpoint, as an exchange between instances names it.
type Claims map[uint32]Claim

// Grants are by endpoint, like Asks.
type Grants map[uint32]Grant

// own is the name under which an instance asks itself.
const own = ""

// Allocator lends the limits of endpoints to the instances that have requests for them, as far as they have given up their parts to this one.
// It passes both on to an instance above it, if there is one. It is not safe for concurrent use.
type Allocator struct {
	above     string    // to which this instance's parts, and those given up to it, were last given up
	given     time.Time // until when they are
	asked     time.Time // when another instance was last asked
	lent      time.Time // until when leases are in use that were granted from parts that were not given up
	endpoints map[uint32]*shares
}

// NewAllocator makes a Division.
func NewAllocator() *Allocator { return &Allocator{endpoints: make(map[uint32]*shares)} }

// shares are the parts of one endpoint's limit.
type shares struct {
	askers map[string]*asker
	lease  Lease // from above
}

// asker is one that asks.
type asker struct {
	name   string
	ask    Claim
	at     time.Time
	leases []Lease // that may still be in use: an answer may be lost, so that an earlier one is
}

// counts reports whether what it said still counts.
func (a *asker) counts(now time.Time) bool { return now.Sub(a.at) < countsFor }

// held is the most that it may be using.
func (a *asker) held(now time.Time) float64 {
	a.leases = slices.DeleteFunc(a.leases, func(l Lease) bool { return !now.Before(l.until) })
	x := 0.0
	for _, l := range a.leases {
		x = max(x, l.perSecond)
	}
	return x
}

// SetLocal takes what this instance would send, and its own parts.
func (d *Allocator) SetLocal(asks Claims, now time.Time) { d.Observe(own, asks, now) }

// Observe takes what an instance asks.
func (d *Allocator) Observe(from string, asks Claims, now time.Time) {
	for key, ask := range asks {
		s := d.endpoints[key]
		if s == nil {
			s = &shares{askers: make(map[string]*asker)}
			d.endpoints[key] = s
		}
		a := s.askers[from]
		if a == nil {
			a = &asker{name: from}
			s.askers[from] = a
		}
		a.ask, a.at = clean(ask), now
	}
}

// clean makes what another instance says safe to add up.
func clean(a Claim) Claim {
	fit := func(x float64) float64 {
		if math.IsNaN(x) {
			return 0
		}
		return min(max(0, x), most)
	}
	return Claim{Demand: fit(a.Demand), Offer: fit(a.Offer)}
}

// Aggregate is what to ask of an instance, for all who ask this one. All parts are given up to it, unless they are given up to another one for some
// seconds more, or are lent.
func (d *Allocator) Aggregate(to string, now time.Time) Claims {
	d.asked = now
	if now.Before(d.lent) || (to != d.above && now.Before(d.given)) {
		return d.sums(now, false)
	}
	out := d.sums(now, true)
	if len(out) > 0 {
		d.above, d.given = to, now.Add(givenUpFor)
	}
	return out
}

func (d *Allocator) sums(now time.Time, offering bool) Claims {
	out := make(Claims, len(d.endpoints))
	for key, s := range d.endpoints {
		var sum Claim
		for _, a := range s.askers {
			if !a.counts(now) {
				continue
			}
			sum.Demand += a.ask.Demand
			if offering {
				sum.Offer += a.ask.Offer
			}
		}
		out[key] = sum
	}
	return out
}

// AcceptGrants takes what was lent from above for what was asked at a moment.
func (d *Allocator) AcceptGrants(grants Grants, asked time.Time) {
	for key, g := range grants {
		if s := d.endpoints[key]; s != nil {
			s.lease = g.lease(asked)
		}
	}
}

// lease is what a grant means to the instance that asked for it at a moment.
func (g Grant) lease(asked time.Time) Lease {
	fit := clean(Claim{Demand: g.PerSecond, Offer: g.FleetDemand})
	return Lease{
		limit: max(asking, g.Limit), perSecond: fit.Demand, until: asked.Add(min(max(0, g.For), LeaseDuration)), holders: max(1, g.Holders),
		fleet: fit.Offer, few: g.Partial,
	}
}

// LocalLeases are the leases of this instance itself, of endpoints whose limits are given.
func (d *Allocator) LocalLeases(limits map[uint32]Rate, now time.Time) map[uint32]Lease {
	out := make(map[uint32]Lease, len(limits))
	for key, g := range d.Lend(own, limits, now) {
		out[key] = g.lease(now)
	}
	return out
}

// Lend grants an instance its share, of endpoints whose limits are given. What others may be using is not granted twice.
func (d *Allocator) Lend(to string, limits map[uint32]Rate, now time.Time) Grants {
	out := make(Grants, len(limits))
	for key, r := range limits {
		s := d.endpoints[key]
		if s == nil || s.askers[to] == nil || !s.askers[to].counts(now) {
			continue
		}
		whole := d.whole(s, r, now)
		g := s.grant(s.askers[to], whole, now)
		if g.PerSecond <= 0 || !whole.until.After(now) {
			continue
		}
		s.askers[to].leases = append(s.askers[to].leases, Lease{perSecond: g.PerSecond, until: whole.until})
		out[key] = g
		if !d.led(now) && whole.until.After(d.lent) {
			d.lent = whole.until
		}
	}
	return out
}

// led reports whether this instance lends only what it is lent: it has given its parts up, or is about to.
func (d *Allocator) led(now time.Time) bool {
	return now.Before(d.given) || now.Sub(d.asked) < countsFor
}

// whole is what this instance may lend, and until when: of what it is lent itself, or of what was given up to it.
func (d *Allocator) whole(s *shares, r Rate, now time.Time) Lease {
	until := now.Add(LeaseDuration)
	if d.led(now) {
		whole := s.lease
		whole.limit, whole.perSecond = r.Bound(), s.lease.under(r)
		if until.Before(whole.until) {
			whole.until = until
		}
		return whole
	}
	var sum Claim
	for _, a := range s.askers {
		if a.counts(now) {
			sum.Demand += a.ask.Demand
			sum.Offer += a.ask.Offer
		}
	}
	return Lease{limit: r.Bound(), perSecond: min(sum.Offer, r.Bound()), until: until, holders: mostHolders(r), fleet: sum.Demand}
}

// mostHolders is how many instances may have a lease of a limit at a time: few enough that a request of each at once does no harm.
func mostHolders(r Rate) int { return int(1.5*r.Bound()) + 2 }

// grant is what one asker gets of a whole, as far as the others leave it. While all who have requests may hold something, they get parts by what they
// have. Where they are too many, those with the most hold something, and each as much as the others: each draws what it holds.
func (s *shares) grant(a *asker, whole Lease, now time.Time) Grant {
	list, few := s.holders(whole.holders, now)
	sum, mine, others := 0.0, 0.0, 0.0
	for _, h := range list {
		x := h.asker.ask.Demand
		if few {
			x = float64(h.count)
		}
		sum += x
		if h.asker == a {
			mine = x
		}
	}
	for _, x := range s.askers {
		if x != a {
			others += x.held(now)
		}
	}
	if mine == 0 {
		return Grant{}
	}
	return Grant{
		Limit: whole.limit, PerSecond: max(0, min(whole.perSecond*mine/sum, whole.perSecond-others)), For: whole.until.Sub(now),
		Holders: countOf(list, a), FleetDemand: whole.fleet, Partial: whole.few || few,
	}
}

// holder is an asker that gets something, and among how many instances it may divide that.
type holder struct {
	asker *asker
	count int
}

func countOf(list []holder, a *asker) int {
	i := slices.IndexFunc(list, func(h holder) bool { return h.asker == a })
	return list[i].count
}

// holders divides a number of holders among the askers, by what they have to send; few: some are left out.
func (s *shares) holders(most int, now time.Time) (out []holder, few bool) {
	weights := make(map[*asker]float64, len(s.askers))
	list, sum := make([]*asker, 0, len(s.askers)), 0.0
	for _, a := range s.askers {
		if !a.counts(now) || a.ask.Demand <= 0 {
			continue
		}
		weights[a] = a.ask.Demand
		if a.held(now) > 0 {
			weights[a] *= keeping
		}
		list = append(list, a)
		sum += weights[a]
	}
	// Each gets the whole part of its share, and those with the largest rest one more.
	share := func(a *asker) float64 { return float64(max(0, most-len(list))) * weights[a] / sum }
	if few = len(list) > most; few {
		share = func(a *asker) float64 { return float64(most) * weights[a] / sum }
	}
	slices.SortFunc(list, func(a, b *asker) int {
		x, y := share(a), share(b)
		return cmp.Or(cmp.Compare(y-math.Floor(y), x-math.Floor(x)), cmp.Compare(a.name, b.name))
	})
	left := most
	for _, a := range list {
		left -= int(share(a))
	}
	for _, a := range list {
		n := int(share(a))
		if !few || left > 0 {
			n++
			left--
		}
		if n > 0 {
			out = append(out, holder{asker: a, count: n})
		}
	}
	return out, few
}

// Prune drops the endpoints that name no limit any more, and askers that are silent and have nothing.
func (d *Allocator) Prune(limits map[uint32]Rate, now time.Time) {
	for key, s := range d.endpoints {
		for name, a := range s.askers {
			if !a.counts(now) && a.held(now) == 0 {
				delete(s.askers, name)
			}
		}
		if _, named := limits[key]; !named && len(s.askers) == 0 {
			delete(d.endpoints, key)
		}
	}
}
