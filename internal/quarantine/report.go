package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// report is a record as it travels. Moments are report as ages in milliseconds: clocks of instances differ.
type report struct {
	Digest   []byte        `cbor:"1,keyasint"`
	Customer string        `cbor:"2,keyasint,omitempty"`
	Gen      uint32        `cbor:"3,keyasint,omitempty"`
	Ends     []reportedEnd `cbor:"4,keyasint,omitempty"`
	Held     bool          `cbor:"5,keyasint,omitempty"`
	HeldMs   int64         `cbor:"6,keyasint,omitempty"` // since it is kept back
	Probes   int           `cbor:"7,keyasint,omitempty"`
}

type reportedEnd struct {
	Run     string `cbor:"1,keyasint"`
	BeganMs int64  `cbor:"2,keyasint"`
	EndedMs int64  `cbor:"3,keyasint"`
	Events  bool   `cbor:"4,keyasint,omitempty"`
}

const (
	mostTold     = 64  // records in one message
	mostName     = 256 // bytes of a name that is told
	mostTogether = 128 // records in the store
)

// pack writes a record down as of a moment.
func (r *record) pack(now time.Time) report {
	t := report{Digest: r.digest[:], Customer: r.customer, Gen: r.gen, Probes: r.probes, Held: !r.held.IsZero()}
	if t.Held {
		t.HeldMs = now.Sub(r.held).Milliseconds()
	}
	for _, e := range r.ends {
		t.Ends = append(t.Ends, reportedEnd{
			Run: e.Run, BeganMs: now.Sub(e.Began).Milliseconds(), EndedMs: now.Sub(e.Ended).Milliseconds(), Events: e.Streamed,
		})
	}
	return t
}

// valid reports whether a record that was told can be right.
func (t report) valid() bool {
	if len(t.Digest) != len(Digest{}) || len(t.Customer) > mostName || len(t.Ends) > mostEnds || t.HeldMs < 0 || t.Probes < 0 {
		return false
	}
	for _, e := range t.Ends {
		if e.Run == "" || len(e.Run) > mostName || e.EndedMs < 0 || e.BeganMs < e.EndedMs {
			return false
		}
	}
	return true
}

// learn takes a record that was told; age is how long ago it was written down, same how far apart moments of one end may be.
// from is the instance that told it; empty: the store has it. news reports whether it told of a run that ended well.
func (m *Tracker) learn(t report, from string, age, same time.Duration) (news bool) {
	if !t.valid() {
		return false
	}
	now := m.now()
	m.mu.Lock()
	r := m.of(Digest(t.Digest), t.Customer, now)
	before := r.seq
	var changes []*Change
	if t.Gen > r.gen {
		changes = append(changes, m.void(r, t.Gen, false))
		m.touch(r, now)
		news = true
	}
	if t.Gen == r.gen {
		changes = append(changes, m.join(r, t, now.Add(-age), now, same))
	}
	if r.seq != before && t.Gen == r.gen && len(t.Ends) == len(r.ends) && t.Held == !r.held.IsZero() {
		r.from = from
	}
	m.mu.Unlock()
	for _, c := range changes {
		m.tell(c)
	}
	return news
}

// join adds what was told of the same generation. at is the moment as of which it was told. The caller holds mu.
func (m *Tracker) join(r *record, t report, at, now time.Time, same time.Duration) *Change {
	before, added := r.suspected(), false
	for _, e := range t.Ends {
		added = r.note(Crash{
			Run: e.Run, Began: at.Add(-time.Duration(e.BeganMs) * time.Millisecond), Ended: at.Add(-time.Duration(e.EndedMs) * time.Millisecond),
			Streamed: e.Events,
		}, same) || added
	}
	wasHeld := !r.held.IsZero()
	if t.Held && (!wasHeld || t.Probes > r.probes) {
		r.held, r.probes, added = at.Add(-time.Duration(t.HeldMs)*time.Millisecond), max(t.Probes, r.probes), true
	}
	if !wasHeld && r.held.IsZero() && r.weight() >= heldFrom {
		r.held = now
	}
	if !added {
		return nil
	}
	m.count(r, before, true)
	m.touch(r, now)
	if wasHeld || r.held.IsZero() {
		return nil
	}
	return &Change{Digest: r.digest, Customer: r.customer, Quarantined: true, Crashes: slices.Clone(r.ends), Local: !t.Held}
}

// last is the number of the last change.
func (m *Tracker) last() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seq
}

// restarted takes that an instance has started: it does not know any more what it told.
func (m *Tracker) restarted(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range m.records {
		if r.from == id {
			r.from = ""
		}
	}
}

// since packs the records that have changed after a number, the first to change first, and the number that they lead to. What the instance that
// is told has told itself is left out: each member of a zone would send its leader all that it had heard from it.
func (m *Tracker) since(seq uint64, to string) ([]report, uint64) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if seq >= m.seq {
		return nil, seq
	}
	var list []*record
	for _, r := range m.records {
		if r.seq > seq && (to == "" || r.from != to) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int { return cmp.Compare(a.seq, b.seq) })
	out := make([]report, 0, min(len(list), mostTold))
	for _, r := range list[:min(len(list), mostTold)] {
		out = append(out, r.pack(now))
		seq = r.seq
	}
	return out, seq
}

// together is all that is kept in the store.
type together struct {
	WallMs  int64    `cbor:"1,keyasint"` // when it was written
	Records []report `cbor:"2,keyasint,omitempty"`
}

// any reports whether anything is known.
func (m *Tracker) any() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.records) > 0
}

// packAll packs what is worth outliving all instances: requests that are kept back first, then those with the latest ends.
func (m *Tracker) packAll(wall time.Time) ([]byte, error) {
	now := m.now()
	m.mu.Lock()
	list := make([]*record, 0, len(m.records))
	for _, r := range m.records {
		if !m.old(r, now) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		if less(a, b) {
			return 1
		}
		return -1
	})
	t := together{WallMs: wall.UnixMilli()}
	for _, r := range list[:min(len(list), mostTogether)] {
		t.Records = append(t.Records, r.pack(now))
	}
	m.mu.Unlock()
	raw, err := cbor.Marshal(t)
	return raw, eris.Wrap(err, "encoding requests that are kept back")
}

// learnAll takes what the store has. The time of day may step by seconds, so moments of one end may be far apart there; an age beyond a life
// or below zero is none.
func (m *Tracker) learnAll(raw []byte, wall time.Time) error {
	var t together
	if err := cbor.Unmarshal(raw, &t); err != nil {
		return eris.Wrap(err, "decoding requests that are kept back")
	}
	age := wall.Sub(time.UnixMilli(t.WallMs))
	if age < 0 || age > m.life {
		age = 0
	}
	for _, r := range t.Records[:min(len(t.Records), mostTogether)] {
		m.learn(r, "", age, storedEnd)
	}
	return nil
}

// storedEnd is sameEnd for moments by the time of day.
const storedEnd = 10 * time.Second
