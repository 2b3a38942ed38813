package load

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
)

// FuzzDigest looks for digests that crash the process, or that decode to impossible announcements.
func FuzzDigest(f *testing.F) {
	raw, err := cbor.Marshal(digest{
		Lines: packLoads(pool.Loads{7: {Open: 3}}), Leaving: packLeaving(pool.Leaving{8: time.Second}),
		Limits: []announcedLimit{{Endpoint: 7, Rate: 1500, NamedMs: 20, MissingMs: never}}, Claims: []claim{{Endpoint: 7, Demand: 1000, Offer: 10}},
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
			if age < 0 || age > maxAge {
				t.Fatalf("endpoint %d announced %v ago that it is leaving", key, age)
			}
		}
		p := pool.New("a")
		p.Put(pool.Endpoint{ID: "e", Service: "s", Addr: "1:1", Zone: "a", Slots: 4})
		p.SetPeerLoads(r.loads)
		p.ObserveLeaving(r.leaving)
		p.ObserveLimits(r.limits)
		checkGrants(t, d)
		p.Pick(pool.Query{Service: "s"})
	})
}

// checkGrants fails if more than the limit is granted for the claims of a digest.
func checkGrants(t *testing.T, d digest) {
	now := time.Now()
	rates := map[uint32]limit.Rate{7: limit.PerSecond(1.5)}
	allocator := limit.NewAllocator()
	allocator.Observe("x", unpackClaims(d.Claims), now)
	allocator.AcceptGrants(unpackGrants(d.Grants), now)
	for _, g := range allocator.Grant("x", rates, now) {
		if !(g.PerSecond <= rates[7].Bound()) {
			t.Fatalf("granted %v requests per second of %v", g.PerSecond, rates[7].Bound())
		}
	}
}
