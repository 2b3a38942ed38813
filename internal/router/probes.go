package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rotisserie/eris"
)

// probes is the service that answers the platform's readiness probes and serves metrics.
type probes struct {
	name     string
	listener net.Listener
	server   *http.Server
	stopping atomic.Bool
}

const probeHeaderTimeout = 5 * time.Second

// listenProbes opens a listener that serves the readiness probe and the metrics.
func listenProbes(settings Probes, ready func() bool, metrics http.Handler) (*probes, error) {
	p := &probes{name: "probes"}
	e := echo.New()
	e.GET(settings.ReadyPath, func(c echo.Context) error {
		if p.stopping.Load() || !ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(settings.MetricsPath, echo.WrapHandler(metrics))
	return p, p.listen(settings.Listen, e)
}

// listenMetrics opens a listener on a separate address that serves only metrics.
func listenMetrics(settings Probes, metrics http.Handler) (*probes, error) {
	p := &probes{name: "metrics"}
	e := echo.New()
	e.GET(settings.MetricsPath, echo.WrapHandler(metrics))
	return p, p.listen(settings.MetricsListen, e)
}

func (p *probes) listen(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listening for %s on %s", p.name, addr)
	}
	p.listener = l
	p.server = &http.Server{Handler: h, ReadHeaderTimeout: probeHeaderTimeout}
	return nil
}

// Name implements kernel.Service.
func (p *probes) Name() string { return p.name }

// setNotReady makes the readiness probe fail from now on.
func (p *probes) setNotReady() { p.stopping.Store(true) }

// Run implements kernel.Service.
func (p *probes) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = p.server.Close() })
	defer stop()
	err := p.server.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "serving %s", p.name)
}
