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
	listener net.Listener
	server   *http.Server
	leaving  atomic.Bool
}

const probeHeader = 5 * time.Second

func listenProbes(set Probes, ready func() bool, metrics http.Handler) (*probes, error) {
	l, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listening for probes on %s", set.Listen)
	}
	p := &probes{listener: l}
	e := echo.New()
	e.GET(set.ReadyPath, func(c echo.Context) error {
		if p.leaving.Load() || !ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	e.GET(set.MetricsPath, echo.WrapHandler(metrics))
	p.server = &http.Server{Handler: e, ReadHeaderTimeout: probeHeader}
	return p, nil
}

// Name implements kernel.Service.
func (*probes) Name() string { return "probes" }

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
	return eris.Wrap(err, "serving probes")
}
