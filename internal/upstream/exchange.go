package upstream

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	stop   func() bool
	sent   atomic.Bool // the whole request is written
	done   atomic.Bool
	header http.Header
	closes bool // the endpoint ends the connection with this answer
}

// errFraming reports that an answer's length is not to be trusted.
var errFraming = errors.New("the answer's framing is not valid")

// send writes the request. A long body goes out beside the reading of the answer, which may come early.
func (x *exchange) send(req *Request) {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || (req.Method != http.MethodGet && req.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(&head)
	head.WriteString("\r\n")
	if len(req.Body) <= inlineBody {
		head.Write(req.Body)
		x.write(head.Bytes())
		x.sent.Store(true)
		return
	}
	go func() {
		if x.write(head.Bytes()) && x.write(req.Body) {
			x.sent.Store(true)
		}
	}()
}

func (x *exchange) write(b []byte) bool {
	_, err := x.conn.Write(b)
	return err == nil
}

// head reads the answer's head, past interim answers.
func (x *exchange) head(method string) (*Response, error) {
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if len(res.Header.Values("Content-Length")) > 1 {
			return nil, errFraming
		}
		x.header, x.closes = res.Header, res.Close
		body := &body{exchange: x, src: res.Body}
		return &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Body: body}, nil
	}
}

// drop ends the exchange and its connection.
func (x *exchange) drop() {
	if x.done.CompareAndSwap(false, true) {
		x.stop()
		_ = x.conn.Close()
	}
}

// finish ends the exchange after a whole answer and keeps the connection if nothing speaks against it.
func (x *exchange) finish() {
	if !x.sent.Load() || x.closes || x.conn.br.Buffered() > 0 {
		x.drop()
		return
	}
	if !x.done.CompareAndSwap(false, true) {
		return
	}
	if !x.stop() {
		_ = x.conn.Close()
		return
	}
	x.client.put(x.conn, x.header)
}

// body reads an answer's body and ends the exchange with it.
type body struct {
	exchange *exchange
	src      io.Reader
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.src.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		b.exchange.finish()
	}
	return n, err
}

// Close ends the exchange. The connection is kept only if the body was read to its end.
func (b *body) Close() error {
	b.exchange.drop()
	return nil
}

// quiet reports whether an idle connection is still open and has received nothing.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	return nothingToRead(c.Conn)
}
