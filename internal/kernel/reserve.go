package kernel

import (
	"context"
	"time"
)

// maxReserveDivisor limits what WithReserve reserves to a part of the remaining time.
const maxReserveDivisor = 4

// WithReserve returns a context that ends before ctx, to leave time for a last step: d earlier, or a quarter of the
// remaining time if that is less. A context without a deadline has none afterwards either.
func WithReserve(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	d = min(d, max(0, time.Until(deadline)/maxReserveDivisor))
	return context.WithDeadline(ctx, deadline.Add(-d))
}
