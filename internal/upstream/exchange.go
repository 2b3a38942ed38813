package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ledgemount/ledgemount/internal/httpcheck"
)

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	stopWatch  func() bool
	sent       atomic.Bool // the request has been written completely
	done       atomic.Bool
	header     http.Header
	closeAfter bool // the endpoint closes the connection after this response
}

// errFraming reports a response whose length is ambiguous.
var errFraming = errors.New("invalid framing of the response")

// send writes the request. It writes a long body in a separate goroutine, because the response may arrive before the
// whole body is sent. The header is not sent alone, so that no endpoint responds and closes before any of the body arrives.
func (x *exchange) send(req *Request) {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(&head)
	head.WriteString("\r\n")
	inline := min(len(req.Body), maxInlineBody)
	head.Write(req.Body[:inline])
	rest := req.Body[inline:]
	if len(rest) == 0 {
		x.write(head.Bytes())
		x.sent.Store(true)
		return
	}
	go func() {
		if x.write(head.Bytes()) && x.write(rest) {
			x.sent.Store(true)
		}
	}()
}

func (x *exchange) write(b []byte) bool {
	_, err := x.conn.Write(b)
	return err == nil
}

// hasNoBody reports whether a response has no body, whatever its header states.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// abort ends the exchange and closes its connection.
func (x *exchange) abort() {
	if x.done.CompareAndSwap(false, true) {
		x.stopWatch()
		_ = x.conn.Close()
	}
}

// finish ends the exchange after a complete response. It keeps the connection for reuse, unless the request has not been
// sent completely, the connection carries one exchange only, the endpoint closes it, or more data than the response has
// arrived.
func (x *exchange) finish() {
	if x.conn.br.Buffered() > 0 {
		x.client.avoidReuse(x.conn.addr)
	}
	if !x.sent.Load() || x.closeAfter || x.conn.single || x.conn.br.Buffered() > 0 {
		x.abort()
		return
	}
	if !x.done.CompareAndSwap(false, true) {
		return
	}
	if !x.stopWatch() {
		_ = x.conn.Close()
		return
	}
	x.client.put(x.conn, x.header)
}

// body reads the body of a response. At its end, it ends the exchange.
type body struct {
	exchange *exchange
	response *http.Response
	end      error // io.EOF after a complete response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.response.Body.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.end = httpcheck.Fields(b.response.Trailer); b.end != nil {
		b.exchange.abort()
		return n, b.end
	}
	b.end = io.EOF
	b.exchange.finish()
	return n, io.EOF
}

// Close ends the exchange. The connection is reused only if the body was read to its end.
func (b *body) Close() error {
	b.exchange.abort()
	return nil
}

// state returns the state of a pooled connection.
func (c *conn) state() connState {
	if c.br.Buffered() > 0 {
		return connSurplus
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return connClosed
	}
	return peekState(c.Conn)
}
