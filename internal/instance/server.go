package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/graceful"
	"github.com/ledgemount/ledgemount/internal/listen"
	"github.com/ledgemount/ledgemount/internal/settings"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	readHeaderTimeout = 5 * time.Second
	addressTimeout    = 10 * time.Second // for an address that a predecessor still holds
)

// server is an HTTP server that runs as a kernel service.
type server struct {
	name string
	srv  *graceful.Server
	lis  *listen.Listener
}

// newServer returns a server that listens on addr. It accepts connections once Run is called.
func newServer(name, addr string, tls settings.TLS, h http.Handler, log zerolog.Logger) (*server, error) {
	ctx, cancel := context.WithTimeout(context.Background(), addressTimeout)
	defer cancel()
	lis, err := listen.TCP(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listening for %s", name)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return &server{name: name, lis: lis, srv: graceful.New(lis, srv,
		graceful.WithTLS(tls.CertFile, tls.KeyFile), graceful.WithLogger(log), graceful.WithRejection(rejectStopping))}, nil
}

// rejectStopping rejects a request that arrives during a stop. The server has no limit of connections.
func rejectStopping(w http.ResponseWriter, _ *http.Request, _ graceful.Reason) {
	gateway.WriteProblem(w, verdict.New(verdict.NotRun, verdict.CodeStopping, "this instance is leaving", verdict.WithRetryAfter(time.Second)), "")
}

// Name implements kernel.Service.
func (s *server) Name() string { return s.name }

func (s *server) addr() string { return s.lis.Addr().String() }

// Run implements kernel.Service.
func (s *server) Run(ctx context.Context) error {
	return eris.Wrapf(s.srv.Serve(ctx), "serving %s", s.name)
}

// leave makes the server close each connection after its next response.
func (s *server) leave() { s.srv.Leave() }

// shutdown stops the server after its requests have ended, or when ctx ends.
func (s *server) shutdown(ctx context.Context) error { return s.srv.Stop(ctx) }

// kill closes the listener and all connections at once.
func (s *server) kill() { s.srv.Close() }
