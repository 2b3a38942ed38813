// Package listen opens TCP listeners for servers that must survive temporary errors: an address that another process still
// holds, or an error that concerns a single connection. A listener can be drained before it is closed, so that no
// established connection is reset.
package listen

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// retryInterval is the time between two attempts to listen on an address.
const retryInterval = 50 * time.Millisecond

// Option configures TCP.
type Option func(*options)

type options struct {
	onWait func(err error)
}

// OnWait sets a function that is called once if the address is taken and TCP waits for it.
func OnWait(f func(err error)) Option { return func(o *options) { o.onWait = f } }

// bufferBytes is the size of the kernel's buffers of a connection in each direction, which count towards the memory of the
// machine. By default, each may grow to many megabytes if one side does not read.
const bufferBytes = 64 << 10

// limitBuffers sets the size of a listener's buffers, which its connections take over.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// Linux accepts any size. Elsewhere, the default is no reason not to serve.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferBytes)
	})
}

// TCP listens on an address. While another process holds it, or the machine does not have it yet, TCP tries again until
// ctx ends.
func TCP(ctx context.Context, addr string, opts ...Option) (*Listener, error) {
	o := options{onWait: func(error) {}}
	for _, opt := range opts {
		opt(&o)
	}
	lc := net.ListenConfig{Control: limitBuffers}
	lc.SetMultipathTCP(false) // the kernel supports no socket filters for it, which RefuseNew needs
	t := time.NewTicker(retryInterval)
	defer t.Stop()
	for attempt := 1; ; attempt++ {
		l, err := lc.Listen(ctx, "tcp", addr)
		if err == nil {
			return &Listener{TCPListener: l.(*net.TCPListener)}, nil
		}
		if !isTemporary(err) {
			return nil, eris.Wrapf(err, "listening on %s", addr)
		}
		if attempt == 1 {
			o.onWait(err)
		}
		select {
		case <-ctx.Done():
			return nil, eris.Wrapf(errors.Join(err, ctx.Err()), "waiting for the address %s", addr)
		case <-t.C:
		}
	}
}

// isTemporary reports whether the cause of a failure to listen may go away by itself.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// Listener is a TCP listener whose Accept returns only temporary errors until it is closed.
type Listener struct {
	*net.TCPListener
}

// Accept implements net.Listener. Linux passes errors of a connection that has failed already, such as EPROTO or
// EHOSTUNREACH, to accept. They do not concern the listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	switch {
	case errors.Is(err, net.ErrClosed):
		return nil, err
	case err != nil:
		return nil, temporaryError{err}
	}
	return c, nil
}

// temporaryError is an error after which http.Server continues to accept, after a short delay.
type temporaryError struct{ error }

// Timeout implements net.Error.
func (temporaryError) Timeout() bool { return false }

// Temporary implements net.Error.
func (temporaryError) Temporary() bool { return true }

// Unwrap returns the cause.
func (e temporaryError) Unwrap() error { return e.error }
