package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// never is the age, in messages, of an event that has not happened.
const never = -1

// announcedLimit is what an endpoint has announced about its limit.
type announcedLimit struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32   // as in pool.Loads
	Rate      int64    // last announced, in thousandths of a request per second
	NamedMs   int64    // since the announcement; never: none was made
	MissingMs int64    // since a request was sent whose response announced no limit; never: there was none
}

// claim is a limit.Claim, in thousandths of a request per second.
type claim struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	Demand   int64
	Offer    int64
}

// grant is a limit.Grant, in thousandths of a request per second.
type grant struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32   // as in pool.Loads
	Limit     int64
	PerSecond int64
	ForMs     int64
	Holders   int
	Fleet     int64 // limit.Grant.FleetDemand
	Few       bool  // limit.Grant.Partial
}

// packLimits encodes limits. If there are too many, it keeps the latest announcements.
func packLimits(limits pool.Limits, now time.Time) []announcedLimit {
	age := func(at time.Time) int64 {
		if at.IsZero() {
			return never
		}
		return max(0, now.Sub(at).Milliseconds())
	}
	out := make([]announcedLimit, 0, len(limits))
	for key, s := range limits {
		out = append(out, announcedLimit{Endpoint: key, Rate: floorThousandths(s.LastRate().PerSecond()), NamedMs: age(s.AnnouncedAt()), MissingMs: age(s.OmittedAt())})
	}
	return truncate(out, func(a, b announcedLimit) int { return cmp.Compare(a.NamedMs, b.NamedMs) })
}

func unpackLimits(list []announcedLimit, now time.Time) pool.Limits {
	out := make(pool.Limits, len(list))
	at := func(age int64) time.Time {
		if age < 0 || age > maxAge.Milliseconds() {
			return time.Time{}
		}
		return now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, n := range list {
		if n.Rate >= 0 {
			out[n.Endpoint] = limit.NewState(limit.PerSecond(fromThousandths(n.Rate)), at(n.NamedMs), at(n.MissingMs))
		}
	}
	return out
}

func packClaims(claims limit.Claims) []claim {
	out := make([]claim, 0, len(claims))
	for key, c := range claims {
		out = append(out, claim{Endpoint: key, Demand: floorThousandths(c.Demand), Offer: floorThousandths(c.Offer)})
	}
	return truncate(out, func(a, b claim) int { return cmp.Compare(b.Demand, a.Demand) })
}

func unpackClaims(list []claim) limit.Claims {
	out := make(limit.Claims, len(list))
	for _, c := range list {
		out[c.Endpoint] = limit.Claim{Demand: fromThousandths(c.Demand), Offer: fromThousandths(c.Offer)}
	}
	return out
}

func packGrants(grants limit.Grants) []grant {
	out := make([]grant, 0, len(grants))
	for key, g := range grants {
		out = append(out, grant{
			Endpoint: key, Limit: floorThousandths(g.Limit), PerSecond: floorThousandths(g.PerSecond), ForMs: g.For.Milliseconds(), Holders: g.Holders,
			Fleet: floorThousandths(g.FleetDemand), Few: g.Partial,
		})
	}
	return out
}

func unpackGrants(list []grant) limit.Grants {
	out := make(limit.Grants, len(list))
	for _, g := range list {
		out[g.Endpoint] = limit.Grant{
			Limit: fromThousandths(g.Limit), PerSecond: fromThousandths(g.PerSecond), For: time.Duration(min(g.ForMs, maxAge.Milliseconds())) * time.Millisecond,
			Holders: g.Holders, FleetDemand: fromThousandths(g.Fleet), Partial: g.Few,
		}
	}
	return out
}

// truncate shortens a list to maxLines entries. If it is too long, the first entries by order are kept.
func truncate[T any](list []T, order func(a, b T) int) []T {
	if len(list) > maxLines {
		slices.SortFunc(list, order)
		list = list[:maxLines]
	}
	return list
}

// floorThousandths rounds down: a granted rate must not grow when it is encoded.
func floorThousandths(perSecond float64) int64 { return int64(math.Floor(perSecond * flowScale)) }

func fromThousandths(thousandths int64) float64 { return float64(thousandths) / flowScale }

// maxExchangeAge is the maximum age of this instance's last exchange at which it grants rates. After a longer stall of
// the process, the claims that it receives may have been sent long before.
const maxExchangeAge = 3 * exchangeInterval

// updateClaims refreshes the claims of this instance, and the limits of which it may grant shares.
func (x *Exchange) updateClaims() {
	now := x.now()
	limited := x.pool.Limited()
	evenShare := x.dir.EvenShare(limit.SettleTime)
	rates, claims := make(map[uint32]limit.Rate, len(limited)), make(limit.Claims, len(limited))
	for key, l := range limited {
		rates[key] = l.Rate
		claims[key] = limit.Claim{Demand: l.Demand, Offer: evenShare * l.Rate.Bound()}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.dir.EvenShare(limit.LeaseDuration) == 0 {
		clear(rates) // leases granted by the previous process of this instance may still be in use
	}
	x.rates, x.lastExchange = rates, now
	x.allocator.Prune(rates, now)
	x.allocator.SetLocal(claims, now)
}

// claimsFor returns the claims to send to another instance, on behalf of this instance and of those that send their
// claims to it.
func (x *Exchange) claimsFor(to string) []claim {
	x.mu.Lock()
	defer x.mu.Unlock()
	return packClaims(x.allocator.Aggregate(to, x.now()))
}

// acceptGrants stores the rates that were granted for the claims sent at requestedAt.
func (x *Exchange) acceptGrants(list []grant, requestedAt time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.allocator.AcceptGrants(unpackGrants(list), requestedAt)
}

// grantsFor grants rates to an instance for its claims.
func (x *Exchange) grantsFor(to string, claims []claim) []grant {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	if len(claims) == 0 || now.Sub(x.lastExchange) > maxExchangeAge {
		return nil
	}
	x.allocator.Observe(to, unpackClaims(claims), now)
	return packGrants(x.allocator.Grant(to, x.rates, now))
}

// applyLeases passes the leases of this instance to the pool.
func (x *Exchange) applyLeases() {
	x.mu.Lock()
	leases, endpoints := x.allocator.LocalLeases(x.rates, x.now()), len(x.rates)
	x.mu.Unlock()
	x.pool.SetLeases(leases)
	perSecond := 0.0
	for _, l := range leases {
		perSecond += l.PerSecond()
	}
	x.onLimits(endpoints, perSecond)
}

// fleetLeader returns the instance to which the leader of an availability zone sends the claims of its zone; ok is
// false if this instance sends none.
func (x *Exchange) fleetLeader() (peer string, ok bool) {
	list := x.dir.FleetLeaders()
	if len(list) == 0 {
		return "", false
	}
	return list[0].ID, true
}
