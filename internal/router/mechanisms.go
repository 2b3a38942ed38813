package router

import (
	"math"
	"slices"
	"time"

	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/escrow/remote"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/pressure"
	"github.com/ledgemount/ledgemount/internal/relay"
)

// Mechanism is an optimization of a router that can be disabled for experiments.
type Mechanism string

// Mechanisms that can be disabled.
const (
	Affinity    Mechanism = "affinity"     // requests with a common prompt prefix go to the same endpoint
	Loads       Mechanism = "loads"        // instances exchange their requests in progress at endpoints
	FleetTime   Mechanism = "fleet-time"   // a fleet-wide clock determines the age of a lost holder's last report
	Loans       Mechanism = "loans"        // instances lend each other tokens
	Pools       Mechanism = "pools"        // in a large fleet, the instances of an availability zone pool their tokens
	Leaders     Mechanism = "leaders"      // in a large fleet, one instance of each availability zone leads it
	CrowdedLink Mechanism = "crowded-link" // callers are diverted before this instance's link is saturated
	Ranks       Mechanism = "ranks"        // without contact to the store, low-priority requests yield to urgent ones
	Patience    Mechanism = "patience"     // the response timeout of an endpoint grows with the length of the prompt
	Retries     Mechanism = "retries"      // requests are retried within a shared budget
	Health      Mechanism = "health"       // endpoints with recent failures are avoided
	Scarcity    Mechanism = "scarcity"     // instances hold fewer tokens of a budget that is nearly exhausted
)

// disabled reports whether a mechanism is disabled.
func (s *Settings) disabled(m Mechanism) bool { return slices.Contains(s.Without, m) }

func (s *Settings) poolPolicy() pool.Policy {
	p := pool.DefaultPolicy()
	if s.disabled(Patience) {
		p.ResponseTimeoutFactor = 0
	}
	if s.disabled(Health) {
		p.ErrorShare, p.FirstPause, p.MaxPause = math.Inf(1), 0, 0
	}
	return p
}

func (s *Settings) escrowPolicy() escrow.Policy {
	p := escrow.DefaultPolicy()
	if s.disabled(Ranks) {
		p.OutageReserve = 0
	}
	if s.disabled(Scarcity) {
		p.ScarceBelow = 0
	}
	return p
}

func (s *Settings) peersOptions() []peers.Option {
	out := []peers.Option{peers.WithLargeFleet(s.Peers.Large)}
	if s.disabled(Leaders) {
		out = append(out, peers.WithLargeFleet(math.MaxInt))
	}
	if s.disabled(Pools) {
		out = append(out, peers.WithoutPools())
	}
	return out
}

func (s *Settings) fleetOptions() []remote.Option {
	if s.disabled(Loans) {
		return []remote.Option{remote.WithoutLoans()}
	}
	return nil
}

func (s *Settings) relayOptions() []relay.Option {
	if s.disabled(Affinity) {
		return []relay.Option{relay.WithoutAffinity()}
	}
	return nil
}

func (s *Settings) pressurePolicy() pressure.Policy {
	p := pressure.DefaultPolicy()
	if s.disabled(CrowdedLink) {
		p.SlowDial, p.BusyShare = time.Hour, math.Inf(1)
	}
	return p
}

// retryBudget returns the limits on the retries of all instances together.
func (s *Settings) retryBudget() (ratio float64, slack int) {
	if s.disabled(Retries) {
		return 0, 0
	}
	return s.Retry.Ratio, s.Retry.Slack
}
