package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/kernel"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// callCounts counts calls to the store by what they are for.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCallCounts() *callCounts { return &callCounts{counts: make(map[string]int)} }

// sent counts the bytes of a message to another instance, by its kind.
func (c *callCounts) sent(kind mesh.Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(kind)] += bytes
}

// add counts a call as DUTY_CALL, with _stale for those that a copy was good enough for and _failed for those without an answer.
func (c *callCounts) add(call external.Call) {
	name := string(call.Duty) + "_" + call.Name
	if call.Stale {
		name += "_stale"
	}
	if call.Outcome != "ok" {
		name += "_" + call.Outcome
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// take returns what was counted since it was last called.
func (c *callCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = make(map[string]int)
	return out
}

// callLog is the service that logs how often the store was called, and what was sent to other instances, and what for.
type callLog struct {
	counts *callCounts
	sent   *callCounts
	role   func() Role
	log    zerolog.Logger
}

// Role is what an instance does for others.
type Role string

// The roles.
const (
	RoleMember Role = "member" // nothing, or its fleet is small
	RoleLeader Role = "leader" // it leads its zone
	RoleWriter Role = "writer" // it also follows the store and writes budgets for the leaders of other zones
)

// role tells this instance's role as far as it knows it.
func (r *Router) role() Role {
	switch {
	case !r.peers.Large() || !r.peers.Leads():
		return RoleMember
	case len(r.peers.FleetLeaders()) > 0:
		return RoleLeader
	}
	return RoleWriter
}

// storeCalls is the event of the line that reports calls to the store.
const storeCalls = "store_calls"

// meshSent is the event of the line that reports bytes sent to other instances.
const meshSent = "mesh_sent"

// callLogEvery bounds the lines that tell of calls.
const callLogEvery = 5 * time.Second

// Name implements kernel.Service.
func (*callLog) Name() string { return "call-log" }

// Run implements kernel.Service.
func (l *callLog) Run(ctx context.Context) error {
	kernel.Every(ctx, callLogEvery, func(context.Context) { l.write() })
	return nil
}

func (l *callLog) write() {
	l.line(storeCalls, "calls", l.counts.take(), "calls to the store, by what they are for")
	l.line(meshSent, "bytes", l.sent.take(), "bytes sent to other instances, by what they are for")
}

func (l *callLog) line(event, field string, counts map[string]int, msg string) {
	if len(counts) == 0 {
		return
	}
	dict := zerolog.Dict()
	for name, n := range counts {
		dict = dict.Int(name, n)
	}
	l.log.Info().Str("event", event).Str("role", string(l.role())).Dict(field, dict).Msg(msg)
}
