package external

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that the store no longer knows what changed since a revision: read everything again.
var ErrHistoryGone = errors.New("the store's history does not reach back that far")

// Change is one change that the store reports. Gone means that the key was removed.
type Change struct {
	Entry
	Removed bool
}

// Condition holds while a key is at a revision (0: while it does not exist).
type Condition struct {
	Key      string
	Revision int64
}

// Commit is a write of several keys that happens as a whole or not at all.
type Commit struct {
	When []Condition
	Put  []Entry // Revision is not used
	Drop []string
}

// ConflictError reports that a condition did not hold. Current has the keys of the conditions as they are.
type ConflictError struct {
	Current []Entry
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

type staleKey struct{}

// WithStale marks reads under ctx that may be answered from a copy some seconds old, where the store has such reads cheaper.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// Stale reports whether WithStale marked a read.
func Stale(ctx context.Context) bool {
	on, _ := ctx.Value(staleKey{}).(bool)
	return on
}

type lastKey struct{}

// WithFinalCall marks calls under ctx as the last ones of an instance that stops: they are made though the store rests, for nobody can make them later.
func WithFinalCall(ctx context.Context) context.Context {
	return context.WithValue(ctx, lastKey{}, true)
}

func last(ctx context.Context) bool {
	on, _ := ctx.Value(lastKey{}).(bool)
	return on
}

// KV is a store with conditional writes of several keys and a history of changes.
type KV interface {
	// Read reads a key; an absent key has revision 0 and no error. The second value is the store's revision.
	Read(ctx context.Context, key string) (Entry, int64, error)
	// ReadAll reads every key with a prefix. The second value is a revision from which Changes misses nothing.
	ReadAll(ctx context.Context, prefix string) ([]Entry, int64, error)
	// Changes tells what changed under a prefix after a revision. It waits up to wait for a change to come.
	// The second value is the revision to go on from.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
	// Commit writes and returns the new revision. It fails with a ConflictError or ErrUnavailable when nothing was
	// written, and with ErrAmbiguous when that is not known: such a write may still happen while its conditions hold.
	Commit(ctx context.Context, c Commit) (int64, error)
}
