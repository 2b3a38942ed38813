package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	Convey("A budget grants its limit to all accounts together, and takes back what they return", t, func() {
		b := NewBudget(100)
		first, second := b.Open(), b.Open()
		So(first.Grow(60), ShouldBeTrue)
		So(second.Grow(50), ShouldBeFalse)
		So(second.Grow(40), ShouldBeTrue)
		So(b.Held(), ShouldEqual, 100)
		first.Shrink(10)
		So(second.Grow(10), ShouldBeTrue)
		first.Close()
		first.Close()
		So(b.Held(), ShouldEqual, 50)
		second.Close()
		So(b.Held(), ShouldEqual, 0)
	})
	Convey("Without a limit, everything is granted", t, func() {
		a := NewBudget(0).Open()
		So(a.Grow(1<<40), ShouldBeTrue)
		a.Close()
		var none *Account
		So(none.Grow(1), ShouldBeTrue)
		none.Close()
	})
}

func TestRead(t *testing.T) {
	text := strings.Repeat("0123456789", 10_000)
	Convey("All data up to the limit is read, whatever size is expected", t, func() {
		for _, size := range []int64{-1, 0, 5, int64(len(text)), 1 << 30} {
			b := NewBudget(1 << 20)
			a := b.Open()
			data, complete, err := Read(iotest.HalfReader(strings.NewReader(text)), size, 1<<18, a)
			So(err, ShouldBeNil)
			So(complete, ShouldBeTrue)
			So(string(data) == text, ShouldBeTrue)
			So(b.Held(), ShouldEqual, int64(cap(data)))
			a.Close()
			So(b.Held(), ShouldEqual, 0)
		}
	})
	Convey("Data over the limit is incomplete", t, func() {
		data, complete, err := Read(strings.NewReader(text), -1, 50_000, nil)
		So(err, ShouldBeNil)
		So(complete, ShouldBeFalse)
		So(len(data), ShouldEqual, 50_000)
	})
	Convey("What was read before the memory ended, or before an error, is returned", t, func() {
		data, complete, err := Read(strings.NewReader(text), int64(len(text)), 1<<18, NewBudget(60<<10).Open())
		So(errors.Is(err, ErrExceeded), ShouldBeTrue)
		So(complete, ShouldBeFalse)
		So(strings.HasPrefix(text, string(data)), ShouldBeTrue)
		So(len(data), ShouldBeGreaterThan, 0)
		broken := io.MultiReader(bytes.NewReader([]byte("abc")), iotest.ErrReader(io.ErrUnexpectedEOF))
		data, _, err = Read(broken, -1, 1<<18, nil)
		So(err, ShouldEqual, io.ErrUnexpectedEOF)
		So(string(data), ShouldEqual, "abc")
	})
}
