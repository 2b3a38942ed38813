package upstream

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var uploadPlays = flag.Int("uploads.plays", 1, "how often each case of an interrupted upload is played")

const (
	uploadBytes   = 6 << 20
	unframedStart = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

// interruption is how an endpoint ends a connection before it has read the upload, and the part of its response that it
// sends before.
type interruption struct {
	part  int
	delay time.Duration
	reset bool // by a reset; otherwise by closing the connection with unread data, which resets it too
	kept  bool // on a connection that has carried another request
}

func interruptions() []interruption {
	out := make([]interruption, 0, 36)
	for _, part := range []int{10, 100_000, 400_000} {
		for _, delay := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
			for _, reset := range []bool{true, false} {
				for _, kept := range []bool{true, false} {
					out = append(out, interruption{part: part, delay: delay, reset: reset, kept: kept})
				}
			}
		}
	}
	return out
}

// serve responds to the header of a request.
func (i interruption) serve(_ int, c net.Conn, r *bufio.Reader) {
	if i.kept && !respond(c, r, okResponse) {
		return
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = req.Body.Read(make([]byte, 1)) // then the kernel holds unread bytes of the upload
	_, _ = io.WriteString(c, unframedStart+strings.Repeat("p", i.part))
	time.Sleep(i.delay)
	if i.reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

func upload() *Request {
	req := newRequest()
	req.Body = make([]byte, uploadBytes)
	return req
}

// play sends the upload and returns what is wrong with the result; empty: nothing.
func (i interruption) play(t *testing.T) string {
	p := newFakeEndpoint(t, i.serve)
	defer func() { _ = p.l.Close() }()
	c := New(WithDialTimeout(time.Minute))
	defer func() { _ = c.Close() }()
	if i.kept {
		if _, err := fetch(c, p.addr(), newRequest()); err != nil {
			return fmt.Sprintf("%+v: the request before: %v", i, err)
		}
	}
	if body, err := fetch(c, p.addr(), upload()); err == nil {
		return fmt.Sprintf("%+v: %d bytes as a complete body", i, len(body))
	}
	return ""
}

// Guards against a part of a body that looks complete because the write of the upload has consumed the connection's reset.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	Convey("A response without length whose connection is reset during the upload is not complete", t, func() {
		var (
			mu    sync.Mutex
			wrong []string
			g     sync.WaitGroup
		)
		for _, i := range interruptions() {
			g.Go(func() {
				for range *uploadPlays {
					s := i.play(t)
					mu.Lock()
					if s != "" {
						wrong = append(wrong, s)
					}
					mu.Unlock()
				}
			})
		}
		g.Wait()
		So(strings.Join(wrong, "\n"), ShouldBeEmpty)
	})
}

func TestWholeResponsesAroundUploads(t *testing.T) {
	const answer = "whole answer"
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answer), answer)
	// early returns an endpoint that sends its response before it reads the body.
	early := func(response string, then func(c net.Conn, body io.Reader)) func(int, net.Conn, *bufio.Reader) {
		return func(_ int, c net.Conn, r *bufio.Reader) {
			for req, err := http.ReadRequest(r); err == nil; req, err = http.ReadRequest(r) {
				_, _ = io.WriteString(c, response)
				then(c, req.Body)
			}
		}
	}
	readBody := func(_ net.Conn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }
	for name, serve := range map[string]func(n int, c net.Conn, r *bufio.Reader){
		"without length after the whole upload": func(_ int, c net.Conn, r *bufio.Reader) {
			respond(c, r, unframedStart+answer)
		},
		"without length after a slow upload": func(_ int, c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			for err == nil {
				time.Sleep(5 * time.Millisecond)
				_, err = io.CopyN(io.Discard, req.Body, 256<<10)
			}
			_, _ = io.WriteString(c, unframedStart+answer)
		},
		"with a length before the upload is read": early(framed, readBody),
		"in chunks before the upload is read":     early(chunked, readBody),
		"without length, with the end of data while the upload is read": early(unframedStart+answer, func(c net.Conn, body io.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			readBody(c, body)
		}),
		"without length, with the end of data while the upload is not read": early(unframedStart+answer, func(c net.Conn, _ io.Reader) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
		}),
	} {
		Convey("A whole response is served: "+name, t, func() {
			p := newFakeEndpoint(t, serve)
			defer func() { _ = p.l.Close() }()
			c := New(WithDialTimeout(time.Minute))
			defer func() { _ = c.Close() }()
			for range 5 {
				body, err := fetch(c, p.addr(), upload())
				So(err, ShouldBeNil)
				So(body, ShouldEqual, answer)
			}
		})
	}
}
