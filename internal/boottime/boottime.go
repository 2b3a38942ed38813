// Package boottime has the clock by which the ages of things outside this process are judged.
//
// The steady clock stands still while a machine is suspended, and so do Go's timers and the differences of its times. A process that wakes
// takes all that it heard before for as fresh as it was: its configuration, keys, loads, links. The time since the boot of the machine
// (CLOCK_BOOTTIME) counts a suspension. To read it costs a system call; so it is read now and then, and at each caller's request, and in
// between the steady clock goes on from there.
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
	// checkEvery is how soon a process that nobody asks anything finds out that its machine was suspended.
	checkEvery = 100 * time.Millisecond
	// leastSuspended is the least difference between the clocks that counts as a suspension: two readings are not taken at one moment.
	leastSuspended = 50 * time.Millisecond
)

// Read reads the time since the boot of the machine, suspensions included.
func Read() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// Clock counts the time since the boot of the machine. It never steps back, whatever the time of day does.
type Clock struct {
	read   func() (time.Duration, error)
	steady func() time.Duration

	base      time.Duration // of the clock, when the process began
	suspended atomic.Int64  // since then, in nanoseconds

	mu   sync.Mutex
	wake []func(suspended time.Duration)
}

// Option changes a Clock.
type Option func(*Clock)

// WithRead replaces the reading of the time since the boot.
func WithRead(read func() (time.Duration, error)) Option { return func(c *Clock) { c.read = read } }

// New makes a clock.
func New(opts ...Option) *Clock {
	begun := time.Now()
	c := &Clock{read: Read, steady: func() time.Duration { return time.Since(begun) }}
	for _, opt := range opts {
		opt(c)
	}
	if base, err := c.read(); err == nil {
		c.base = base
	}
	return c
}

// Now is the time since the boot as a time from the Unix epoch on: only differences of it mean anything, and it is no deadline for timers.
func (c *Clock) Now() time.Time { return time.Unix(0, 0).Add(c.Elapsed()) }

// Elapsed is the time since the boot, as far as it is known without a new reading.
func (c *Clock) Elapsed() time.Duration {
	return c.base + c.steady() + time.Duration(c.suspended.Load())
}

// OnResume adds what is told when the machine was suspended, and for how long, before anything else is done with the new time.
func (c *Clock) OnResume(f func(suspended time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wake = append(c.wake, f)
}

// Check reads the clock anew. If the machine was suspended since the last reading, all that asked for it are told.
func (c *Clock) Check() {
	boot, err := c.read() // before the steady clock: a process that is stopped between the two must not look like a suspended machine
	if err != nil || boot-c.Elapsed() < leastSuspended {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := boot - c.Elapsed()
	if ahead < leastSuspended {
		return
	}
	c.suspended.Add(int64(ahead))
	for _, f := range c.wake {
		f(ahead)
	}
}

// Name implements kernel.Service.
func (*Clock) Name() string { return "boot-clock" }

// Run implements kernel.Service.
func (c *Clock) Run(ctx context.Context) error {
	kernel.Every(ctx, checkEvery, func(context.Context) { c.Check() })
	return nil
}
