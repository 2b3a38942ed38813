package limit

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestFromHeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Rate
	}{
		{"a whole number", []string{"4"}, PerSecond(4)},
		{"a decimal number", []string{"1.3"}, PerSecond(1.3)},
		{"surrounding blanks", []string{"  2.5 "}, PerSecond(2.5)},
		{"zero", []string{"0"}, PerSecond(0)},
		{"a tiny rate", []string{"0.0001"}, PerSecond(0.0001)},
		{"more than the highest rate", []string{"1e300"}, PerSecond(maxRate)},
		{"several values: the lowest", []string{"3", "1.5", "2"}, PerSecond(1.5)},
		{"several values, one not numeric", []string{"soon", "3"}, PerSecond(3)},
		{"no value", nil, Rate{}},
		{"an empty value", []string{""}, Rate{}},
		{"a negative number", []string{"-3"}, Rate{}},
		{"not a number", []string{"NaN"}, Rate{}},
		{"infinity", []string{"Inf"}, Rate{}},
		{"negative infinity", []string{"-Inf"}, Rate{}},
		{"a number out of range", []string{"1e400"}, Rate{}},
		{"a word", []string{"soon"}, Rate{}},
		{"a number with a unit", []string{"3/s"}, Rate{}},
		{"a decimal comma", []string{"1,3"}, Rate{}},
	} {
		Convey("A header with "+c.name, t, func() { So(FromHeader(c.values), ShouldResemble, c.want) })
	}
}

// FuzzFromHeader looks for values that parse to an invalid rate.
func FuzzFromHeader(f *testing.F) {
	for _, s := range []string{"1.3", "-1", "1e400", "NaN", "0x1p-2", "1_0", "+0"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		r := FromHeader([]string{a, b})
		if x := r.PerSecond(); !(x >= 0 && x <= maxRate) || (!r.IsSet() && x != 0) || math.Signbit(x) {
			t.Fatalf("%q and %q parse to %v requests per second", a, b, x)
		}
	})
}

func TestState(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	two, five := PerSecond(2), PerSecond(5)
	Convey("A limit that a response has announced", t, func() {
		var s State
		s.Observe(two, at(0), at(1))
		So(s.Rate(at(2)), ShouldResemble, two)

		Convey("is lifted only by a response whose request was sent after the announcement", func() {
			s.Observe(Rate{}, at(0.9), at(3))
			So(s.Active(at(3)), ShouldBeTrue)
			s.Observe(Rate{}, at(1.1), at(3))
			So(s.Active(at(3)), ShouldBeFalse)

			Convey("and is in force again when it is announced again", func() {
				s.Observe(five, at(1.2), at(4))
				So(s.Rate(at(4)), ShouldResemble, five)
			})
			Convey("and is not restored by an earlier report of another instance", func() {
				s.Merge(NewState(two, at(1.05), time.Time{}))
				So(s.Active(at(3)), ShouldBeFalse)
			})
		})
		Convey("changes with a later response; the lower rate of two concurrent ones counts", func() {
			s.Observe(five, at(0.5), at(1.5))
			So(s.Rate(at(2)), ShouldResemble, two)
			s.Observe(five, at(1.6), at(2))
			So(s.Rate(at(2)), ShouldResemble, five)
			s.Observe(two, at(1.7), at(2.1))
			So(s.Rate(at(3)), ShouldResemble, two)
		})
		Convey("expires some time after it was last announced", func() {
			So(s.Active(at(1).Add(lifetime-time.Second)), ShouldBeTrue)
			So(s.Active(at(1).Add(lifetime)), ShouldBeFalse)
			So(s.Expired(at(1).Add(lifetime)), ShouldBeTrue)
		})
	})
}

// TestMerge checks that all instances reach the same state, although reports of other instances arrive twice, late and
// in any order.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moment := func(t *rapid.T) time.Time { return time.Unix(int64(rapid.IntRange(0, 20).Draw(t, "s")), 0) }
		states := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) State {
			announcedAt := moment(t)
			return NewState(PerSecond(float64(announcedAt.Unix())), announcedAt, moment(t)) // one rate at a time
		}), 1, 8).Draw(t, "words")
		var a, b State
		for _, s := range states {
			a.Merge(s)
		}
		for _, i := range rapid.Permutation(append(indexes(states), indexes(states)...)).Draw(t, "order") {
			b.Merge(states[i])
		}
		if a != b {
			t.Fatalf("%v in one order, %v in another", a, b)
		}
	})
}

func indexes[T any](list []T) []int {
	out := make([]int, len(list))
	for i := range list {
		out[i] = i
	}
	return out
}

func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	r := PerSecond(4)
	// send counts the requests that may be sent within a duration.
	send := func(b *Bucket, d time.Duration) int {
		n := 0
		for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
			if b.Has(r, now) {
				b.Take(now)
				n++
			}
		}
		return n
	}
	Convey("An instance with a lease", t, func() {
		now = time.Unix(1000, 0)
		var b Bucket
		So(b.Has(r, now), ShouldBeFalse)
		b.Set(NewLease(r, 4, now.Add(10*time.Second)), r, now)

		Convey("may send nothing at first, and then at that rate", func() {
			So(b.Has(r, now), ShouldBeFalse)
			So(send(&b, 5*time.Second), ShouldBeBetween, 18, 21)
		})
		Convey("may send a request that was counted but not sent", func() {
			now = now.Add(time.Second)
			So(b.Has(r, now), ShouldBeTrue)
			b.Take(now)
			So(b.Has(r, now), ShouldBeFalse)
			b.Return()
			So(b.Has(r, now), ShouldBeTrue)
		})
		Convey("sends less immediately if the endpoint lowers its limit", func() {
			r = PerSecond(2)
			defer func() { r = PerSecond(4) }()
			So(send(&b, 5*time.Second), ShouldBeBetween, 8, 11)
		})
		Convey("sends no more than was granted if the endpoint raises its limit", func() {
			r = PerSecond(40)
			defer func() { r = PerSecond(4) }()
			So(send(&b, 5*time.Second), ShouldBeBetween, 18, 21)
		})
		Convey("may send nothing after the lease has expired, and starts empty with the next one", func() {
			now = now.Add(10 * time.Second)
			So(send(&b, time.Second), ShouldEqual, 0)
			b.Set(NewLease(r, 4, now.Add(time.Second)), r, now)
			So(b.Has(r, now), ShouldBeFalse)
		})
	})
}
