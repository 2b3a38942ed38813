package kernel

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. Services that only do periodic work call it in Run.
func Every(ctx context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}
