package evacuation

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestState(t *testing.T) {
	Convey("Orders to evacuate availability zones", t, func() {
		var s State
		So(s.Apply(Order{Zone: "b", On: true, Revision: 10}), ShouldBeTrue)
		So(s.Zones(), ShouldResemble, []string{"b"})

		Convey("are in force until they are withdrawn", func() {
			So(s.Apply(Order{Zone: "b", Revision: 12}), ShouldBeTrue)
			So(s.Zones(), ShouldBeEmpty)
		})

		Convey("are not undone by late or repeated orders", func() {
			So(s.Apply(Order{Zone: "b", Revision: 9}), ShouldBeFalse)
			So(s.Apply(Order{Zone: "b", On: true, Revision: 10}), ShouldBeFalse)
			So(s.Replace(Set{At: 9}), ShouldBeEmpty)
			So(s.Zones(), ShouldResemble, []string{"b"})
		})

		Convey("are replaced by a newer set of all", func() {
			So(s.Replace(Set{At: 20, Zones: []string{"c", "a"}}), ShouldResemble, []Order{
				{Zone: "a", On: true, Revision: 20},
				{Zone: "c", On: true, Revision: 20},
				{Zone: "b", Revision: 20},
			})
			So(s.Zones(), ShouldResemble, []string{"a", "c"})

			Convey("after which older orders of any zone are ignored", func() {
				So(s.Apply(Order{Zone: "d", On: true, Revision: 19}), ShouldBeFalse)
				So(s.Replace(Set{At: 19, Zones: []string{"b"}}), ShouldBeEmpty)
				So(s.Zones(), ShouldResemble, []string{"a", "c"})
			})
		})

		Convey("that are newer than a set stay in force", func() {
			So(s.Apply(Order{Zone: "c", On: true, Revision: 30}), ShouldBeTrue)
			So(s.Replace(Set{At: 20, Zones: []string{"b"}}), ShouldBeEmpty)
			So(s.Zones(), ShouldResemble, []string{"b", "c"})
		})
	})
}

func TestAdd(t *testing.T) {
	Convey("A set that may be older than the known orders adds zones, and neither withdraws nor restores an order", t, func() {
		var s State
		s.Replace(Set{At: 10, Zones: []string{"a"}})
		s.Apply(Order{Zone: "b", On: true, Revision: 12})
		s.Apply(Order{Zone: "a", Revision: 13})
		So(s.Add(Set{At: 20, Zones: []string{"a", "c"}}), ShouldResemble, []Order{{Zone: "c", On: true, Revision: 20}})
		So(s.Zones(), ShouldResemble, []string{"b", "c"})
		s.Replace(Set{At: 21, Zones: []string{"a"}})
		So(s.Zones(), ShouldResemble, []string{"a"})
	})
}
