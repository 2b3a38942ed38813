package quarantine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// FuzzTold looks for messages of other instances, and values of the store, that stop the process or are taken although they cannot be right.
func FuzzTold(f *testing.F) {
	m := New()
	m.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: time.Now().Add(-time.Second), Ended: time.Now()})
	if raw, err := m.packAll(time.Now()); err == nil {
		f.Add(raw)
	}
	records, seq := m.since(0, "")
	if raw, err := cbor.Marshal(news{Hello: true, Seq: seq, Records: records}); err == nil {
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x02, 0x81, 0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := New()
		_ = m.learnAll(raw, time.Now())
		var n news
		if err := cbor.Unmarshal(raw, &n); err == nil {
			for _, r := range n.Records {
				m.learn(r, "", 0, sameEnd)
			}
		}
		for _, r := range m.records {
			if len(r.ends) > mostEnds || len(r.customer) > mostName {
				t.Fatalf("record %+v", r)
			}
		}
	})
}
