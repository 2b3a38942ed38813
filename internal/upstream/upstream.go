// Package upstream exchanges single HTTP/1.1 requests and answers with endpoints over kept connections.
//
// It does not use http.Transport: that one sends some requests again by itself, and a request of ours may run once at most.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Request is what goes to an endpoint. The body has a length, whatever the caller sent.
type Request struct {
	Method     string
	Target     string // path and query as the caller wrote them
	Host       string
	Header     http.Header
	Body       []byte
	OnDial     func(took time.Duration) // told how long a new connection took to come up, or to be given up; nil: nobody is
	ShouldSend func() bool              // asked when a connection is there: false: nothing is sent; nil: it is sent
}

// Response is an endpoint's answer. Close ends the exchange; a body that was not read to its end costs the connection.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1: not told
	Body   io.ReadCloser
}

// Why a request was not sent.
var (
	ErrNotSent   = errors.New("the request was not sent")            // no byte of it was
	ErrWithdrawn = errors.New("the request is not wanted there now") // likewise, though the endpoint could be reached
)

// Defaults of a Client.
const (
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultMaxIdle     = 8                // connections kept for an address
	DefaultIdleTimeout = 10 * time.Second // how long a connection is kept where the endpoint names no time
	keepMargin         = 700 * time.Millisecond
	readBuffer         = 2 << 10
	inlineBody         = 8 << 10 // a body up to this size is written before the answer is read

	// silentFor is how long what was sent may stay without an acknowledgement, or probes without an answer, before a connection is given up: one
	// that has fallen silent for good tells nothing by itself. It is longer than the silence after which a request that may be repeated goes elsewhere
	// (0.7 s and more), and shorter than callers wait for the next event of a stream (4 s where pauses of 500 ms are in time).
	silentFor  = 3 * time.Second
	probeAfter = time.Second // of rest, and between probes
)

// Client keeps connections to endpoints.
type Client struct {
	dialer  net.Dialer
	maxIdle int
	idleFor time.Duration
	now     func() time.Time
	wrap    func(net.Conn) net.Conn

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// Option changes a Client.
type Option func(*Client)

// WithDialTimeout bounds the time that a new connection may take.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialer.Timeout = d } }

// WithMaxIdle bounds the connections that are kept for an address.
func WithMaxIdle(n int) Option { return func(c *Client) { c.maxIdle = n } }

// WithIdleTimeout sets how long a connection is kept where the endpoint names no time.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleFor = d } }

// WithWrap sets what is put around each connection.
func WithWrap(f func(net.Conn) net.Conn) Option { return func(c *Client) { c.wrap = f } }

// WithNow replaces the clock by which the ages of connections are judged.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// New makes a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		dialer: net.Dialer{
			Timeout: DefaultDialTimeout, Control: boundSilence,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: int(silentFor / probeAfter)},
		},
		maxIdle: DefaultMaxIdle,
		idleFor: DefaultIdleTimeout,
		now:     time.Now,
		wrap:    func(c net.Conn) net.Conn { return c },
		idle:    make(map[string][]*conn),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// conn is one connection. It serves one exchange at a time.
type conn struct {
	net.Conn
	addr  string
	br    *bufio.Reader
	until time.Time // the last moment at which it may be taken for an exchange
}

// Do sends a request and returns the head of the answer. The exchange ends with ctx, even in the middle of the body.
// An error that matches ErrNotSent promises that nothing was sent; after any other the request may have run.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	cn, err := c.take(ctx, addr, req.OnDial)
	if err != nil {
		return nil, err
	}
	if req.ShouldSend != nil && !req.ShouldSend() {
		_ = cn.Close()
		return nil, eris.Wrapf(errors.Join(ErrNotSent, ErrWithdrawn), "sending to %s", addr)
	}
	x := &exchange{client: c, conn: cn}
	x.stop = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	x.send(req)
	res, err := x.head(req.Method)
	if err != nil {
		x.drop()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrapf(err, "exchanging with %s", addr)
	}
	return res, nil
}

func (c *Client) take(ctx context.Context, addr string, dialed func(time.Duration)) (*conn, error) {
	for {
		cn := c.pop(addr)
		if cn == nil {
			break
		}
		if c.now().Before(cn.until) && cn.quiet() {
			return cn, nil
		}
		_ = cn.Close()
	}
	begun := c.now()
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	if dialed != nil {
		dialed(c.now().Sub(begun))
	}
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "connecting to %s", addr)
	}
	return c.connOf(nc, addr), nil
}

// connOf makes a connection for exchanges of one that has come up.
func (c *Client) connOf(nc net.Conn, addr string) *conn {
	nc = c.wrap(nc)
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer)}
}

func (c *Client) pop(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn
}

func (c *Client) put(cn *conn, header http.Header) {
	keep := c.idleFor
	if d, ok := keepAlive(header); ok {
		keep = d - keepMargin
	}
	cn.until = c.now().Add(keep)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || keep <= 0 || len(c.idle[cn.addr]) >= c.maxIdle {
		_ = cn.Close()
		return
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// keepAlive reads the time that an endpoint says it keeps an idle connection.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, v := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(v), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(value))
		if err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}

// CloseIdle closes the kept connections to an address.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}

// CloseAllIdle closes all kept connections.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	all := c.idle
	c.idle = make(map[string][]*conn)
	c.mu.Unlock()
	closeAll(all)
}

// closeAll closes connections.
func closeAll(all map[string][]*conn) {
	for _, list := range all {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
}

// Sweep closes connections that have been idle for too long.
func (c *Client) Sweep() {
	now := c.now()
	var old []*conn
	c.mu.Lock()
	for addr, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if now.Before(cn.until) {
				kept = append(kept, cn)
				continue
			}
			old = append(old, cn)
		}
		c.idle[addr] = kept
		if len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
	c.mu.Unlock()
	for _, cn := range old {
		_ = cn.Close()
	}
}

// Close closes the kept connections. Exchanges that are open end with their contexts.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseAllIdle()
	return nil
}
