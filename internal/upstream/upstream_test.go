package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"
)

// fakeEndpoint is an endpoint whose connections are served by a function that the test provides.
type fakeEndpoint struct {
	l     net.Listener
	conns atomic.Int32
}

// newFakeEndpoint listens on a local port and serves each connection with serve. n counts the connections from 1.
func newFakeEndpoint(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &fakeEndpoint{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(p.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

func (p *fakeEndpoint) addr() string { return p.l.Addr().String() }

// respond reads one request and responds with raw bytes.
func respond(c net.Conn, r *bufio.Reader, raw string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, raw)
	return err == nil
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newRequest() *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b")}
}

// fetch sends a request and returns the body of the response.
func fetch(c *Client, addr string, req *Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	res, err := c.Do(ctx, addr, req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

func TestExchange(t *testing.T) {
	Convey("A client", t, func() {
		c := New()
		defer func() { _ = c.Close() }()

		Convey("reuses a connection after a complete response", func() {
			p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for respond(conn, r, okResponse) {
				}
			})
			defer func() { _ = p.l.Close() }()
			for range 3 {
				body, err := fetch(c, p.addr(), newRequest())
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "ok")
			}
			So(p.conns.Load(), ShouldEqual, 1)
		})

		Convey("drops a connection on which surplus data arrives, at once or later", func() {
			for _, later := range []bool{false, true} {
				p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					surplus := okResponse
					if !later {
						respond(conn, r, okResponse+surplus)
					} else if respond(conn, r, okResponse) {
						_, _ = io.WriteString(conn, surplus)
					}
					_, _ = r.ReadByte()
				})
				_, err := fetch(c, p.addr(), newRequest())
				So(err, ShouldBeNil)
				time.Sleep(50 * time.Millisecond)
				_, err = fetch(c, p.addr(), newRequest())
				So(err, ShouldBeNil)
				So(p.conns.Load(), ShouldEqual, 2)
				_ = p.l.Close()
			}
		})

		Convey("never retries on its own, whatever the method", func() {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				var received atomic.Int32
				p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					respond(conn, r, okResponse)
					if _, err := http.ReadRequest(r); err == nil {
						received.Add(1)
					}
				})
				req := newRequest()
				req.Method, req.Body = method, nil
				_, err := fetch(c, p.addr(), req)
				So(err, ShouldBeNil)
				_, err = fetch(c, p.addr(), req)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, ErrNotSent), ShouldBeFalse)
				So(received.Load(), ShouldEqual, 1)
				So(p.conns.Load(), ShouldEqual, 1)
				_ = p.l.Close()
			}
		})

		Convey("returns ErrNotSent if no connection can be established", func() {
			_, err := fetch(c, "127.0.0.1:1", newRequest())
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})

		Convey("accepts a response that arrives before a long body is read, and does not reuse the connection", func() {
			p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = r.ReadString('\n')
				_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(200 * time.Millisecond)
			})
			defer func() { _ = p.l.Close() }()
			req := newRequest()
			req.Body = []byte(strings.Repeat("x", 8<<20))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			res, err := c.Do(ctx, p.addr(), req)
			So(err, ShouldBeNil)
			So(res.Status, ShouldEqual, http.StatusRequestEntityTooLarge)
			_, _ = io.ReadAll(res.Body)
			_ = res.Body.Close()
			So(c.pop(p.addr()), ShouldBeNil)
		})

		Convey("rejects truncated, ambiguous and malformed responses", func() {
			for _, raw := range []string{
				"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
				"\x00\x01garbage\r\n\r\n",
			} {
				p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) { respond(conn, r, raw) })
				_, err := fetch(c, p.addr(), newRequest())
				So(err, ShouldNotBeNil)
				_ = p.l.Close()
			}
		})

		Convey("ends an exchange with its context, and closes the connection", func() {
			p := newFakeEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
			defer func() { _ = p.l.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := c.Do(ctx, p.addr(), newRequest())
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			So(c.pop(p.addr()), ShouldBeNil)
		})

		Convey("keeps a connection no longer than the endpoint states", func() {
			for header, kept := range map[string]bool{"timeout=5": true, "timeout=0": false} {
				p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					respond(conn, r, "HTTP/1.1 200 OK\r\nKeep-Alive: "+header+"\r\nContent-Length: 2\r\n\r\nok")
					_, _ = r.ReadByte()
				})
				_, err := fetch(c, p.addr(), newRequest())
				So(err, ShouldBeNil)
				So(c.pop(p.addr()) != nil, ShouldEqual, kept)
				_ = p.l.Close()
			}
		})
	})
}

func TestSilenceTimeout(t *testing.T) {
	Convey("The kernel closes a connection to an endpoint that no longer responds", t, func() {
		p := newFakeEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) { respond(conn, r, okResponse) })
		defer func() { _ = p.l.Close() }()
		var tcpConn net.Conn
		c := New(WithWrap(func(nc net.Conn) net.Conn { tcpConn = nc; return nc }))
		defer func() { _ = c.Close() }()
		_, err := fetch(c, p.addr(), newRequest())
		So(err, ShouldBeNil)
		raw, err := tcpConn.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		option := func(level, name int) int {
			n := 0
			So(raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), level, name) }), ShouldBeNil)
			So(err, ShouldBeNil)
			return n
		}
		So(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), ShouldEqual, silenceTimeout.Milliseconds())
		So(option(unix.SOL_SOCKET, unix.SO_RCVBUF), ShouldEqual, 2*receiveBufferBytes) // the kernel doubles it for its overhead
		So(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), ShouldEqual, 1)
		So(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), ShouldEqual, keepAliveInterval.Seconds())
		// TCP_USER_TIMEOUT ends the probes, whatever their count. A sound endpoint may be silent for a second.
		probing := option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL) * option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
		So(probing, ShouldEqual, silenceTimeout.Seconds())
		So(silenceTimeout, ShouldBeGreaterThan, 2*keepAliveInterval)
	})
}
