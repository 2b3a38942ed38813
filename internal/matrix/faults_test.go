package matrix

import (
	"context"
	"errors"
	"sync"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/intent"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/standin/plain"
)

func storeFault(f kv.Fault) fault {
	return fault{
		name:   "store-" + string(f),
		inject: func(c *cell, _ *node) { c.fleet.kv.Set(f, true) },
		heal:   func(c *cell) { c.fleet.kv.Set(f, false) },
	}
}

func cutZones(c *cell, cut bool) {
	if !cut {
		c.fleet.net.SetCut(func(_, _ meshPeer) bool { return false })
		return
	}
	c.fleet.net.SetCut(func(from, to meshPeer) bool { return from.Zone != to.Zone })
}

func cutStore(c *cell, zone string, cut bool) {
	for _, n := range c.fleet.nodes {
		if n.peer.Zone == zone {
			n.mu.Lock()
			n.cutStore = cut
			n.mu.Unlock()
		}
	}
}

func endpointFault(name string, ef engine.Fault, pf plain.Fault) fault {
	set := func(c *cell, on bool) {
		for _, e := range c.fleet.engines {
			e.Set(ef, on)
		}
		for _, p := range c.fleet.plainServices {
			p.Set(pf, on)
		}
	}
	return fault{
		name:   name,
		inject: func(c *cell, _ *node) { set(c, true) },
		heal:   func(c *cell) { set(c, false) },
	}
}

func resumeAll(c *cell) {
	for _, n := range c.fleet.nodes {
		n.resume()
	}
}

// serving returns a1, the instance to which the caller sends its first attempt.
func serving(c *cell) *node { return c.fleet.node("a1") }

func faultList() []fault {
	return []fault{
		storeFault(kv.Down),
		storeFault(kv.Slow),
		storeFault(kv.ResponseLost),
		{name: "zone-cut", inject: func(c *cell, _ *node) { cutZones(c, true) }, heal: func(c *cell) { cutZones(c, false) }},
		{
			name: "zone-cut-from-store", inject: func(c *cell, _ *node) { cutStore(c, "zone-a", true) },
			heal: func(c *cell) { cutStore(c, "zone-a", false) },
		},
		{name: "instance-crash", inject: func(c *cell, _ *node) { serving(c).crash() }},
		{name: "instance-pause", inject: func(c *cell, _ *node) { serving(c).pause() }, heal: resumeAll},
		{name: "home-crash", inject: func(c *cell, _ *node) { c.fleet.homeOf(serving(c)).crash() }},
		{name: "home-pause", inject: func(c *cell, _ *node) { c.fleet.homeOf(serving(c)).pause() }, heal: resumeAll},
		{
			name: "endpoint-crash", inject: func(c *cell, _ *node) { c.fleet.engines["zone-a"].SetCrash(true) },
			heal: func(c *cell) { c.fleet.engines["zone-a"].SetCrash(false) },
		},
		endpointFault("endpoint-slow", engine.Slow, plain.Slow),
		endpointFault("endpoint-refuse", engine.Refuse, plain.Refuse),
		endpointFault("endpoint-late-answer", engine.StaleChunk, ""),
		endpointFault("endpoint-crossed-answer", engine.ForeignChunk, plain.MismatchedID),
		endpointFault("cache-events-gap", engine.CacheGap, ""),
		endpointFault("endpoint-truncate", engine.Truncate, plain.Crash),
		{
			name:   "list-lag",
			inject: func(c *cell, _ *node) { c.fleet.setListLag(true); c.fleet.homeOf(serving(c)).crash() },
			heal:   func(c *cell) { c.fleet.setListLag(false) },
		},
		{name: "caller-disconnect", disconnect: true},
		{name: "caller-retry", disconnect: true},
		{name: "caller-retry-other-zone", disconnect: true, otherZone: true},
		{name: "operator-race", inject: operatorRace},
		{name: "drain", inject: drainAll},
		{name: "rolling-stop", inject: plannedStop},
	}
}

// operatorRace changes the same class twice at once, as two operators would.
func operatorRace(c *cell, _ *node) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			class := declare.Class{Priority: 1, DeadlineMS: int64(50_000 + i), FirstTokenMS: 1000, BetweenTokensMS: 1000, Objective: 0.9}
			_ = c.fleet.applyIntent(context.Background(), c.fleet.node("b1"), &intent.Intent{Apply: declare.Declarations{Classes: map[string]declare.Class{"c": class}}})
		})
	}
	wg.Wait()
}

// drainAll drains the serving zone's engine and makes every instance read the configuration.
func drainAll(c *cell, _ *node) {
	_ = c.fleet.applyIntent(context.Background(), c.fleet.node("b1"), &intent.Intent{Drain: []string{"engine-zone-a"}})
	for _, n := range c.fleet.nodes {
		_ = n.feed.Read(context.Background())
	}
}

// plannedStop shuts the serving instance down gracefully, while the request is in progress.
func plannedStop(c *cell, _ *node) {
	n := serving(c)
	n.gateway.Leave()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopDone != nil {
		return
	}
	c.stopDone = make(chan struct{})
	go func() {
		defer close(c.stopDone)
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		if err := errors.Join(n.gateway.Drain(ctx), n.home.Stop(ctx)); err != nil {
			c.fleet.t.Logf("planned stop: %v", err)
		}
	}()
}
