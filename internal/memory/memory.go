// Package memory bounds the memory that open requests hold together: callers' bodies and buffered responses.
//
// Each request has an Account, in which it asks for memory before it allocates it. A request that is refused is rejected,
// or goes on without the buffer. What a request always needs is small and is counted as RequestOverhead.
package memory

import "sync/atomic"

// RequestOverhead is the memory in bytes that an open request needs besides its bodies: the stacks of its goroutines, the
// buffers of its connections, and its headers.
const RequestOverhead = 48 << 10

// Shares of a machine's memory.
const (
	requestShare = 0.4  // for open requests; the rest is for other state, and for memory that is not reclaimed yet
	softShare    = 0.85 // from which the garbage collector works harder
)

const bytesPerMB = 1 << 20

// ForRequests returns the memory in bytes that the open requests of a machine with a number of megabytes may hold; 0 of 0.
func ForRequests(machineMB int) int64 { return int64(requestShare * float64(machineMB) * bytesPerMB) }

// SoftLimit returns the memory in bytes that a process on a machine with a number of megabytes should not exceed; 0 of 0.
func SoftLimit(machineMB int) int64 { return int64(softShare * float64(machineMB) * bytesPerMB) }

// Budget is the memory that open requests may hold together. A nil Budget is unlimited.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget returns a Budget of limit bytes; 0: unlimited.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Held returns the number of bytes that open requests hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

// Limit returns the limit in bytes; 0: unlimited.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Open returns the account of a request. It has to be closed.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Account is the memory that one request holds. Its methods may be called by one goroutine at a time. A nil Account is
// unlimited.
type Account struct {
	budget *Budget
	held   int64
}

// Grow asks for n more bytes and reports whether they are granted.
func (a *Account) Grow(n int64) bool {
	if a == nil || a.budget == nil || n <= 0 {
		return true
	}
	if a.budget.held.Add(n) > a.budget.limit {
		a.budget.held.Add(-n)
		return false
	}
	a.held += n
	return true
}

// Shrink returns n bytes that were granted.
func (a *Account) Shrink(n int64) {
	if a == nil || a.budget == nil {
		return
	}
	n = min(n, a.held)
	a.held -= n
	a.budget.held.Add(-n)
}

// Close returns all that was granted.
func (a *Account) Close() {
	if a != nil {
		a.Shrink(a.held)
	}
}
