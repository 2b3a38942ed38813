// Package upstream is an HTTP/1.1 client for endpoints with a pool of idle connections.
//
// It does not use http.Transport, which retries some requests on its own. A request that is sent through this package
// must not run more than once.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/cleaneof"
)

// Request is a request to an endpoint. The length of its body is known, even if the caller sent the body in chunks.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// OnDial is called if the client establishes a new connection, with the time until it was established or failed. It
	// may be nil.
	OnDial func(took time.Duration, err error)
	// Connect establishes the connection in place of the client's own function. The connection is used for this request
	// only. It may be nil.
	Connect func(ctx context.Context) (net.Conn, error)
	// HeaderTimeout is the time from the first bytes of the response's header to its end; 0: a default.
	HeaderTimeout time.Duration
	// ShouldSend is called once a connection is available. If it returns false, nothing is sent. It may be nil.
	ShouldSend func() bool
}

// Response is an endpoint's response. Closing the body ends the exchange; if the body was not read to its end, the
// connection is closed too.
type Response struct {
	Status int
	Header http.Header
	Length int64 // of the body as the header states it; -1: not stated
	NoBody bool  // there is no body, whatever length the header states: the response to HEAD, or one with status 204 or 304
	Body   io.ReadCloser
}

// Errors of requests that were not sent.
var (
	ErrNotSent   = errors.New("request not sent")  // no byte of the request was sent
	ErrWithdrawn = errors.New("request withdrawn") // nothing was sent, because ShouldSend returned false
)

// Defaults of a Client.
const (
	DefaultDialTimeout = 300 * time.Millisecond
	DefaultMaxIdle     = 8                      // idle connections per address
	DefaultIdleTimeout = 10 * time.Second       // how long a connection is kept if the endpoint states no timeout
	keepAliveMargin    = 700 * time.Millisecond // subtracted from an idle timeout that the endpoint states
	readBufferSize     = 2 << 10
	maxInlineBody      = 8 << 10 // a body up to this size is written before the response is read

	// silenceTimeout is how long sent data may stay unacknowledged, or keep-alive probes unanswered, before the kernel
	// closes a connection. There is no other way to detect that the peer of a connection has vanished. The value is longer
	// than the silence after which a repeatable request is retried at another endpoint (0.7 s and more). It is shorter than
	// the time for which callers wait for the next event of a stream (4 s if the target for pauses is 500 ms).
	silenceTimeout    = 3 * time.Second
	keepAliveInterval = time.Second // idle time before the first keep-alive probe, and between probes
)

// DialFunc establishes a TCP connection to an address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client sends requests to endpoints and keeps idle connections for reuse.
type Client struct {
	dial        DialFunc
	dialTimeout time.Duration
	maxIdle     int
	idleTimeout time.Duration
	now         func() time.Time
	wrap        func(net.Conn) net.Conn

	mu      sync.Mutex
	idle    map[string][]*conn
	noReuse map[string]time.Time // addresses whose connections are used once, and until when
	closed  bool
}

// Option configures a Client.
type Option func(*Client)

// WithDialTimeout sets the timeout for establishing a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithDial replaces the function that establishes connections.
func WithDial(f DialFunc) Option { return func(c *Client) { c.dial = f } }

// WithMaxIdle sets the maximum number of idle connections per address.
func WithMaxIdle(n int) Option { return func(c *Client) { c.maxIdle = n } }

// WithIdleTimeout sets how long an idle connection is kept if the endpoint states no timeout.
func WithIdleTimeout(d time.Duration) Option { return func(c *Client) { c.idleTimeout = d } }

// WithWrap sets a function that wraps each new connection.
func WithWrap(f func(net.Conn) net.Conn) Option { return func(c *Client) { c.wrap = f } }

// WithNow replaces the clock that determines the age of connections.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		dial:        Dial,
		dialTimeout: DefaultDialTimeout,
		maxIdle:     DefaultMaxIdle,
		idleTimeout: DefaultIdleTimeout,
		now:         time.Now,
		wrap:        func(c net.Conn) net.Conn { return c },
		idle:        make(map[string][]*conn),
		noReuse:     make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Dial establishes a TCP connection that the kernel closes if its peer has vanished.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Control:         setSocketOptions,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: int(silenceTimeout / keepAliveInterval)},
	}
	return d.DialContext(ctx, "tcp", addr)
}

// connect establishes a connection to an address within a timeout.
func (c *Client) connect(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	nc, err := c.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.wrap(nc), nil
}

// open establishes a connection for exchanges to an address within a timeout.
func (c *Client) open(ctx context.Context, addr string, timeout time.Duration) (*conn, error) {
	nc, err := c.connect(ctx, addr, timeout)
	if err != nil {
		return nil, err
	}
	return newConn(cleaneof.New(nc), addr), nil
}

// conn is a connection to an endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	addr    string
	header  *headerReader
	br      *bufio.Reader // reads from header
	expires time.Time     // from then on, it must not be reused
	single  bool          // it carries one exchange only
}

// Do sends a request and returns as soon as it has read the header of the response. The exchange ends with ctx, even in
// the middle of the body. An error that matches ErrNotSent guarantees that nothing was sent; after any other error, the
// request may have run.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	cn, err := c.acquire(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	if req.ShouldSend != nil && !req.ShouldSend() {
		_ = cn.Close()
		return nil, eris.Wrapf(errors.Join(ErrNotSent, ErrWithdrawn), "sending to %s", addr)
	}
	x := &exchange{client: c, conn: cn}
	x.stopWatch = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	x.send(req)
	res, err := x.readHeader(req)
	if err != nil {
		if errors.Is(err, ErrNoStatusLine) {
			c.avoidReuse(addr)
		}
		x.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, eris.Wrapf(err, "exchanging with %s", addr)
	}
	return res, nil
}

// acquire returns a usable idle connection to an address, or else a new one.
func (c *Client) acquire(ctx context.Context, addr string, req *Request) (*conn, error) {
	if req.Connect != nil {
		nc, err := req.Connect(ctx)
		if err != nil {
			return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "connecting to %s", addr)
		}
		cn := newConn(c.wrap(nc), addr)
		cn.single = true
		return cn, nil
	}
	for {
		cn := c.pop(addr)
		if cn == nil {
			break
		}
		if c.now().Before(cn.expires) {
			switch cn.state() {
			case connIdle:
				return cn, nil
			case connSurplus:
				c.avoidReuse(addr)
			case connClosed:
			}
		}
		_ = cn.Close()
	}
	started := c.now()
	cn, err := c.open(ctx, addr, c.dialTimeout)
	if req.OnDial != nil {
		req.OnDial(c.now().Sub(started), err)
	}
	if err != nil {
		return nil, eris.Wrapf(errors.Join(ErrNotSent, err), "connecting to %s", addr)
	}
	return cn, nil
}

// Connect establishes a connection to an address that the client does not reuse.
func (c *Client) Connect(ctx context.Context, addr string) (net.Conn, error) {
	nc, err := c.connect(ctx, addr, c.dialTimeout)
	if err != nil {
		return nil, eris.Wrapf(err, "connecting to %s", addr)
	}
	return nc, nil
}

// Probe establishes a connection to an address within a timeout, and keeps it for the next request.
func (c *Client) Probe(ctx context.Context, addr string, timeout time.Duration) error {
	cn, err := c.open(ctx, addr, timeout)
	if err != nil {
		return eris.Wrapf(err, "connecting to %s", addr)
	}
	c.put(cn, nil)
	return nil
}

// newConn prepares an established connection for exchanges.
func newConn(nc net.Conn, addr string) *conn {
	header := &headerReader{conn: nc}
	return &conn{Conn: nc, addr: addr, header: header, br: bufio.NewReaderSize(header, readBufferSize)}
}

// pop removes the most recently used idle connection to an address from the pool. It returns nil if there is none.
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

// put adds a connection to the idle connections, or closes it if there are too many. header is that of the last response
// on the connection, which may state an idle timeout; nil: there was none.
func (c *Client) put(cn *conn, header http.Header) {
	lifetime := c.idleTimeout
	if d, ok := keepAlive(header); ok {
		lifetime = d - keepAliveMargin
	}
	cn.expires = c.now().Add(lifetime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || lifetime <= 0 || len(c.idle[cn.addr]) >= c.maxIdle || c.now().Before(c.noReuse[cn.addr]) {
		_ = cn.Close()
		return
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// keepAlive returns the idle timeout that the endpoint states in its Keep-Alive header.
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

// noReuseTime is how long each connection to an address is used for one request only, after data has arrived that belongs to
// no request.
const noReuseTime = 10 * time.Second

// avoidReuse makes requests to an address use new connections for a while. Data that arrives after a response is taken for
// the beginning of the next one, and the request that was sent for that one may have run.
func (c *Client) avoidReuse(addr string) {
	c.mu.Lock()
	c.noReuse[addr] = c.now().Add(noReuseTime)
	c.mu.Unlock()
	c.CloseIdle(addr)
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}

// CloseAllIdle closes all idle connections.
func (c *Client) CloseAllIdle() {
	c.mu.Lock()
	all := c.idle
	c.idle = make(map[string][]*conn)
	c.mu.Unlock()
	closeAll(all)
}

func closeAll(all map[string][]*conn) {
	for _, list := range all {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
}

// Sweep closes connections that have been idle for longer than their timeout.
func (c *Client) Sweep() {
	now := c.now()
	var expired []*conn
	c.mu.Lock()
	for addr, list := range c.idle {
		retained := list[:0]
		for _, cn := range list {
			if now.Before(cn.expires) {
				retained = append(retained, cn)
				continue
			}
			expired = append(expired, cn)
		}
		c.idle[addr] = retained
		if len(retained) == 0 {
			delete(c.idle, addr)
		}
	}
	maps.DeleteFunc(c.noReuse, func(_ string, until time.Time) bool { return !now.Before(until) })
	c.mu.Unlock()
	for _, cn := range expired {
		_ = cn.Close()
	}
}

// Close closes the idle connections. Open exchanges end with their contexts.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseAllIdle()
	return nil
}
