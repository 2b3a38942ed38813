package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// report is an encoded record. Times are encoded as ages in milliseconds, since the clocks of instances differ.
type report struct {
	Digest        []byte          `cbor:"1,keyasint"`
	Customer      string          `cbor:"2,keyasint,omitempty"`
	Gen           uint32          `cbor:"3,keyasint,omitempty"`
	Crashes       []reportedCrash `cbor:"4,keyasint,omitempty"`
	Quarantined   bool            `cbor:"5,keyasint,omitempty"`
	QuarantinedMs int64           `cbor:"6,keyasint,omitempty"` // since it was quarantined
	Probes        int             `cbor:"7,keyasint,omitempty"`
	Part          string          `cbor:"8,keyasint,omitempty"` // ID of a part of prompts; empty: a request
	Position      int             `cbor:"9,keyasint,omitempty"` // of the part in the prompt
}

type reportedCrash struct {
	Run     string `cbor:"1,keyasint"`
	BeganMs int64  `cbor:"2,keyasint"`
	EndedMs int64  `cbor:"3,keyasint"`
	Events  bool   `cbor:"4,keyasint,omitempty"`
}

const (
	maxReports         = 64  // records in one message
	maxNameLen         = 256 // bytes of a name in a report
	maxSnapshotRecords = 128 // records in the store
)

// pack encodes a record as of now.
func (r *record) pack(now time.Time) report {
	rep := report{Digest: r.digest[:], Customer: r.customer, Gen: r.gen, Probes: r.probes, Quarantined: !r.quarantinedAt.IsZero(), Part: r.label, Position: r.position}
	if rep.Quarantined {
		rep.QuarantinedMs = now.Sub(r.quarantinedAt).Milliseconds()
	}
	for _, c := range r.crashes {
		rep.Crashes = append(rep.Crashes, reportedCrash{
			Run: c.Run, BeganMs: now.Sub(c.Began).Milliseconds(), EndedMs: now.Sub(c.Ended).Milliseconds(), Events: c.Streamed,
		})
	}
	return rep
}

// valid reports whether a received report can be right.
func (rep report) valid() bool {
	if len(rep.Digest) != len(Digest{}) || len(rep.Customer) > maxNameLen || len(rep.Part) > maxNameLen || rep.Position < 0 || len(rep.Crashes) > maxCrashes || rep.QuarantinedMs < 0 || rep.Probes < 0 {
		return false
	}
	for _, c := range rep.Crashes {
		if c.Run == "" || len(c.Run) > maxNameLen || c.EndedMs < 0 || c.BeganMs < c.EndedMs {
			return false
		}
	}
	return true
}

// mergeAll adds the reports of a message. age is the time since they were encoded, and window is the time within which
// two observations count as the same crash. from is the instance that sent them, or empty for the store. advanced reports
// whether any report has a later generation, which means that a run was successful. Parts are not evaluated before
// evaluateReceived is called, or the next decision is made.
func (t *Tracker) mergeAll(reports []report, from string, age, window time.Duration) (advanced bool) {
	now := t.now()
	var changes []*Change
	t.mu.Lock()
	for _, rep := range reports {
		if rep.valid() {
			change, later := t.mergeReport(rep, from, now.Add(-age), now, window)
			changes, advanced = append(changes, change...), advanced || later
		}
	}
	t.mu.Unlock()
	for _, c := range changes {
		t.notify(c)
	}
	return advanced
}

// mergeReport adds one report that was encoded at a time. The caller holds mu.
func (t *Tracker) mergeReport(rep report, from string, at, now time.Time, window time.Duration) (changes []*Change, advanced bool) {
	r := t.lookupOrCreate(Digest(rep.Digest), rep.Customer, now)
	if rep.Part != "" {
		r.part, r.label, r.position = true, rep.Part, max(r.position, rep.Position)
	}
	before := r.seq
	if rep.Gen > r.gen {
		changes = append(changes, t.reset(r, rep.Gen, false))
		t.markChanged(r, now)
		advanced = true
	}
	if rep.Gen == r.gen {
		changes = append(changes, t.mergeCrashes(r, rep, at, now, window))
	}
	t.unevaluated = t.unevaluated || r.enoughEvidence()
	if r.seq != before && rep.Gen == r.gen && len(rep.Crashes) == len(r.crashes) && rep.Quarantined == !r.quarantinedAt.IsZero() {
		r.from = from
	}
	return changes, advanced
}

// mergeCrashes adds the crashes and the quarantine of a report of the same generation. at is when the report was
// encoded. The caller holds mu.
func (t *Tracker) mergeCrashes(r *record, rep report, at, now time.Time, window time.Duration) *Change {
	before, added := r.suspected(), false
	for _, reported := range rep.Crashes {
		c := reported.crash(at)
		if r.part && (!c.Ended.After(r.clearedAt) || (r.quarantinedAt.IsZero() && !rep.Quarantined && t.explained(c))) {
			continue
		}
		added = r.addCrash(c, window) || added
	}
	wasQuarantined := !r.quarantinedAt.IsZero()
	if rep.Quarantined && (!wasQuarantined || rep.Probes > r.probes) {
		r.quarantinedAt, r.probes, added = at.Add(-time.Duration(rep.QuarantinedMs)*time.Millisecond), max(rep.Probes, r.probes), true
	}
	if !r.part && !wasQuarantined && r.quarantinedAt.IsZero() && r.weight() >= quarantineWeight {
		r.quarantinedAt = now
	}
	if !added {
		return nil
	}
	if !r.part || (!wasQuarantined && !r.quarantinedAt.IsZero()) {
		t.dropExplained(r)
	}
	t.countSuspects(r, before, true)
	t.markChanged(r, now)
	if wasQuarantined || r.quarantinedAt.IsZero() {
		return nil
	}
	return r.change(true, !rep.Quarantined)
}

// crash decodes a crash that was encoded at some time.
func (c reportedCrash) crash(at time.Time) Crash {
	return Crash{
		Run: c.Run, Began: at.Add(-time.Duration(c.BeganMs) * time.Millisecond), Ended: at.Add(-time.Duration(c.EndedMs) * time.Millisecond),
		Streamed: c.Events,
	}
}

// lastSeq returns the sequence number of the last change.
func (t *Tracker) lastSeq() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq
}

// forgetSource handles the restart of an instance. The instance has lost the records that it sent before, so they are
// sent back to it.
func (t *Tracker) forgetSource(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.from == id {
			r.from = ""
		}
	}
}

// changedSince encodes the records that have changed after seq, in the order of their changes, and returns the sequence
// number of the last one. It leaves out records that the receiver itself has sent: otherwise each member of an
// availability zone would send back to its leader all records that it has received from the leader.
func (t *Tracker) changedSince(seq uint64, to string) ([]report, uint64) {
	t.evaluateReceived()
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if seq >= t.seq {
		return nil, seq
	}
	var list []*record
	for _, r := range t.records {
		if r.seq > seq && (to == "" || r.from != to) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.seq, b.seq) })
	out := make([]report, 0, min(len(list), maxReports))
	for _, r := range list[:min(len(list), maxReports)] {
		out = append(out, r.pack(now))
		seq = r.seq
	}
	return out, seq
}

// snapshot is the value in the store.
type snapshot struct {
	WallMs  int64    `cbor:"1,keyasint"` // when it was written
	Records []report `cbor:"2,keyasint,omitempty"`
}

// hasRecords reports whether there are any records.
func (t *Tracker) hasRecords() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) > 0
}

// packSnapshot encodes the records to store, so that they outlive all instances. It prefers quarantined requests, and
// then the records that were updated last.
func (t *Tracker) packSnapshot(wall time.Time) ([]byte, error) {
	t.evaluateReceived()
	now := t.now()
	t.mu.Lock()
	list := make([]*record, 0, len(t.records))
	for _, r := range t.records {
		if !t.expired(r, now) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		if lessImportant(a, b) {
			return 1
		}
		return -1
	})
	s := snapshot{WallMs: wall.UnixMilli()}
	for _, r := range list[:min(len(list), maxSnapshotRecords)] {
		s.Records = append(s.Records, r.pack(now))
	}
	t.mu.Unlock()
	raw, err := cbor.Marshal(s)
	return raw, eris.Wrap(err, "encoding quarantined requests")
}

// mergeSnapshot adds the records of the store. Their ages are determined by the wall clock, which may step by seconds,
// so observations of the same crash may be further apart than in reports of instances. A negative age, or one beyond
// the duration of a quarantine, counts as zero.
func (t *Tracker) mergeSnapshot(raw []byte, wall time.Time) error {
	var s snapshot
	if err := cbor.Unmarshal(raw, &s); err != nil {
		return eris.Wrap(err, "decoding quarantined requests")
	}
	age := wall.Sub(time.UnixMilli(s.WallMs))
	if age < 0 || age > t.duration {
		age = 0
	}
	t.mergeAll(s.Records[:min(len(s.Records), maxSnapshotRecords)], "", age, storedCrashWindow)
	t.evaluateReceived()
	return nil
}

// storedCrashWindow replaces sameCrashWindow for times of the wall clock.
const storedCrashWindow = 10 * time.Second
