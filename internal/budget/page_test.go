package budget

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
)

func TestPageOfLaterBuild(t *testing.T) {
	Convey("A row that a later build has written keeps what this one does not know of it", t, func() {
		type laterGrant struct {
			Granted int64  `cbor:"1,keyasint"`
			Settled int64  `cbor:"2,keyasint"`
			Seq     uint64 `cbor:"3,keyasint"`
			Lent    int64  `cbor:"90,keyasint"`
		}
		type laterRow struct {
			Customer string                `cbor:"1,keyasint"`
			Deposits map[string]int64      `cbor:"2,keyasint"`
			Closed   int64                 `cbor:"3,keyasint"`
			Grants   map[string]laterGrant `cbor:"4,keyasint"`
			Debt     int64                 `cbor:"90,keyasint"`
		}
		later := laterRow{
			Customer: "north", Deposits: map[string]int64{"d": 100}, Debt: 5,
			Grants: map[string]laterGrant{"a": {Granted: 10, Lent: 3}, "b": {Granted: 20, Lent: 4}},
		}
		raw, err := cbor.Marshal(map[string]laterRow{"n": later, "s": later})
		So(err, ShouldBeNil)
		p, err := DecodePage(external.Entry{Data: raw})
		So(err, ShouldBeNil)
		r, err := p.Row("n")
		So(err, ShouldBeNil)
		r.Grants["a"] = Grant{Granted: 15, Settled: 2, Seq: 1}
		delete(r.Grants, "b")
		out, err := p.Encode()
		So(err, ShouldBeNil)
		var back map[string]laterRow
		So(cbor.Unmarshal(out, &back), ShouldBeNil)
		So(back["s"], ShouldResemble, later)
		later.Grants = map[string]laterGrant{"a": {Granted: 15, Settled: 2, Seq: 1, Lent: 3}}
		So(back["n"], ShouldResemble, later)
	})
}
