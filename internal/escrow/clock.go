package escrow

import (
	"os"
	"strings"
	"time"

	"github.com/ledgemount/ledgemount/internal/boottime"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// Clock is a steady clock that outlasts a process.
type Clock interface {
	// Now is the time since an arbitrary moment that all processes with the same Boot share.
	Now() time.Duration
	// Boot names the run of the machine; empty where it is not known.
	Boot() string
}

// bootClockPrefix begins the name of a machine's run by this clock. Builds that leave suspensions out name the run by the boot ID alone, and take no
// difference between the two clocks for an age.
const bootClockPrefix = "boottime:"

type machineClock struct{ boot string }

// MachineClock is the time since the machine's boot, suspensions included, named by the kernel's boot ID. A holder releases its grant by it and
// its successor settles by it: were one of them to leave a suspension out, more could be spent than settled.
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
