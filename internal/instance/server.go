package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/listen"
	"github.com/ledgemount/ledgemount/internal/settings"
)

const (
	readHeaderTimeout = 5 * time.Second
	addressTimeout    = 10 * time.Second // for an address that a predecessor still holds
)

// server is an HTTP server that runs as a kernel service.
type server struct {
	name string
	tls  settings.TLS
	lis  net.Listener
	srv  *http.Server
}

// newServer returns a server that listens on addr. It accepts connections once Run is called.
func newServer(name, addr string, tls settings.TLS, h http.Handler) (*server, error) {
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	lis, err := listen.TCP(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listening for %s", name)
	}
	return &server{name: name, tls: tls, lis: lis, srv: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}, nil
}

// Name implements kernel.Service.
func (s *server) Name() string { return s.name }

func (s *server) addr() string { return s.lis.Addr().String() }

// Run implements kernel.Service.
func (s *server) Run(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.serve() }()
	select {
	case <-ctx.Done():
		s.kill()
		<-ended //nolint:errcheck // the server was killed
		return nil
	case err := <-ended:
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrapf(err, "serving %s", s.name)
		}
		<-ctx.Done()
		return nil
	}
}

func (s *server) serve() error {
	if s.tls.CertFile != "" {
		return s.srv.ServeTLS(s.lis, s.tls.CertFile, s.tls.KeyFile)
	}
	return s.srv.Serve(s.lis)
}

// shutdown stops the server after its requests have ended, or when ctx ends.
func (s *server) shutdown(ctx context.Context) { _ = s.srv.Shutdown(ctx) }

// kill closes the listener and all connections at once.
func (s *server) kill() {
	_ = s.srv.Close()
	_ = s.lis.Close()
}
