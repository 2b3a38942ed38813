package external

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Call tells of one call to a store.
type Call struct {
	Name    string        // read, list, changes or commit
	Duty    Duty          // what it is for
	Stale   bool          // a copy some seconds old was good enough
	Outcome string        // ok, conflict, unavailable, unknown or gone
	Took    time.Duration // until its answer, or until it was given up
}

// Observed is a KV that tells of its calls.
type Observed struct {
	next KV
	told atomic.Pointer[func(Call)]
}

var _ KV = (*Observed)(nil)

// Observe wraps a store. Until OnCall nobody is told.
func Observe(next KV) *Observed { return &Observed{next: next} }

// OnCall sets what is told of each call.
func (o *Observed) OnCall(f func(Call)) { o.told.Store(&f) }

func (o *Observed) tell(ctx context.Context, name string, begun time.Time, err error) {
	if f := o.told.Load(); f != nil {
		(*f)(Call{Name: name, Duty: DutyOf(ctx), Stale: Stale(ctx), Outcome: outcomeOf(err), Took: time.Since(begun)})
	}
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
func (o *Observed) Read(ctx context.Context, key string) (Entry, int64, error) {
	begun := time.Now()
	e, at, err := o.next.Read(ctx, key)
	o.tell(ctx, "read", begun, err)
	return e, at, err
}

// ReadAll implements KV.
func (o *Observed) ReadAll(ctx context.Context, prefix string) ([]Entry, int64, error) {
	begun := time.Now()
	entries, at, err := o.next.ReadAll(ctx, prefix)
	o.tell(ctx, "list", begun, err)
	return entries, at, err
}

// Changes implements KV.
func (o *Observed) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error) {
	begun := time.Now()
	changes, at, err := o.next.Changes(ctx, prefix, after, wait)
	o.tell(ctx, "changes", begun, err)
	return changes, at, err
}

// Commit implements KV.
func (o *Observed) Commit(ctx context.Context, c Commit) (int64, error) {
	begun := time.Now()
	at, err := o.next.Commit(ctx, c)
	o.tell(ctx, "commit", begun, err)
	return at, err
}
