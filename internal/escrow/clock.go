package escrow

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Clock is a steady clock that outlasts a process.
type Clock interface {
	// Now is the time since an arbitrary moment that all processes with the same Boot share.
	Now() time.Duration
	// Boot names the run of the machine; empty where it is not known.
	Boot() string
}

type machineClock struct{ boot string }

// MachineClock is the machine's steady clock, named by the kernel's boot ID.
func MachineClock() Clock {
	b, err := os.ReadFile(bootIDPath)
	if err != nil {
		return machineClock{}
	}
	return machineClock{boot: strings.TrimSpace(string(b))}
}

// Now implements Clock.
func (machineClock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// Boot implements Clock.
func (c machineClock) Boot() string { return c.boot }
