package httplist

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/rawtest"
)

// Guards against bytes that are no response and count as a list without instances.
func TestInvalidResponseCounts(t *testing.T) {
	const empty = "Content-Length: 2\r\n\r\n[]"
	for _, raw := range []string{
		"HTTP/1.1 000 Unknown\r\n" + empty, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + empty, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n[]",
	} {
		Convey(fmt.Sprintf("It is no list: %q", raw), t, func() {
			_, err := New("http://"+rawtest.Listen(t, rawtest.Respond(raw)), nil).Instances(context.Background())
			So(err, ShouldNotBeNil)
		})
	}
}
