package mesh

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "mesh"

const (
	protocol       = "ledgemount/1"
	idleTimeout    = 10 * time.Second
	dialTimeout    = 500 * time.Millisecond
	callTimeout    = 2 * time.Second
	keepAlive      = 3 * time.Second
	tunnelIdle     = 3 * time.Second // without a sign of the peer, after which tunnels through it end
	tunnelAlive    = time.Second     // between signs of life on a connection for tunnels
	tunnelLinger   = 5 * time.Second // after which an unused connection for tunnels is closed
	maxStreams     = 4096
	callsPerSecond = 20000 // calls per second that a peer may make on a connection
	callBurst      = 20000
	closeNormally  = quic.ApplicationErrorCode(0)
)

// PeerFilter reports whether calls from a peer are accepted. Tests use it to cut links.
type PeerFilter func(peer Peer) bool

type request struct {
	Version uint            `cbor:"1,keyasint"`
	Kind    Kind            `cbor:"2,keyasint"`
	From    Peer            `cbor:"3,keyasint"`
	Body    cbor.RawMessage `cbor:"4,keyasint"`
}

type reply struct {
	Err  *remoteError    `cbor:"1,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	End  bool            `cbor:"3,keyasint,omitempty"`
}

// Transport is the QUIC transport of one instance. It implements Caller and kernel.Service.
type Transport struct {
	self      Peer
	router    *Router
	tls       *tls.Config
	allowAddr func(addr string) bool
	allowPeer PeerFilter
	log       zerolog.Logger

	udp    *quic.Transport
	lis    *quic.Listener
	cancel context.CancelFunc
	ctx    context.Context //nolint:containedctx // ends every handler on Close
	wg     sync.WaitGroup

	sent    atomic.Int64
	traffic func(kind Kind, bytes int)

	mu      sync.Mutex
	conns   connSet // for calls and streams
	tunnels connSet // for tunnels, which a call that gets no reply must not interrupt
	closed  bool
}

// connSet holds the connections for one use, by address.
type connSet struct {
	byAddr map[string]*peerConn
	config func() *quic.Config
}

func newConnSet(config func() *quic.Config) connSet {
	return connSet{byAddr: make(map[string]*peerConn), config: config}
}

type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
	open  int // tunnels
}

// Option configures a Transport.
type Option func(*Transport)

// WithFilters makes the transport refuse calls to addresses, and calls from peers, for which the functions return false.
func WithFilters(to func(addr string) bool, from PeerFilter) Option {
	return func(t *Transport) { t.allowAddr, t.allowPeer = to, from }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(t *Transport) { t.log = log } }

// WithTraffic sets a function that is called for each frame sent, calls and replies alike, with its kind and its size in
// bytes. The size excludes the overhead of the transport.
func WithTraffic(f func(kind Kind, bytes int)) Option { return func(t *Transport) { t.traffic = f } }

// Listen starts a Transport that listens on the UDP address in self. The TLS configuration must contain a certificate and
// the fleet's CA.
func Listen(self Peer, cfg *tls.Config, router *Router, opts ...Option) (*Transport, error) {
	udpAddr, err := net.ResolveUDPAddr("udp", self.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "resolving %s", self.Addr)
	}
	sock, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "listening on %s", self.Addr)
	}
	self.Addr = sock.LocalAddr().String()
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self:      self,
		router:    router,
		tls:       cfg,
		allowAddr: func(string) bool { return true },
		allowPeer: func(Peer) bool { return true },
		log:       zerolog.Nop(),
		udp:       &quic.Transport{Conn: sock},
		ctx:       ctx,
		cancel:    cancel,
		conns:     newConnSet(quicConfig),
		tunnels:   newConnSet(tunnelConfig),

		traffic: func(Kind, int) {},
	}
	for _, opt := range opts {
		opt(t)
	}
	t.lis, err = t.udp.Listen(cfg, quicConfig())
	if err != nil {
		cancel()
		_ = sock.Close()
		return nil, eris.Wrap(err, "starting QUIC")
	}
	t.wg.Go(t.accept)
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		HandshakeIdleTimeout:  dialTimeout,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: -1,
	}
}

// tunnelConfig returns the configuration of connections for tunnels. The requests that they carry cannot wait as long as
// calls, which have timeouts of their own.
func tunnelConfig() *quic.Config {
	c := quicConfig()
	c.MaxIdleTimeout, c.KeepAlivePeriod = tunnelIdle, tunnelAlive
	return c
}

// Name implements kernel.Service.
func (t *Transport) Name() string { return ServiceName }

// Run implements kernel.Service. It closes the transport when ctx ends.
func (t *Transport) Run(ctx context.Context) error {
	<-ctx.Done()
	return t.Close()
}

// Self returns this instance as its peers see it.
func (t *Transport) Self() Peer { return t.self }

// BytesSent returns the size of all messages and replies sent, without the overhead of the transport.
func (t *Transport) BytesSent() int64 { return t.sent.Load() }

// write sends a frame and counts its bytes.
func (t *Transport) write(w io.Writer, kind Kind, v any) error {
	n, err := writeFrame(w, v)
	t.sent.Add(int64(n))
	t.traffic(kind, n)
	return err
}

// Close closes all connections and waits for the handlers to return.
func (t *Transport) Close() error {
	t.cancel()
	_ = t.lis.Close()
	for _, conn := range t.takeConns() {
		_ = conn.CloseWithError(closeNormally, "closing")
	}
	err := t.udp.Close()
	_ = t.udp.Conn.Close()
	t.wg.Wait()
	return eris.Wrap(err, "closing QUIC")
}

// takeConns prevents further dialling, and removes and returns the open connections.
func (t *Transport) takeConns() []*quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	var out []*quic.Conn
	for _, conns := range []connSet{t.conns, t.tunnels} {
		for _, pc := range conns.byAddr {
			if pc.conn != nil {
				out = append(out, pc.conn)
			}
		}
		clear(conns.byAddr)
	}
	return out
}

func (t *Transport) accept() {
	for {
		conn, err := t.lis.Accept(t.ctx)
		if err != nil {
			return
		}
		t.wg.Go(func() { t.serve(conn) })
	}
}

func (t *Transport) serve(conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(closeNormally, "closing") }()
	limit := rate.NewLimiter(callsPerSecond, callBurst)
	for {
		st, err := conn.AcceptStream(t.ctx)
		if err != nil {
			t.logRefused(conn, err)
			return
		}
		if err := limit.Wait(t.ctx); err != nil {
			return
		}
		t.wg.Go(func() { t.handleStream(conn.Context(), st) })
	}
}

// logRefused logs a connection that ended because of a TLS error, such as a peer's invalid certificate.
func (t *Transport) logRefused(conn *quic.Conn, err error) {
	var te *quic.TransportError
	if errors.As(err, &te) && te.ErrorCode.IsCryptoError() {
		t.log.Warn().Str("event", "peer_refused").Str("addr", conn.RemoteAddr().String()).Err(err).
			Msg("connection closed after a TLS error, such as an invalid certificate")
	}
}

func (t *Transport) handleStream(ctx context.Context, st *quic.Stream) {
	defer func() { _ = st.Close() }()
	var req request
	if err := readFrame(st, &req); err != nil {
		st.CancelRead(0)
		return
	}
	if req.Version != Version {
		_ = t.write(st, req.Kind, reply{Err: toRemote(eris.Wrapf(ErrVersion, "version %d", req.Version)), End: true})
		return
	}
	if !t.allowPeer(req.From) {
		st.CancelWrite(0)
		return
	}
	if t.router.hasTunnel(req.Kind) {
		t.serveTunnel(ctx, st, req)
		return
	}
	if t.router.hasStream(req.Kind) {
		err := t.router.DispatchStream(ctx, req.From, req.Kind, req.Body, func(b []byte) error {
			return t.write(st, req.Kind, reply{Body: b})
		})
		_ = t.write(st, req.Kind, reply{Err: toRemote(err), End: true})
		return
	}
	body, err := t.router.Dispatch(ctx, req.From, req.Kind, req.Body)
	if !t.allowPeer(req.From) {
		st.CancelWrite(0)
		return
	}
	_ = t.write(st, req.Kind, reply{Err: toRemote(err), Body: body, End: true})
}

// Call implements Caller. A call to this instance's own address is dispatched locally.
func (t *Transport) Call(ctx context.Context, addr string, kind Kind, body []byte) ([]byte, error) {
	if addr == t.self.Addr {
		return t.router.Dispatch(ctx, t.self, kind, body)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := t.openOneWay(ctx, addr, kind, body)
	if err != nil {
		return nil, err
	}
	defer st.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { st.CancelRead(0) })
	defer stop()
	var out reply
	if err := readFrame(st, &out); err != nil {
		return nil, eris.Wrapf(ErrNoReply, "%s to %s: %v", kind, addr, err)
	}
	return out.Body, out.Err.err()
}

// Stream implements Caller.
func (t *Transport) Stream(ctx context.Context, addr string, kind Kind, body []byte, each func([]byte) error) error {
	if addr == t.self.Addr {
		return t.router.DispatchStream(ctx, t.self, kind, body, each)
	}
	st, err := t.openOneWay(ctx, addr, kind, body)
	if err != nil {
		return err
	}
	defer st.CancelRead(0)
	stop := context.AfterFunc(ctx, func() { st.CancelRead(0) })
	defer stop()
	for {
		var out reply
		if err := readFrame(st, &out); err != nil {
			return eris.Wrapf(ErrNoReply, "%s from %s: %v", kind, addr, err)
		}
		if out.End {
			return out.Err.err()
		}
		if err := each(out.Body); err != nil {
			return err
		}
	}
}

// open opens a stream to a peer on one of the given connections and sends a message.
func (t *Transport) open(ctx context.Context, conns connSet, addr string, kind Kind, body []byte) (*quic.Stream, error) {
	if !t.allowAddr(addr) {
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s", kind, addr)
	}
	conn, err := t.conn(ctx, conns, addr)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, addr, err)
	}
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.dropConn(conns, addr, conn)
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, addr, err)
	}
	if err := t.write(st, kind, request{Version: Version, Kind: kind, From: t.self, Body: body}); err != nil {
		t.dropConn(conns, addr, conn)
		return nil, eris.Wrapf(ErrNoReply, "%s to %s: %v", kind, addr, err)
	}
	return st, nil
}

// openOneWay opens a stream on which nothing but the message is sent.
func (t *Transport) openOneWay(ctx context.Context, addr string, kind Kind, body []byte) (*quic.Stream, error) {
	st, err := t.open(ctx, t.conns, addr, kind, body)
	if err == nil {
		_ = st.Close()
	}
	return st, err
}

// conn returns the connection to addr among conns, and establishes it if there is none. Concurrent callers share one dial.
func (t *Transport) conn(ctx context.Context, conns connSet, addr string) (*quic.Conn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, context.Canceled
	}
	pc, ok := conns.byAddr[addr]
	if ok && pc.conn != nil && pc.conn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		pc = &peerConn{ready: make(chan struct{})}
		conns.byAddr[addr] = pc
		t.wg.Go(func() { t.dial(conns, addr, pc) })
	}
	t.mu.Unlock()
	select {
	case <-pc.ready:
		t.mu.Lock()
		defer t.mu.Unlock()
		return pc.conn, pc.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *Transport) dial(conns connSet, addr string, pc *peerConn) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	var conn *quic.Conn
	if err == nil {
		conn, err = t.udp.Dial(ctx, udpAddr, t.tls, conns.config())
	}
	t.mu.Lock()
	pc.conn, pc.err = conn, err
	if err != nil && conns.byAddr[addr] == pc {
		delete(conns.byAddr, addr)
	}
	t.mu.Unlock()
	close(pc.ready)
}

// Forget closes the connection for calls to an address, so that the next call dials anew. After a long outage of the
// link, this is faster than waiting until the connection recovers.
func (t *Transport) Forget(addr string) {
	t.mu.Lock()
	var conn *quic.Conn
	if pc, ok := t.conns.byAddr[addr]; ok {
		conn = pc.conn
		delete(t.conns.byAddr, addr)
	}
	t.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(closeNormally, "given up")
	}
}

func (t *Transport) dropConn(conns connSet, addr string, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if pc, ok := conns.byAddr[addr]; ok && pc.conn == conn {
		delete(conns.byAddr, addr)
	}
}

const lengthBytes = 4

func writeFrame(w io.Writer, v any) (int, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return 0, eris.Wrap(err, "encoding a message")
	}
	if len(b) > MaxMessage {
		return 0, eris.Errorf("a message of %d bytes is too large", len(b))
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(b))
	binary.BigEndian.PutUint32(frame, uint32(len(b))) //nolint:gosec // bounded above
	return w.Write(append(frame, b...))
}

func readFrame(r io.Reader, v any) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxMessage {
		return eris.Errorf("a message of %d bytes is too large", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
