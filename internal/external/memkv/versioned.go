package memkv

import (
	"context"
	"errors"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// versioned presents a Store as an adapter of a real store does: its revisions include the store's epoch.
type versioned struct{ store *Store }

var _ external.KV = versioned{}

// Versioned returns the store as a KV whose revisions include its epoch.
func (s *Store) Versioned() external.KV { return versioned{store: s} }

func (v versioned) withEpoch(epoch int64, e external.Entry) external.Entry {
	e.Revision = external.KeyRevision(epoch, e.Revision)
	return e
}

func (v versioned) wrapErr(epoch int64, err error) error {
	if err == nil || errors.Is(err, external.ErrAmbiguous) {
		return err
	}
	var conflict *external.ConflictError
	if errors.As(err, &conflict) {
		out := &external.ConflictError{}
		for _, e := range conflict.Current {
			out.Current = append(out.Current, v.withEpoch(epoch, e))
		}
		err = out
	}
	return &external.EpochError{Epoch: epoch, Err: err}
}

// Read implements external.KV.
func (v versioned) Read(ctx context.Context, key string) (external.Entry, int64, error) {
	epoch := v.store.Epoch()
	e, at, err := v.store.Read(ctx, key)
	return v.withEpoch(epoch, e), external.Revision(epoch, at), v.wrapErr(epoch, err)
}

// ReadAll implements external.KV.
func (v versioned) ReadAll(ctx context.Context, prefix string) ([]external.Entry, int64, error) {
	epoch := v.store.Epoch()
	entries, at, err := v.store.ReadAll(ctx, prefix)
	for i, e := range entries {
		entries[i] = v.withEpoch(epoch, e)
	}
	return entries, external.Revision(epoch, at), v.wrapErr(epoch, err)
}

// ReadPage implements external.KV.
func (v versioned) ReadPage(ctx context.Context, prefix, after string) (external.Page, error) {
	epoch := v.store.Epoch()
	page, err := v.store.ReadPage(ctx, prefix, after)
	for i, e := range page.Entries {
		page.Entries[i] = v.withEpoch(epoch, e)
	}
	page.At = external.Revision(epoch, page.At)
	return page, v.wrapErr(epoch, err)
}

// Changes implements external.KV.
func (v versioned) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]external.Change, int64, error) {
	epoch := v.store.Epoch()
	changes, at, err := v.store.Changes(ctx, prefix, external.NumberOf(after), wait)
	for i, c := range changes {
		changes[i].Entry = v.withEpoch(epoch, c.Entry)
	}
	return changes, external.Revision(epoch, at), v.wrapErr(epoch, err)
}

// Commit implements external.KV.
func (v versioned) Commit(ctx context.Context, c external.Commit) (int64, error) {
	epoch := v.store.Epoch()
	when := make([]external.Condition, 0, len(c.When))
	for _, w := range c.When {
		when = append(when, external.Condition{Key: w.Key, Revision: external.NumberOf(w.Revision)})
	}
	c.When = when
	at, err := v.store.Commit(ctx, c)
	return external.Revision(epoch, at), v.wrapErr(epoch, err)
}
