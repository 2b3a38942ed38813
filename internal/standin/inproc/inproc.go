// Package inproc provides an HTTP transport that calls handlers in the same process, so that tests need no sockets.
package inproc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
)

// ErrBroken is returned to a reader when the other side closed the connection before the response was complete.
var ErrBroken = errors.New("the connection broke")

// Transport selects a handler by the host of a request.
type Transport struct {
	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	handler http.Handler
	down    chan struct{} // closed when the host goes down
}

// New makes a transport without hosts.
func New() *Transport { return &Transport{hosts: make(map[string]*host)} }

// Handle adds a host or replaces it.
func (t *Transport) Handle(name string, h http.Handler) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts[name] = &host{handler: h, down: make(chan struct{})}
}

// SetDown takes a host down: it breaks open connections and refuses new ones.
func (t *Transport) SetDown(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h, ok := t.hosts[name]; ok && !h.isDown() {
		close(h.down)
	}
}

func (h *host) isDown() bool {
	select {
	case <-h.down:
		return true
	default:
		return false
	}
}

// Refused reports whether a new connection to a host is refused.
func (t *Transport) Refused(_ context.Context, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hosts[name]
	return !ok || h.isDown()
}

// RefusedSoon returns Refused, because a host goes down at once.
func (t *Transport) RefusedSoon(ctx context.Context, name string) bool { return t.Refused(ctx, name) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	h, ok := t.hosts[r.URL.Host]
	t.mu.Unlock()
	if !ok || h.isDown() {
		return nil, &net.OpError{Op: "dial", Net: "inproc", Err: errors.New("connection refused")}
	}
	return h.serve(r)
}

func (h *host) serve(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(r.Context())
	pr, pw := io.Pipe()
	w := &writer{header: make(http.Header), pipe: pw, ready: make(chan struct{})}
	req := r.Clone(ctx)
	if req.Body == nil {
		req.Body = http.NoBody
	}
	go func() {
		defer cancel()
		defer w.end()
		h.handler.ServeHTTP(w, req)
	}()
	body := &reader{PipeReader: pr, cancel: cancel}
	select {
	case <-w.ready:
	case <-h.down:
		cancel()
		_ = pr.CloseWithError(ErrBroken)
		return nil, ErrBroken
	case <-ctx.Done():
		_ = pr.CloseWithError(ErrBroken)
		return nil, ctx.Err()
	}
	if w.failed() {
		return nil, ErrBroken
	}
	go breakOnDown(ctx, h, pw)
	return &http.Response{
		Status: http.StatusText(w.status), StatusCode: w.status, Header: w.header.Clone(), Body: body, ContentLength: -1, Request: r,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, nil
}

// breakOnDown breaks an open response when its host goes down or its request is cancelled.
func breakOnDown(ctx context.Context, h *host, pw *io.PipeWriter) {
	select {
	case <-h.down:
	case <-ctx.Done():
	}
	_ = pw.CloseWithError(ErrBroken)
}

// reader cancels the request when the caller stops reading.
type reader struct {
	*io.PipeReader
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.cancel()
	return r.PipeReader.Close()
}

// writer is the handler's side of a response.
type writer struct {
	header http.Header
	pipe   *io.PipeWriter
	status int
	once   sync.Once
	ready  chan struct{}
	broken bool
}

// Header implements http.ResponseWriter.
func (w *writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.ready)
	})
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.pipe.Write(b)
}

// Flush implements http.Flusher.
func (w *writer) Flush() { w.WriteHeader(http.StatusOK) }

func (w *writer) failed() bool { return w.broken }

// end finishes the response. If the handler panicked with http.ErrAbortHandler, end breaks the connection, as net/http
// does.
func (w *writer) end() {
	if p := recover(); p != nil {
		if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			panic(p)
		}
		w.once.Do(func() {
			w.broken = true
			close(w.ready)
		})
		_ = w.pipe.CloseWithError(ErrBroken)
		return
	}
	w.WriteHeader(http.StatusOK)
	_ = w.pipe.Close()
}
