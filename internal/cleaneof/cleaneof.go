// Package cleaneof tells the end of a peer's data from the end of a connection that has failed.
//
// The kernel reports a reset, or a timeout, to the first call that uses the connection afterwards. If that call is a write,
// later reads return an end of file, as if the peer had sent all of its data.
package cleaneof

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrInterrupted reports an end of file on a connection to which a write has failed.
var ErrInterrupted = errors.New("the connection failed while it was written to")

var errNoDescriptor = errors.New("connection has no file descriptor")

// Conn is a connection whose Read returns io.EOF only if no write has failed. Such an end of file also ends writes that
// still wait for the peer.
type Conn struct {
	net.Conn
	writes sync.RWMutex // held for reading during each write

	mu      sync.Mutex
	failure error // of the first write that failed; nil: none
}

// New wraps a connection, unless it is a Conn already.
func New(c net.Conn) *Conn {
	if wrapped, ok := c.(*Conn); ok {
		return wrapped
	}
	return &Conn{Conn: c}
}

// DialContextFunc establishes a connection, as in http.Transport.
type DialContextFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that wraps the connections that dial establishes.
func Dial(dial DialContextFunc) DialContextFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.RLock()
	defer c.writes.RUnlock()
	n, err := c.Conn.Write(p)
	if isFailure(err) {
		c.fail(err)
	}
	return n, err
}

// isFailure reports whether a write failed because of its connection, rather than being ended on this side.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

// Read implements net.Conn. An error that matches ErrInterrupted stands for the end of file of a connection that has failed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.writeFailure(); failure != nil {
		return n, eris.Wrapf(ErrInterrupted, "reading to the end of file: %v", failure)
	}
	return n, err
}

// writeFailure waits for writes in progress, which it ends, and returns the error of the first write that failed.
func (c *Conn) writeFailure() error {
	if !c.writes.TryLock() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends writes too
		c.writes.Lock()
	}
	defer c.writes.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}
