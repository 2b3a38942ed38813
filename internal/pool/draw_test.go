package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// simulatePlainService simulates 87 instances in three zones in front of four endpoints of a plain service, two of
// them in one zone, at 176 requests a second of 60 ms. It returns how many times the mean the busiest endpoint gets,
// and the share of requests that find all slots in use.
func simulatePlainService(pick func(p *Pool) *Lease) (imbalance, full float64) {
	const (
		instances, requests, slots = 87, 176, 6
		work, duration             = 60 * time.Millisecond, 20 * time.Second
		exchangeEvery              = 500 * time.Millisecond
	)
	zones := []string{"a", "b", "c"}
	clock := &testClock{at: time.Unix(1000, 0)}
	random := rand.New(rand.NewPCG(1, 2))
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New(zones[i%len(zones)], WithNow(clock.now), WithRandom(random.IntN))
		for e, zone := range []string{"a", "a", "b", "c"} {
			pools[i].Put(Endpoint{ID: fmt.Sprint("e-", e), Service: "app", Addr: "10.0.0.1:80", Zone: zone, Slots: slots})
		}
	}
	type open struct {
		lease *Lease
		until time.Time
	}
	var running []open
	busy, sent := make(map[string]int), make(map[string]int)
	total, waited := 0, 0
	start, exchanged := clock.at, clock.at
	for clock.at.Before(start.Add(duration)) {
		clock.pass(time.Duration(random.ExpFloat64() * float64(time.Second) / requests))
		if clock.at.Sub(exchanged) >= exchangeEvery {
			exchanged = clock.at
			exchangeLoads(pools)
		}
		for len(running) > 0 && clock.at.After(running[0].until) {
			busy[running[0].lease.Endpoint().ID]--
			running[0].lease.Done(EndGood)
			running = running[1:]
		}
		lease := pick(pools[random.IntN(instances)])
		id := lease.Endpoint().ID
		total++
		if busy[id] >= slots {
			waited++
		}
		busy[id]++
		sent[id]++
		running = append(running, open{lease, clock.at.Add(work)})
	}
	maxSent := 0
	for _, n := range sent {
		maxSent = max(maxSent, n)
	}
	return float64(maxSent) * float64(len(sent)) / float64(total), float64(waited) / float64(total)
}

// exchangeLoads gives each pool the loads of all others.
func exchangeLoads(pools []*Pool) {
	own := make([]Loads, len(pools))
	for i, p := range pools {
		own[i] = p.Loads()
	}
	for i, p := range pools {
		others := make(Loads)
		for k, x := range own {
			if k != i {
				others.Add(x)
			}
		}
		p.SetPeerLoads(others)
	}
}

func TestPickOfTwo(t *testing.T) {
	Convey("Many instances in front of a few endpoints of a plain service spread their requests", t, func() {
		fixed, full := simulatePlainService(func(p *Pool) *Lease {
			p.mu.Lock()
			defer p.mu.Unlock()
			members := p.services["app"]
			m := p.pickLeastLoaded(members, Query{Service: "app"}, func(*member) bool { return true })
			m.open++
			return &Lease{pool: p, member: m, endpoint: m.Endpoint}
		})
		So(fixed, ShouldBeGreaterThan, 1.25)
		drawn, fullDrawn := simulatePlainService(func(p *Pool) *Lease { return p.Pick(Query{Service: "app"}) })
		So(drawn, ShouldBeLessThan, 1.15)
		So(fullDrawn, ShouldBeLessThan, full*6/10)
	})

	Convey("The less busy one of two endpoints is picked, and one in another zone only if it is clearly less busy", t, func() {
		clock := &testClock{at: time.Unix(1000, 0)}
		p := New("a", WithNow(clock.now))
		p.Put(Endpoint{ID: "near", Service: "app", Addr: "10.0.0.1:80", Zone: "a", Slots: 20})
		p.Put(Endpoint{ID: "far", Service: "app", Addr: "10.1.0.1:80", Zone: "b", Slots: 20})
		near := p.byID["near"].key()
		pick := func() string {
			lease := p.Pick(Query{Service: "app"})
			defer lease.Done(EndNeutral)
			return lease.Endpoint().ID
		}
		far := p.byID["far"].key()
		p.SetPeerLoads(Loads{near: {Ended: 20}, far: {Ended: 24}})
		So(pick(), ShouldEqual, "near")
		p.SetPeerLoads(Loads{near: {Ended: 30}, far: {Ended: 20}})
		So(pick(), ShouldEqual, "far")
	})
}
