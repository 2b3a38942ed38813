package httplist

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against bytes that are no response and count as a list without instances.
func TestInvalidResponseCounts(t *testing.T) {
	const empty = "Content-Length: 2\r\n\r\n[]"
	for _, raw := range []string{
		"HTTP/1.1 000 Unknown\r\n" + empty, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + empty, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n[]",
	} {
		Convey(fmt.Sprintf("It is no list: %q", raw), t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, raw)
				}
			}()
			_, err = New("http://"+l.Addr().String(), nil).Instances(context.Background())
			So(err, ShouldNotBeNil)
		})
	}
}
