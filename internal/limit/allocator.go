package limit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Durations and thresholds of the allocation.
const (
	// offerDuration is how long an instance does not use its share after it has offered it. This is longer than the share
	// can be in use elsewhere: claimLifetime at each of the instances that pass it on, then LeaseDuration, and the transit
	// time of the messages.
	offerDuration = 5 * time.Second
	// claimLifetime is how long a claim counts; instances repeat their claims twice a second.
	claimLifetime = 800 * time.Millisecond
	// LeaseDuration is how long a granted rate may be used.
	LeaseDuration = 1500 * time.Millisecond
	// hysteresis is the factor by which the demand of another instance must be higher than that of a lease holder for
	// the lease to move to it: an instance that receives a new lease starts with an empty bucket.
	hysteresis = 1.5
)

// SettleTime is how long a restarted instance has no share, since its previous process may have offered the share.
const SettleTime = offerDuration

// Claim is what an instance, or a group of instances, reports about one endpoint.
type Claim struct {
	Demand float64 // requests per second that it would send there
	Offer  float64 // part of its share that it offers for some seconds, in requests per second
}

// Grant is the rate that is granted for a Claim.
type Grant struct {
	Limit       float64 // limit under which it is granted, in requests per second
	PerSecond   float64
	For         time.Duration // counted from when the claim was sent
	Holders     int           // number of instances among which it may be divided
	FleetDemand float64       // requests per second of all instances for the service of the endpoint
	Partial     bool          // some instances with requests were granted nothing
}

// Claims maps endpoints, by their key in the load exchange, to claims.
type Claims map[uint32]Claim

// Grants maps endpoints, by the same keys as Claims, to grants.
type Grants map[uint32]Grant

// local is the name of the instance itself as a claimant.
const local = ""

// Allocator grants shares of the limits of endpoints to the instances that have requests for them, as far as
// instances have offered their shares to this one. If there is an upstream instance, it passes claims and offers on
// to it. It is not safe for concurrent use.
type Allocator struct {
	upstream      string    // instance to which shares were last offered
	offeredUntil  time.Time // end of that offer
	lastAggregate time.Time // when claims were last aggregated for another instance
	grantedUntil  time.Time // end of the leases granted from shares that were not offered upstream
	endpoints     map[uint32]*allocation
}

// NewAllocator returns an empty Allocator.
func NewAllocator() *Allocator { return &Allocator{endpoints: make(map[uint32]*allocation)} }

// allocation is the division of one endpoint's limit.
type allocation struct {
	claimants map[string]*claimant
	lease     Lease // from the upstream instance
}

// claimant is an instance that sends claims.
type claimant struct {
	name   string
	claim  Claim     // the last one
	at     time.Time // when it arrived
	leases []Lease   // may still be in use: if a response is lost, the claimant continues to use the previous lease
}

// fresh reports whether the last claim still counts.
func (c *claimant) fresh(now time.Time) bool { return now.Sub(c.at) < claimLifetime }

// inUse returns the highest rate that the claimant may be using.
func (c *claimant) inUse(now time.Time) float64 {
	c.leases = slices.DeleteFunc(c.leases, func(l Lease) bool { return !now.Before(l.until) })
	x := 0.0
	for _, l := range c.leases {
		x = max(x, l.perSecond)
	}
	return x
}

// SetLocal records the claims of this instance itself.
func (a *Allocator) SetLocal(claims Claims, now time.Time) { a.Observe(local, claims, now) }

// Observe records the claims of an instance.
func (a *Allocator) Observe(from string, claims Claims, now time.Time) {
	for key, claim := range claims {
		s := a.endpoints[key]
		if s == nil {
			s = &allocation{claimants: make(map[string]*claimant)}
			a.endpoints[key] = s
		}
		c := s.claimants[from]
		if c == nil {
			c = &claimant{name: from}
			s.claimants[from] = c
		}
		c.claim, c.at = sanitize(claim), now
	}
}

// sanitize bounds the figures of another instance, so that they can be summed.
func sanitize(c Claim) Claim {
	clamp := func(x float64) float64 {
		if math.IsNaN(x) {
			return 0
		}
		return min(max(0, x), maxRate)
	}
	return Claim{Demand: clamp(c.Demand), Offer: clamp(c.Offer)}
}

// Aggregate returns the claims to send to another instance on behalf of all claimants. It offers all their shares to
// that instance, unless this one has granted leases from them, or a previous offer to a different instance still
// counts.
func (a *Allocator) Aggregate(to string, now time.Time) Claims {
	a.lastAggregate = now
	if now.Before(a.grantedUntil) || (to != a.upstream && now.Before(a.offeredUntil)) {
		return a.totals(now, false)
	}
	out := a.totals(now, true)
	if len(out) > 0 {
		a.upstream, a.offeredUntil = to, now.Add(offerDuration)
	}
	return out
}

func (a *Allocator) totals(now time.Time, withOffers bool) Claims {
	out := make(Claims, len(a.endpoints))
	for key, s := range a.endpoints {
		var sum Claim
		for _, c := range s.claimants {
			if !c.fresh(now) {
				continue
			}
			sum.Demand += c.claim.Demand
			if withOffers {
				sum.Offer += c.claim.Offer
			}
		}
		out[key] = sum
	}
	return out
}

// AcceptGrants stores the grants of the upstream instance for the claims sent at requestedAt.
func (a *Allocator) AcceptGrants(grants Grants, requestedAt time.Time) {
	for key, g := range grants {
		if s := a.endpoints[key]; s != nil {
			s.lease = g.lease(requestedAt)
		}
	}
}

// lease returns the lease of an instance that receives a grant for its claim sent at requestedAt.
func (g Grant) lease(requestedAt time.Time) Lease {
	sanitized := sanitize(Claim{Demand: g.PerSecond, Offer: g.FleetDemand})
	return Lease{
		limit: max(minRate, g.Limit), perSecond: sanitized.Demand, until: requestedAt.Add(min(max(0, g.For), LeaseDuration)), holders: max(1, g.Holders),
		fleetDemand: sanitized.Offer, partial: g.Partial,
	}
}

// LocalLeases returns the leases of this instance itself, for endpoints whose limits are given.
func (a *Allocator) LocalLeases(limits map[uint32]Rate, now time.Time) map[uint32]Lease {
	out := make(map[uint32]Lease, len(limits))
	for key, g := range a.Grant(local, limits, now) {
		out[key] = g.lease(now)
	}
	return out
}

// Grant grants an instance its share, for endpoints whose limits are given. Rates that others may be using are
// not granted twice.
func (a *Allocator) Grant(to string, limits map[uint32]Rate, now time.Time) Grants {
	out := make(Grants, len(limits))
	for key, r := range limits {
		s := a.endpoints[key]
		if s == nil || s.claimants[to] == nil || !s.claimants[to].fresh(now) {
			continue
		}
		available := a.grantable(s, r, now)
		g := s.grant(s.claimants[to], available, now)
		if g.PerSecond <= 0 || !available.until.After(now) {
			continue
		}
		s.claimants[to].leases = append(s.claimants[to].leases, Lease{perSecond: g.PerSecond, until: available.until})
		out[key] = g
		if !a.subordinate(now) && available.until.After(a.grantedUntil) {
			a.grantedUntil = available.until
		}
	}
	return out
}

// subordinate reports whether this instance grants only what the upstream instance grants to it: it has offered its
// shares upstream, or is about to.
func (a *Allocator) subordinate(now time.Time) bool {
	return now.Before(a.offeredUntil) || now.Sub(a.lastAggregate) < claimLifetime
}

// grantable returns the rate that this instance may grant, and until when: its lease from upstream if it is
// subordinate, otherwise the sum of the shares that were offered to it.
func (a *Allocator) grantable(s *allocation, r Rate, now time.Time) Lease {
	until := now.Add(LeaseDuration)
	if a.subordinate(now) {
		out := s.lease
		out.limit, out.perSecond = r.Bound(), s.lease.rateUnder(r)
		if until.Before(out.until) {
			out.until = until
		}
		return out
	}
	var sum Claim
	for _, c := range s.claimants {
		if c.fresh(now) {
			sum.Demand += c.claim.Demand
			sum.Offer += c.claim.Offer
		}
	}
	return Lease{limit: r.Bound(), perSecond: min(sum.Offer, r.Bound()), until: until, holders: maxHolders(r), fleetDemand: sum.Demand}
}

// maxHolders returns how many instances may hold a lease of a limit at a time: few enough that one request from each
// at the same moment does not overload the endpoint.
func maxHolders(r Rate) int { return int(1.5*r.Bound()) + 2 }

// grant returns what a claimant receives of the available rate, as far as the leases of others leave it. If every
// claimant with demand may hold a lease, rates are proportional to demand. If there are too many claimants, those
// with the highest demand hold leases at equal rates per instance, since each holder attracts requests up to the rate
// that it holds.
func (s *allocation) grant(c *claimant, available Lease, now time.Time) Grant {
	list, partial := s.selectHolders(available.holders, now)
	sum, mine, others := 0.0, 0.0, 0.0
	for _, h := range list {
		x := h.claimant.claim.Demand
		if partial {
			x = float64(h.instances)
		}
		sum += x
		if h.claimant == c {
			mine = x
		}
	}
	for _, x := range s.claimants {
		if x != c {
			others += x.inUse(now)
		}
	}
	if mine == 0 {
		return Grant{}
	}
	return Grant{
		Limit: available.limit, PerSecond: max(0, min(available.perSecond*mine/sum, available.perSecond-others)), For: available.until.Sub(now),
		Holders: instanceCount(list, c), FleetDemand: available.fleetDemand, Partial: available.partial || partial,
	}
}

// leaseHolder is a claimant that receives a lease, with the number of instances among which it may divide the lease.
type leaseHolder struct {
	claimant  *claimant
	instances int
}

func instanceCount(list []leaseHolder, c *claimant) int {
	i := slices.IndexFunc(list, func(h leaseHolder) bool { return h.claimant == c })
	return list[i].instances
}

// selectHolders divides a maximum number of lease holders among the claimants by their demand. partial reports
// whether some claimants are left out.
func (s *allocation) selectHolders(maxCount int, now time.Time) (out []leaseHolder, partial bool) {
	weights := make(map[*claimant]float64, len(s.claimants))
	list, sum := make([]*claimant, 0, len(s.claimants)), 0.0
	for _, c := range s.claimants {
		if !c.fresh(now) || c.claim.Demand <= 0 {
			continue
		}
		weights[c] = c.claim.Demand
		if c.inUse(now) > 0 {
			weights[c] *= hysteresis
		}
		list = append(list, c)
		sum += weights[c]
	}
	// Each claimant gets the integer part of its share. If some are left out, those with the largest remainders get one
	// more, otherwise all do.
	share := func(c *claimant) float64 { return float64(max(0, maxCount-len(list))) * weights[c] / sum }
	if partial = len(list) > maxCount; partial {
		share = func(c *claimant) float64 { return float64(maxCount) * weights[c] / sum }
	}
	slices.SortFunc(list, func(a, b *claimant) int {
		x, y := share(a), share(b)
		return cmp.Or(cmp.Compare(y-math.Floor(y), x-math.Floor(x)), cmp.Compare(a.name, b.name))
	})
	left := maxCount
	for _, c := range list {
		left -= int(share(c))
	}
	for _, c := range list {
		n := int(share(c))
		if !partial || left > 0 {
			n++
			left--
		}
		if n > 0 {
			out = append(out, leaseHolder{claimant: c, instances: n})
		}
	}
	return out, partial
}

// Prune removes endpoints that no longer announce a limit, and claimants that send no claims and hold no leases.
func (a *Allocator) Prune(limits map[uint32]Rate, now time.Time) {
	for key, s := range a.endpoints {
		for name, c := range s.claimants {
			if !c.fresh(now) && c.inUse(now) == 0 {
				delete(s.claimants, name)
			}
		}
		if _, limited := limits[key]; !limited && len(s.claimants) == 0 {
			delete(a.endpoints, key)
		}
	}
}
