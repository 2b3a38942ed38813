package formattest

import (
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"
)

// Versions of one message, as successive builds declare it.
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

func countFaults[T any](c Codec[T], generation int) int {
	faults, err := compare("message", c, generation)
	So(err, ShouldBeNil)
	return len(faults)
}

func TestCompare(t *testing.T) {
	Convey("Given the file that the first build has written", t, func() {
		t.Chdir(t.TempDir())
		*addFiles = true
		So(countFaults(CBOR[first](), 1), ShouldEqual, 0)
		*addFiles = false
		So(countFaults(CBOR[first](), 1), ShouldEqual, 0)
		So(countFaults(CBOR[first](), 4), ShouldEqual, 0)

		Convey("an added field is a fault until a file is added for it, which leaves the first file unchanged", func() {
			before, err := os.ReadFile(path("message", 1))
			So(err, ShouldBeNil)
			So(countFaults(CBOR[grown](), 1), ShouldEqual, 1) // a file of this generation exists already
			So(countFaults(CBOR[grown](), 3), ShouldEqual, 1)
			*addFiles = true
			So(countFaults(CBOR[grown](), 1), ShouldEqual, 1)
			So(countFaults(CBOR[grown](), 3), ShouldEqual, 0)
			*addFiles = false
			So(countFaults(CBOR[grown](), 3), ShouldEqual, 0)
			after, err := os.ReadFile(path("message", 1))
			So(err, ShouldBeNil)
			So(after, ShouldResemble, before)

			Convey("and a build that returns to the first version loses the field", func() {
				So(countFaults(CBOR[first](), 3), ShouldEqual, 2)
			})
		})

		Convey("a dropped field, a renumbered field and an added field of a struct encoded as an array are faults, even if files are added", func() {
			*addFiles = true
			defer func() { *addFiles = false }()
			So(countFaults(CBOR[dropped](), 2), ShouldEqual, 1)
			So(countFaults(CBOR[renumbered](), 2), ShouldBeGreaterThan, 0)
			So(countFaults(CBOR[longer](), 2), ShouldBeGreaterThan, 0)
		})

		Convey("a codec that loses a field is a fault", func() {
			lossy := CBOR[first]()
			lossy.Decode = func(b []byte) (first, error) {
				var v first
				err := cbor.Unmarshal(b, &v)
				v.Rows = nil
				return v, err
			}
			So(countFaults(lossy, 1), ShouldEqual, 1)
		})
	})
}
