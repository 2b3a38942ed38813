package slowstart

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestShare(t *testing.T) {
	Convey("In a fleet of any size, the owners of a cold endpoint never exceed the bound in any second", t, func() {
		cases := []struct {
			warmup Warmup
			bounds Bounds
		}{
			{Warmup{Time: 3 * time.Second, PerSecond: 9.9}, Bounds{Overage: 1.5, Slack: 5}},
			{Warmup{Time: 3 * time.Second, PerSecond: 0.5}, Bounds{Overage: 1.5, Slack: 5}},
			{Warmup{Time: 3 * time.Second, PerSecond: 100}, Bounds{Overage: 1, Slack: 0}},
		}
		for _, c := range cases {
			for _, instances := range []int{1, 3, 6, 87, 380} {
				Convey(fmt.Sprintf("%v requests a second, %d instances", c.warmup.PerSecond, instances), func() {
					s := Plan(c.warmup, c.bounds, instances)
					bound := c.warmup.PerSecond*c.bounds.Overage + c.bounds.Slack
					So(worstSecond(s), ShouldBeLessThanOrEqualTo, bound)
					So(float64(s.Owners)*s.PerSecond, ShouldBeLessThanOrEqualTo, c.warmup.PerSecond)

					Convey("also if some more instances consider themselves owners", func() {
						s.Owners += s.Owners / 4
						So(worstSecond(s), ShouldBeLessThanOrEqualTo, bound)
					})
				})
			}
		}
	})
}

// worstSecond simulates owners that send as much as they may, and returns the most requests that arrive in one
// second.
func worstSecond(s Share) float64 {
	const step, second = 10 * time.Millisecond, time.Second
	buckets := make([]Bucket, s.Owners)
	start := time.Unix(1000, 0)
	var sent []time.Time
	worst := 0
	for at := start; at.Before(start.Add(4 * second)); at = at.Add(step) {
		for i := range buckets {
			if buckets[i].Has(at, s) {
				buckets[i].Take(at, s)
				sent = append(sent, at)
			}
		}
		for len(sent) > 0 && at.Sub(sent[0]) >= second {
			sent = sent[1:]
		}
		worst = max(worst, len(sent))
	}
	return float64(worst)
}
