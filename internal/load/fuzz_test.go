package load

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// FuzzDigest looks for digests that stop the process, or tell of words that cannot be.
func FuzzDigest(f *testing.F) {
	raw, err := cbor.Marshal(digest{
		Lines: packLoads(pool.Loads{7: {Open: 3}}), Leaving: packLeaving(pool.Leaving{8: time.Second}),
		Limits: []named{{Endpoint: 7, Rate: 1500, NamedMs: 20, MissingMs: never}}, Asks: []ask{{Endpoint: 7, Demand: 1000, Offer: 10}},
		Grants: []grant{{Endpoint: 7, Limit: 1500, PerSecond: 20, ForMs: 1500}},
	})
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
		r := d.unpack(time.Now())
		for key, age := range r.leaving {
			if age < 0 || age > mostAge {
				t.Fatalf("the endpoint %d has said that it leaves %v ago", key, age)
			}
		}
		p := pool.New("a")
		p.Put(pool.Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 4})
		p.SetPeerLoads(r.loads)
		p.ObserveLeaving(r.leaving)
		p.ObserveLimits(r.limits)
		fuzzDivision(t, d)
		p.Pick(pool.Query{Service: "s"})
	})
}

// fuzzDivision lends what was asked for: never more than the limit.
func fuzzDivision(t *testing.T, d digest) {
	now := time.Now()
	rates := map[uint32]limit.Rate{7: limit.PerSecond(1.5)}
	v := limit.NewAllocator()
	v.Observe("x", unpackAsks(d.Asks), now)
	v.AcceptGrants(unpackGrants(d.Grants), now)
	for _, g := range v.Lend("x", rates, now) {
		if !(g.PerSecond <= rates[7].Bound()) {
			t.Fatalf("%v a second were lent of %v", g.PerSecond, rates[7].Bound())
		}
	}
}
