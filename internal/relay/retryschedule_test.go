package relay

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRetrySchedule(t *testing.T) {
	Convey("Callers that are rejected because of rate limits", t, func() {
		now := time.Unix(1000, 0)
		var schedule retrySchedule

		Convey("retry one after the other, at the rate of the endpoints", func() {
			for i := range 20 {
				So(schedule.next("s", 2, now), ShouldEqual, time.Duration(i+1)*500*time.Millisecond)
			}
		})
		Convey("wait for 10 s at most, and occupy no later slots", func() {
			for range 1000 {
				So(schedule.next("s", 2, now), ShouldBeLessThanOrEqualTo, maxRetryDelay)
			}
			now = now.Add(5 * time.Second)
			So(schedule.next("s", 2, now), ShouldEqual, 5500*time.Millisecond)
		})
		Convey("get no slots in the past, and each service has its own slots", func() {
			schedule.next("s", 2, now)
			now = now.Add(time.Minute)
			So(schedule.next("s", 2, now), ShouldEqual, 500*time.Millisecond)
			So(schedule.next("other", 4, now), ShouldEqual, 250*time.Millisecond)
		})
		Convey("get the maximum delay if this instance may currently send nothing", func() {
			So(schedule.next("s", 0, now), ShouldEqual, maxRetryDelay)
		})
	})
}
