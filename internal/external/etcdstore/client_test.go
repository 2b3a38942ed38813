package etcdstore

import (
	"context"
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/rawtest"
)

// Guards against bytes that are no response of the store and count as one: an empty list, or a write that was not done.
func TestInvalidResponseCounts(t *testing.T) {
	const empty = "Content-Length: 2\r\n\r\n{}"
	for _, raw := range []string{
		"HTTP/1.1 000 Unknown\r\n" + empty, "HTTP/1.1 101 Switching Protocols\r\n" + empty, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + empty,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", "HTTP/1.1 429 Too Many Requests\r\nX Odd: 1\r\n" + empty,
	} {
		Convey(fmt.Sprintf("No call succeeds, and a write may have been done: %q", raw), t, func() {
			c, ctx := New("http://"+rawtest.Listen(t, rawtest.Respond(raw))), context.Background()
			_, err := c.List(ctx, "x/")
			So(errors.Is(err, external.ErrUnavailable), ShouldBeTrue)
			_, err = c.Put(ctx, "x/a", []byte("v"), 0, 0)
			So(errors.Is(err, external.ErrAmbiguous), ShouldBeTrue)
		})
	}
}
