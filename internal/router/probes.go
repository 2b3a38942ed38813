package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/listen"
)

// probes is the service that answers the platform's readiness probes and serves metrics.
type probes struct {
	name     string
	listen   func(ctx context.Context) (*listen.Listener, error)
	server   *http.Server
	stopping atomic.Bool
}

const probeHeaderTimeout = 5 * time.Second

// newProbes returns the service that serves the readiness probe and the metrics on a listener.
func newProbes(l *listen.Listener, settings Probes, ready func() bool, metrics http.Handler) *probes {
	p := &probes{name: "probes", listen: func(context.Context) (*listen.Listener, error) { return l, nil }}
	e := echo.New()
	e.GET(settings.ReadyPath, func(c echo.Context) error {
		if p.stopping.Load() || !ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(settings.MetricsPath, echo.WrapHandler(metrics))
	p.server = &http.Server{Handler: e, ReadHeaderTimeout: probeHeaderTimeout}
	return p
}

// newMetricsServer returns the service that serves only metrics, on the listener that open returns once it can be opened.
// The instance serves requests without it.
func newMetricsServer(open func(ctx context.Context) (*listen.Listener, error), settings Probes, metrics http.Handler) *probes {
	e := echo.New()
	e.GET(settings.MetricsPath, echo.WrapHandler(metrics))
	return &probes{name: "metrics", listen: open, server: &http.Server{Handler: e, ReadHeaderTimeout: probeHeaderTimeout}}
}

// Name implements kernel.Service.
func (p *probes) Name() string { return p.name }

// setNotReady makes the readiness probe fail from now on.
func (p *probes) setNotReady() { p.stopping.Store(true) }

// Run implements kernel.Service.
func (p *probes) Run(ctx context.Context) error {
	l, err := p.listen(ctx)
	if err != nil {
		<-ctx.Done()
		return nil //nolint:nilerr // logged where it occurred; the instance does without
	}
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	err = p.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serving %s", p.name)
}
