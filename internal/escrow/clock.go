package escrow

import (
	"os"
	"strings"
	"time"

	"github.com/ledgemount/ledgemount/internal/boottime"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Clock is a steady clock that continues across restarts of a process.
type Clock interface {
	// Now returns the time since an arbitrary moment that all processes with the same Boot share.
	Now() time.Duration
	// Boot identifies the boot of the machine; empty if unknown.
	Boot() string
}

// bootClockPrefix precedes the boot ID in the boot names of this clock. Builds whose clock leaves suspensions out use
// the boot ID alone. The different names prevent an age from being computed across the two clocks.
const bootClockPrefix = "boottime:"

type machineClock struct{ boot string }

// MachineClock returns the time since the machine's boot, including suspensions, with the kernel's boot ID as name. A
// holder releases its grant by this clock and its successor settles by it. If one of them left a suspension out, more
// could be spent than is settled.
func MachineClock() Clock {
	b, err := os.ReadFile(bootIDPath)
	if err != nil {
		return machineClock{}
	}
	return machineClock{boot: bootClockPrefix + strings.TrimSpace(string(b))}
}

// Now implements Clock.
func (machineClock) Now() time.Duration {
	now, err := boottime.Read()
	if err != nil {
		return 0
	}
	return now
}

// Boot implements Clock.
func (c machineClock) Boot() string { return c.boot }
