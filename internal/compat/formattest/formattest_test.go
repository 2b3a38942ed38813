package formattest

import (
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// One message as builds write it one after the other.
type (
	first struct {
		Granted int64            `cbor:"1,keyasint"`
		Lines   []line           `cbor:"2,keyasint,omitempty"`
		Rows    map[string]int64 `cbor:"3,keyasint,omitempty"`
	}
	line struct {
		_    struct{} `cbor:",toarray"`
		Open int
	}
	grown struct {
		Granted int64            `cbor:"1,keyasint"`
		Lines   []line           `cbor:"2,keyasint,omitempty"`
		Rows    map[string]int64 `cbor:"3,keyasint,omitempty"`
		Lent    int64            `cbor:"4,keyasint,omitempty"`
	}
	dropped struct {
		Granted int64  `cbor:"1,keyasint"`
		Lines   []line `cbor:"2,keyasint,omitempty"`
	}
	renumbered struct {
		Granted int64            `cbor:"3,keyasint"`
		Lines   []line           `cbor:"2,keyasint,omitempty"`
		Rows    map[string]int64 `cbor:"1,keyasint,omitempty"`
	}
	longer struct {
		Granted int64            `cbor:"1,keyasint"`
		Lines   []longLine       `cbor:"2,keyasint,omitempty"`
		Rows    map[string]int64 `cbor:"3,keyasint,omitempty"`
	}
	longLine struct {
		_      struct{} `cbor:",toarray"`
		Open   int
		Silent int
	}
)

func faultsOf[T any](c Codec[T], generation int) int {
	faults, err := compare("message", c, generation)
	So(err, ShouldBeNil)
	return len(faults)
}

func TestCompare(t *testing.T) {
	Convey("With the file that a build has written", t, func() {
		t.Chdir(t.TempDir())
		*add = true
		So(faultsOf(CBOR[first](), 1), ShouldEqual, 0)
		*add = false
		So(faultsOf(CBOR[first](), 1), ShouldEqual, 0)
		So(faultsOf(CBOR[first](), 4), ShouldEqual, 0)

		Convey("a field more is a change that wants a file, and no fault then; the first file stays", func() {
			before, err := os.ReadFile(path("message", 1))
			So(err, ShouldBeNil)
			So(faultsOf(CBOR[grown](), 1), ShouldEqual, 1) // of the same generation
			So(faultsOf(CBOR[grown](), 3), ShouldEqual, 1)
			*add = true
			So(faultsOf(CBOR[grown](), 1), ShouldEqual, 1)
			So(faultsOf(CBOR[grown](), 3), ShouldEqual, 0)
			*add = false
			So(faultsOf(CBOR[grown](), 3), ShouldEqual, 0)
			after, err := os.ReadFile(path("message", 1))
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)

			Convey("and a build that goes back to the first loses the field", func() {
				So(faultsOf(CBOR[first](), 3), ShouldEqual, 2)
			})
		})

		Convey("a field that is dropped, one that has another number, and one more of a list by position are faults, whatever file is added", func() {
			*add = true
			defer func() { *add = false }()
			So(faultsOf(CBOR[dropped](), 2), ShouldEqual, 1)
			So(faultsOf(CBOR[renumbered](), 2), ShouldBeGreaterThan, 0)
			So(faultsOf(CBOR[longer](), 2), ShouldBeGreaterThan, 0)
		})

		Convey("a codec that forgets something as it writes back is a fault", func() {
			forgets := CBOR[first]()
			forgets.Decode = func(b []byte) (first, error) {
				var v first
				err := cbor.Unmarshal(b, &v)
				v.Rows = nil
				return v, err
			}
			So(faultsOf(forgets, 1), ShouldEqual, 1)
		})
	})
}
