package ledger

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestJournalOfNewerBuild(t *testing.T) {
	Convey("A journal written by a newer build and fenced by this one keeps the fields that this build does not know", t, func() {
		raw, err := cbor.Marshal(map[int]any{1: "a~1", 2: "z", 3: 7, 4: "", 90: map[string]int{"held": 5}})
		So(err, ShouldBeNil)
		j, err := Decode(raw)
		So(err, ShouldBeNil)
		j.Fenced = "b~2"
		out, err := j.Encode()
		So(err, ShouldBeNil)
		var back map[int]any
		So(cbor.Unmarshal(out, &back), ShouldBeNil)
		So(back[4], ShouldEqual, "b~2")
		So(back[90], ShouldResemble, map[any]any{"held": uint64(5)})
	})
}
