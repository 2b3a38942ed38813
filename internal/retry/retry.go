// Package retry decides whether and when a failed dispatch is retried.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	maxAttempts      = 4
	initialBackoff   = 10 * time.Millisecond
	maxBackoff       = 500 * time.Millisecond
	budgetPerRequest = 0.1 // retry tokens that each request adds to its customer's budget
	maxBudget        = 10.0
)

// Failure describes a failed attempt, as input for ShouldRetry.
type Failure struct {
	Verdict    verdict.Verdict
	Code       verdict.Code
	Attempt    int  // the attempt that failed, from 1
	Repeatable bool // the request may safely run more than once
	Delivered  bool // the caller has received part of the response
	Remaining  time.Duration
}

// ShouldRetry reports whether another attempt is allowed, apart from the retry budget. It is if another endpoint may
// succeed, no request that must not be repeated can run twice, the caller has received no part of a response yet, and
// there is time left.
func ShouldRetry(f Failure) bool {
	if f.Attempt >= maxAttempts || f.Delivered || f.Remaining <= initialBackoff {
		return false
	}
	switch f.Code {
	case verdict.CodeEndpointRefused, verdict.CodeEndpointFailed, verdict.CodeOverloaded, verdict.CodeStopping, verdict.CodeTruncated:
		return f.Verdict == verdict.NotRun || f.Repeatable
	default:
		return false // another endpoint would fail in the same way
	}
}

// Backoff returns the jittered time to wait before the next attempt. attempt is the number of the failed one, from 1.
func Backoff(attempt int, r *rand.Rand) time.Duration {
	d := min(initialBackoff<<min(attempt-1, 10), maxBackoff)
	return d/2 + time.Duration(r.Int64N(int64(d/2)+1))
}

// Budgets limits retries to a share of each customer's requests, so that retries do not amplify an outage.
type Budgets struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewBudgets returns Budgets in which every customer starts with a full budget.
func NewBudgets() *Budgets { return &Budgets{tokens: make(map[string]float64)} }

// Earn credits a customer's budget for the first attempt of a request.
func (b *Budgets) Earn(customer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[customer]
	if !ok {
		t = maxBudget
	}
	b.tokens[customer] = min(maxBudget, t+budgetPerRequest)
}

// Spend takes one retry from a customer's budget. It returns false if the budget is exhausted.
func (b *Budgets) Spend(customer string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.tokens[customer]
	if !ok {
		t = maxBudget
	}
	if t < 1 {
		return false
	}
	b.tokens[customer] = t - 1
	return true
}
