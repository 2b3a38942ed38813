package kernel

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx ends. It is the body of services that only look at things now and then.
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
