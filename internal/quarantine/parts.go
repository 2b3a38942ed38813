package quarantine

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"time"
)

// A part of a prompt may crash each endpoint that begins to write a response on it, whatever else the request contains. No
// two requests need to be alike then, so parts are recorded like requests. Many sound requests share a part, so that more
// evidence is needed against one, and a run that has written on it clears it.

// PartSurvival is how long a run has to go on after its first event to show that none of its parts crashes endpoints.
const PartSurvival = 300 * time.Millisecond

const (
	// partQuarantineWeight is the weight of four crashes of consecutive runs before their first event.
	partQuarantineWeight = 4 * crashWeight
	// separateCrash is the time between two crashes from which they do not have the same cause outside the requests, such
	// as a loss of power. Runs that overlapped count only if their crashes are that far apart.
	separateCrash = 250 * time.Millisecond
	overlapWeight = 1
	// repeatedCrashes is the number of crashes of one request from which on they count as one against its parts.
	repeatedCrashes = 3

	// A part is tried again sooner than a request, since all who share it are kept from endpoints meanwhile. Where endpoints
	// crashed for a reason of their own, such as a faulty release, sound parts are quarantined too.
	partDurationDivisor = 5
	maxPartDoublings    = 5
)

// Part identifies a part of prompts.
type Part struct {
	Digest Digest
	ID     string // for logs
}

// PartOf returns a part of the prompts of a service. Its digest is different from those of requests.
func PartOf(service, id string) Part {
	h := sha256.New()
	for _, field := range []string{"prompt part", service, id} {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	p := Part{ID: id}
	copy(p.Digest[:], h.Sum(nil))
	return p
}

// PartScope is the name under which the parts of a service's prompts are recorded, in place of a customer: a part crashes
// endpoints whichever customer sends it.
func PartScope(service string) string { return "service " + service }

// partWeight returns the total weight of the crashes of a part. Crashes of runs that began after the previous crash
// count in full, those of overlapping runs less.
func partWeight(crashes []Crash) int {
	total := 0
	var last, previous time.Time
	for _, c := range crashes {
		switch {
		case last.IsZero() || c.Began.After(last.Add(-clockSlack)):
			total += c.weight()
			last = c.Ended
		case c.Ended.Sub(previous) >= separateCrash:
			total += overlapWeight
		}
		previous = c.Ended
	}
	return total
}

// RecordPartCrash records a crash that this instance has observed, under a request of a service. parts are those that
// other requests may share, in the order of the prompt. The request had passed on no event, or had just begun to.
func (t *Tracker) RecordPartCrash(service string, parts []Part, c Crash) {
	if len(parts) == 0 {
		return
	}
	now := t.now()
	t.mu.Lock()
	added, enough := false, false
	for _, i := range t.suspectParts(parts, c) {
		if t.addPartCrash(PartScope(service), parts[i], i, c, now) {
			added, enough = true, enough || t.records[parts[i].Digest].enoughEvidence()
		}
	}
	var changes []*Change
	if enough {
		changes = t.evaluateParts(now, true)
	}
	t.mu.Unlock()
	for _, change := range changes {
		t.notify(change)
	}
	if added {
		t.onUpdate()
	}
}

// suspectParts returns the indexes of the parts that may have caused a crash: those that are quarantined, or none if
// the crash is explained by something else that is, and else all. The caller holds mu.
func (t *Tracker) suspectParts(parts []Part, c Crash) []int {
	var quarantined []int
	all := make([]int, 0, len(parts))
	for i, p := range parts {
		all = append(all, i)
		if r := t.records[p.Digest]; r != nil && !r.quarantinedAt.IsZero() {
			quarantined = append(quarantined, i)
		}
	}
	switch {
	case len(quarantined) > 0:
		return quarantined
	case t.explained(c):
		return nil
	}
	return all
}

// explained reports whether any record explains a crash. The caller holds mu.
func (t *Tracker) explained(c Crash) bool {
	for _, r := range t.records {
		if r.explains(c) {
			return true
		}
	}
	return false
}

// explains reports whether a crash is no evidence against parts that are not quarantined. A quarantined part explains all
// its crashes. A request that crashed several endpoints explains all but its first: further requests have to crash
// endpoints before a part of its prompt is quarantined.
func (r *record) explains(c Crash) bool {
	switch {
	case !r.hasCrash(c, sameCrashWindow):
		return false
	case r.part:
		return !r.quarantinedAt.IsZero()
	}
	return len(r.crashes) >= repeatedCrashes && !r.crashes[0].same(c, sameCrashWindow)
}

// addPartCrash adds a crash to the record of a part and reports whether it is new. position is the index of the part
// in the prompt. The caller holds mu.
func (t *Tracker) addPartCrash(scope string, p Part, position int, c Crash, now time.Time) bool {
	r := t.lookupOrCreate(p.Digest, scope, now)
	r.part, r.label, r.position = true, p.ID, max(r.position, position)
	before := r.suspected()
	if !c.Ended.After(r.clearedAt) || !r.addCrash(c, sameCrashWindow) {
		return false
	}
	t.countSuspects(r, before, true)
	t.markChanged(r, now)
	if !r.quarantinedAt.IsZero() && now.After(r.quarantinedAt.Add(t.durationOf(r))) {
		r.quarantinedAt, r.probes = now, r.probes+1
	}
	return true
}

// evaluateParts quarantines the parts whose crashes weigh enough. Crashes that one of them explains do not count against
// others. The caller holds mu.
func (t *Tracker) evaluateParts(now time.Time, local bool) (changes []*Change) {
	t.unevaluated = false
	for {
		var best *record
		for _, r := range t.records {
			if r.enoughEvidence() && (best == nil || best.explainsLess(r)) {
				best = r
			}
		}
		if best == nil {
			return changes
		}
		best.quarantinedAt = now
		t.markChanged(best, now)
		changes = append(changes, best.change(true, local))
		t.dropExplained(best)
	}
}

// evaluateReceived quarantines the parts for which received crashes are enough evidence.
func (t *Tracker) evaluateReceived() {
	now := t.now()
	t.mu.Lock()
	var changes []*Change
	if t.unevaluated {
		changes = t.evaluateParts(now, true)
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
}

// enoughEvidence reports whether a part that is not quarantined has crashes of enough weight for that.
func (r *record) enoughEvidence() bool {
	return r.part && r.quarantinedAt.IsZero() && r.weight() >= partQuarantineWeight
}

// explainsLess reports whether another part explains more crashes than this one. Of two parts that always occur
// together, the later one in the prompt is shared by fewer requests.
func (r *record) explainsLess(other *record) bool {
	return cmp.Or(
		cmp.Compare(r.weight(), other.weight()),
		cmp.Compare(len(r.crashes), len(other.crashes)),
		cmp.Compare(r.position, other.position),
		cmp.Compare(r.digest.String(), other.digest.String()),
	) < 0
}

// dropExplained removes the crashes that a quarantined part, or a request, explains from the records of other parts. The
// caller holds mu.
func (t *Tracker) dropExplained(cause *record) {
	if !cause.part && len(cause.crashes) < repeatedCrashes {
		return
	}
	for _, r := range t.records {
		if r == cause || !r.part || !r.quarantinedAt.IsZero() {
			continue
		}
		before := r.suspected()
		r.crashes = slices.DeleteFunc(r.crashes, cause.explains)
		t.countSuspects(r, before, r.suspected())
	}
}

// RecordPartSuccess records that a run wrote on parts without a crash for PartSurvival after its first event, or to
// its end. A part is cleared, on all instances, if the run wrote its first event after the first of the crashes
// began.
func (t *Tracker) RecordPartSuccess(parts []Part, firstEvent time.Time) {
	now := t.now()
	cleared := false
	var changes []*Change
	t.mu.Lock()
	for _, p := range parts {
		r := t.records[p.Digest]
		if r == nil || !r.suspected() || (len(r.crashes) > 0 && !firstEvent.After(r.crashes[0].Began)) {
			continue
		}
		changes = append(changes, t.reset(r, r.gen+1, true))
		r.clearedAt = firstEvent
		t.markChanged(r, now)
		cleared = true
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
	if cleared {
		t.onUpdate()
	}
}

// Suspected reports whether a request or a part is under suspicion.
func (t *Tracker) Suspected(d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[d]
	return r != nil && r.suspected()
}
