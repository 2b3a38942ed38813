// Package retry decides whether and when a failed dispatch is tried again.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	mostAttempts = 4
	firstPause   = 10 * time.Millisecond
	longestPause = 500 * time.Millisecond
	budgetShare  = 0.1 // retries that each request earns
	budgetMost   = 10.0
)

// Failure is what the decision needs to know.
type Failure struct {
	Verdict    verdict.Verdict
	Code       verdict.Code
	Attempt    int  // the attempt that failed, from 1
	Repeatable bool // running twice does no harm
	Delivered  bool // the caller has seen a part of the answer
	Remaining  time.Duration
}

// ShouldRetry reports whether another attempt is allowed, but for the retry budget: another endpoint may do better, nothing runs
// twice that may not, nothing contradicts what the caller has seen, and there is time left.
func ShouldRetry(f Failure) bool {
	if f.Attempt >= mostAttempts || f.Delivered || f.Remaining <= firstPause {
		return false
	}
	switch f.Code {
	case verdict.CodeEndpointRefused, verdict.CodeEndpointFailed, verdict.CodeOverloaded, verdict.CodeStopping, verdict.CodeTruncated:
		return f.Verdict == verdict.NotRun || f.Repeatable
	default:
		return false // another endpoint would not do better
	}
}

// Backoff is the jittered time to wait before an attempt; attempt is the one that failed, from 1.
func Backoff(attempt int, r *rand.Rand) time.Duration {
	d := min(firstPause<<min(attempt-1, 10), longestPause)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}

// Budgets limits retries to a share of each customer's requests, so that an outage is not multiplied.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudgets makes full budgets.
func NewBudgets() *Budgets { return &Budgets{tokens: make(map[string]float64)} }

// Earn notes a first attempt.
func (b *Budgets) Earn(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[customer]
	if !ok {
		t = budgetMost
	}
	b.tokens[customer] = min(budgetMost, t+budgetShare)
}

// Spend takes one retry; false means that there is none left.
func (b *Budgets) Spend(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[customer]
	if !ok {
		t = budgetMost
	}
	if t < 1 {
		return false
	}
	b.tokens[customer] = t - 1
	return true
}
