package relay

import (
	"context"
	"errors"
	"net"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/reach"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// Paths is how this instance reaches endpoints. *reach.Monitor implements it.
type Paths interface {
	// State returns how an endpoint is reached.
	State(service, endpoint string) reach.State
	// ServiceState returns how most endpoints of a service are reached.
	ServiceState(service string) reach.State
	// Verify checks the paths after an endpoint could not be reached, and returns how it is reached now.
	Verify(ctx context.Context, service, endpoint string) reach.State
	// Reached reports whether another instance reaches an endpoint. known is false if no response was conclusive.
	Reached(service, endpoint string) (reached, known bool)
	// Connect establishes a connection through another instance, and returns that instance's ID.
	Connect(ctx context.Context, service, endpoint string) (conn net.Conn, via string, err error)
}

// directPaths are paths that are never lost.
type directPaths struct{}

func (directPaths) State(string, string) reach.State                   { return reach.Direct }
func (directPaths) ServiceState(string) reach.State                    { return reach.Direct }
func (directPaths) Verify(context.Context, string, string) reach.State { return reach.Direct }
func (directPaths) Reached(string, string) (reached, known bool)       { return false, false }
func (directPaths) Connect(context.Context, string, string) (net.Conn, string, error) {
	return nil, "", reach.ErrNoForwarder
}

// pathLost reports whether this instance reaches no endpoint of the request's service, not even through others.
func (j *job) pathLost() bool {
	return j.service != nil && j.core.paths.ServiceState(j.service.Name) == reach.Lost
}

// directPathLost returns a function that reports whether the attempt that now begins uses a direct path that has been
// lost since.
func (j *job) directPathLost(e pool.Endpoint) func() bool {
	if j.core.paths.State(e.Service, e.ID) != reach.Direct {
		return func() bool { return false }
	}
	return func() bool { return j.core.paths.State(e.Service, e.ID) != reach.Direct }
}

// setPath makes an attempt use a connection through another instance while this one has lost its own path.
func (j *job) setPath(outbound *upstream.Request, e pool.Endpoint) {
	if j.core.paths.State(e.Service, e.ID) != reach.Forwarded {
		return
	}
	outbound.Connect = func(ctx context.Context) (net.Conn, error) {
		conn, via, err := j.core.paths.Connect(ctx, e.Service, e.ID)
		j.via = via
		return conn, err
	}
}

// unsentResult returns the result of an attempt whose connection could not be established.
func (j *job) unsentResult(ctx context.Context, e pool.Endpoint, outbound *upstream.Request, err error) result {
	j.dialFailure = upstream.DialFailureOf(err)
	switch {
	case outbound.Connect == nil && ctx.Err() == nil && j.core.paths.Verify(ctx, e.Service, e.ID) != reach.Direct:
		return resultNoPath
	case outbound.Connect == nil:
		return resultUnsent
	case errors.Is(err, reach.ErrEndpoint):
		return resultRemoteUnsent
	}
	return resultNoPath
}

// refuses reports whether an endpoint refuses connections, of this instance and of another one. If no other instance
// gives a conclusive response, it is enough that this one is refused and reaches other endpoints.
func (c *Core) refuses(ctx context.Context, e pool.Endpoint, probe func(context.Context, string) bool) bool {
	if c.paths.State(e.Service, e.ID) != reach.Direct || !probe(ctx, e.Addr) {
		return false
	}
	c.paths.Verify(ctx, e.Service, e.ID)
	reached, known := c.paths.Reached(e.Service, e.ID)
	return !reached && (known || c.paths.ServiceState(e.Service) == reach.Direct)
}
