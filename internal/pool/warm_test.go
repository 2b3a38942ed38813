package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	membership "github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/slowstart"
)

func TestEvacuated(t *testing.T) {
	Convey("Endpoints of an availability zone that is evacuated", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := newPool(clock, 2) // of zone a
		p.Put(Endpoint{ID: "far", Service: "models", Addr: "10.1.0.1:80", Zone: "b", Slots: 8})
		p.SetEvacuated([]string{"a"})

		Convey("get no new work, whatever the affinity", func() {
			for i := range 8 {
				lease := p.Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", i)})
				So(lease.Endpoint().ID, ShouldEqual, "far")
				lease.Done(EndGood)
			}
		})

		Convey("get none as a last resort either: not if all others are unhealthy, nor if all others have been tried", func() {
			for range 6 {
				p.Pick(Query{Service: "models"}).Done(EndBroken)
			}
			So(p.Pick(Query{Service: "models"}).Endpoint().ID, ShouldEqual, "far")
			So(p.Pick(Query{Service: "models", Tried: map[string]bool{"far": true}}), ShouldBeNil)
		})

		Convey("are reported as excluded by a pick whose affinity prefers one of them", func() {
			exclusions := make(map[Exclusion]int)
			for i := range 32 {
				lease := p.Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", i)})
				exclusions[lease.Exclusion()]++
				lease.Done(EndGood)
			}
			So(exclusions[ExcludedEvacuated], ShouldBeGreaterThan, 8)
			So(exclusions[NotExcluded], ShouldBeGreaterThan, 2)
		})

		Convey("get work again once the evacuation ends", func() {
			p.SetEvacuated(nil)
			seen := make(map[string]int)
			for i := range 32 {
				lease := p.Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", i)})
				seen[lease.Endpoint().ID]++
				lease.Done(EndGood)
			}
			So(len(seen), ShouldEqual, 3)
		})
	})
}

func TestRegions(t *testing.T) {
	Convey("A request that may run in some regions only is sent to no endpoint of another region", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithRegions(map[string]string{"a": "north", "b": "south"}))
		for _, zone := range []string{"a", "b", "c"} {
			p.Put(Endpoint{ID: "in-" + zone, Service: "models", Addr: "10.0.0.1:80", Zone: zone, Slots: 8})
		}
		south := Query{Service: "models", Regions: []string{"south"}}
		for range 8 {
			So(p.Pick(south).Endpoint().ID, ShouldEqual, "in-b")
		}
		So(p.Pick(south), ShouldBeNil)
		So(p.Pick(Query{Service: "models", Regions: []string{}}), ShouldBeNil)
		So(p.Pick(Query{Service: "models"}), ShouldNotBeNil)
	})
}

// rankedOwners determines owners by the same order at each instance, as peers.Directory does.
type rankedOwners struct {
	self string
	list []mesh.Peer
}

func (r rankedOwners) IsDiscovered() bool { return true }
func (r rankedOwners) Size() int          { return len(r.list) }
func (r rankedOwners) Position() (int, int) {
	return slices.IndexFunc(r.list, func(p mesh.Peer) bool { return p.ID == r.self }), len(r.list)
}

func (r rankedOwners) Owns(key string, first int) bool {
	for _, p := range membership.Rank(key, r.list)[:min(first, len(r.list))] {
		if p.ID == r.self {
			return true
		}
	}
	return false
}

// simulateColdZone simulates a large fleet in which a zone returns cold, at 420 requests a second of 360 topics. It
// returns the most requests that a cold endpoint gets in one second, and the share of all requests that found no
// endpoint.
func simulateColdZone(policy Policy, bounds slowstart.Bounds, perSecond float64) (worst int, refused float64) {
	const (
		instances, endpoints   = 87, 90
		requests               = 420 // a second
		topics                 = 360
		warm, second, lifetime = 3 * time.Second, time.Second, 2 * time.Second
	)
	clock := &testClock{at: time.Unix(1000, 0)}
	start := clock.at
	zones := []string{"a", "b", "c"}
	list := make([]mesh.Peer, instances)
	for i := range list {
		list[i] = mesh.Peer{ID: fmt.Sprint("instance-", i), Zone: zones[i%len(zones)]}
	}
	pools := make([]*Pool, instances)
	for i, x := range list {
		pools[i] = New(x.Zone, WithNow(clock.now), WithPolicy(policy), WithOwners(rankedOwners{x.ID, list}), WithColdBounds(bounds))
		pools[i].SetWarmups(map[string]slowstart.Warmup{"models": {Time: warm, PerSecond: perSecond}})
		for e := range endpoints {
			pools[i].Put(Endpoint{ID: fmt.Sprint("e-", e), Service: "models", Addr: "10.0.0.1:80", Zone: zones[e%len(zones)], Slots: 48})
		}
		pools[i].SetEvacuated([]string{"c"})
		pools[i].SetEvacuated(nil)
	}
	random := rand.New(rand.NewPCG(1, 2))
	sent := make(map[string][]time.Time)
	type open struct {
		lease *Lease
		until time.Time
	}
	var running []open
	total, unserved := 0, 0
	for clock.at.Before(start.Add(warm)) {
		clock.pass(second / requests)
		for len(running) > 0 && clock.at.After(running[0].until) {
			running[0].lease.Done(EndGood)
			running = running[1:]
		}
		total++
		lease := pools[random.IntN(instances)].Pick(Query{Service: "models", Affinity: fmt.Sprint("topic-", random.IntN(topics)), Prompt: 12_000, Shared: 6000})
		if lease == nil {
			unserved++
			continue
		}
		running = append(running, open{lease, clock.at.Add(lifetime)})
		e := lease.Endpoint()
		if e.Zone != "c" {
			continue
		}
		times := append(sent[e.ID], clock.at)
		for clock.at.Sub(times[0]) >= second {
			times = times[1:]
		}
		sent[e.ID] = times
		worst = max(worst, len(times))
	}
	return worst, float64(unserved) / float64(total)
}

func TestColdZone(t *testing.T) {
	Convey("When a zone returns cold, no cold endpoint gets more in a second than all instances together may send", t, func() {
		const perSecond = 5 // low enough that affinity alone exceeds the bound in every run
		bounds := slowstart.Bounds{Overage: 1.5, Slack: 1}
		const maxPerSecond = 8 // PerSecond * Overage + Slack, rounded down
		unbounded, _ := simulateColdZone(DefaultPolicy(), bounds, 0)
		So(unbounded, ShouldBeGreaterThan, maxPerSecond)

		owned := DefaultPolicy()
		owned.ColdLast = false
		worst, refused := simulateColdZone(owned, bounds, perSecond)
		So(worst, ShouldBeBetweenOrEqual, 1, maxPerSecond)
		So(refused, ShouldEqual, 0)

		last := DefaultPolicy()
		last.ColdLast = true
		worst, refused = simulateColdZone(last, bounds, perSecond)
		So(worst, ShouldEqual, 0)
		So(refused, ShouldEqual, 0)
	})

	Convey("If all remaining endpoints are cold", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now), WithColdBounds(slowstart.Bounds{Overage: 1.5, Slack: 5}))
		p.SetWarmups(map[string]slowstart.Warmup{"models": {Time: 3 * time.Second, PerSecond: 9.9}})
		put := func(cold time.Duration) {
			p.Put(Endpoint{ID: "e", Service: "models", Addr: "10.0.0.1:80", Zone: "a", Slots: 48, Cold: cold})
		}
		put(3 * time.Second)
		So(p.Pick(Query{Service: "models"}), ShouldNotBeNil)

		Convey("they get no more than their share", func() {
			So(p.Pick(Query{Service: "models"}), ShouldBeNil)
			clock.pass(500 * time.Millisecond)
			So(p.Pick(Query{Service: "models"}), ShouldNotBeNil)
		})

		Convey("they get all requests once they are warm, which a later record does not delay", func() {
			put(time.Second)
			clock.pass(3 * time.Second)
			for range 10 {
				So(p.Pick(Query{Service: "models"}), ShouldNotBeNil)
			}
		})

		Convey("they are cold again when they report it", func() {
			clock.pass(3 * time.Second)
			put(3 * time.Second)
			So(p.Pick(Query{Service: "models"}), ShouldNotBeNil)
			So(p.Pick(Query{Service: "models"}), ShouldBeNil)
		})
	})
}
