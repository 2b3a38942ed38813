package relay

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDelivery(t *testing.T) {
	Convey("What the caller has received determines what may follow", t, func() {
		var d delivery
		So(d.started(), ShouldBeFalse)
		So(d.resumable(), ShouldBeTrue)

		Convey("nothing else after a part of a response that is no stream", func() {
			d.extent = partSent
			So(d.started(), ShouldBeTrue)
			So(d.resumable(), ShouldBeFalse)
		})

		Convey("the events after the last one, whose ID is higher", func() {
			d.extent = eventsSent
			So(d.resumable(), ShouldBeTrue)
			d.addEvent("9")
			So(d.resumable(), ShouldBeTrue)
			So(d.follows("10"), ShouldBeTrue)
			So(d.follows("9"), ShouldBeFalse)
			So(d.follows("1"), ShouldBeFalse)
		})

		Convey("any event if IDs are no numbers, since their order is not known", func() {
			d.extent = eventsSent
			d.addEvent("b-9")
			So(d.follows("b-10"), ShouldBeTrue)
			So(d.follows("1"), ShouldBeTrue)
		})

		Convey("nothing after an event without an ID, until one with an ID follows it in the same response", func() {
			d.extent = eventsSent
			d.addEvent("1")
			d.addEvent("")
			So(d.resumable(), ShouldBeFalse)
			d.addEvent("3")
			So(d.resumable(), ShouldBeTrue)
			So(d.follows("4"), ShouldBeTrue)
		})
	})
}
