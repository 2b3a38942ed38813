package graceful

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/listen"
)

const timeout = 10 * time.Second

// start serves h until the test ends.
func start(t *testing.T, h http.HandlerFunc, opts ...Option) *Server {
	l, err := listen.TCP(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(l, &http.Server{Handler: h}, opts...)
	var g sync.WaitGroup
	g.Go(func() { _ = s.Serve(t.Context()) })
	t.Cleanup(g.Wait)
	return s
}

// client is a connection of a caller.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	return &client{Conn: c, r: bufio.NewReader(c)}, nil
}

func (c *client) request() error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// response reads a response and returns its body, and whether it announces the end of the connection.
func (c *client) response() (body string, closing bool, err error) {
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return "", false, err
	}
	b, err := io.ReadAll(res.Body)
	return string(b), res.Close, err
}

func (c *client) exchange() (body string, closing bool, err error) {
	if err := c.request(); err != nil {
		return "", false, err
	}
	return c.response()
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// Guards against requests that are lost because a stop closes their connection.
func TestStopLosesRequests(t *testing.T) {
	Convey("Callers that send at once again, until they are refused, get a response to each request", t, func() {
		for _, keep := range []bool{false, true} {
			s := start(t, ok)
			var sent atomic.Int64
			var mu sync.Mutex
			var lost []string
			var g sync.WaitGroup
			for range 20 {
				g.Go(func() {
					for {
						c, err := dial(s.Addr())
						if err != nil {
							return
						}
						for closing := false; !closing; {
							sent.Add(1)
							var err error
							if _, closing, err = c.exchange(); err != nil {
								mu.Lock()
								lost = append(lost, fmt.Sprint(err))
								mu.Unlock()
							}
							closing = closing || err != nil || !keep
						}
						_ = c.Close()
					}
				})
			}
			time.Sleep(100 * time.Millisecond)
			So(s.Stop(t.Context()), ShouldBeNil)
			g.Wait()
			So(lost, ShouldBeEmpty)
			So(sent.Load(), ShouldBeGreaterThan, 20)
		}
	})
}

func TestStop(t *testing.T) {
	Convey("A stop", t, func() {
		Convey("rejects a request on a kept connection, and announces its end", func() {
			s := start(t, ok, WithRejection(func(w http.ResponseWriter, _ *http.Request, _ Reason) { _, _ = io.WriteString(w, "stopping") }))
			c, err := dial(s.Addr())
			So(err, ShouldBeNil)
			_, closing, err := c.exchange()
			So(err, ShouldBeNil)
			So(closing, ShouldBeFalse)
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(t.Context()) }()
			time.Sleep(establishTime + pollInterval)
			body, closing, err := c.exchange()
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "stopping")
			So(closing, ShouldBeTrue)
			So(<-stopped, ShouldBeNil)
		})
		Convey("serves requests until it begins, and announces the end of their connections before", func() {
			s := start(t, ok)
			s.Leave()
			c, err := dial(s.Addr())
			So(err, ShouldBeNil)
			body, closing, err := c.exchange()
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
			So(closing, ShouldBeTrue)
			So(s.Stop(t.Context()), ShouldBeNil)
		})
		Convey("waits for a request, and ends after it", func() {
			began, release := make(chan struct{}), make(chan struct{})
			s := start(t, func(w http.ResponseWriter, r *http.Request) { close(began); <-release; ok(w, r) })
			c, err := dial(s.Addr())
			So(err, ShouldBeNil)
			So(c.request(), ShouldBeNil)
			<-began
			stopped := make(chan error, 1)
			go func() { stopped <- s.Stop(t.Context()) }()
			time.Sleep(establishTime + idleTime + pollInterval)
			So(len(stopped), ShouldEqual, 0)
			close(release)
			body, _, err := c.response()
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
			So(<-stopped, ShouldBeNil)
		})
		Convey("interrupts what is left when its context ends", func() {
			began := make(chan struct{})
			s := start(t, func(_ http.ResponseWriter, r *http.Request) { close(began); <-r.Context().Done() })
			c, err := dial(s.Addr())
			So(err, ShouldBeNil)
			So(c.request(), ShouldBeNil)
			<-began
			ctx, cancel := context.WithTimeout(t.Context(), establishTime+pollInterval)
			defer cancel()
			So(errors.Is(s.Stop(ctx), context.DeadlineExceeded), ShouldBeTrue)
			_, _, err = c.response()
			So(err, ShouldNotBeNil)
		})
		Convey("closes connections without requests", func() {
			s := start(t, ok)
			c, err := dial(s.Addr())
			So(err, ShouldBeNil)
			So(s.Stop(t.Context()), ShouldBeNil)
			_, err = c.r.ReadByte()
			So(err, ShouldEqual, io.EOF)
		})
	})
}

func TestConnectionLimit(t *testing.T) {
	const limit = 8
	Convey("A server with as many connections as it may have", t, func() {
		release := make(chan struct{})
		var closed atomic.Int64
		var overLimit atomic.Int64
		reject := func(w http.ResponseWriter, _ *http.Request, reason Reason) {
			if reason == OverLimit {
				overLimit.Add(1)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		h := func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/wait" {
				<-release
			}
			ok(w, r)
		}
		s := start(t, h, WithConnectionLimit(limit, func() { closed.Add(1) }), WithRejection(reject))
		connect := func(n int) []*client {
			out := make([]*client, n)
			for i := range out {
				c, err := dial(s.Addr())
				So(err, ShouldBeNil)
				out[i] = c
			}
			return out
		}
		Convey("closes the ones without requests, longest first", func() {
			first := connect(limit)
			for _, c := range first {
				_, _, err := c.exchange()
				So(err, ShouldBeNil)
				time.Sleep(pollInterval) // the server notes the end of a request after its response
			}
			_, _, err := first[0].exchange()
			So(err, ShouldBeNil)
			_, _, err = connect(1)[0].exchange()
			So(err, ShouldBeNil)
			_, err = first[1].r.ReadByte()
			So(err, ShouldEqual, io.EOF)
			_, _, err = first[0].exchange()
			So(err, ShouldBeNil)
			So(closed.Load(), ShouldEqual, 1)
			So(s.Connections(), ShouldEqual, limit)
		})
		Convey("rejects requests on further ones if all have requests", func() {
			for _, c := range connect(limit) {
				_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
				So(err, ShouldBeNil)
				defer func() {
					body, _, err := c.response()
					So(err, ShouldBeNil)
					So(body, ShouldEqual, "ok")
				}()
			}
			defer close(release)
			time.Sleep(5 * pollInterval)
			for range 2 {
				c := connect(1)[0]
				So(c.request(), ShouldBeNil)
				res, err := http.ReadResponse(c.r, nil)
				So(err, ShouldBeNil)
				So(res.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
				So(res.Close, ShouldBeTrue)
			}
			So(overLimit.Load(), ShouldEqual, 2)
		})
	})
}

// Guards against responses that are lost because the connection is reset while the caller still sends its body.
func TestUnreadBodyLosesResponse(t *testing.T) {
	Convey("A caller that is still sending gets the response, sent before its body has ended", t, func() {
		const pieces, size = 8, 128 << 10
		s := start(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "2")
			ok(w, r)
			DiscardBody(w, r)
		})
		c, err := dial(s.Addr())
		So(err, ShouldBeNil)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*size)
		So(err, ShouldBeNil)
		_, err = c.r.Peek(1)
		So(err, ShouldBeNil)
		for range pieces {
			time.Sleep(100 * time.Millisecond)
			_, err := c.Write(make([]byte, size))
			So(err, ShouldBeNil)
		}
		body, _, err := c.response()
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "ok")
	})
}
