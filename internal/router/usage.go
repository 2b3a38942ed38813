package router

import (
	"context"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"
)

// usageInterval is the time between two updates of the gauges of what open requests hold.
const usageInterval = time.Second

// usageMeter is the service that reports what callers hold of this instance, beside the limits.
type usageMeter struct{ router *Router }

// Name implements kernel.Service.
func (*usageMeter) Name() string { return "usage" }

// Run implements kernel.Service.
func (u *usageMeter) Run(ctx context.Context) error {
	scope := u.router.metrics.metrics.Scope()
	scope.Gauge("request_memory_limit_bytes").Update(float64(u.router.memory.Limit()))
	scope.Gauge("caller_connections_limit").Update(float64(u.router.settings.Instance.maxConnections()))
	held, connections := scope.Gauge("request_memory_bytes"), scope.Gauge("caller_connections")
	kernel.Every(ctx, usageInterval, func(context.Context) {
		held.Update(float64(u.router.memory.Held()))
		connections.Update(float64(u.router.callers.Connections()))
	})
	return nil
}
