package external

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// fencePrefix is where the fences lie under the fleet's own prefix.
const fencePrefix = "epoch/"

// Fenced is a KV whose revisions of different epochs are never taken for each other: reads go on within one epoch only, and a conditional write
// happens only in the epoch in which its conditions were read, however late the store does it.
//
// Each conditional write has one more condition: that the fence of its epoch stands as it was made. Whoever writes first in an epoch makes its
// fence and drops those before. A store that names no epoch has no fences.
type Fenced struct {
	next   KV
	prefix string
	epochs *Epochs

	mu       sync.Mutex
	epoch    int64 // of the fence that is known
	revision int64 // of that fence; 0: none is known
}

var _ KV = (*Fenced)(nil)

// Fence wraps a store. Fences lie under the fleet's own prefix.
func Fence(next KV, prefix string, epochs *Epochs) *Fenced {
	return &Fenced{next: next, prefix: prefix + fencePrefix, epochs: epochs}
}

// observe takes the revision or the error of an answer.
func (f *Fenced) observe(revision int64, err error) error {
	switch {
	case err != nil:
		return f.epochs.observeError(err)
	case revision == 0: // of an empty store
		return nil
	}
	return f.epochs.Observe(EpochOf(revision), NumberOf(revision))
}

// Read implements KV.
func (f *Fenced) Read(ctx context.Context, key string) (Entry, int64, error) {
	e, at, err := f.next.Read(ctx, key)
	if err = f.observe(at, err); err != nil {
		return Entry{}, 0, err
	}
	return e, at, nil
}

// ReadAll implements KV.
func (f *Fenced) ReadAll(ctx context.Context, prefix string) ([]Entry, int64, error) {
	entries, at, err := f.next.ReadAll(ctx, prefix)
	if err = f.observe(at, err); err != nil {
		return nil, 0, err
	}
	return entries, at, nil
}

// Changes implements KV. What has changed since a revision of another epoch is not known: ErrHistoryGone.
func (f *Fenced) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Change, int64, error) {
	if after != 0 && EpochOf(after) != f.epochs.Current() {
		return nil, 0, ErrHistoryGone
	}
	changes, at, err := f.next.Changes(ctx, prefix, after, wait)
	if err = f.observe(at, err); err != nil {
		return nil, 0, err
	}
	if after != 0 && at != 0 && EpochOf(after) != EpochOf(at) {
		return nil, 0, ErrHistoryGone
	}
	return changes, at, nil
}

// Commit implements KV.
func (f *Fenced) Commit(ctx context.Context, c Commit) (int64, error) {
	epoch := f.epochs.Current()
	if len(c.When) == 0 || epoch == 0 {
		return f.write(ctx, c)
	}
	for _, w := range c.When {
		if w.Revision != 0 && EpochOf(w.Revision) != epoch {
			return 0, &ConflictError{}
		}
	}
	fence, err := f.fence(ctx, epoch)
	if err != nil {
		return 0, err
	}
	return f.commit(ctx, c, fence)
}

// write makes a write and takes the epoch that its answer names. One that was done in an epoch before the known one has an unknown outcome.
func (f *Fenced) write(ctx context.Context, c Commit) (int64, error) {
	at, err := f.next.Commit(ctx, c)
	if err != nil {
		return 0, f.epochs.observeError(err)
	}
	if f.observe(at, nil) != nil {
		return 0, ErrAmbiguous
	}
	return at, nil
}

// commit writes with the fence as one more condition. A write that was prepared in one epoch and answered in the next has an unknown outcome: what
// its conditions were read from is lost.
func (f *Fenced) commit(ctx context.Context, c Commit, fence Condition) (int64, error) {
	when := make([]Condition, 0, len(c.When)+1)
	c.When = append(append(when, c.When...), fence)
	at, err := f.write(ctx, c)
	if err != nil {
		return 0, f.withoutFence(err, fence)
	}
	if EpochOf(at) != EpochOf(fence.Revision) {
		return 0, ErrAmbiguous
	}
	return at, nil
}

// withoutFence takes the fence out of a conflict. One that does not stand any more is read again.
func (f *Fenced) withoutFence(err error, fence Condition) error {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	out := &ConflictError{}
	for _, e := range conflict.Current {
		switch {
		case e.Key != fence.Key:
			out.Current = append(out.Current, e)
		case e.Revision != fence.Revision:
			f.keep(0, 0)
		}
	}
	return out
}

func (f *Fenced) keep(epoch, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.revision = epoch, revision
}

// fence is the condition that holds in an epoch only.
func (f *Fenced) fence(ctx context.Context, epoch int64) (Condition, error) {
	key := f.prefix + strconv.FormatInt(epoch, 10)
	f.mu.Lock()
	known, revision := f.epoch == epoch, f.revision
	f.mu.Unlock()
	if known {
		return Condition{Key: key, Revision: revision}, nil
	}
	revision, err := f.find(ctx, key, epoch)
	if err != nil {
		return Condition{}, err
	}
	f.keep(epoch, revision)
	return Condition{Key: key, Revision: revision}, nil
}

// find reads the fence of an epoch, or makes it and drops those of earlier ones.
func (f *Fenced) find(ctx context.Context, key string, epoch int64) (int64, error) {
	entries, at, err := f.ReadAll(ctx, f.prefix)
	if err != nil {
		return 0, err
	}
	if at != 0 && EpochOf(at) != epoch {
		return 0, &ConflictError{}
	}
	c := Commit{When: []Condition{{Key: key}}, Put: []Entry{{Key: key, Data: []byte(strconv.FormatInt(epoch, 10))}}}
	for _, e := range entries {
		if e.Key == key {
			return e.Revision, nil
		}
		if strings.HasPrefix(e.Key, f.prefix) {
			c.Drop = append(c.Drop, e.Key)
		}
	}
	made, err := f.write(ctx, c)
	var conflict *ConflictError
	switch {
	case err == nil && EpochOf(made) == epoch:
		return made, nil
	case err == nil:
		return 0, &ConflictError{}
	case errors.As(err, &conflict) && len(conflict.Current) == 1 && EpochOf(conflict.Current[0].Revision) == epoch:
		return conflict.Current[0].Revision, nil
	}
	return 0, eris.Wrap(ErrUnavailable, "making the fence of the store's epoch: "+err.Error())
}
