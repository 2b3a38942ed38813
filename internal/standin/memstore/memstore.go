// Package memstore provides an external.Store in memory without a network, for simulations with millions of calls.
package memstore

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Store implements external.Store. Its leases never expire and its watches never report a change.
type Store struct {
	mu      sync.Mutex
	rev     int64
	records map[string]external.Entry
	down    bool
}

// New makes an empty store.
func New() *Store { return &Store{records: make(map[string]external.Entry)} }

// SetDown makes reads and writes fail, or succeed again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Get implements external.Store.
func (s *Store) Get(_ context.Context, key string) (external.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return external.Entry{}, external.ErrUnavailable
	}
	e, ok := s.records[key]
	if !ok {
		return external.Entry{Key: key}, nil
	}
	return e, nil
}

// List implements external.Store.
func (s *Store) List(_ context.Context, prefix string) ([]external.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, external.ErrUnavailable
	}
	var out []external.Entry
	for key, e := range s.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

// Put implements external.Store.
func (s *Store) Put(_ context.Context, key string, data []byte, rev, _ int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, external.ErrUnavailable
	}
	if len(data) > external.MaxValue {
		return 0, external.ErrTooLarge
	}
	if s.records[key].Revision != rev {
		return 0, external.ErrConflict
	}
	s.rev++
	s.records[key] = external.Entry{Key: key, Data: data, Revision: s.rev}
	return s.rev, nil
}

// Delete implements external.Store.
func (s *Store) Delete(_ context.Context, key string, rev int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return external.ErrUnavailable
	}
	if s.records[key].Revision != rev {
		return external.ErrConflict
	}
	s.rev++
	delete(s.records, key)
	return nil
}

// Lease implements external.Store.
func (s *Store) Lease(context.Context, time.Duration) (int64, error) { return 1, nil }

// KeepAlive implements external.Store.
func (s *Store) KeepAlive(context.Context, int64) error { return nil }

// Watch implements external.Store.
func (s *Store) Watch(ctx context.Context, _ string, _ int64) (<-chan external.Entry, error) {
	ch := make(chan external.Entry)
	context.AfterFunc(ctx, func() { close(ch) })
	return ch, nil
}

// ValueSizes returns the size of the largest value under a prefix, and the total size of all of them, in bytes.
func (s *Store) ValueSizes(prefix string) (largest, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.records {
		if strings.HasPrefix(key, prefix) {
			largest = max(largest, len(e.Data))
			total += len(e.Data)
		}
	}
	return largest, total
}
