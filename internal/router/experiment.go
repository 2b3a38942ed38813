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

// Mechanism is something that a router does to decide better, and that can be switched off.
type Mechanism string

// The mechanisms.
const (
	Affinity    Mechanism = "affinity"     // requests that share a prompt go to one endpoint
	Loads       Mechanism = "loads"        // instances tell each other what they have under way at endpoints
	FleetTime   Mechanism = "fleet-time"   // the fleet's time tells how old a dead holder's report is
	Loans       Mechanism = "loans"        // instances lend each other tokens
	Pools       Mechanism = "pools"        // a zone's tokens are pooled in a large fleet
	Leaders     Mechanism = "leaders"      // a zone is led in a large fleet
	CrowdedLink Mechanism = "crowded-link" // callers are sent away before the link is full
	Ranks       Mechanism = "ranks"        // a customer's last ranks give way
	Patience    Mechanism = "patience"     // silence is judged by the length of the prompt
	Retries     Mechanism = "retries"      // requests are sent again within a shared budget
	Health      Mechanism = "health"       // endpoints are avoided for what went wrong there
	Scarcity    Mechanism = "scarcity"     // less is held of a budget that runs out
)

// without reports whether a mechanism is switched off.
func (s *Settings) without(m Mechanism) bool { return slices.Contains(s.Without, m) }

func (s *Settings) poolPolicy() pool.Policy {
	p := pool.DefaultPolicy()
	if s.without(Patience) {
		p.ResponseTimeoutFactor = 0
	}
	if s.without(Health) {
		p.ErrorShare, p.FirstPause, p.MaxPause = math.Inf(1), 0, 0
	}
	return p
}

func (s *Settings) escrowPolicy() escrow.Policy {
	p := escrow.DefaultPolicy()
	if s.without(Ranks) {
		p.OutageReserve = 0
	}
	if s.without(Scarcity) {
		p.ScarceBelow = 0
	}
	return p
}

func (s *Settings) peersOptions() []peers.Option {
	out := []peers.Option{peers.WithLargeFleet(s.Peers.Large)}
	if s.without(Leaders) {
		out = append(out, peers.WithLargeFleet(math.MaxInt))
	}
	if s.without(Pools) {
		out = append(out, peers.WithoutPools())
	}
	return out
}

func (s *Settings) fleetOptions() []remote.Option {
	if s.without(Loans) {
		return []remote.Option{remote.WithoutLoans()}
	}
	return nil
}

func (s *Settings) relayOptions() []relay.Option {
	if s.without(Affinity) {
		return []relay.Option{relay.WithoutAffinity()}
	}
	return nil
}

func (s *Settings) pressurePolicy() pressure.Policy {
	p := pressure.DefaultPolicy()
	if s.without(CrowdedLink) {
		p.SlowDial, p.BusyShare = time.Hour, math.Inf(1)
	}
	return p
}

// retryBudget is what all instances together may send again.
func (s *Settings) retryBudget() (ratio float64, slack int) {
	if s.without(Retries) {
		return 0, 0
	}
	return s.Retry.Ratio, s.Retry.Slack
}
