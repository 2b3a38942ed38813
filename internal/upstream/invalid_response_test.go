package upstream

import (
	"bufio"
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// fetchRaw sends a request to an endpoint that responds with raw bytes and closes the connection, and returns the body.
func fetchRaw(t *testing.T, raw string) (string, error) {
	p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) { respond(conn, r, raw) })
	defer func() { _ = p.l.Close() }()
	c := New()
	defer func() { _ = c.Close() }()
	return fetch(c, p.addr(), newRequest())
}

// Guards against a response without a valid status that counts as an interim one, so that what follows it is served.
func TestInvalidStatusServesNextResponse(t *testing.T) {
	Convey("A response with a status under 100, or that switches the protocol, is no response, whatever follows it", t, func() {
		for _, status := range []string{"000", "001", "099", "101"} {
			for _, rest := range []string{"\r\n" + okResponse, "Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n" + okResponse, "\r\n"} {
				body, err := fetchRaw(t, "HTTP/1.1 "+status+" Unknown\r\n"+rest)
				SoMsg(status+" "+rest+" "+body, err, ShouldNotBeNil)
				So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			}
		}
	})
	Convey("A response after interim ones is served", t, func() {
		body, err := fetchRaw(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"+okResponse)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}
