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

// fencePrefix is the location of the fences under the fleet's own prefix.
const fencePrefix = "epoch/"

// Fenced is a KV that never confuses revisions of different epochs. It returns the changes since a revision only within
// one epoch. A conditional write takes effect only in the epoch in which its conditions were read, however late the store
// executes it.
//
// Each conditional write has one more condition: the fence of its epoch is unchanged. A fence is a key that the first
// writer in an epoch creates; it drops the fences of earlier epochs at the same time. A store that names no epoch has
// no fences.
type Fenced struct {
	next   KV
	prefix string
	epochs *Epochs

	mu       sync.Mutex
	epoch    int64 // epoch of the cached fence; 0: none is cached
	revision int64 // revision of the cached fence
}

var _ KV = (*Fenced)(nil)

// Fence wraps a store. prefix is the fleet's own prefix, under which the fences are stored.
func Fence(next KV, prefix string, epochs *Epochs) *Fenced {
	return &Fenced{next: next, prefix: prefix + fencePrefix, epochs: epochs}
}

// observe records the epoch of a response, from its revision or its error.
func (f *Fenced) observe(revision int64, err error) error {
	switch {
	case err != nil:
		return f.epochs.observeError(err)
	case revision == 0: // the store is empty
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

// ReadPage implements KV.
func (f *Fenced) ReadPage(ctx context.Context, prefix, after string) (Page, error) {
	page, err := f.next.ReadPage(ctx, prefix, after)
	if err = f.observe(page.At, err); err != nil {
		return Page{}, err
	}
	return page, nil
}

// Changes implements KV. The changes since a revision of another epoch are unknown: it returns ErrHistoryGone.
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
	return f.commitFenced(ctx, c, fence)
}

// write makes a write and records the epoch that its response names. If that is an earlier epoch than the current one,
// the outcome is unknown.
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

// commitFenced writes with the fence as an additional condition. If the response is of another epoch than the fence,
// the outcome is unknown, because the state from which the conditions were read is lost.
func (f *Fenced) commitFenced(ctx context.Context, c Commit, fence Condition) (int64, error) {
	when := make([]Condition, 0, len(c.When)+1)
	c.When = append(append(when, c.When...), fence)
	at, err := f.write(ctx, c)
	if err != nil {
		return 0, f.dropFenceConflict(err, fence)
	}
	if EpochOf(at) != EpochOf(fence.Revision) {
		return 0, ErrAmbiguous
	}
	return at, nil
}

// dropFenceConflict removes the fence from a conflict. If the fence itself has changed, it also drops the cached fence,
// so that the next write reads it again.
func (f *Fenced) dropFenceConflict(err error, fence Condition) error {
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
			f.cacheFence(0, 0)
		}
	}
	return out
}

func (f *Fenced) cacheFence(epoch, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch, f.revision = epoch, revision
}

// fence returns the condition that holds only in the given epoch.
func (f *Fenced) fence(ctx context.Context, epoch int64) (Condition, error) {
	key := f.prefix + strconv.FormatInt(epoch, 10)
	f.mu.Lock()
	known, revision := f.epoch == epoch, f.revision
	f.mu.Unlock()
	if known {
		return Condition{Key: key, Revision: revision}, nil
	}
	revision, err := f.readOrCreateFence(ctx, key, epoch)
	if err != nil {
		return Condition{}, err
	}
	f.cacheFence(epoch, revision)
	return Condition{Key: key, Revision: revision}, nil
}

// readOrCreateFence returns the revision of an epoch's fence. If there is none, it creates the fence and drops those of
// earlier epochs.
func (f *Fenced) readOrCreateFence(ctx context.Context, key string, epoch int64) (int64, error) {
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
	created, err := f.write(ctx, c)
	var conflict *ConflictError
	switch {
	case err == nil && EpochOf(created) == epoch:
		return created, nil
	case err == nil:
		return 0, &ConflictError{}
	case errors.As(err, &conflict) && len(conflict.Current) == 1 && EpochOf(conflict.Current[0].Revision) == epoch:
		return conflict.Current[0].Revision, nil
	}
	return 0, eris.Wrap(ErrUnavailable, "making the fence of the store's epoch: "+err.Error())
}
