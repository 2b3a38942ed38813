package quarantine

import (
	"slices"
	"time"
)

// Crash is one run of a request during which the process of its endpoint exited unexpectedly.
// An exit is unexpected if the instance does not know, when the run is interrupted, that the endpoint is leaving. Other
// exits are planned and are not recorded.
type Crash struct {
	Run      string // identifies one run of the endpoint's process
	Began    time.Time
	Ended    time.Time
	Streamed bool // the run had passed events on to the caller
}

// Weights of crashes. A request that crashes three endpoints in a row before its first token is quarantined at the
// third crash. If the runs had passed events on, something else may have crashed their endpoints, and six crashes are
// needed: otherwise requests would be quarantined that merely ran on an endpoint when it crashed.
const (
	crashWeight      = 2
	streamedWeight   = 1
	quarantineWeight = 3 * crashWeight
	// maxOverlapWeight limits the total weight of the runs that overlap with a run that counts: if many endpoints crash
	// at the same moment, the cause is not one request that several callers send.
	maxOverlapWeight = 2
	// noRetryWeight is the weight of two crashes in a row. From this weight on, an instance runs the request only once at
	// a time and does not retry it.
	noRetryWeight = 2 * crashWeight
)

const (
	// sameCrashWindow is the time within which two observations count as the same crash. A crashed endpoint takes a
	// second or more to restart.
	sameCrashWindow = time.Second
	// clockSlack is the tolerance for times that other instances report: the transit time of a message.
	clockSlack = 20 * time.Millisecond

	// DefaultDuration is how long a request is quarantined after its last crash, before it is tried once more. Endpoints
	// with faulty software are replaced within minutes; each failed try crashes another endpoint.
	DefaultDuration = 10 * time.Minute
	expiryFactor    = 3 // a record expires after this many quarantine durations without an update
	maxDoublings    = 3 // the duration doubles with each failed try, at most this often

	maxRecords         = 4096 // of some 300 bytes each
	maxCustomerRecords = 512  // so that many different requests of one customer do not evict those of others
	maxCrashes         = 16   // per request
)

// weight is the weight of a crash that counts in full.
func (c Crash) weight() int {
	if c.Streamed {
		return streamedWeight
	}
	return crashWeight
}

// same reports whether two observations are of the same crash.
func (c Crash) same(other Crash, window time.Duration) bool {
	return c.Run == other.Run && c.Ended.Sub(other.Ended).Abs() < window
}

// record is the crash history of one request, or of one part of prompts.
type record struct {
	digest   Digest
	customer string // of a part: PartScope
	part     bool
	label    string // ID of a part
	position int    // of a part in the prompt, the last one of several
	// clearedAt is when the run that cleared a part, as this instance observed, wrote its first event. A crash that is
	// detected later than it happened does not count if it happened before.
	clearedAt time.Time
	// gen counts the successful runs of the request while it was under suspicion; each of them resets the record
	gen           uint32
	crashes       []Crash   // ordered by the time of the crash
	quarantinedAt time.Time // zero: not quarantined
	probes        int       // failed tries after the quarantine had expired
	updatedAt     time.Time
	seq           uint64
	from          string // instance that sent the complete record and need not receive it; empty: none did
	running       int    // current runs on this instance that were under suspicion when they began
}

// weight returns the total weight of the crashes. Crashes of consecutive runs, each of which began after the previous
// crash, count in full. The total weight of the others, which ran concurrently, is limited.
func (r *record) weight() int {
	if r.part {
		return partWeight(r.crashes)
	}
	total, overlap := 0, 0
	var last time.Time
	for _, c := range r.crashes {
		if last.IsZero() || c.Began.After(last.Add(-clockSlack)) {
			total += c.weight()
			last = c.Ended
			continue
		}
		overlap++
	}
	return total + min(overlap, maxOverlapWeight)
}

func (r *record) suspected() bool { return len(r.crashes) > 0 || !r.quarantinedAt.IsZero() }

// hasCrash reports whether a crash is in the record. Several instances may observe the same one.
func (r *record) hasCrash(c Crash, window time.Duration) bool {
	return slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.same(c, window) })
}

// addCrash adds a crash and reports whether it is new.
func (r *record) addCrash(c Crash, window time.Duration) bool {
	if len(r.crashes) == maxCrashes || r.hasCrash(c, window) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	return true
}
