package load

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgemount/ledgemount/internal/pool"
)

// FuzzDigest looks for digests that stop the process, or tell of words that cannot be.
func FuzzDigest(f *testing.F) {
	raw, err := cbor.Marshal(pack(report{pool.Loads{7: {Open: 3}}, pool.Leaving{8: time.Second}}))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{0xa1, 0x03, 0x81, 0x82, 0x01, 0x20})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d digest
		if cbor.Unmarshal(raw, &d) != nil {
			return
		}
		r := d.unpack()
		for key, age := range r.leaving {
			if age < 0 || age > mostAge {
				t.Fatalf("the endpoint %d has said that it leaves %v ago", key, age)
			}
		}
		p := pool.New("a")
		p.Put(pool.Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 4})
		p.SetOthers(r.loads)
		p.HearLeaving(r.leaving)
		p.Pick(pool.Query{Service: "s"})
	})
}
