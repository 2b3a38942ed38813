package external

import (
	"context"
	"sync"
	"time"
)

// Duty is the purpose of a store call. Calls are counted by it.
type Duty string

// The purposes of store calls. Reports and metrics contain the values. A draw raises a holder's grant; in package
// escrow, it is any read or write of a page.
const (
	DutyConfig  Duty = "config"
	DutyPlan    Duty = "plan"
	DutyDraw    Duty = "draw"
	DutyFlush   Duty = "flush"
	DutyReturn  Duty = "return"
	DutyReclaim Duty = "reclaim"
	DutyClaim   Duty = "claim"
	DutyDeposit Duty = "deposit"
	DutyAudit   Duty = "audit"
	DutyMembers Duty = "members" // the instances' records
	// DutyQuarantine concerns quarantined requests.
	DutyQuarantine Duty = "quarantine"
	DutyStreams    Duty = "streams" // software versions at which streams began
	DutyOther      Duty = "other"
)

type dutyKey struct{}

// WithDuty marks the store calls under ctx with their purpose.
func WithDuty(ctx context.Context, d Duty) context.Context {
	return context.WithValue(ctx, dutyKey{}, d)
}

// DutyOf returns the purpose that WithDuty set.
func DutyOf(ctx context.Context) Duty {
	if d, ok := ctx.Value(dutyKey{}).(Duty); ok {
		return d
	}
	return DutyOther
}

// Calls counts the store calls of one purpose.
type Calls struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
	Bytes  int64 `json:"bytes"`
}

// Meter is a Store that counts its calls by purpose.
type Meter struct {
	next Store

	mu    sync.Mutex
	calls map[Duty]*Calls
}

// NewMeter wraps a store.
func NewMeter(next Store) *Meter {
	return &Meter{next: next, calls: make(map[Duty]*Calls)}
}

// Calls returns a copy of the counts so far.
func (m *Meter) Calls() map[Duty]Calls {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Duty]Calls, len(m.calls))
	for d, c := range m.calls {
		out[d] = *c
	}
	return out
}

func (m *Meter) count(ctx context.Context, reads, writes int64, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := DutyOf(ctx)
	c, ok := m.calls[d]
	if !ok {
		c = &Calls{}
		m.calls[d] = c
	}
	c.Reads += reads
	c.Writes += writes
	c.Bytes += int64(n)
}

// Get implements Store.
func (m *Meter) Get(ctx context.Context, key string) (Entry, error) {
	e, err := m.next.Get(ctx, key)
	m.count(ctx, 1, 0, len(e.Data))
	return e, err
}

// List implements Store.
func (m *Meter) List(ctx context.Context, prefix string) ([]Entry, error) {
	es, err := m.next.List(ctx, prefix)
	n := 0
	for _, e := range es {
		n += len(e.Data)
	}
	m.count(ctx, 1, 0, n)
	return es, err
}

// Put implements Store.
func (m *Meter) Put(ctx context.Context, key string, data []byte, rev, lease int64) (int64, error) {
	m.count(ctx, 0, 1, len(data))
	return m.next.Put(ctx, key, data, rev, lease)
}

// Delete implements Store.
func (m *Meter) Delete(ctx context.Context, key string, rev int64) error {
	m.count(ctx, 0, 1, 0)
	return m.next.Delete(ctx, key, rev)
}

// Lease implements Store.
func (m *Meter) Lease(ctx context.Context, ttl time.Duration) (int64, error) {
	m.count(ctx, 0, 1, 0)
	return m.next.Lease(ctx, ttl)
}

// KeepAlive implements Store.
func (m *Meter) KeepAlive(ctx context.Context, lease int64) error {
	m.count(ctx, 0, 1, 0)
	return m.next.KeepAlive(ctx, lease)
}

// Watch implements Store. An open watch counts as one read.
func (m *Meter) Watch(ctx context.Context, key string, after int64) (<-chan Entry, error) {
	m.count(ctx, 1, 0, 0)
	return m.next.Watch(ctx, key, after)
}
