package boottime

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClock(t *testing.T) {
	Convey("A clock that includes the time in which the machine was suspended", t, func() {
		var steady, suspended time.Duration
		var readErr error
		const boot = time.Hour
		c := New(func(c *Clock) { c.steady = func() time.Duration { return steady } },
			WithRead(func() (time.Duration, error) { return boot + steady + suspended, readErr }))
		var reported []time.Duration
		c.OnResume(func(d time.Duration) { reported = append(reported, d) })
		start := c.Now()

		Convey("follows the steady clock and reports nothing", func() {
			steady = 3 * time.Second
			c.Check()
			So(c.Now().Sub(start), ShouldEqual, 3*time.Second)
			So(reported, ShouldBeEmpty)
		})

		Convey("adds a suspension at the next check, and reports it once", func() {
			steady, suspended = time.Second, 8*time.Second
			So(c.Now().Sub(start), ShouldEqual, time.Second)
			c.Check()
			c.Check()
			So(c.Now().Sub(start), ShouldEqual, 9*time.Second)
			So(reported, ShouldResemble, []time.Duration{8 * time.Second})
			suspended += 2 * time.Second
			c.Check()
			So(c.Now().Sub(start), ShouldEqual, 11*time.Second)
			So(len(reported), ShouldEqual, 2)
		})

		Convey("never steps back, and follows the steady clock if the boot time cannot be read", func() {
			suspended = -5 * time.Second
			c.Check()
			So(c.Now(), ShouldEqual, start)
			readErr, suspended = errors.New("not there"), 8*time.Second
			c.Check()
			So(c.Now(), ShouldEqual, start)
		})
	})

	Convey("The machine's own clock agrees with its steady clock", t, func() {
		c := New()
		before := c.Now()
		time.Sleep(20 * time.Millisecond)
		c.Check()
		So(c.Now().Sub(before), ShouldBeGreaterThanOrEqualTo, 20*time.Millisecond)
	})
}

// BenchmarkNow measures the time without a new reading: 50 ns. BenchmarkCheck measures a new reading, one of which each
// caller's request makes: 290 ns.
func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkCheck(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Check()
	}
}
