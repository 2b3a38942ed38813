package load

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/pool"
)

func TestDigest(t *testing.T) {
	Convey("A digest", t, func() {
		loads := make(pool.Loads)
		for i := range uint32(140) {
			loads[i<<20+7] = pool.Load{Open: int(i % 12), Harm: 0.25, Ended: 2.5, Failed: 0.07}
		}

		Convey("tells what it was made of", func() {
			So(pack(loads).unpack(), ShouldResemble, loads)
		})

		Convey("is short enough for a small link: 2.3 KB for 140 endpoints", func() {
			raw, err := cbor.Marshal(pack(loads))
			So(err, ShouldBeNil)
			So(len(raw), ShouldBeLessThan, 2400)
		})

		Convey("leaves out endpoints with nothing under way, and those with the least where there are too many", func() {
			loads[1] = pool.Load{Harm: 0.0001}
			So(len(pack(loads).Lines), ShouldEqual, 140)
			for i := range uint32(1300) {
				loads[i<<8+9] = pool.Load{Open: 1}
			}
			loads[3] = pool.Load{Open: 50}
			d := pack(loads)
			So(len(d.Lines), ShouldEqual, mostLines)
			So(d.Lines[0].Endpoint, ShouldEqual, 3)
		})
	})
}
