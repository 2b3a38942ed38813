package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzUpdate looks for messages of other instances, and values of the store, that crash the process or are accepted
// although they are invalid.
func FuzzUpdate(f *testing.F) {
	tracker := New()
	tracker.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: time.Now().Add(-time.Second), Ended: time.Now()})
	if raw, err := tracker.packSnapshot(time.Now()); err == nil {
		f.Add(raw)
	}
	records, seq := tracker.changedSince(0, "")
	if raw, err := cbor.Marshal(update{Hello: true, Seq: seq, Records: records}); err == nil {
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		tracker := New()
		_ = tracker.mergeSnapshot(raw, time.Now())
		var u update
		if err := cbor.Unmarshal(raw, &u); err == nil {
			for _, r := range u.Records {
				tracker.merge(r, "", 0, sameCrashWindow)
			}
		}
		for _, r := range tracker.records {
			if len(r.crashes) > maxCrashes || len(r.customer) > maxNameLen {
				t.Fatalf("record %+v", r)
			}
		}
	})
}
