package router

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/reach"
)

// newReach creates the component that checks the paths to endpoints, and the one that connects other instances to
// endpoints. The times that it takes to connect through other instances go to the monitor of this instance's link: if
// they are long too, the link is congested.
func (r *Router) newReach(meshRouter *mesh.Router) {
	fleet := forwardingPeers{directory: r.peers, regions: r.settings.Instance.Regions, zone: r.settings.Instance.Zone}
	r.reach = reach.New(r.pool, r.client, fleet, reach.WithNow(r.bootClock.Now), reach.OnChange(r.logPath), reach.OnDelay(r.pressure.ObserveDial),
		reach.OnAvoided(logAvoided(r.log)))
	r.forwarder = reach.Serve(meshRouter, r.reach, r.pool, r.client,
		reach.WithBusy(r.pressure.Diverting), reach.OnRefused(r.metrics.recordForwardRefused), reach.OnOpen(r.metrics.recordForwarded))
}

// forwardingPeers are the instances through which this one may reach endpoints: those in the same region.
type forwardingPeers struct {
	directory *peers.Directory
	regions   map[string]string // by availability zone
	zone      string
}

// Forwarders implements reach.Peers.
func (p forwardingPeers) Forwarders(n int) []mesh.Peer {
	return p.directory.Forwarders(n, func(zone string) bool { return p.regions[zone] == p.regions[p.zone] })
}

// Tunnel implements reach.Peers.
func (p forwardingPeers) Tunnel(ctx context.Context, to mesh.Peer, req reach.ConnectRequest) (net.Conn, error) {
	return peers.Tunnel(ctx, p.directory, to, reach.KindConnect, req)
}

// maxAvoidedLines bounds the log lines about instances that did not forward in a second.
const maxAvoidedLines = 5

// logAvoided returns a function that logs instances that did not forward a connection.
func logAvoided(log zerolog.Logger) func(reach.Avoided) {
	lines := log.Sample(&zerolog.BurstSampler{Burst: maxAvoidedLines, Period: time.Second})
	return func(a reach.Avoided) {
		lines.Warn().Str("event", "forwarder_avoided").Str("service", a.Service).Str("peer", a.Instance).Dur("pause", a.Pause).AnErr("cause", a.Cause).
			Msg("an instance did not forward a connection")
	}
}

// logPath logs and records that this instance now reaches the endpoints of a service in another way.
func (r *Router) logPath(c reach.Change) {
	r.metrics.recordPath(c)
	level, msg := zerolog.WarnLevel, "no path to the endpoints of a service: connections are forwarded by other instances"
	switch c.To {
	case reach.Forwarded:
	case reach.Lost:
		msg = "no path to the endpoints of a service, and no instance that forwards connections: requests are rejected"
	case reach.Direct:
		level, msg = zerolog.InfoLevel, "endpoints of a service are reached directly again"
	}
	r.log.WithLevel(level).Str("event", "path_changed").Str("service", c.Service).Stringer("from", c.From).Stringer("to", c.To).
		Int("reached", c.Reached).Int("unreached", c.Unreached).Int("asked", c.Asked).Int("answered", c.Answered).Strs("confirmed", c.Confirmed).
		Int64("lasted_ms", c.Lasted.Milliseconds()).Msg(msg)
}
