package external

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RetryAfterError reports that the store did not take a call and wants none for a while. It matches ErrUnavailable.
type RetryAfterError struct {
	After  time.Duration
	Detail string
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return ErrUnavailable.Error() + ": " + e.Detail + "; it wants no calls for " + e.After.String()
}

// Is makes the error match ErrUnavailable.
func (e *RetryAfterError) Is(target error) bool { return target == ErrUnavailable }

const (
	// mostRest bounds what the store may ask for: an accepted configuration is to be in force within seconds.
	mostRest = 2 * time.Second
	// restSpread is the part of a rest by which an instance calls later, drawn at random: all were told at the same time.
	restSpread = 0.25
)

// rests keeps until when the store wants no calls.
type rests struct {
	mu    sync.Mutex
	until time.Time
}

// check reports why the store must not be called now.
func (r *rests) check() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.until) {
		return eris.Wrap(ErrUnavailable, "the store has asked for rest")
	}
	return nil
}

// note takes a rest; true if it is news.
func (r *rests) note(e *RetryAfterError) bool {
	d := min(e.After, mostRest)
	d += time.Duration(rand.Float64() * restSpread * float64(d)) //nolint:gosec // spread
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	news := !now.Before(r.until)
	if until := now.Add(d); until.After(r.until) {
		r.until = until
	}
	return news
}
