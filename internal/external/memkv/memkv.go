// Package memkv is an in-memory external.KV for tests, with switches for the ways in which a store can fail.
package memkv

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Store keeps entries in memory.
type Store struct {
	mu       sync.Mutex
	entries  map[string]external.Entry
	history  []external.Change
	revision int64
	floor    int64 // history up to this revision was dropped
	calls    int
	pageSize int           // maximum number of entries in a page; 0: no limit
	epoch    int64         // 0: the store names no epoch
	written  []timedChange // every change since the start, regardless of dropped history

	down          bool
	hang          bool
	loseResponses bool
	delayWrites   bool
	delayedWrites []external.Commit
}

// timedChange is a change and the time when it was made.
type timedChange struct {
	external.Change
	at time.Time
}

// New makes an empty store.
func New() *Store { return &Store{entries: make(map[string]external.Entry)} }

// SetDown makes every call fail with no effect.
func (s *Store) SetDown(on bool) { s.set(func() { s.down = on }) }

// SetHang makes every call block until its context ends, with no effect.
func (s *Store) SetHang(on bool) { s.set(func() { s.hang = on }) }

// SetLoseResponses makes writes take effect without a response.
func (s *Store) SetLoseResponses(on bool) { s.set(func() { s.loseResponses = on }) }

// SetDelayWrites delays writes until ReleaseWrites is called. They get no response.
func (s *Store) SetDelayWrites(on bool) { s.set(func() { s.delayWrites = on }) }

// SetPageSize limits the number of entries in a page; 0: no limit.
func (s *Store) SetPageSize(n int) { s.set(func() { s.pageSize = n }) }

// SetEpoch makes the store name its epoch, which rises with each restoration.
func (s *Store) SetEpoch(n int64) { s.set(func() { s.epoch = n }) }

// Epoch returns the store's current epoch.
func (s *Store) Epoch() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// Number returns the store's current revision within its epoch.
func (s *Store) Number() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// RestoreAged restores the store from a copy of the given age. It returns the last lost change of each key.
func (s *Store) RestoreAged(age time.Duration) []external.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := time.Now().Add(-age)
	number := int64(0)
	for _, w := range s.written {
		if w.at.After(from) {
			break
		}
		number = w.Revision
	}
	return s.restore(number)
}

// RestoreTo restores the store from the copy that was made at a revision. It returns the last lost change of each key.
func (s *Store) RestoreTo(number int64) []external.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.restore(number)
}

// restore drops every change after a revision and raises the epoch. The caller holds mu.
func (s *Store) restore(number int64) []external.Change {
	n := len(s.written)
	for n > 0 && s.written[n-1].Revision > number {
		n--
	}
	last := make(map[string]external.Change)
	for _, w := range s.written[n:] {
		last[w.Key] = w.Change
	}
	s.written = s.written[:n]
	s.entries, s.history = make(map[string]external.Entry), nil
	for _, w := range s.written {
		if w.Removed {
			delete(s.entries, w.Key)
		} else {
			s.entries[w.Key] = w.Entry
		}
		if w.Revision > s.floor {
			s.history = append(s.history, w.Change)
		}
	}
	s.revision = min(s.revision, number)
	s.floor = min(s.floor, s.revision)
	s.epoch++
	lost := make([]external.Change, 0, len(last))
	for _, c := range last {
		lost = append(lost, c)
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].Revision < lost[j].Revision })
	return lost
}

// Rewrite makes lost changes again under the given prefixes, except for keys that were written since the restoration.
// restored is the revision to which the store was restored.
func (s *Store) Rewrite(lost []external.Change, restored int64, prefixes ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range lost {
		if s.entries[c.Key].Revision > restored || !slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(c.Key, p) }) {
			continue
		}
		if c.Removed {
			s.revision++
			s.drop(c.Key)
			continue
		}
		s.apply(external.Commit{Put: []external.Entry{{Key: c.Key, Data: c.Data}}})
	}
}

func (s *Store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// ReleaseWrites executes the delayed writes whose conditions still hold, and returns their number.
func (s *Store) ReleaseWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := 0
	for _, c := range s.delayedWrites {
		if s.conflict(c) == nil {
			s.apply(c)
			done++
		}
	}
	s.delayedWrites = nil
	return done
}

// DropHistory drops the history.
func (s *Store) DropHistory() { s.set(func() { s.history, s.floor = nil, s.revision }) }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes without a condition, as other clients of the store do.
func (s *Store) Put(key string, data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(external.Commit{Put: []external.Entry{{Key: key, Data: data}}})
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
}

// drop removes a key at the current revision. The caller holds mu.
func (s *Store) drop(key string) {
	delete(s.entries, key)
	s.record(external.Change{Entry: external.Entry{Key: key, Revision: s.revision}, Removed: true})
}

// record appends a change to the history. The caller holds mu.
func (s *Store) record(c external.Change) {
	s.history = append(s.history, c)
	s.written = append(s.written, timedChange{Change: c, at: time.Now()})
}

// enter counts a call. It fails if the store is down, and blocks if the store hangs. The caller holds mu, which is
// released while blocked.
func (s *Store) enter(ctx context.Context) error {
	s.calls++
	if s.down {
		return external.ErrUnavailable
	}
	if s.hang {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return ctx.Err()
	}
	return nil
}

// Read implements external.KV.
func (s *Store) Read(ctx context.Context, key string) (external.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return external.Entry{}, 0, err
	}
	e, ok := s.entries[key]
	if !ok {
		e = external.Entry{Key: key}
	}
	return e, s.revision, nil
}

// ReadAll implements external.KV.
func (s *Store) ReadAll(ctx context.Context, prefix string) ([]external.Entry, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	return s.list(prefix, ""), s.revision, nil
}

// ReadPage implements external.KV.
func (s *Store) ReadPage(ctx context.Context, prefix, after string) (external.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return external.Page{}, err
	}
	page := external.Page{Entries: s.list(prefix, after), At: s.revision}
	if s.pageSize > 0 && len(page.Entries) > s.pageSize {
		page.Entries, page.More = page.Entries[:s.pageSize], true
	}
	return page, nil
}

// list returns the entries with a prefix whose keys follow after, in the order of their keys. The caller holds mu.
func (s *Store) list(prefix, after string) []external.Entry {
	var out []external.Entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Changes implements external.KV. It does not wait.
func (s *Store) Changes(ctx context.Context, prefix string, after int64, _ time.Duration) ([]external.Change, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		return nil, 0, err
	}
	if after < s.floor || after > s.revision {
		return nil, 0, external.ErrHistoryGone
	}
	var out []external.Change
	for _, c := range s.history {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, s.revision, nil
}

// Commit implements external.KV.
func (s *Store) Commit(ctx context.Context, c external.Commit) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.enter(ctx); err != nil {
		if ctx.Err() != nil {
			return 0, external.ErrAmbiguous
		}
		return 0, err
	}
	if s.delayWrites {
		s.delayedWrites = append(s.delayedWrites, c)
		return 0, external.ErrAmbiguous
	}
	if err := s.conflict(c); err != nil {
		return 0, err
	}
	rev := s.apply(c)
	if s.loseResponses {
		return 0, external.ErrAmbiguous
	}
	return rev, nil
}

func (s *Store) conflict(c external.Commit) error {
	current := make([]external.Entry, 0, len(c.When))
	failed := false
	for _, w := range c.When {
		e := s.entries[w.Key]
		e.Key = w.Key
		current = append(current, e)
		failed = failed || e.Revision != w.Revision
	}
	if failed {
		return &external.ConflictError{Current: current}
	}
	return nil
}

func (s *Store) apply(c external.Commit) int64 {
	s.revision++
	for _, p := range c.Put {
		p.Revision = s.revision
		s.entries[p.Key] = p
		s.record(external.Change{Entry: p})
	}
	for _, key := range c.Drop {
		s.drop(key)
	}
	return s.revision
}
