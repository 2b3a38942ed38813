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

// invalidNames are lines of a header whose names are invalid.
var invalidNames = []string{
	"X Odd: 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X-Odd : 1", " X-Odd: 1", "X\tOdd: 1", "X-Odd\t: 1", "X\x00Odd: 1", "X\x01: 1", "X\x7f: 1",
	"X\xe9: 1", "X\rOdd: 1", "X(Odd): 1", ": 1",
}

// Guards against a response whose header has a field with an invalid name, which is served with a body of another length, or
// as a rejection of a request that has run.
func TestInvalidFieldNameIsServed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	Convey("A response is none if a name in its header, an interim response or a trailer is invalid", t, func() {
		for _, line := range invalidNames {
			for _, raw := range []string{
				"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok",
				"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\n\r\nok and more",
				"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
				"HTTP/1.1 503 Service Unavailable\r\nX-First: 1\r\n" + line + "\r\nContent-Length: 2\r\n\r\nno",
				"HTTP/1.1 103 Early Hints\r\nX-First: 1\r\n" + line + "\r\n\r\n" + okResponse,
				chunked + "X-First: 1\r\n" + line + "\r\n\r\n",
			} {
				if line[0] == ' ' && raw[len("HTTP/1.1 200 OK\r\n")] != ' ' {
					continue // continues the value of the first line
				}
				body, err := fetchRaw(t, raw)
				SoMsg(raw+" "+body, err, ShouldNotBeNil)
				SoMsg(raw, ProtocolFaultOf(err), ShouldEqual, FaultField)
			}
		}
	})
	Convey("A response with valid names is served", t, func() {
		for _, raw := range []string{
			"HTTP/1.1 200 OK\r\nx_odd!#$%&'*+-.^`|~: 1\r\nContent-Length: 2\r\n\r\nok",
			"HTTP/1.1 103 Early Hints\r\nX-Odd:\r\n\r\n" + okResponse,
			chunked + "X-Trailer: 1\r\n\r\n",
		} {
			body, err := fetchRaw(t, raw)
			SoMsg(raw, err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
	})
}
