package external

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Call reports one call to a store.
type Call struct {
	Name    string        // read, list, changes or commit
	Duty    Duty          // what it is for
	Stale   bool          // a copy some seconds old was good enough
	Outcome string        // ok, conflict, unavailable, unknown or gone
	Took    time.Duration // until its answer, or until it was given up
}

// Observed is a KV that reports its calls, and leaves the store alone while it asks for that: a store that turns all away would else be called again
// at once by each instance.
type Observed struct {
	next  KV
	told  atomic.Pointer[func(Call)]
	rest  atomic.Pointer[func(time.Duration)]
	rests rests
}

var _ KV = (*Observed)(nil)

// Observe wraps a store. Until OnCall nobody is told.
func Observe(next KV) *Observed { return &Observed{next: next} }

// OnCall sets what is notified of each call.
func (o *Observed) OnCall(f func(Call)) { o.told.Store(&f) }

// OnBackoff sets what is told when the store asks for rest.
func (o *Observed) OnBackoff(f func(time.Duration)) { o.rest.Store(&f) }

// call makes a call, unless the store rests, and reports it.
func (o *Observed) call(ctx context.Context, name string, f func() error) error {
	if err := o.rests.check(); err != nil && !last(ctx) {
		return err
	}
	begun := time.Now()
	err := f()
	var rest *RetryAfterError
	if errors.As(err, &rest) && o.rests.note(rest) {
		if told := o.rest.Load(); told != nil {
			(*told)(rest.After)
		}
	}
	if told := o.told.Load(); told != nil {
		(*told)(Call{Name: name, Duty: DutyOf(ctx), Stale: Stale(ctx), Outcome: outcomeOf(err), Took: time.Since(begun)})
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
