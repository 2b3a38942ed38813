// Package edge accepts callers' plain HTTP requests, passes them to the relay, and writes responses and rejections.
package edge

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/graceful"
	"github.com/ledgemount/ledgemount/internal/listen"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Parser converts a caller's HTTP request into a request for the relay.
type Parser interface {
	Parse(r *http.Request, body []byte, arrived time.Time) (*relay.Request, error)
}

// Timeouts limit how long callers may take.
type Timeouts struct {
	Header time.Duration // to send a request's header
	Body   time.Duration // to send a request's body, if the caller states no earlier deadline
	Write  time.Duration // to receive a response that no endpoint has sent
	Idle   time.Duration // between requests on a connection
}

// DefaultTimeouts returns generous timeouts; the limits of a configuration are tighter.
func DefaultTimeouts() Timeouts {
	return Timeouts{Header: 10 * time.Second, Body: 30 * time.Second, Write: 10 * time.Second, Idle: 60 * time.Second}
}

// maxHeaderBytes is the size of the largest request header that is read.
const maxHeaderBytes = 32 << 10

// Server is the HTTP server for callers.
type Server struct {
	server       *graceful.Server
	core         *relay.Core
	parser       Parser
	now          func() time.Time
	diverting    func() bool
	memory       *memory.Budget
	bodyTimeout  time.Duration
	writeTimeout time.Duration
	wrapListener func(net.Listener) net.Listener
	maxConns     int
	onClosed     func()
	onRejected   func(err *verdict.Error)
	log          zerolog.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithDiverting sets the function that reports whether callers are diverted to other instances. While they are, each
// connection is closed after the response.
func WithDiverting(f func() bool) Option { return func(s *Server) { s.diverting = f } }

// WithMemory sets the memory that all open requests may hold together. By default, it is unlimited.
func WithMemory(b *memory.Budget) Option { return func(s *Server) { s.memory = b } }

// WithConnectionLimit limits the number of callers' connections to n; 0: unlimited. closed is called for each connection
// without requests that is closed for a further one.
func WithConnectionLimit(n int, closed func()) Option {
	return func(s *Server) { s.maxConns, s.onClosed = n, closed }
}

// OnRejected sets the function that is called for each request that is rejected before it is passed to the relay.
func OnRejected(f func(err *verdict.Error)) Option { return func(s *Server) { s.onRejected = f } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(s *Server) { s.log = log } }

// WithNow replaces the clock, which is read once for each request.
func WithNow(now func() time.Time) Option { return func(s *Server) { s.now = now } }

// WithListenerWrapper sets a function that wraps the listener.
func WithListenerWrapper(f func(net.Listener) net.Listener) Option {
	return func(s *Server) { s.wrapListener = f }
}

// New returns a Server that serves callers on a listener.
func New(l *listen.Listener, core *relay.Core, parser Parser, timeouts Timeouts, opts ...Option) *Server {
	s := &Server{
		core: core, parser: parser, now: time.Now, bodyTimeout: timeouts.Body, writeTimeout: timeouts.Write, log: zerolog.Nop(),
		diverting: func() bool { return false }, onClosed: func() {}, onRejected: func(*verdict.Error) {},
		wrapListener: func(l net.Listener) net.Listener { return l },
	}
	for _, opt := range opts {
		opt(s)
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: timeouts.Header, IdleTimeout: timeouts.Idle, MaxHeaderBytes: maxHeaderBytes}
	s.server = graceful.New(l, server, graceful.WithListenerWrapper(s.wrapListener), graceful.WithLogger(s.log),
		graceful.WithConnectionLimit(s.maxConns, s.onClosed), graceful.WithRejection(s.rejectEarly))
	return s
}

// Name implements kernel.Service.
func (*Server) Name() string { return "callers" }

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.server.Addr() }

// Run serves callers until ctx ends. It returns after ctx has ended, also if Stop is called before.
func (s *Server) Run(ctx context.Context) error {
	return eris.Wrap(s.server.Serve(ctx), "serving callers")
}

// Leave makes the server close each connection after its next response, because the process is about to stop.
func (s *Server) Leave() { s.server.Leave() }

// Stop rejects further requests and waits for open ones until ctx ends; then it interrupts them. Connections that are
// established already are still accepted.
func (s *Server) Stop(ctx context.Context) error { return s.server.Stop(ctx) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := s.now()
	out := &sink{w: w, controller: http.NewResponseController(w)}
	out.SetTimeout(s.bodyTimeout + s.writeTimeout)
	if s.diverting() {
		w.Header().Set("Connection", "close")
	}
	if err := s.checkHeader(r); err != nil {
		s.reject(w, r, err)
		return
	}
	account := s.memory.Open()
	defer account.Close()
	req, err := s.receive(w, r, arrived, account)
	if err != nil {
		account.Close() // reading the rest of the body holds no memory
		s.reject(w, r, err)
		return
	}
	err = s.core.Serve(r.Context(), req, out)
	switch {
	case err == nil:
	case errors.Is(err, relay.ErrBroken):
		panic(http.ErrAbortHandler)
	default:
		writeError(w, err)
	}
}

// checkHeader checks the size of a request's header against the limit of the current configuration.
func (s *Server) checkHeader(r *http.Request) error {
	limit := s.core.MaxHeader()
	if limit <= 0 {
		return nil
	}
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + separators
		}
	}
	if size > limit {
		return verdict.New(verdict.NotRun, verdict.CodeHeaderTooLarge, "the head is over "+strconv.Itoa(limit)+" bytes")
	}
	return nil
}

// receive reads a request with its body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, arrived time.Time, account *memory.Account) (*relay.Request, error) {
	if !account.Grow(memory.RequestOverhead) {
		return nil, memoryExceeded()
	}
	req, errParse := s.parser.Parse(r, nil, arrived)
	timeout := s.bodyTimeout
	if errParse == nil && req.Deadline > 0 {
		timeout = min(timeout, req.Deadline)
	}
	body, err := s.readBody(w, r, timeout, account)
	switch {
	case err != nil:
		return nil, err
	case errParse != nil:
		return nil, errParse
	}
	req.Body, req.Memory = body, account
	return req, nil
}

// readBody reads a request's body within a timeout, up to the limit of the current configuration.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration, account *memory.Account) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	limit := s.core.MaxBody()
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(timeout)) // the server's connections support it
	body, _, err := memory.Read(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit+1, account)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, bodyError(err, limit)
}

// Connections returns the number of callers' connections.
func (s *Server) Connections() int { return s.server.Connections() }

// reject rejects a request that is not passed to the relay.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, err error) {
	e := verdict.From(err)
	s.onRejected(e)
	writeError(w, err)
	if e.Code() != verdict.CodeBodyTimeout {
		graceful.DiscardBody(w, r)
	}
}

// rejectEarly rejects a request that the server has not passed on.
func (s *Server) rejectEarly(w http.ResponseWriter, r *http.Request, reason graceful.Reason) {
	switch reason {
	case graceful.OverLimit:
		s.reject(w, r, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "this instance has as many connections as it may", verdict.WithRetryAfter(overloadRetryAfter)))
	case graceful.Stopping:
		s.reject(w, r, verdict.New(verdict.NotRun, verdict.CodeStopping, "this instance is stopping", verdict.WithRetryAfter(stoppingRetryAfter)))
	}
}

func memoryExceeded() error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the open requests of this instance hold as much memory as they may", verdict.WithRetryAfter(overloadRetryAfter))
}

// Delays after which a rejected caller may retry.
const (
	overloadRetryAfter = 300 * time.Millisecond // for want of memory or connections
	stoppingRetryAfter = 50 * time.Millisecond  // at another instance
)

func bodyError(err error, limit int64) error {
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return tooLarge(limit)
	case errors.Is(err, memory.ErrExceeded):
		return memoryExceeded()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verdict.New(verdict.NotRun, verdict.CodeBodyTimeout, "the body did not come in time", verdict.WithCause(err))
	}
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body did not come whole", verdict.WithCause(err))
}

func tooLarge(limit int64) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes")
}

// sink writes a response to a caller. It implements relay.Sink.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	streaming  bool
}

// SetTimeout implements relay.Sink.
func (s *sink) SetTimeout(d time.Duration) {
	var end time.Time
	if d > 0 {
		end = time.Now().Add(d)
	}
	_ = s.controller.SetWriteDeadline(end) // the server's connections support it
}

// Begin implements relay.Sink.
func (s *sink) Begin(status int, header http.Header, length int64) {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, hasType := header["Content-Type"]; !hasType {
		h["Content-Type"] = nil // the endpoint sent none: keep net/http from guessing one
	}
	s.streaming = length < 0
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
	if !s.streaming {
		return nil
	}
	return s.controller.Flush()
}

// errorBody is the body of an error response that the instance itself generates.
type errorBody struct {
	Code    verdict.Code `json:"code"`
	Verdict string       `json:"verdict"`
	Detail  string       `json:"detail"`
	Field   string       `json:"field,omitempty"`
}

// writeError writes the error response to a request for which there is no response from an endpoint.
func writeError(w http.ResponseWriter, err error) {
	e := verdict.From(err)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("X-Ledgemount-Verdict", e.Verdict().String())
	if d := e.RetryAfter(); d > 0 {
		h.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	b, _ := json.Marshal(errorBody{Code: e.Code(), Verdict: e.Verdict().String(), Detail: e.Detail(), Field: e.Field()})
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(e.Code().Status())
	_, _ = w.Write(b)
}
