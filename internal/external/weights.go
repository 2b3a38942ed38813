package external

import (
	"context"

	"golang.org/x/time/rate"
)

// RateWeights is a WeightStore that spaces loads by this instance's own share of the store's rate.
type RateWeights struct{ limit *rate.Limiter }

// NewRateWeights allows perSecond loads a second.
func NewRateWeights(perSecond float64) *RateWeights {
	return &RateWeights{limit: rate.NewLimiter(rate.Limit(perSecond), 1)}
}

// Acquire implements WeightStore.
func (w *RateWeights) Acquire(ctx context.Context, _, _ string) error { return w.limit.Wait(ctx) }
