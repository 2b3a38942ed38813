package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/httpcheck"
)

// writeForever writes text without end, a few bytes at a time, until the connection is closed.
func writeForever(c net.Conn, text string) {
	for {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHeaderLimits(t *testing.T) {
	Convey("A header that violates a limit ends the exchange, and its connection is closed", t, func() {
		for _, c := range []struct {
			raw   string // before bytes without end
			fault ProtocolFault
		}{
			{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes), FaultHeaderSize},
			{strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", httpcheck.MaxInterim+1), FaultInterim},
			{"HTTP/1.1 200 OK\r\nX: ", FaultHeaderTime},
			{"x", FaultStatusLine},
			{"HTTP/2 200", FaultStatusLine},
		} {
			closed := make(chan struct{})
			p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				defer close(closed)
				if respond(conn, r, c.raw) {
					writeForever(conn, "x")
				}
			})
			client := New()
			req := newRequest()
			req.HeaderTimeout = 50 * time.Millisecond
			_, err := fetch(client, p.addr(), req)
			SoMsg(c.raw[:1], ProtocolFaultOf(err), ShouldEqual, c.fault)
			So(errors.Is(err, ErrNotSent), ShouldBeFalse)
			<-closed
			_ = client.Close()
			_ = p.l.Close()
		}
	})
	Convey("Each interim response gives the rest of the header its own time", t, func() {
		p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for range 3 {
				respond(conn, r, "HTTP/1.1 103 Early Hints\r\n\r\n")
				time.Sleep(60 * time.Millisecond)
				_, _ = io.WriteString(conn, okResponse)
			}
		})
		defer func() { _ = p.l.Close() }()
		client := New()
		defer func() { _ = client.Close() }()
		for range 3 {
			req := newRequest()
			req.HeaderTimeout = 50 * time.Millisecond
			body, err := fetch(client, p.addr(), req)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
	})
}

// Guards against requests that are sent on a connection on which the endpoint still writes bytes of no response.
func TestSurplusLosesRequests(t *testing.T) {
	const requests = 8
	Convey("After surplus data, each connection to the endpoint is used once, for a while", t, func() {
		now := time.Now()
		client := New(WithNow(func() time.Time { return now }))
		defer func() { _ = client.Close() }()
		var surplus atomic.Bool
		surplus.Store(true)
		p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			for respond(conn, r, okResponse) {
				if surplus.Load() {
					time.Sleep(20 * time.Millisecond) // the connection is reused meanwhile
					writeForever(conn, "x")
				}
			}
		})
		defer func() { _ = p.l.Close() }()
		lost := 0
		for range requests {
			body, err := fetch(client, p.addr(), newRequest())
			if err != nil {
				So(ProtocolFaultOf(err), ShouldEqual, FaultStatusLine)
				lost++
				continue
			}
			So(body, ShouldEqual, "ok")
		}
		So(lost, ShouldBeLessThanOrEqualTo, 1)
		So(p.conns.Load(), ShouldEqual, requests-lost)
		surplus.Store(false)
		now = now.Add(noReuseTime)
		for range 4 {
			_, err := fetch(client, p.addr(), newRequest())
			So(err, ShouldBeNil)
		}
		So(p.conns.Load(), ShouldEqual, requests-lost+1)
	})
}
