package load

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/limit"
	"github.com/ledgemount/ledgemount/internal/pool"
)

func TestDigest(t *testing.T) {
	Convey("A digest", t, func() {
		now := time.Unix(1000, 0)
		loads := make(pool.Loads)
		for i := range uint32(140) {
			loads[i<<20+7] = pool.Load{Open: int(i % 12), Interference: 0.25, Ended: 2.5, Failed: 0.07}
		}

		Convey("decodes to the report that it was made from", func() {
			leaving := pool.Leaving{7: 1500 * time.Millisecond, 8: 0}
			limits := pool.Limits{
				7: limit.NewState(limit.PerSecond(1.25), now.Add(-time.Second), time.Time{}),
				8: limit.NewState(limit.PerSecond(0), now, now.Add(-2*time.Second)),
			}
			So(pack(report{loads, leaving, limits}, now).unpack(now), ShouldResemble, report{loads, leaving, limits})
		})

		Convey("fits a slow link: 2.3 KB for 140 endpoints", func() {
			raw, err := cbor.Marshal(pack(report{loads: loads}, now))
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThan, 2400)
		})

		Convey("takes no extra bytes if no endpoint announces a limit, and at most 50 for each that does, in both directions", func() {
			size := func(d digest) int {
				raw, err := cbor.Marshal(d)
				So(err, ShouldBeNil)
				return len(raw)
			}
			const many = 100
			limits, claims, grants := make(pool.Limits), make(limit.Claims), make(limit.Grants)
			So(size(digest{Limits: packLimits(limits, now), Claims: packClaims(claims), Grants: packGrants(grants)}), ShouldEqual, size(digest{}))
			for i := range uint32(many) {
				limits[i<<20+7] = limit.NewState(limit.PerSecond(1.3), now.Add(-time.Second), now.Add(-time.Minute))
				claims[i<<20+7] = limit.Claim{Demand: 12.5, Offer: 0.004}
				grants[i<<20+7] = limit.Grant{Limit: 1.3, PerSecond: 0.4, For: time.Second, Holders: 2, FleetDemand: 920}
			}
			So(size(digest{Limits: packLimits(limits, now), Claims: packClaims(claims), Grants: packGrants(grants)}), ShouldBeLessThan, 50*many)
		})

		Convey("leaves out endpoints without load, and those with the least load if there are too many", func() {
			loads[1] = pool.Load{Interference: 0.0001}
			So(len(pack(report{loads: loads}, now).Lines), ShouldEqual, 140)
			for i := range uint32(1300) {
				loads[i<<8+9] = pool.Load{Open: 1}
			}
			loads[3] = pool.Load{Open: 50}
			d := pack(report{loads: loads}, now)
			So(len(d.Lines), ShouldEqual, maxLines)
			So(d.Lines[0].Endpoint, ShouldEqual, 3)
		})

		Convey("ignores announcements with an impossible age", func() {
			for _, age := range []int64{-1, math.MinInt64, math.MaxInt64, maxAge.Milliseconds() + 1} {
				So(digest{Leaving: []leaving{{Endpoint: 1, AgeMs: age}}}.unpack(now).leaving, ShouldBeEmpty)
				So(digest{Limits: []announcedLimit{{Endpoint: 1, NamedMs: age, MissingMs: age}}}.unpack(now).limits[1].Active(now), ShouldBeFalse)
			}
		})

		Convey("is readable by builds without announcements, and their digests are readable", func() {
			type older struct {
				Lines     []line `cbor:"1,keyasint,omitempty"`
				Piggyback []byte `cbor:"2,keyasint,omitempty"`
			}
			raw, err := cbor.Marshal(pack(report{loads, pool.Leaving{7: time.Second}, pool.Limits{7: limit.NewState(limit.PerSecond(1), now, now)}}, now))
			So(err, ShouldBeNil)
			var o older
			So(cbor.Unmarshal(raw, &o), ShouldBeNil)
			So(len(o.Lines), ShouldEqual, 140)
			raw, err = cbor.Marshal(o)
			So(err, ShouldBeNil)
			var d digest
			So(cbor.Unmarshal(raw, &d), ShouldBeNil)
			So(d.unpack(now), ShouldResemble, report{loads, pool.Leaving{}, pool.Limits{}})
		})
	})
}
