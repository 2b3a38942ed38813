// Package rawtest serves HTTP requests in tests with raw bytes.
package rawtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// smallBuffer is the size in bytes of the buffer for a request's header, so that hardly any of the body is read with it.
const smallBuffer = 16

// Listen serves one request on each connection to a local address until the test ends. It reads the header, calls respond,
// and closes the connection.
func Listen(t testing.TB, respond func(c *net.TCPConn, req *http.Request)) (addr string) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go serve(c, respond)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, respond func(c *net.TCPConn, req *http.Request)) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReaderSize(c, smallBuffer))
	if err == nil {
		respond(c, req)
	}
}

// Respond returns a function for Listen that reads the body of a request and sends raw bytes.
func Respond(raw string) func(c *net.TCPConn, req *http.Request) {
	return func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, raw)
	}
}
