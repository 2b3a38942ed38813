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

func setStore(f kv.Fault) fault {
	return fault{
		name:   "store-" + string(f),
		strike: func(c *cell, _ *node) { c.w.kv.Set(f, true) },
		heal:   func(c *cell) { c.w.kv.Set(f, false) },
	}
}

func cutZones(c *cell, cut bool) {
	if !cut {
		c.w.net.SetCut(func(_, _ meshPeer) bool { return false })
		return
	}
	c.w.net.SetCut(func(from, to meshPeer) bool { return from.Zone != to.Zone })
}

func cutStore(c *cell, zone string, cut bool) {
	for _, n := range c.w.nodes {
		if n.peer.Zone == zone {
			n.mu.Lock()
			n.cutStore = cut
			n.mu.Unlock()
		}
	}
}

func engineFault(name string, ef engine.Fault, pf plain.Fault) fault {
	set := func(c *cell, on bool) {
		for _, e := range c.w.engines {
			e.Set(ef, on)
		}
		for _, p := range c.w.plains {
			p.Set(pf, on)
		}
	}
	return fault{
		name:   name,
		strike: func(c *cell, _ *node) { set(c, true) },
		heal:   func(c *cell) { set(c, false) },
	}
}

func thawAll(c *cell) {
	for _, n := range c.w.nodes {
		n.thaw()
	}
}

// serving is a1: the instance that the caller asks first.
func serving(c *cell) *node { return c.w.node("a1") }

func faultList() []fault {
	return []fault{
		setStore(kv.Down),
		setStore(kv.Slow),
		setStore(kv.AnswerLost),
		{name: "zone-cut", strike: func(c *cell, _ *node) { cutZones(c, true) }, heal: func(c *cell) { cutZones(c, false) }},
		{
			name: "zone-cut-from-store", strike: func(c *cell, _ *node) { cutStore(c, "zone-a", true) },
			heal: func(c *cell) { cutStore(c, "zone-a", false) },
		},
		{name: "instance-crash", strike: func(c *cell, _ *node) { serving(c).crash() }},
		{name: "instance-pause", strike: func(c *cell, _ *node) { serving(c).freeze() }, heal: thawAll},
		{name: "home-crash", strike: func(c *cell, _ *node) { c.w.homeOf(serving(c)).crash() }},
		{name: "home-pause", strike: func(c *cell, _ *node) { c.w.homeOf(serving(c)).freeze() }, heal: thawAll},
		{
			name: "endpoint-crash", strike: func(c *cell, _ *node) { c.w.engines["zone-a"].SetCrash(true) },
			heal: func(c *cell) { c.w.engines["zone-a"].SetCrash(false) },
		},
		engineFault("endpoint-slow", engine.Slow, plain.Slow),
		engineFault("endpoint-refuse", engine.Refuse, plain.Refuse),
		engineFault("endpoint-late-answer", engine.LateAnswer, ""),
		engineFault("endpoint-crossed-answer", engine.CrossedAnswer, plain.Crossed),
		engineFault("cache-events-gap", engine.CacheGap, ""),
		engineFault("endpoint-truncate", engine.Truncate, plain.Crash),
		{
			name:   "list-lag",
			strike: func(c *cell, _ *node) { c.w.setLag(true); c.w.homeOf(serving(c)).crash() },
			heal:   func(c *cell) { c.w.setLag(false) },
		},
		{name: "caller-disconnect", hangUp: true},
		{name: "caller-retry", hangUp: true},
		{name: "caller-retry-other-zone", hangUp: true, elsewhere: true},
		{name: "operator-race", strike: race},
		{name: "drain", strike: drainAll},
		{name: "rolling-stop", strike: plannedStop},
	}
}

// race lets two operators change the same class at once.
func race(c *cell, _ *node) {
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			class := declare.Class{Priority: 1, DeadlineMS: int64(50_000 + i), FirstTokenMS: 1000, BetweenTokensMS: 1000, Objective: 0.9}
			_ = c.w.change(context.Background(), c.w.node("b1"), &intent.Intent{Apply: declare.Declarations{Classes: map[string]declare.Class{"c": class}}})
		})
	}
	wg.Wait()
}

// drainAll drains the serving zone's engine and brings the configuration to every instance.
func drainAll(c *cell, _ *node) {
	_ = c.w.change(context.Background(), c.w.node("b1"), &intent.Intent{Drain: []string{"engine-zone-a"}})
	for _, n := range c.w.nodes {
		_ = n.feed.Read(context.Background())
	}
}

// plannedStop stops the serving instance as planned, while the request is in progress.
func plannedStop(c *cell, _ *node) {
	n := serving(c)
	n.gateway.Leave()
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done != nil {
		return
	}
	c.done = make(chan struct{})
	go func() {
		defer close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
		defer cancel()
		if err := errors.Join(n.gateway.Drain(ctx), n.home.Stop(ctx)); err != nil {
			c.w.t.Logf("planned stop: %v", err)
		}
	}()
}
