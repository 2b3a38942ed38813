package instance

import (
	"context"
	"math/rand/v2"
	"net"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/reach"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// newDriver returns the client of endpoints. Its connections go through other instances while this one has lost its path
// to endpoints.
func (in *Instance) newDriver() *endpoint.Driver {
	dial := in.opts.dial
	if dial == nil {
		dial = upstream.Dial
	}
	transport := endpoint.NewTransport()
	in.dialer = reach.NewDialer(dial, in.endpointAt, transport.CloseIdleConnections)
	transport.DialContext = in.dialer.DialContext
	return endpoint.NewDriverWith(transport)
}

func (in *Instance) endpointAt(addr string) (pool.Endpoint, bool) { return in.targets.Paths().At(addr) }

// buildPaths creates the components that check the paths to endpoints, and that connect other instances to endpoints.
func (in *Instance) buildPaths() error {
	if in.dialer == nil {
		return nil // the transport to endpoints is not the instance's own
	}
	paths := in.targets.Paths()
	in.paths = reach.New(paths, in.dialer, in, reach.OnChange(in.logPath))
	in.dialer.SetMonitor(in.paths)
	reach.Serve(in.router, in.paths, paths, in.dialer)
	return nil
}

// Forwarders implements reach.Peers.
func (in *Instance) Forwarders(n int) []mesh.Peer {
	zones := in.feed.Document().Decl.Zones
	region := zones[in.set.Instance.Zone].Region
	var out []mesh.Peer
	for _, p := range in.view.Fleet() {
		if p.ID != in.set.Instance.ID && zones[p.Zone].Region == region {
			out = append(out, p)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Tunnel implements reach.Peers.
func (in *Instance) Tunnel(ctx context.Context, to mesh.Peer, req reach.ConnectRequest) (net.Conn, error) {
	return mesh.Tunnel(ctx, in.transport, to.Addr, reach.KindConnect, req)
}

// logPath logs that this instance now reaches the endpoints of a pool in another way. Connections of the previous kind
// are not used for further requests.
func (in *Instance) logPath(c reach.Change) {
	in.dialer.CloseIdle("")
	level := zerolog.WarnLevel
	if c.To == reach.Direct {
		level = zerolog.InfoLevel
	}
	in.log.WithLevel(level).Str("event", "path_changed").Str("pool", c.Service).Stringer("from", c.From).Stringer("to", c.To).
		Int("reached", c.Reached).Int("unreached", c.Unreached).Int("asked", c.Asked).Int("answered", c.Answered).Strs("confirmed", c.Confirmed).
		Msg("the path to the endpoints of a pool has changed")
}
