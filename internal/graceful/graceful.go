// Package graceful runs an HTTP server that answers each request that it has received when it stops. It accepts the
// connections that the kernel has established before the listener closes. It closes a connection after a response with
// "Connection: close", or when it is idle.
package graceful

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/listen"
)

const (
	// establishTime is the time in which connections that are being established when a stop begins are accepted.
	establishTime = 250 * time.Millisecond
	// idleTime is how long a connection has had no request when a stop closes it.
	idleTime     = 500 * time.Millisecond
	pollInterval = 20 * time.Millisecond

	// A connection may be closed for another one if it has had no request for evictableTime, or if it is the longest idle among
	// evictableShare of the limit: a new connection has to have time to send its first request.
	evictableTime  = 500 * time.Millisecond
	evictableShare = 0.25
)

// Server is an HTTP server on one listener.
type Server struct {
	listener *listen.Listener
	accept   net.Listener // listener, as wrapped by options
	server   *http.Server
	handler  http.Handler
	reject   func(w http.ResponseWriter, r *http.Request, reason Reason)
	conns    *connections
	maxConns int // 0: unlimited
	onClosed func()
	now      func() time.Time
	log      zerolog.Logger
	leaving  atomic.Bool
	stopping atomic.Bool
	certFile string
	keyFile  string
}

// Reason is why a server rejects a request without passing it to its handler.
type Reason int

// Reasons.
const (
	OverLimit Reason = iota // its connection exceeds the limit
	Stopping                // it was read after the beginning of a stop
)

// Option configures a Server.
type Option func(*Server)

// WithTLS makes the server use TLS, with a certificate and a key in files.
func WithTLS(certFile, keyFile string) Option {
	return func(s *Server) { s.certFile, s.keyFile = certFile, keyFile }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Server) { s.log = log } }

// WithListenerWrapper sets a function that wraps the listener.
func WithListenerWrapper(f func(net.Listener) net.Listener) Option {
	return func(s *Server) { s.accept = f(s.accept) }
}

// WithConnectionLimit limits the number of connections with requests to n; 0: unlimited. For each connection above it, the
// one that has had no request for longest is closed, and closed is called. If nearly all have requests, those on the
// connections above the limit are rejected.
func WithConnectionLimit(n int, closed func()) Option {
	return func(s *Server) { s.maxConns, s.onClosed = n, closed }
}

// WithRejection sets the function that responds to requests that are rejected. By default, they get the status 503.
func WithRejection(f func(w http.ResponseWriter, r *http.Request, reason Reason)) Option {
	return func(s *Server) { s.reject = f }
}

// New returns a server for server's handler and limits, whose ConnState it sets. It accepts connections once Serve is
// called.
func New(l *listen.Listener, server *http.Server, opts ...Option) *Server {
	s := &Server{listener: l, accept: l, server: server, conns: newConnections(), now: time.Now, log: zerolog.Nop()}
	s.reject = func(w http.ResponseWriter, _ *http.Request, _ Reason) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, opt := range opts {
		opt(s)
	}
	s.handler, server.Handler = server.Handler, http.HandlerFunc(s.handle)
	server.ConnContext = s.admit
	server.ConnState = func(c net.Conn, state http.ConnState) { s.conns.set(c, state, s.now()) }
	return s
}

// handle passes a request to the handler, or rejects it if its connection exceeds the limit or the server stops.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	overLimit, stopping := r.Context().Value(overLimitKey{}) != nil, s.stopping.Load()
	if overLimit || s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case stopping:
		s.reject(w, r, Stopping)
	case overLimit:
		s.reject(w, r, OverLimit)
	default:
		s.handler.ServeHTTP(w, r)
	}
}

// overLimitKey is the context key that marks a connection above the limit.
type overLimitKey struct{}

// admit makes room for a new connection, or marks it as one above the limit.
func (s *Server) admit(ctx context.Context, _ net.Conn) context.Context {
	switch {
	case s.maxConns <= 0 || s.conns.size() < s.maxConns:
		return ctx
	case s.conns.closeLongestIdle(s.now().Add(-evictableTime), int(evictableShare*float64(s.maxConns))):
		s.onClosed()
		return ctx
	}
	return context.WithValue(ctx, overLimitKey{}, true)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.conns.size() }

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve serves requests until ctx ends; it then closes all connections. It returns an error only if it ends before.
func (s *Server) Serve(ctx context.Context) error {
	defer context.AfterFunc(ctx, s.Close)()
	err := s.serve()
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		<-ctx.Done()
		return nil
	}
	return eris.Wrap(err, "serving HTTP")
}

func (s *Server) serve() error {
	if s.certFile != "" {
		return s.server.ServeTLS(s.accept, s.certFile, s.keyFile)
	}
	return s.server.Serve(s.accept)
}

// Leave makes the server close each connection after its next response, because a stop is about to begin.
func (s *Server) Leave() { s.leaving.Store(true) }

// Stop accepts the connections that are established already and no others, and waits until the requests in progress have
// ended. Requests that arrive meanwhile are rejected: they might not end in time. When ctx ends, Stop interrupts those that
// are left.
func (s *Server) Stop(ctx context.Context) error {
	s.Leave()
	s.stopping.Store(true)
	defer s.Close()
	if err := s.listener.RefuseNew(); err != nil {
		s.log.Warn().Str("event", "listener_undrained").Err(err).Msg("the listener closes without being drained: connections that were not accepted yet are reset")
	} else {
		wait(ctx, establishTime)
	}
	_ = s.listener.Close()
	for s.conns.closeIdle(s.now().Add(-idleTime)) > 0 {
		if !wait(ctx, pollInterval) {
			return eris.Wrap(ctx.Err(), "waiting for open requests")
		}
	}
	return nil
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.server.Close()
	_ = s.listener.Close()
}

// wait waits for d and reports true, or false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
