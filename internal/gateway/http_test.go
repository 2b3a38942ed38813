package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Guards against bodies of many callers that together exceed the memory of the process.
func TestBodiesOfManyCallersFillMemory(t *testing.T) {
	const size = 100 << 10
	Convey("A body that exceeds the memory of open requests is rejected as not run, until others have ended", t, func() {
		b := memory.NewBudget(4 * size)
		read := func(account *memory.Account) error {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", size)))
			_, err := readBody(r, 2*size, account)
			return err
		}
		first, second, third := b.Open(), b.Open(), b.Open()
		So(read(first), ShouldBeNil)
		So(read(second), ShouldBeNil)
		err := read(third)
		So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		So(verdict.From(err).Code(), ShouldEqual, verdict.CodeOverloaded)
		So(verdict.From(err).RetryAfter(), ShouldBeGreaterThan, 0)
		third.Close()
		first.Close()
		So(read(third), ShouldBeNil)
	})
	Convey("A body over the limit is too large", t, func() {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("b", size)))
		_, err := readBody(r, size-1, nil)
		So(verdict.From(err).Code(), ShouldEqual, verdict.CodeTooLarge)
	})
}
