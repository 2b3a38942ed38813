package compat

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// What a later build writes, and what this one knows of it.
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

func encoded(v any) []byte {
	b, err := cbor.Marshal(v)
	So(err, ShouldBeNil)
	return b
}

// An older instance that reads a page, changes it and writes it back lost what a later one had put there: tokens that were lent would have
// been free again.
func TestWriteBack(t *testing.T) {
	Convey("A build that writes a value back keeps what it does not know of it", t, func() {
		raw := encoded(laterPage{Format: 3, Accounts: map[string]*laterAccount{
			"north": {Debt: 5, Rows: map[string]laterRow{"a": {Granted: 10, Spent: 4, Lent: 6}, "b": {Granted: 1, Notes: []string{"x"}}, "c": {Lent: 2}}},
			"south": {Debt: 7},
		}})
		var p page
		u, err := Decode(raw, &p)
		So(err, ShouldBeNil)
		So(p.Accounts["north"].Rows["a"], ShouldResemble, row{Granted: 10, Spent: 4})
		p.Accounts["north"].Rows["a"] = row{Granted: 12} // a known field that is zero now is not brought back
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

	Convey("A value without fields that are not known is written as it is", t, func() {
		var p page
		u, err := Decode(encoded(laterPage{Accounts: map[string]*laterAccount{"north": {}}}), &p)
		So(err, ShouldBeNil)
		So(u, ShouldResemble, UnknownFields{})
		out, err := Encode(&p, u)
		So(err, ShouldBeNil)
		So(out, ShouldResemble, encoded(&p))
	})

	Convey("What cannot be read is an error", t, func() {
		for _, raw := range [][]byte{{0xff}, encoded("text"), encoded(map[int]string{1: "x"}), encoded(map[int]any{1: "x", 9: 1})} {
			_, err := Decode(raw, &page{})
			So(err, ShouldNotBeNil)
		}
	})
}

// Whatever a later build has written, reading and writing it back changes nothing of it.
func TestWriteBackOfAnything(t *testing.T) {
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
		was, _ := mode.Marshal(written)
		is, _ := mode.Marshal(back)
		if string(was) != string(is) {
			t.Fatalf("%x came back as %x", was, is)
		}
	})
}
