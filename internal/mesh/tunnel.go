package mesh

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/cleaneof"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Tunneler opens tunnels: connections to destinations that a peer connects to. Bytes pass unchanged in both directions.
type Tunneler interface {
	// Tunnel sends a message and, if the peer's handler has established a connection, returns its near end. ctx limits
	// only the time until then. Closing either end closes the other; a far end that breaks is no end of file here.
	Tunnel(ctx context.Context, addr string, kind Kind, body []byte) (net.Conn, error)
}

// Tunnel sends a typed message and returns the near end of the connection that the peer's handler has established.
func Tunnel[Req any](ctx context.Context, t Tunneler, addr string, kind Kind, req Req) (net.Conn, error) {
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, eris.Wrapf(err, "encoding %s", kind)
	}
	return t.Tunnel(ctx, addr, kind, body)
}

type tunnelHandler func(ctx context.Context, from Peer, body []byte) (net.Conn, error)

// HandleTunnel registers the typed handler of a kind of message that establishes the far end of a tunnel. The transport
// closes the connection that it returns.
func HandleTunnel[Req any](r *Router, kind Kind, fn func(ctx context.Context, from Peer, req Req) (net.Conn, error)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tunnels[kind] = func(ctx context.Context, from Peer, body []byte) (net.Conn, error) {
		var req Req
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "undecodable "+string(kind), verdict.WithCause(err))
		}
		return fn(ctx, from, req)
	}
}

// DispatchTunnel passes a message to the handler that establishes the far end of a tunnel.
func (r *Router) DispatchTunnel(ctx context.Context, from Peer, kind Kind, body []byte) (net.Conn, error) {
	h, ok := find(r, r.tunnels, from, kind)
	if !ok {
		return nil, unknownKind(kind)
	}
	return h(ctx, from, body)
}

func (r *Router) hasTunnel(kind Kind) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.tunnels[kind]
	return ok
}

// Tunnel implements Tunneler.
func (t *Transport) Tunnel(ctx context.Context, addr string, kind Kind, body []byte) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st, err := t.open(ctx, t.tunnels, addr, kind, body)
	if err != nil {
		return nil, err
	}
	c := &tunnelConn{Stream: st, local: t.udp.Conn.LocalAddr(), remote: tunnelAddr(addr), release: t.countTunnel(addr)}
	stop := context.AfterFunc(ctx, func() { st.CancelRead(0) })
	var out reply
	err = readFrame(st, &out)
	switch {
	case !stop() || err != nil:
		_ = c.Close()
		t.renewTunnels(addr)
		return nil, eris.Wrapf(ErrNoReply, "%s to %s: %v", kind, addr, err)
	case out.Err != nil:
		_ = c.Close()
		return nil, out.Err.err()
	}
	return c, nil
}

// countTunnel counts an open tunnel through a peer. The returned function ends the count.
func (t *Transport) countTunnel(addr string) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	pc := t.tunnels.byAddr[addr]
	if pc == nil {
		return func() {}
	}
	pc.open++
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if pc.open--; pc.open == 0 && !t.closed {
			time.AfterFunc(tunnelLinger, func() { t.closeUnusedTunnels(addr, pc) })
		}
	})
}

// closeUnusedTunnels closes a connection for tunnels, unless it carries any.
func (t *Transport) closeUnusedTunnels(addr string, pc *peerConn) {
	t.mu.Lock()
	conn := pc.conn
	if pc.open > 0 || conn == nil {
		t.mu.Unlock()
		return
	}
	if t.tunnels.byAddr[addr] == pc {
		delete(t.tunnels.byAddr, addr)
	}
	t.mu.Unlock()
	_ = conn.CloseWithError(closeNormally, "unused")
}

// renewTunnels makes further tunnels through a peer that has not replied use a new connection, since the peer may have
// restarted and would not reply on the present one. Tunnels on that one continue.
func (t *Transport) renewTunnels(addr string) {
	t.mu.Lock()
	pc := t.tunnels.byAddr[addr]
	delete(t.tunnels.byAddr, addr)
	t.mu.Unlock()
	if pc != nil {
		t.closeUnusedTunnels(addr, pc)
	}
}

// serveTunnel establishes the far end of a tunnel and copies bytes until one end is closed.
func (t *Transport) serveTunnel(ctx context.Context, st *quic.Stream, req request) {
	c, err := t.router.DispatchTunnel(ctx, req.From, req.Kind, req.Body)
	if err != nil {
		_ = t.write(st, req.Kind, reply{Err: toRemote(err), End: true})
		st.CancelRead(0)
		return
	}
	far := cleaneof.New(c)
	defer func() { _ = far.Close() }()
	if t.write(st, req.Kind, reply{}) != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		copyOutbound(far, st)
		_ = far.Close()
	})
	n, err := copyInbound(st, far)
	t.sent.Add(n)
	t.traffic(req.Kind, int(n))
	if err != nil {
		st.CancelWrite(0) // an end of file would make an incomplete response look complete
	}
	_ = st.Close()
	st.CancelRead(0)
	wg.Wait()
}

// tunnelBufferSize is the size of the buffer for each direction of a tunnel.
const tunnelBufferSize = 4 << 10

var tunnelBuffers = sync.Pool{New: func() any { b := make([]byte, tunnelBufferSize); return &b }}

// copyInbound copies bytes from the destination to the near end until one of them is closed. It hides the other methods
// of both, through which io would allocate larger buffers.
func copyInbound(near io.Writer, far io.Reader) (int64, error) {
	buf := tunnelBuffers.Get().(*[]byte) //nolint:forcetypeassert // the pool holds nothing else
	defer tunnelBuffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{near}, struct{ io.Reader }{far}, *buf)
}

// copyOutbound copies bytes from the near end to the destination until the near end is closed. If the destination reads
// no more, the remaining bytes are discarded, since its response may still arrive.
func copyOutbound(far io.Writer, near io.Reader) {
	buf := tunnelBuffers.Get().(*[]byte) //nolint:forcetypeassert // the pool holds nothing else
	defer tunnelBuffers.Put(buf)
	for broken := false; ; {
		n, err := near.Read(*buf)
		if n > 0 && !broken {
			_, writeErr := far.Write((*buf)[:n])
			broken = writeErr != nil
		}
		if err != nil {
			return
		}
	}
}

// tunnelConn is the near end of a tunnel.
type tunnelConn struct {
	*quic.Stream
	local, remote net.Addr
	release       func()
}

// Close implements net.Conn. The far end is closed even if not all written bytes have been sent.
func (c *tunnelConn) Close() error {
	c.CancelWrite(0)
	c.CancelRead(0)
	c.release()
	return nil
}

// Read implements net.Conn. It returns io.EOF only if the far end has ended its data.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.Stream.Read(p)
	var streamErr *quic.StreamError
	if errors.As(err, &streamErr) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// LocalAddr implements net.Conn.
func (c *tunnelConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn. It returns the address of the peer, not that of the tunnel's destination.
func (c *tunnelConn) RemoteAddr() net.Addr { return c.remote }

// tunnelAddr is the address of a peer.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "udp" }

func (a tunnelAddr) String() string { return string(a) }
