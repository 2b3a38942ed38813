// Package edge takes callers' plain HTTP requests, hands them to the relay, and writes answers and refusals.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Parser reads a caller's request in the terms of its protocol.
type Parser interface {
	Parse(r *http.Request, body []byte, arrived time.Time) (*relay.Request, error)
}

// Timeouts bound what callers may take.
type Timeouts struct {
	Header time.Duration // for a request's head
	Idle   time.Duration // between requests on a connection
}

// DefaultTimeouts are generous; a configuration's own limits are tighter.
func DefaultTimeouts() Timeouts {
	return Timeouts{Header: 10 * time.Second, Idle: 60 * time.Second}
}

// maxHead is the largest head that is read, in bytes.
const maxHead = 64 << 10

// Server is the service that listens for callers.
type Server struct {
	listener net.Listener
	server   *http.Server
	core     *relay.Core
	parser   Parser
	now      func() time.Time
	away     func() bool
	wrap     func(net.Listener) net.Listener
	stopping atomic.Bool
}

// Option changes a Server.
type Option func(*Server)

// WithDiverting sets what reports whether callers are to be sent to other instances: their connections end with their answers.
func WithDiverting(f func() bool) Option { return func(s *Server) { s.away = f } }

// WithNow replaces the clock, which is read once for each request.
func WithNow(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithListenerWrapper sets what is put around the listener.
func WithListenerWrapper(f func(net.Listener) net.Listener) Option {
	return func(s *Server) { s.wrap = f }
}

// Listen opens the callers' address.
func Listen(addr string, core *relay.Core, parser Parser, times Timeouts, opts ...Option) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listening for callers on %s", addr)
	}
	s := &Server{listener: l, core: core, parser: parser, now: time.Now, away: func() bool { return false }}
	s.wrap = func(l net.Listener) net.Listener { return l }
	for _, opt := range opts {
		opt(s)
	}
	s.listener = s.wrap(l)
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: times.Header, IdleTimeout: times.Idle, MaxHeaderBytes: maxHead}
	return s, nil
}

// Name implements kernel.Service.
func (*Server) Name() string { return "callers" }

// Addr is the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends or Stop.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return eris.Wrap(err, "serving callers")
}

// Leave ends connections as their answers end: the process is about to stop.
func (s *Server) Leave() { s.stopping.Store(true) }

// Stop takes no more connections and waits for open requests until ctx ends; then it breaks them off.
func (s *Server) Stop(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	if err != nil {
		_ = s.server.Close()
	}
	return eris.Wrap(err, "waiting for open requests")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.now()
	if s.stopping.Load() || s.away() {
		w.Header().Set("Connection", "close")
	}
	if err := s.checkHead(r); err != nil {
		writeError(w, err)
		return
	}
	body, err := s.body(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	req, err := s.parser.Parse(r, body, arrived)
	if err != nil {
		writeError(w, err)
		return
	}
	err = s.core.Serve(r.Context(), req, &sink{w: w, flush: http.NewResponseController(w)})
	switch {
	case err == nil:
	case errors.Is(err, relay.ErrBroken):
		panic(http.ErrAbortHandler)
	default:
		writeError(w, err)
	}
}

// checkHead holds a request's head against the limit of the configuration in force.
func (s *Server) checkHead(r *http.Request) error {
	most := s.core.MaxHeader()
	if most <= 0 {
		return nil
	}
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	if size > most {
		return verdict.New(verdict.NotRun, verdict.CodeHeadTooLarge, "the head is over "+strconv.Itoa(most)+" bytes")
	}
	return nil
}

// body reads a request's body within the limit of the configuration in force.
func (s *Server) body(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	most := s.core.MaxBody()
	if r.ContentLength > most {
		return nil, tooLarge(most)
	}
	src := http.MaxBytesReader(w, r.Body, most)
	if r.ContentLength > 0 {
		b := make([]byte, r.ContentLength)
		_, err := io.ReadFull(src, b)
		return b, bodyError(err, most)
	}
	b, err := io.ReadAll(src)
	return b, bodyError(err, most)
}

func bodyError(err error, most int64) error {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return tooLarge(most)
	}
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body did not come whole", verdict.WithCause(err))
}

func tooLarge(most int64) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is over "+strconv.FormatInt(most, 10)+" bytes")
}

// sink writes an answer to a caller.
type sink struct {
	w      http.ResponseWriter
	flush  *http.ResponseController
	stream bool
}

// Begin implements relay.Sink.
func (s *sink) Begin(status int, header http.Header, length int64) {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		h["Content-Type"] = nil // the endpoint named none: none is guessed
	}
	s.stream = length < 0
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
}

// Write implements relay.Sink.
func (s *sink) Write(p []byte) error {
	if len(p) > 0 {
		if _, err := s.w.Write(p); err != nil {
			return err
		}
	}
	if !s.stream {
		return nil
	}
	return s.flush.Flush()
}

// refusal is the body of an answer of the instance's own.
type refusal struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Detail  string       `json:"detail"`
	Field   string       `json:"field,omitempty"`
}

// writeError answers with what is known of a request that has no answer of an endpoint.
func writeError(w http.ResponseWriter, err error) {
	e := verdict.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("X-Ledgemount-Verdict", e.Verdict().String())
	if d := e.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	b, _ := json.Marshal(refusal{Code: e.Code(), Verdict: e.Verdict().String(), Detail: e.Detail(), Field: e.Field()})
	w.WriteHeader(e.Code().Status())
	_, _ = w.Write(b)
}
