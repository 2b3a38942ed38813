// Package boottime provides the clock that measures the ages of things outside this process.
//
// The steady clock stands still while a machine is suspended, and so do Go's timers and the differences of its times. A
// process that resumes would take all data that it received before for as fresh as it was then: its configuration,
// keys, loads and links. The time since the boot of the machine (CLOCK_BOOTTIME) includes suspensions. Reading it costs
// a system call, so it is read periodically and at each caller's request. Between two readings the steady clock
// continues from the last one.
package boottime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ledgemount/ledgemount/internal/kernel"
)

const (
	// checkInterval limits how late an idle process detects that its machine was suspended.
	checkInterval = 100 * time.Millisecond
	// minSuspension is the minimum difference between the clocks that counts as a suspension, because the two cannot be
	// read at the same instant.
	minSuspension = 50 * time.Millisecond
)

// Read reads the time since the boot of the machine, including suspensions.
func Read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Clock measures the time since the boot of the machine. It never steps back, whatever the time of day does.
type Clock struct {
	read   func() (time.Duration, error)
	steady func() time.Duration

	base      time.Duration // time since the boot when the process began
	suspended atomic.Int64  // total of suspensions since then, in nanoseconds

	mu       sync.Mutex
	onResume []func(suspended time.Duration)
}

// Option changes a Clock.
type Option func(*Clock)

// WithRead replaces the reading of the time since the boot.
func WithRead(read func() (time.Duration, error)) Option { return func(c *Clock) { c.read = read } }

// New makes a clock.
func New(opts ...Option) *Clock {
	start := time.Now()
	c := &Clock{read: Read, steady: func() time.Duration { return time.Since(start) }}
	for _, opt := range opts {
		opt(c)
	}
	if base, err := c.read(); err == nil {
		c.base = base
	}
	return c
}

// Now returns the time since the boot, as a time that counts from the Unix epoch. Only differences of such times are
// meaningful, and they are not valid as deadlines of timers.
func (c *Clock) Now() time.Time { return time.Unix(0, 0).Add(c.Elapsed()) }

// Elapsed returns the time since the boot, without a new reading.
func (c *Clock) Elapsed() time.Duration {
	return c.base + c.steady() + time.Duration(c.suspended.Load())
}

// OnResume adds a callback that gets the duration of a suspension after the machine resumes. Check calls it before its
// own caller proceeds with the new time.
func (c *Clock) OnResume(f func(suspended time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onResume = append(c.onResume, f)
}

// Check reads the clock again. If the machine was suspended since the last reading, it calls the callbacks.
func (c *Clock) Check() {
	// This reading precedes that of the steady clock. Otherwise a process that is stopped between the two would look
	// like a suspended machine.
	boot, err := c.read()
	if err != nil || boot-c.Elapsed() < minSuspension {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := boot - c.Elapsed()
	if ahead < minSuspension {
		return
	}
	c.suspended.Add(int64(ahead))
	for _, f := range c.onResume {
		f(ahead)
	}
}

// Name implements kernel.Service.
func (*Clock) Name() string { return "boot-clock" }

// Run implements kernel.Service.
func (c *Clock) Run(ctx context.Context) error {
	kernel.Every(ctx, checkInterval, func(context.Context) { c.Check() })
	return nil
}
