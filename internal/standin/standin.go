// Package standin contains what the stand-ins for the platform's services share: an HTTP server and fault switches.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const readHeaderTimeout = 5 * time.Second

// Server is an HTTP server on a TCP address.
type Server struct {
	srv  *http.Server
	lis  net.Listener
	done chan struct{}
}

// Serve starts a server on addr, for example 127.0.0.1:0.
func Serve(addr string, h http.Handler) (*Server, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", addr)
	}
	s := &Server{
		srv:  &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout},
		lis:  lis,
		done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.srv.Serve(lis)
	}()
	return s, nil
}

// Addr returns the host:port on which the server listens.
func (s *Server) Addr() string { return s.lis.Addr().String() }

// URL returns the server's base URL.
func (s *Server) URL() string { return "http://" + s.Addr() }

// Close stops the server at once and waits until it no longer serves.
func (s *Server) Close() error {
	err := s.srv.Close()
	<-s.done
	return eris.Wrap(err, "closing a stand-in")
}

// Switches is a set of faults that can be turned on and off while a stand-in runs.
type Switches[T comparable] struct {
	mu sync.Mutex
	on map[T]bool
}

// Set turns a fault on or off.
func (s *Switches[T]) Set(f T, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.on == nil {
		s.on = make(map[T]bool)
	}
	s.on[f] = on
}

// On reports whether a fault is on.
func (s *Switches[T]) On(f T) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.on[f]
}
