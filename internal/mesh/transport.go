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

// ServiceName is the transport's name in the kernel.
const ServiceName = "mesh"

const (
	protocol      = "ledgemount/1"
	idleTimeout   = 10 * time.Second
	dialTimeout   = 500 * time.Millisecond
	callTimeout   = 2 * time.Second
	keepAlive     = 3 * time.Second
	maxStreams    = 4096
	callsPerConn  = 20000 // calls a second that one peer may make
	burstPerConn  = 20000
	closeNormally = quic.ApplicationErrorCode(0)
)

// PeerFilter reports whether a peer may be talked to. Tests cut links with it.
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
	self   Peer
	router *Router
	tls    *tls.Config
	gate   func(addr string) bool
	admit  PeerFilter
	log    zerolog.Logger

	udp  *quic.Transport
	lis  *quic.Listener
	quit context.CancelFunc
	ctx  context.Context //nolint:containedctx // ends every handler on Close
	wg   sync.WaitGroup

	sent    atomic.Int64
	traffic func(kind Kind, bytes int)

	mu     sync.Mutex
	conns  map[string]*link
	closed bool
}

type link struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// Option changes a Transport.
type Option func(*Transport)

// WithFilters refuses calls to addresses, and calls from peers, for which the functions say no.
func WithFilters(to func(addr string) bool, from PeerFilter) Option {
	return func(t *Transport) { t.gate, t.admit = to, from }
}

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option { return func(t *Transport) { t.log = log } }

// WithTraffic sets what is notified of each frame sent, calls and replies alike: its kind and its size in bytes, without the transport's own
// overhead.
func WithTraffic(f func(kind Kind, bytes int)) Option { return func(t *Transport) { t.traffic = f } }

// Listen starts listening on the UDP address in self. The TLS configuration must carry a certificate and the fleet's CA.
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
		self:   self,
		router: router,
		tls:    cfg,
		gate:   func(string) bool { return true },
		admit:  func(Peer) bool { return true },
		log:    zerolog.Nop(),
		udp:    &quic.Transport{Conn: sock},
		ctx:    ctx,
		quit:   cancel,
		conns:  make(map[string]*link),

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

// Name implements kernel.Service.
func (t *Transport) Name() string { return ServiceName }

// Run implements kernel.Service: it waits for ctx, then closes.
func (t *Transport) Run(ctx context.Context) error {
	<-ctx.Done()
	return t.Close()
}

// Self is this instance as its peers see it.
func (t *Transport) Self() Peer { return t.self }

// BytesSent is the size of all messages and replies sent, without the transport's own overhead.
func (t *Transport) BytesSent() int64 { return t.sent.Load() }

// write sends a frame and counts it.
func (t *Transport) write(w io.Writer, kind Kind, v any) error {
	n, err := writeFrame(w, v)
	t.sent.Add(int64(n))
	t.traffic(kind, n)
	return err
}

// Close ends every connection and waits for the handlers.
func (t *Transport) Close() error {
	t.quit()
	_ = t.lis.Close()
	for _, conn := range t.shut() {
		_ = conn.CloseWithError(closeNormally, "closing")
	}
	err := t.udp.Close()
	_ = t.udp.Conn.Close()
	t.wg.Wait()
	return eris.Wrap(err, "closing QUIC")
}

// shut keeps connections from being dialled any more and returns those that stand.
func (t *Transport) shut() []*quic.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	var out []*quic.Conn
	for _, l := range t.conns {
		if l.conn != nil {
			out = append(out, l.conn)
		}
	}
	t.conns = make(map[string]*link)
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
	limit := rate.NewLimiter(callsPerConn, burstPerConn)
	for {
		st, err := conn.AcceptStream(t.ctx)
		if err != nil {
			t.refused(conn, err)
			return
		}
		if err := limit.Wait(t.ctx); err != nil {
			return
		}
		t.wg.Go(func() { t.answer(conn.Context(), st) })
	}
}

// refused logs a peer whose certificate was not accepted.
func (t *Transport) refused(conn *quic.Conn, err error) {
	var te *quic.TransportError
	if errors.As(err, &te) && te.ErrorCode.IsCryptoError() {
		t.log.Warn().Str("event", "peer_refused").Str("addr", conn.RemoteAddr().String()).Err(err).Msg("peer refused")
	}
}

func (t *Transport) answer(ctx context.Context, st *quic.Stream) {
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
	if !t.admit(req.From) {
		st.CancelWrite(0)
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
	if !t.admit(req.From) {
		st.CancelWrite(0)
		return
	}
	_ = t.write(st, req.Kind, reply{Err: toRemote(err), Body: body, End: true})
}

// Call implements Caller. A call to this instance's own address stays in the process.
func (t *Transport) Call(ctx context.Context, addr string, kind Kind, body []byte) ([]byte, error) {
	if addr == t.self.Addr {
		return t.router.Dispatch(ctx, t.self, kind, body)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := t.open(ctx, addr, kind, body)
	if err != nil {
		return nil, err
	}
	defer st.CancelRead(0)
	if dl, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(dl)
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
	st, err := t.open(ctx, addr, kind, body)
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

func (t *Transport) open(ctx context.Context, addr string, kind Kind, body []byte) (*quic.Stream, error) {
	if !t.gate(addr) {
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s", kind, addr)
	}
	conn, err := t.conn(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, addr, err)
	}
	st, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.drop(addr, conn)
		return nil, eris.Wrapf(ErrUnreachable, "%s to %s: %v", kind, addr, err)
	}
	if err := t.write(st, kind, request{Version: Version, Kind: kind, From: t.self, Body: body}); err != nil {
		t.drop(addr, conn)
		return nil, eris.Wrapf(ErrNoReply, "%s to %s: %v", kind, addr, err)
	}
	_ = st.Close()
	return st, nil
}

// conn returns the connection to addr; concurrent callers share one dial.
func (t *Transport) conn(ctx context.Context, addr string) (*quic.Conn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, context.Canceled
	}
	l, ok := t.conns[addr]
	if ok && l.conn != nil && l.conn.Context().Err() != nil {
		ok = false
	}
	if !ok {
		l = &link{ready: make(chan struct{})}
		t.conns[addr] = l
		t.wg.Go(func() { t.dial(addr, l) })
	}
	t.mu.Unlock()
	select {
	case <-l.ready:
		t.mu.Lock()
		defer t.mu.Unlock()
		return l.conn, l.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *Transport) dial(addr string, l *link) {
	ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
	defer cancel()
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	var conn *quic.Conn
	if err == nil {
		conn, err = t.udp.Dial(ctx, udpAddr, t.tls, quicConfig())
	}
	t.mu.Lock()
	l.conn, l.err = conn, err
	if err != nil && t.conns[addr] == l {
		delete(t.conns, addr)
	}
	t.mu.Unlock()
	close(l.ready)
}

// Forget gives up the connection to an address. The next call dials anew: one that was cut for long takes long to recover.
func (t *Transport) Forget(addr string) {
	t.mu.Lock()
	var conn *quic.Conn
	if l, ok := t.conns[addr]; ok {
		conn = l.conn
		delete(t.conns, addr)
	}
	t.mu.Unlock()
	if conn != nil {
		_ = conn.CloseWithError(closeNormally, "given up")
	}
}

func (t *Transport) drop(addr string, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.conns[addr]; ok && l.conn == conn {
		delete(t.conns, addr)
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
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxMessage {
		return eris.Errorf("a message of %d bytes is too large", n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return cbor.Unmarshal(b, v)
}
