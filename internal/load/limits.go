package load

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// never is an age in messages of what has not been.
const never = -1

// named is what an endpoint has said of its limit.
type named struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32   // as in pool.Loads
	Rate      int64    // that it last named, in thousandths of a request a second
	NamedMs   int64    // since then; never: it has named none
	MissingMs int64    // since a request was sent whose answer named none; never: there was none
}

// ask is a limit.Ask, in thousandths of a request a second.
type ask struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint32   // as in pool.Loads
	Demand   int64
	Offer    int64
}

// grant is a limit.Grant, in thousandths of a request a second.
type grant struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  uint32   // as in pool.Loads
	Limit     int64
	PerSecond int64
	ForMs     int64
	Holders   int
	Fleet     int64 // in thousandths of a request a second
	Few       bool
}

// packLimits writes limits down; of too many those that were said last.
func packLimits(limits pool.Limits, now time.Time) []named {
	age := func(at time.Time) int64 {
		if at.IsZero() {
			return never
		}
		return max(0, now.Sub(at).Milliseconds())
	}
	out := make([]named, 0, len(limits))
	for key, k := range limits {
		out = append(out, named{Endpoint: key, Rate: thousandths(k.Last().PerSecond()), NamedMs: age(k.Named()), MissingMs: age(k.Missing())})
	}
	return capped(out, func(a, b named) int { return cmp.Compare(a.NamedMs, b.NamedMs) })
}

func unpackLimits(list []named, now time.Time) pool.Limits {
	out := make(pool.Limits, len(list))
	at := func(age int64) time.Time {
		if age < 0 || age > mostAge.Milliseconds() {
			return time.Time{}
		}
		return now.Add(-time.Duration(age) * time.Millisecond)
	}
	for _, n := range list {
		if n.Rate >= 0 {
			out[n.Endpoint] = limit.Reported(limit.PerSecond(whole(n.Rate)), at(n.NamedMs), at(n.MissingMs))
		}
	}
	return out
}

func packAsks(asks limit.Asks) []ask {
	out := make([]ask, 0, len(asks))
	for key, a := range asks {
		out = append(out, ask{Endpoint: key, Demand: thousandths(a.Demand), Offer: thousandths(a.Offer)})
	}
	return capped(out, func(a, b ask) int { return cmp.Compare(b.Demand, a.Demand) })
}

func unpackAsks(list []ask) limit.Asks {
	out := make(limit.Asks, len(list))
	for _, a := range list {
		out[a.Endpoint] = limit.Ask{Demand: whole(a.Demand), Offer: whole(a.Offer)}
	}
	return out
}

func packGrants(grants limit.Grants) []grant {
	out := make([]grant, 0, len(grants))
	for key, g := range grants {
		out = append(out, grant{
			Endpoint: key, Limit: thousandths(g.Limit), PerSecond: thousandths(g.PerSecond), ForMs: g.For.Milliseconds(), Holders: g.Holders,
			Fleet: thousandths(g.Fleet), Few: g.Few,
		})
	}
	return out
}

func unpackGrants(list []grant) limit.Grants {
	out := make(limit.Grants, len(list))
	for _, g := range list {
		out[g.Endpoint] = limit.Grant{
			Limit: whole(g.Limit), PerSecond: whole(g.PerSecond), For: time.Duration(min(g.ForMs, mostAge.Milliseconds())) * time.Millisecond,
			Holders: g.Holders, Fleet: whole(g.Fleet), Few: g.Few,
		}
	}
	return out
}

// capped is a list without what is too much of it, the first in an order kept.
func capped[T any](list []T, order func(a, b T) int) []T {
	if len(list) > mostLines {
		slices.SortFunc(list, order)
		list = list[:mostLines]
	}
	return list
}

// thousandths rounds down: what is lent must not grow on the way.
func thousandths(perSecond float64) int64 { return int64(math.Floor(perSecond * flowSteps)) }

func whole(thousandths int64) float64 { return float64(thousandths) / flowSteps }

// stalled is how old this instance's last exchange may be while it lends: what it hears after it stood still may have been said long before.
const stalled = 3 * tellEvery

// asking brings what this instance says of limits up to date.
func (x *Exchange) asking() {
	now := x.now()
	limited := x.pool.Limited()
	part := x.dir.EvenShare(limit.Settle)
	rates, asks := make(map[uint32]limit.Rate, len(limited)), make(limit.Asks, len(limited))
	for key, l := range limited {
		rates[key] = l.Rate
		asks[key] = limit.Ask{Demand: l.Demand, Offer: part * l.Rate.Bound()}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.dir.EvenShare(limit.LeaseTime) == 0 {
		clear(rates) // what the process before this one has lent may still be in use
	}
	x.rates, x.synced = rates, now
	x.division.Forget(rates, now)
	x.division.Own(asks, now)
}

// asks is what is asked of another instance for those who ask this one.
func (x *Exchange) asks(to string) []ask {
	x.mu.Lock()
	defer x.mu.Unlock()
	return packAsks(x.division.Above(to, x.now()))
}

// granted takes what was lent for what was asked at a moment.
func (x *Exchange) granted(list []grant, asked time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.division.Take(unpackGrants(list), asked)
}

// grants lends to an instance what it asks for.
func (x *Exchange) grants(to string, asks []ask) []grant {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	if len(asks) == 0 || now.Sub(x.synced) > stalled {
		return nil
	}
	x.division.Observe(to, unpackAsks(asks), now)
	return packGrants(x.division.Lend(to, x.rates, now))
}

// lease gives the pool what this instance itself is lent.
func (x *Exchange) lease() {
	x.mu.Lock()
	leases, endpoints := x.division.OwnLeases(x.rates, x.now()), len(x.rates)
	x.mu.Unlock()
	x.pool.SetLeases(leases)
	perSecond := 0.0
	for _, l := range leases {
		perSecond += l.PerSecond()
	}
	x.limits(endpoints, perSecond)
}

// top is the instance that a zone's leader asks for its zone; false: this one asks none.
func (x *Exchange) top() (peer string, ok bool) {
	list := x.dir.FleetLeaders()
	if len(list) == 0 {
		return "", false
	}
	return list[0].ID, true
}
