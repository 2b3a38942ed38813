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

// callCounts holds counters by purpose, either of calls to the store or of bytes sent to other instances.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCallCounts() *callCounts { return &callCounts{counts: make(map[string]int)} }

// addBytes adds the size of a message to another instance to the counter of its kind.
func (c *callCounts) addBytes(kind mesh.Kind, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[string(kind)] += bytes
}

// add counts a call to the store. The name of the counter is DUTY_CALL, followed by _stale if a stale read was
// acceptable, and by _OUTCOME unless the call succeeded.
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

// drain returns the counters and resets them.
func (c *callCounts) drain() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = make(map[string]int)
	return out
}

// callLog is the service that periodically logs, by purpose, the calls to the store and the bytes sent to other
// instances.
type callLog struct {
	counts *callCounts
	sent   *callCounts
	role   func() Role
	log    zerolog.Logger
}

// Role is the role of an instance in its fleet.
type Role string

// Roles of instances.
const (
	RoleMember Role = "member" // has no tasks for others, or the fleet is small
	RoleRelay  Role = "relay"  // passes on what its zone's leader has to a part of the zone
	RoleLeader Role = "leader" // leads its availability zone
	RoleWriter Role = "writer" // a leader that also watches the store and writes budgets for the leaders of other zones
)

// role returns this instance's role according to its own view of the fleet.
func (r *Router) role() Role {
	switch {
	case r.peers.Large() && r.peers.IsRelay() && !r.peers.Leads():
		return RoleRelay
	case !r.peers.Large() || !r.peers.Leads():
		return RoleMember
	case len(r.peers.FleetLeaders()) > 0:
		return RoleLeader
	}
	return RoleWriter
}

// eventStoreCalls is the event name of log lines that report calls to the store.
const eventStoreCalls = "store_calls"

// eventMeshSent is the event name of log lines that report bytes sent to other instances.
const eventMeshSent = "mesh_sent"

// callLogInterval is the interval at which counters are logged.
const callLogInterval = 5 * time.Second

// Name implements kernel.Service.
func (*callLog) Name() string { return "call-log" }

// Run implements kernel.Service.
func (l *callLog) Run(ctx context.Context) error {
	kernel.Every(ctx, callLogInterval, func(context.Context) { l.write() })
	return nil
}

func (l *callLog) write() {
	l.logCounts(eventStoreCalls, "calls", l.counts.drain(), "calls to the store, by what they are for")
	l.logCounts(eventMeshSent, "bytes", l.sent.drain(), "bytes sent to other instances, by what they are for")
}

func (l *callLog) logCounts(event, field string, counts map[string]int, msg string) {
	if len(counts) == 0 {
		return
	}
	dict := zerolog.Dict()
	for name, n := range counts {
		dict = dict.Int(name, n)
	}
	l.log.Info().Str("event", event).Str("role", string(l.role())).Dict(field, dict).Msg(msg)
}
