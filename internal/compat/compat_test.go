package compat

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Types as a later build declares them (later...), and the same types as an earlier build declares them.
type (
	laterRow struct {
		Granted int64    `cbor:"1,keyasint,omitempty"`
		Spent   int64    `cbor:"2,keyasint,omitempty"`
		Lent    int64    `cbor:"9,keyasint,omitempty"`
		Notes   []string `cbor:"10,keyasint,omitempty"`
	}
	laterAccount struct {
		Rows map[string]laterRow `cbor:"2,keyasint,omitempty"`
		Debt int64               `cbor:"8,keyasint,omitempty"`
	}
	laterPage struct {
		Accounts map[string]*laterAccount `cbor:"1,keyasint,omitempty"`
		Format   int                      `cbor:"7,keyasint,omitempty"`
	}
	row struct {
		Granted int64 `cbor:"1,keyasint,omitempty"`
		Spent   int64 `cbor:"2,keyasint,omitempty"`
	}
	account struct {
		Rows map[string]row `cbor:"2,keyasint,omitempty"`
	}
	page struct {
		Accounts map[string]*account `cbor:"1,keyasint,omitempty"`
	}
)

func mustEncode(v any) []byte {
	b, err := cbor.Marshal(v)
	So(err, ShouldBeNil)
	return b
}

// TestUnknownFieldsSurviveWriteBack guards against the loss of a later build's fields when an older instance reads a page,
// changes it and writes it back. If the field of lent tokens is lost, these tokens count as available again.
func TestUnknownFieldsSurviveWriteBack(t *testing.T) {
	Convey("A build that writes a value back retains the fields that it does not know", t, func() {
		raw := mustEncode(laterPage{Format: 3, Accounts: map[string]*laterAccount{
			"north": {Debt: 5, Rows: map[string]laterRow{"a": {Granted: 10, Spent: 4, Lent: 6}, "b": {Granted: 1, Notes: []string{"x"}}, "c": {Lent: 2}}},
			"south": {Debt: 7},
		}})
		var p page
		u, err := Decode(raw, &p)
		So(err, ShouldBeNil)
		So(p.Accounts["north"].Rows["a"], ShouldResemble, row{Granted: 10, Spent: 4})
		p.Accounts["north"].Rows["a"] = row{Granted: 12} // the known field Spent, now zero, is not restored
		delete(p.Accounts["north"].Rows, "b")
		delete(p.Accounts, "south")
		p.Accounts["north"].Rows["d"] = row{Granted: 3}
		out, err := Encode(&p, u)
		So(err, ShouldBeNil)
		var later laterPage
		So(cbor.Unmarshal(out, &later), ShouldBeNil)
		So(later, ShouldResemble, laterPage{Format: 3, Accounts: map[string]*laterAccount{
			"north": {Debt: 5, Rows: map[string]laterRow{"a": {Granted: 12, Lent: 6}, "c": {Lent: 2}, "d": {Granted: 3}}},
		}})
	})

	Convey("A value without unknown fields is encoded unchanged", t, func() {
		var p page
		u, err := Decode(mustEncode(laterPage{Accounts: map[string]*laterAccount{"north": {}}}), &p)
		So(err, ShouldBeNil)
		So(u, ShouldResemble, UnknownFields{})
		out, err := Encode(&p, u)
		So(err, ShouldBeNil)
		So(out, ShouldResemble, mustEncode(&p))
	})

	Convey("Decoding an invalid value fails", t, func() {
		for _, raw := range [][]byte{{0xff}, mustEncode("text"), mustEncode(map[int]string{1: "x"}), mustEncode(map[int]any{1: "x", 9: 1})} {
			_, err := Decode(raw, &page{})
			So(err, ShouldNotBeNil)
		}
	})
}

// TestWriteBackKeepsArbitraryValues checks that reading and writing back any value of a later build does not change it.
func TestWriteBackKeepsArbitraryValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.Int64Range(0, 3)
		rows := rapid.MapOfN(rapid.StringN(1, 2, 2), rapid.Custom(func(t *rapid.T) laterRow {
			return laterRow{Granted: n.Draw(t, "granted"), Spent: n.Draw(t, "spent"), Lent: n.Draw(t, "lent")}
		}), 1, 3)
		accounts := rapid.MapOfN(rapid.StringN(1, 2, 2), rapid.Custom(func(t *rapid.T) *laterAccount {
			return &laterAccount{Rows: rows.Draw(t, "rows"), Debt: n.Draw(t, "debt")}
		}), 1, 3)
		written := laterPage{Accounts: accounts.Draw(t, "accounts"), Format: int(n.Draw(t, "format"))}
		raw, err := cbor.Marshal(written)
		if err != nil {
			t.Fatal(err)
		}
		var p page
		u, err := Decode(raw, &p)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Encode(&p, u)
		if err != nil {
			t.Fatal(err)
		}
		var back laterPage
		if err := cbor.Unmarshal(out, &back); err != nil {
			t.Fatal(err)
		}
		mode, _ := cbor.CanonicalEncOptions().EncMode()
		want, _ := mode.Marshal(written)
		got, _ := mode.Marshal(back)
		if string(want) != string(got) {
			t.Fatalf("%x was written back as %x", want, got)
		}
	})
}
