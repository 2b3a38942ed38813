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

// peer is an endpoint whose connections a test plays by hand.
type peer struct {
	l     net.Listener
	conns atomic.Int32
}

// newPeer serves each connection with play, which gets its number from 1 on.
func newPeer(t *testing.T, play func(n int, c net.Conn, r *bufio.Reader)) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{l: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(p.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				play(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return p
}

func (p *peer) addr() string { return p.l.Addr().String() }

// take reads one request and answers with raw bytes.
func take(c net.Conn, r *bufio.Reader, raw string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(c, raw)
	return err == nil
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func request() *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b")}
}

// fetch does one exchange.
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
	Convey("A client of endpoints", t, func() {
		c := New()
		defer func() { _ = c.Close() }()

		Convey("keeps a connection after a whole answer", func() {
			p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for take(conn, r, whole) {
				}
			})
			defer func() { _ = p.l.Close() }()
			for range 3 {
				body, err := fetch(c, p.addr(), request())
				So(err, ShouldBeNil)
				So(body, ShouldEqual, "ok")
			}
			So(p.conns.Load(), ShouldEqual, 1)
		})

		Convey("drops a connection on which more came than was asked for, at once or later", func() {
			for _, later := range []bool{false, true} {
				p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					surplus := whole
					if !later {
						take(conn, r, whole+surplus)
					} else if take(conn, r, whole) {
						_, _ = io.WriteString(conn, surplus)
					}
					_, _ = r.ReadByte()
				})
				_, err := fetch(c, p.addr(), request())
				So(err, ShouldBeNil)
				time.Sleep(50 * time.Millisecond)
				_, err = fetch(c, p.addr(), request())
				So(err, ShouldBeNil)
				So(p.conns.Load(), ShouldEqual, 2)
				_ = p.l.Close()
			}
		})

		Convey("sends nothing again by itself, whatever the method", func() {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				var asked atomic.Int32
				p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					take(conn, r, whole)
					if _, err := http.ReadRequest(r); err == nil {
						asked.Add(1)
					}
				})
				req := request()
				req.Method, req.Body = method, nil
				_, err := fetch(c, p.addr(), req)
				So(err, ShouldBeNil)
				_, err = fetch(c, p.addr(), req)
				So(err, ShouldNotBeNil)
				So(errors.Is(err, ErrNotSent), ShouldBeFalse)
				So(asked.Load(), ShouldEqual, 1)
				So(p.conns.Load(), ShouldEqual, 1)
				_ = p.l.Close()
			}
		})

		Convey("says that nothing was sent where no connection came about", func() {
			_, err := fetch(c, "127.0.0.1:1", request())
			So(errors.Is(err, ErrNotSent), ShouldBeTrue)
		})

		Convey("takes an answer that comes before a long body is read, and does not use the connection again", func() {
			p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_, _ = r.ReadString('\n')
				_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
				time.Sleep(200 * time.Millisecond)
			})
			defer func() { _ = p.l.Close() }()
			req := request()
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

		Convey("takes nothing for whole that was cut off, and nothing that is no answer", func() {
			for _, raw := range []string{
				"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
				"\x00\x01garbage\r\n\r\n",
			} {
				p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) { take(conn, r, raw) })
				_, err := fetch(c, p.addr(), request())
				So(err, ShouldNotBeNil)
				_ = p.l.Close()
			}
		})

		Convey("ends with its context, and gives the connection up", func() {
			p := newPeer(t, func(_ int, _ net.Conn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) })
			defer func() { _ = p.l.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := c.Do(ctx, p.addr(), request())
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			So(c.pop(p.addr()), ShouldBeNil)
		})

		Convey("keeps a connection no longer than the endpoint says", func() {
			for header, kept := range map[string]bool{"timeout=5": true, "timeout=0": false} {
				p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					take(conn, r, "HTTP/1.1 200 OK\r\nKeep-Alive: "+header+"\r\nContent-Length: 2\r\n\r\nok")
					_, _ = r.ReadByte()
				})
				_, err := fetch(c, p.addr(), request())
				So(err, ShouldBeNil)
				So(c.pop(p.addr()) != nil, ShouldEqual, kept)
				_ = p.l.Close()
			}
		})
	})
}

func TestSilence(t *testing.T) {
	Convey("A connection to an endpoint is given up by the kernel when it falls silent", t, func() {
		p := newPeer(t, func(_ int, conn net.Conn, r *bufio.Reader) { take(conn, r, whole) })
		defer func() { _ = p.l.Close() }()
		var kept net.Conn
		c := New(WithWrap(func(nc net.Conn) net.Conn { kept = nc; return nc }))
		defer func() { _ = c.Close() }()
		_, err := fetch(c, p.addr(), request())
		So(err, ShouldBeNil)
		raw, err := kept.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		option := func(level, name int) int {
			n := 0
			So(raw.Control(func(fd uintptr) { n, err = unix.GetsockoptInt(int(fd), level, name) }), ShouldBeNil)
			So(err, ShouldBeNil)
			return n
		}
		So(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), ShouldEqual, silentFor.Milliseconds())
		So(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), ShouldEqual, 1)
		So(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), ShouldEqual, probeAfter.Seconds())
	})
}
