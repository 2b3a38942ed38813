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

// probes is the service that answers the platform's question whether callers may come, and serves metrics.
type probes struct {
	name     string
	listener net.Listener
	server   *http.Server
	leaving  atomic.Bool
}

const probeHeader = 5 * time.Second

func listenProbes(set Probes, ready func() bool, metrics http.Handler) (*probes, error) {
	p := &probes{name: "probes"}
	e := echo.New()
	e.GET(set.ReadyPath, func(c echo.Context) error {
		if p.leaving.Load() || !ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(set.MetricsPath, echo.WrapHandler(metrics))
	return p, p.listen(set.Listen, e)
}

// listenMetrics serves metrics on an address of their own.
func listenMetrics(set Probes, metrics http.Handler) (*probes, error) {
	p := &probes{name: "metrics"}
	e := echo.New()
	e.GET(set.MetricsPath, echo.WrapHandler(metrics))
	return p, p.listen(set.MetricsListen, e)
}

func (p *probes) listen(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listening for %s on %s", p.name, addr)
	}
	p.listener = l
	p.server = &http.Server{Handler: h, ReadHeaderTimeout: probeHeader}
	return nil
}

// Name implements kernel.Service.
func (p *probes) Name() string { return p.name }

// leave makes the instance call itself not ready.
func (p *probes) leave() { p.leaving.Store(true) }

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
