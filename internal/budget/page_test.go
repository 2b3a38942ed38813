package budget

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
)

func TestPageOfNewerBuild(t *testing.T) {
	Convey("A row written by a newer build keeps the fields that this build does not know", t, func() {
		type newerGrant struct {
			Granted int64  `cbor:"1,keyasint"`
			Settled int64  `cbor:"2,keyasint"`
			Seq     uint64 `cbor:"3,keyasint"`
			Lent    int64  `cbor:"90,keyasint"`
		}
		type newerRow struct {
			Customer string                `cbor:"1,keyasint"`
			Deposits map[string]int64      `cbor:"2,keyasint"`
			Closed   int64                 `cbor:"3,keyasint"`
			Grants   map[string]newerGrant `cbor:"4,keyasint"`
			Debt     int64                 `cbor:"90,keyasint"`
		}
		newer := newerRow{
			Customer: "north", Deposits: map[string]int64{"d": 100}, Debt: 5,
			Grants: map[string]newerGrant{"a": {Granted: 10, Lent: 3}, "b": {Granted: 20, Lent: 4}},
		}
		raw, err := cbor.Marshal(map[string]newerRow{"n": newer, "s": newer})
		So(err, ShouldBeNil)
		p, err := DecodePage(external.Entry{Data: raw})
		So(err, ShouldBeNil)
		r, err := p.Row("n")
		So(err, ShouldBeNil)
		r.Grants["a"] = Grant{Granted: 15, Settled: 2, Seq: 1}
		delete(r.Grants, "b")
		out, err := p.Encode()
		So(err, ShouldBeNil)
		var back map[string]newerRow
		So(cbor.Unmarshal(out, &back), ShouldBeNil)
		So(back["s"], ShouldResemble, newer)
		newer.Grants = map[string]newerGrant{"a": {Granted: 15, Settled: 2, Seq: 1, Lent: 3}}
		So(back["n"], ShouldResemble, newer)
	})
}
