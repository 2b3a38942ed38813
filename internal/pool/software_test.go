package pool

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSoftware(t *testing.T) {
	Convey("A pool with endpoints of two software versions", t, func() {
		now := time.Unix(1000, 0)
		p := New("a", WithNow(func() time.Time { return now }))
		for i := range 4 {
			p.Put(Endpoint{ID: fmt.Sprintf("old-%d", i), Service: "s", Zone: "a", Slots: 2, Software: "v1"})
		}
		p.Put(Endpoint{ID: "new", Service: "s", Zone: "a", Slots: 2, Software: "v2"})

		Convey("picks only those of the version that a query asks for, and none if it has none left", func() {
			for range 8 {
				lease := p.Pick(Query{Service: "s", Affinity: "x", Software: "v1"})
				So(lease.Endpoint().Software, ShouldEqual, "v1")
			}
			So(p.Pick(Query{Service: "s", Software: "v1"}), ShouldBeNil)
			So(p.Availability(Query{Service: "s", Software: "v1"}).Full, ShouldBeTrue)
			So(p.Pick(Query{Service: "s", Software: "v2", Tried: map[string]bool{"new": true}}), ShouldBeNil)
			So(p.Pick(Query{Service: "s", Software: "v3"}), ShouldBeNil)
			So(p.Pick(Query{Service: "s"}).Endpoint().ID, ShouldEqual, "new")
		})

		Convey("returns an endpoint whose version is not known to no query for a version", func() {
			p.Put(Endpoint{ID: "relayed", Service: "t", Zone: "a", Slots: 2})
			So(p.Pick(Query{Service: "t", Software: "v1"}), ShouldBeNil)
			So(p.Pick(Query{Service: "t"}), ShouldNotBeNil)
		})

		Convey("keeps a known version if a later record of the same process lacks it, and takes it from one that has it", func() {
			p.Put(Endpoint{ID: "new", Service: "s", Zone: "a", Slots: 2})
			p.Put(Endpoint{ID: "relayed", Service: "s", Zone: "a", Slots: 2})
			So(p.SoftwareSince("s", now), ShouldResemble, []string{"", "v1", "v2"})
			now = now.Add(time.Second)
			p.Put(Endpoint{ID: "relayed", Service: "s", Zone: "a", Slots: 2, Software: "v2"})
			So(p.SoftwareSince("s", now), ShouldResemble, []string{"", "v1", "v2"})
			now = now.Add(time.Second)
			So(p.SoftwareSince("s", now), ShouldResemble, []string{"v1", "v2"})
		})

		Convey("remembers since when a version has been gone", func() {
			p.Remove("new")
			removed := now
			now = now.Add(time.Minute)
			So(p.SoftwareSince("s", removed), ShouldResemble, []string{"v1", "v2"})
			So(p.SoftwareSince("s", removed.Add(time.Second)), ShouldResemble, []string{"v1"})
			So(p.FormerSoftware("s", "v2"), ShouldBeTrue)
			So(p.FormerSoftware("s", "v1"), ShouldBeFalse)
			So(p.FormerSoftware("s", "v3"), ShouldBeFalse)
			p.NoteSoftware("s", "v0", now)
			p.NoteSoftware("s", "v0", removed)
			So(p.SoftwareSince("s", now), ShouldResemble, []string{"v0", "v1"})
		})

		Convey("remembers a limited number of versions, and all that are listed", func() {
			for i := range 2 * maxSoftwareVersions {
				now = now.Add(time.Second)
				p.NoteSoftware("s", fmt.Sprintf("x%d", i), now)
			}
			So(len(p.SoftwareSince("s", time.Time{})), ShouldEqual, maxSoftwareVersions)
			So(p.SoftwareSince("s", now.Add(time.Second)), ShouldResemble, []string{"v1", "v2"})
		})
	})
}
