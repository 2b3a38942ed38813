package external

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// RetryAfterError reports that the store rejected a call and asks for no calls for a while. It matches ErrUnavailable.
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
	// maxBackoff limits the back-off that the store may ask for, since an accepted configuration must be in force
	// within seconds.
	maxBackoff = 2 * time.Second
	// backoffJitter is the maximum fraction by which a back-off is extended at random. Without it all instances would
	// call again at the same time.
	backoffJitter = 0.25
)

// backoff is the time until which the store must not be called.
type backoff struct {
	mu    sync.Mutex
	until time.Time
}

// check returns an error while the store must not be called.
func (b *backoff) check() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.until) {
		return eris.Wrap(ErrUnavailable, "the store has asked for a back-off")
	}
	return nil
}

// start begins or extends a back-off. It returns true if none was in progress.
func (b *backoff) start(e *RetryAfterError) bool {
	d := min(e.After, maxBackoff)
	d += time.Duration(rand.Float64() * backoffJitter * float64(d)) //nolint:gosec // spread
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	started := !now.Before(b.until)
	if until := now.Add(d); until.After(b.until) {
		b.until = until
	}
	return started
}
