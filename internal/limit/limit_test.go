package limit

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestOf(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   Rate
	}{
		{"a whole number", []string{"4"}, PerSecond(4)},
		{"a decimal number", []string{"1.3"}, PerSecond(1.3)},
		{"blanks around it", []string{"  2.5 "}, PerSecond(2.5)},
		{"nothing at all", []string{"0"}, PerSecond(0)},
		{"next to nothing", []string{"0.0001"}, PerSecond(0.0001)},
		{"more than anybody sends", []string{"1e300"}, PerSecond(most)},
		{"twice: the lowest", []string{"3", "1.5", "2"}, PerSecond(1.5)},
		{"twice, one of which is no number", []string{"soon", "3"}, PerSecond(3)},
		{"none", nil, Rate{}},
		{"an empty text", []string{""}, Rate{}},
		{"below zero", []string{"-3"}, Rate{}},
		{"not a number", []string{"NaN"}, Rate{}},
		{"infinite", []string{"Inf"}, Rate{}},
		{"below zero without end", []string{"-Inf"}, Rate{}},
		{"more than a number holds", []string{"1e400"}, Rate{}},
		{"a word", []string{"soon"}, Rate{}},
		{"a unit", []string{"3/s"}, Rate{}},
		{"a decimal comma", []string{"1,3"}, Rate{}},
	} {
		Convey("A head that names "+c.name, t, func() { So(FromHeader(c.values), ShouldResemble, c.want) })
	}
}

// FuzzOf looks for values that are taken for rates that cannot be.
func FuzzOf(f *testing.F) {
	for _, s := range []string{"1.3", "-1", "1e400", "NaN", "0x1p-2", "1_0", "+0"} {
		f.Add(s, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		r := FromHeader([]string{a, b})
		if x := r.PerSecond(); !(x >= 0 && x <= most) || (!r.IsSet() && x != 0) || math.Signbit(x) {
			t.Fatalf("%q and %q name %v requests a second", a, b, x)
		}
	})
}

func TestKnown(t *testing.T) {
	begun := time.Unix(1000, 0)
	at := func(s float64) time.Time { return begun.Add(time.Duration(s * float64(time.Second))) }
	two, five := PerSecond(2), PerSecond(5)
	Convey("A limit that an answer named", t, func() {
		var k State
		k.Observe(two, at(0), at(1))
		So(k.Rate(at(2)), ShouldResemble, two)

		Convey("is not lifted by an answer whose request was sent before, and is by a later one", func() {
			k.Observe(Rate{}, at(0.9), at(3))
			So(k.Active(at(3)), ShouldBeTrue)
			k.Observe(Rate{}, at(1.1), at(3))
			So(k.Active(at(3)), ShouldBeFalse)

			Convey("and then holds again when it is named again", func() {
				k.Observe(five, at(1.2), at(4))
				So(k.Rate(at(4)), ShouldResemble, five)
			})
			Convey("and does not come back from another instance that was told before", func() {
				k.Merge(NewState(two, at(1.05), time.Time{}))
				So(k.Active(at(3)), ShouldBeFalse)
			})
		})
		Convey("changes with a later answer; of two that were under way at once the lower rate holds", func() {
			k.Observe(five, at(0.5), at(1.5))
			So(k.Rate(at(2)), ShouldResemble, two)
			k.Observe(five, at(1.6), at(2))
			So(k.Rate(at(2)), ShouldResemble, five)
			k.Observe(two, at(1.7), at(2.1))
			So(k.Rate(at(3)), ShouldResemble, two)
		})
		Convey("is forgotten some time after it was last named", func() {
			So(k.Active(at(1).Add(life-time.Second)), ShouldBeTrue)
			So(k.Active(at(1).Add(life)), ShouldBeFalse)
			So(k.Expired(at(1).Add(life)), ShouldBeTrue)
		})
	})
}

// What instances tell each other comes doubled, late and in any order, and all come to the same.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moment := func(t *rapid.T) time.Time { return time.Unix(int64(rapid.IntRange(0, 20).Draw(t, "s")), 0) }
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) State {
			named := moment(t)
			return NewState(PerSecond(float64(named.Unix())), named, moment(t)) // one rate at a time
		}), 1, 8).Draw(t, "words")
		var a, b State
		for _, w := range words {
			a.Merge(w)
		}
		for _, i := range rapid.Permutation(append(indexes(words), indexes(words)...)).Draw(t, "order") {
			b.Merge(words[i])
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
	// send counts the requests that may be sent in some time.
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
	Convey("An instance that is lent a rate", t, func() {
		now = time.Unix(1000, 0)
		var b Bucket
		So(b.Has(r, now), ShouldBeFalse)
		b.Set(NewLease(r, 4, now.Add(10*time.Second)), r, now)

		Convey("may send nothing at once, and then at that rate", func() {
			So(b.Has(r, now), ShouldBeFalse)
			So(send(&b, 5*time.Second), ShouldBeBetween, 18, 21)
		})
		Convey("may send what was counted and did not leave", func() {
			now = now.Add(time.Second)
			So(b.Has(r, now), ShouldBeTrue)
			b.Take(now)
			So(b.Has(r, now), ShouldBeFalse)
			b.Return()
			So(b.Has(r, now), ShouldBeTrue)
		})
		Convey("sends less at once where the endpoint names less", func() {
			r = PerSecond(2)
			defer func() { r = PerSecond(4) }()
			So(send(&b, 5*time.Second), ShouldBeBetween, 8, 11)
		})
		Convey("sends no more than was lent where the endpoint names more", func() {
			r = PerSecond(40)
			defer func() { r = PerSecond(4) }()
			So(send(&b, 5*time.Second), ShouldBeBetween, 18, 21)
		})
		Convey("may send nothing once that is over, and begins with nothing when it is lent one again", func() {
			now = now.Add(10 * time.Second)
			So(send(&b, time.Second), ShouldEqual, 0)
			b.Set(NewLease(r, 4, now.Add(time.Second)), r, now)
			So(b.Has(r, now), ShouldBeFalse)
		})
	})
}
