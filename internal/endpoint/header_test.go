package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/rawtest"
)

// rawEndpoint serves each connection with a function after it has read a request.
func rawEndpoint(t *testing.T, respond func(c net.Conn)) (url string) {
	return "http://" + rawtest.Listen(t, func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		respond(c)
	})
}

// dispatch and invoke send a request to an engine and to a plain service, and return how it ended.
func dispatch(d *Driver, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := d.Dispatch(ctx, Call{URL: url, Run: "run", Body: []byte("{}")})
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	_, err = s.Next()
	return err
}

func invoke(d *Driver, url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := d.Invoke(ctx, PlainCall{URL: url, Method: http.MethodPost, Run: "run", Body: []byte("b")})
	return err
}

var sends = map[string]func(d *Driver, url string) error{"engine": dispatch, "plain service": invoke}

// Guards against an endpoint's header that never ends and is held in memory.
func TestHeaderWithoutEndFillsMemory(t *testing.T) {
	const maxSent = 4 << 20 // buffers of the kernel included
	for name, send := range sends {
		Convey("The header of an "+name+" that does not end is not read on", t, func() {
			for _, line := range []string{"X-Long: " + strings.Repeat("x", 1000) + "\r\n", strings.Repeat("x", 1000), "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				sent := make(chan int, 1)
				url := rawEndpoint(t, func(c net.Conn) {
					_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n")
					n := 0
					for {
						w, err := io.WriteString(c, line)
						n += w
						if err != nil {
							sent <- n
							return
						}
					}
				})
				d := NewDriver()
				So(send(d, url), ShouldNotBeNil)
				So(<-sent, ShouldBeLessThan, maxSent)
				d.Close()
			}
		})
	}
}

// Guards against a header that breaks off and is passed on as a success.
func TestCutHeaderIsNoSuccess(t *testing.T) {
	for name, send := range sends {
		Convey("The header of an "+name+" that is cut at any byte is no success", t, func() {
			for _, header := range []string{
				"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
			} {
				for n := range len(header) {
					url := rawEndpoint(t, func(c net.Conn) { _, _ = io.WriteString(c, header[:n]) })
					d := NewDriver()
					SoMsg(fmt.Sprintf("%q", header[:n]), send(d, url), ShouldNotBeNil)
					d.Close()
				}
			}
		})
	}
}
