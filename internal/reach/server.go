package reach

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// DefaultMaxForwarded is how many connections of other instances one instance carries at most.
const DefaultMaxForwarded = 512

// drainPoll is the interval at which Drain checks for open connections.
const drainPoll = 20 * time.Millisecond

// Directory is the part of the pool that a Server uses.
type Directory interface {
	// Lookup returns the record of an endpoint that accepts work.
	Lookup(id string) (pool.Endpoint, bool)
}

// Connector establishes connections to endpoints.
type Connector interface {
	Connect(ctx context.Context, addr string) (net.Conn, error)
}

// Server connects other instances to endpoints that they have lost their path to. It serves only endpoints that are in
// the directory of this instance and that it reaches directly, so a connection is never forwarded twice.
type Server struct {
	monitor   *Monitor
	directory Directory
	connector Connector
	limit     int64
	busy      func() bool
	onRefused func(reason string)
	onOpen    func(open int)

	open     atomic.Int64
	stopping atomic.Bool
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithLimit sets how many connections of other instances are carried at most.
func WithLimit(n int) ServerOption { return func(s *Server) { s.limit = int64(n) } }

// WithBusy sets the function that reports whether this instance has no capacity for others.
func WithBusy(f func() bool) ServerOption { return func(s *Server) { s.busy = f } }

// OnRefused sets the function that is called with the reason of each refused connection.
func OnRefused(f func(reason string)) ServerOption { return func(s *Server) { s.onRefused = f } }

// OnOpen sets the function that is called with the number of carried connections when it changes.
func OnOpen(f func(open int)) ServerOption { return func(s *Server) { s.onOpen = f } }

// Serve creates a Server and registers its message handler.
func Serve(router *mesh.Router, monitor *Monitor, directory Directory, connector Connector, opts ...ServerOption) *Server {
	s := &Server{
		monitor: monitor, directory: directory, connector: connector, limit: DefaultMaxForwarded,
		busy: func() bool { return false }, onRefused: func(string) {}, onOpen: func(int) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	mesh.HandleTunnel(router, KindConnect, s.handle)
	return s
}

// Open returns the number of connections that are carried.
func (s *Server) Open() int { return int(s.open.Load()) }

// Leave refuses further connections.
func (s *Server) Leave() { s.stopping.Store(true) }

// Drain refuses further connections and waits until all are closed or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.Leave()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for s.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Server) handle(ctx context.Context, _ mesh.Peer, req ConnectRequest) (net.Conn, error) {
	conn, err := s.connect(ctx, req)
	if err != nil {
		s.onRefused(string(verdict.From(err).Code()))
	}
	return conn, err
}

func (s *Server) connect(ctx context.Context, req ConnectRequest) (net.Conn, error) {
	e, known := s.directory.Lookup(req.Endpoint)
	switch {
	case s.stopping.Load():
		return nil, refuse(verdict.CodeStopping, "this instance is stopping")
	case s.monitor.ServiceState(req.Service) != Direct:
		return nil, refuse(verdict.CodeUnavailable, "this instance has lost its path to the endpoints")
	case s.monitor.State(req.Service, req.Endpoint) != Direct:
		return nil, refuse(verdict.CodeNotFound, "this instance has lost its path to this endpoint")
	case !known || e.Service != req.Service:
		return nil, refuse(verdict.CodeNotFound, "this instance has no record of such an endpoint that accepts work")
	case s.busy():
		return nil, refuse(verdict.CodeOverloaded, "this instance has no capacity for others")
	}
	if s.count(1) > s.limit {
		s.count(-1)
		return nil, refuse(verdict.CodeOverloaded, "this instance carries as many connections of others as it may")
	}
	conn, err := s.connector.Connect(ctx, e.Addr)
	if err != nil {
		s.count(-1)
		if s.pathLost(ctx, req, err) {
			return nil, refuse(verdict.CodeUnavailable, "this instance has lost its path to the endpoints")
		}
		return nil, refuse(verdict.CodeNoEndpoint, "the endpoint cannot be reached: "+string(upstream.DialFailureOf(err)))
	}
	return &forwardedConn{Conn: conn, release: sync.OnceFunc(func() { s.count(-1) })}, nil
}

// pathLost reports whether a connection failed because this instance has lost its own path. After a timeout, there is no
// time left to wait for the result of a check.
func (s *Server) pathLost(ctx context.Context, req ConnectRequest, err error) bool {
	if upstream.DialFailureOf(err) == upstream.DialTimeout {
		s.monitor.CheckSoon(req.Service)
		return false
	}
	return s.monitor.Failing(ctx, req.Service, req.Endpoint)
}

// count changes the number of carried connections and returns it.
func (s *Server) count(delta int64) int64 {
	n := s.open.Add(delta)
	s.onOpen(int(n))
	return n
}

func refuse(code verdict.Code, detail string) error { return verdict.New(verdict.NotRun, code, detail) }
