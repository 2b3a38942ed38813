package endpoint

import (
	"context"
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

	"github.com/ledgemount/ledgemount/internal/rawtest"
)

var uploadPlays = flag.Int("uploads.plays", 1, "how often each case of an interrupted upload is played")

const (
	uploadBytes   = 6 << 20
	unframedStart = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
)

// earlyEndpoint serves each connection with a function that gets the body of a request before it is read.
func earlyEndpoint(t *testing.T, respond func(c *net.TCPConn, body io.Reader)) (url string) {
	return "http://" + rawtest.Listen(t, func(c *net.TCPConn, req *http.Request) { respond(c, req.Body) })
}

func invokeUpload(d *Driver, url string) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return d.Invoke(ctx, PlainCall{URL: url, Method: http.MethodPost, Run: "run", Body: make([]byte, uploadBytes)})
}

// interruptedUpload sends an upload to a service that sends a part of its response and resets the connection, and returns
// what is wrong with the result; empty: nothing.
func interruptedUpload(t *testing.T, part int, delay time.Duration, reset bool) string {
	url := earlyEndpoint(t, func(c *net.TCPConn, body io.Reader) {
		_, _ = body.Read(make([]byte, 1)) // then the kernel holds unread bytes of the upload
		_, _ = io.WriteString(c, unframedStart+strings.Repeat("p", part))
		time.Sleep(delay)
		if reset {
			_ = c.SetLinger(0)
		}
	})
	d := NewDriver()
	defer d.Close()
	if res, err := invokeUpload(d, url); err == nil {
		return fmt.Sprintf("%d bytes, then after %v a reset (%v): status %d, %d bytes", part, delay, reset, res.Status, len(res.Body))
	}
	return ""
}

// Guards against a part of a plain service's response that counts as complete, because the connection was reset during the
// upload.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	Convey("A response without length whose connection is reset during the upload is not complete", t, func() {
		var (
			mu    sync.Mutex
			wrong []string
			g     sync.WaitGroup
		)
		for _, part := range []int{10, 100_000, 400_000} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
				for _, reset := range []bool{true, false} {
					g.Go(func() {
						for range *uploadPlays {
							s := interruptedUpload(t, part, delay, reset)
							mu.Lock()
							if s != "" {
								wrong = append(wrong, s)
							}
							mu.Unlock()
						}
					})
				}
			}
		}
		g.Wait()
		So(strings.Join(wrong, "\n"), ShouldBeEmpty)
	})
}

func TestWholeResponsesAroundUploads(t *testing.T) {
	const answer = "whole answer"
	framed := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answer), answer)
	for name, respond := range map[string]func(c *net.TCPConn, body io.Reader){
		"without length after the whole upload": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, unframedStart+answer)
		},
		"with a length before the upload is read": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, framed)
			_, _ = io.Copy(io.Discard, body)
		},
		"in chunks before the upload is read": func(c *net.TCPConn, body io.Reader) {
			_, _ = io.WriteString(c, chunked)
			_, _ = io.Copy(io.Discard, body)
		},
		"without length, with the end of data while the upload is not read": func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, unframedStart+answer)
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		},
	} {
		Convey("A whole response is served: "+name, t, func() {
			url := earlyEndpoint(t, respond)
			d := NewDriver()
			defer d.Close()
			for range 3 {
				res, err := invokeUpload(d, url)
				So(err, ShouldBeNil)
				So(string(res.Body), ShouldEqual, answer)
			}
		})
	}
}
