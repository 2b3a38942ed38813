package external

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that the store no longer holds the changes since a revision. The caller must read everything
// again.
var ErrHistoryGone = errors.New("the store's history does not reach back that far")

// Change is one change that the store reports. Removed means that the key was removed.
type Change struct {
	Entry
	Removed bool
}

// Condition holds while a key is at a revision (0: while it does not exist).
type Condition struct {
	Key      string
	Revision int64
}

// Commit is an atomic write of several keys.
type Commit struct {
	When []Condition
	Put  []Entry // their revisions are not used
	Drop []string
}

// ConflictError reports that a condition did not hold. Current holds the current entries of the conditions' keys.
type ConflictError struct {
	Current []Entry
}

// Error implements error.
func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is makes the error match ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

type staleKey struct{}

// WithStale marks reads under ctx that may be answered from a copy some seconds old. Some stores serve such reads more
// cheaply.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// Stale reports whether a read is marked by WithStale.
func Stale(ctx context.Context) bool {
	on, _ := ctx.Value(staleKey{}).(bool)
	return on
}

type finalCallKey struct{}

// WithFinalCall marks calls under ctx as the last ones of an instance that stops. They are made even during a back-off
// of the store, because the instance cannot make them later.
func WithFinalCall(ctx context.Context) context.Context {
	return context.WithValue(ctx, finalCallKey{}, true)
}

func isFinalCall(ctx context.Context) bool {
	on, _ := ctx.Value(finalCallKey{}).(bool)
	return on
}

// Page is the part of a list that a store sends in one response.
type Page struct {
	Entries []Entry
	At      int64 // the store's revision
	More    bool  // further entries follow the last one
}

// KV is a store with conditional writes of several keys and a history of changes.
type KV interface {
	// Read reads a key; an absent key has revision 0 and no error. The second value is the store's revision.
	Read(ctx context.Context, key string) (Entry, int64, error)
	// ReadAll reads every key with a prefix. The second value is a revision from which Changes misses nothing.
	ReadAll(ctx context.Context, prefix string) ([]Entry, int64, error)
	// ReadPage reads the first entries with a prefix whose keys follow after. The pages of a list are not a snapshot: a
	// change since the first page's revision may be missing.
	ReadPage(ctx context.Context, prefix, after string) (Page, error)
	// Changes returns the changes under a prefix after a revision. If there are none, it waits up to wait for one. The
	// second value is the revision from which to continue.
	Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error)
	// Commit writes and returns the new revision. It fails with a ConflictError or ErrUnavailable if nothing was
	// written, and with ErrAmbiguous if the outcome is unknown: such a write may still take effect while its conditions
	// hold.
	Commit(ctx context.Context, c Commit) (int64, error)
}
