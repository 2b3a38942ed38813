package external

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Call describes one call to a store.
type Call struct {
	Name    string        // read, list, changes or commit
	Duty    Duty          // its purpose
	Stale   bool          // a response from a copy some seconds old was acceptable
	Outcome string        // ok, conflict, unavailable, unknown or gone
	Took    time.Duration // until the response arrived or the call was given up
}

// Observed is a KV that reports its calls. It suspends them while the store asks for a back-off. Otherwise each
// instance would call an overloaded store again at once.
type Observed struct {
	next      KV
	onCall    atomic.Pointer[func(Call)]
	onBackoff atomic.Pointer[func(time.Duration)]
	backoff   backoff
}

var _ KV = (*Observed)(nil)

// Observe wraps a store. Calls are not reported before OnCall sets a callback.
func Observe(next KV) *Observed { return &Observed{next: next} }

// OnCall sets the callback for each call.
func (o *Observed) OnCall(f func(Call)) { o.onCall.Store(&f) }

// OnBackoff sets the callback for the start of a back-off. It gets the duration that the store asked for.
func (o *Observed) OnBackoff(f func(time.Duration)) { o.onBackoff.Store(&f) }

// call makes a call, unless a back-off is in progress, and reports it.
func (o *Observed) call(ctx context.Context, name string, f func() error) error {
	if err := o.backoff.check(); err != nil && !isFinalCall(ctx) {
		return err
	}
	start := time.Now()
	err := f()
	var retryAfter *RetryAfterError
	if errors.As(err, &retryAfter) && o.backoff.start(retryAfter) {
		if notify := o.onBackoff.Load(); notify != nil {
			(*notify)(retryAfter.After)
		}
	}
	if notify := o.onCall.Load(); notify != nil {
		(*notify)(Call{Name: name, Duty: DutyOf(ctx), Stale: Stale(ctx), Outcome: outcomeOf(err), Took: time.Since(start)})
	}
	return err
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrHistoryGone):
		return "gone"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}

// Read implements KV.
func (o *Observed) Read(ctx context.Context, key string) (e Entry, at int64, err error) {
	err = o.call(ctx, "read", func() error {
		e, at, err = o.next.Read(ctx, key)
		return err
	})
	return e, at, err
}

// ReadAll implements KV.
func (o *Observed) ReadAll(ctx context.Context, prefix string) (entries []Entry, at int64, err error) {
	err = o.call(ctx, "list", func() error {
		entries, at, err = o.next.ReadAll(ctx, prefix)
		return err
	})
	return entries, at, err
}

// ReadPage implements KV.
func (o *Observed) ReadPage(ctx context.Context, prefix, after string) (page Page, err error) {
	err = o.call(ctx, "page", func() error {
		page, err = o.next.ReadPage(ctx, prefix, after)
		return err
	})
	return page, err
}

// Changes implements KV.
func (o *Observed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, at int64, err error) {
	err = o.call(ctx, "changes", func() error {
		changes, at, err = o.next.Changes(ctx, prefix, after, wait)
		return err
	})
	return changes, at, err
}

// Commit implements KV.
func (o *Observed) Commit(ctx context.Context, c Commit) (at int64, err error) {
	err = o.call(ctx, "commit", func() error {
		at, err = o.next.Commit(ctx, c)
		return err
	})
	return at, err
}
