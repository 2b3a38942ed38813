// Package clock provides a manual clock for tests and simulations.
package clock

import (
	"sync"
	"time"
)

// Clock is a clock whose time changes only by Advance.
type Clock struct {
	mu  sync.Mutex
	now time.Time
}

// New makes a clock that starts at a fixed time.
func New() *Clock { return &Clock{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)} }

// Now returns the clock's time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
