// Package cleaneof distinguishes the end of a peer's data from the failure of a connection.
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

const (
	// resetWait is how long an end of file waits for the failure of an upload. A peer that has closed its end, instead of
	// only ending its data, answers the bytes of the upload with a reset one round trip later.
	resetWait = 50 * time.Millisecond
	// minUpload is the size in bytes from which writes in quick succession count as an upload that may go on.
	minUpload = 1 << 10
	uploadGap = 10 * time.Millisecond // between two writes of an upload
)

// Conn is a connection whose Read returns io.EOF only if no write has failed. Such an end of file also ends writes that
// still wait for the peer.
type Conn struct {
	net.Conn
	now  func() time.Time
	wait time.Duration // see resetWait

	mu        sync.Mutex
	changed   *sync.Cond // a write has ended, or resetWait is over
	pending   int        // writes in progress
	uploaded  int        // bytes that were written without a pause of uploadGap
	lastWrite time.Time
	failure   error // of the first write that failed; nil: none
}

// New wraps a connection, unless it is a Conn already.
func New(c net.Conn) *Conn {
	if wrapped, ok := c.(*Conn); ok {
		return wrapped
	}
	out := &Conn{Conn: c, now: time.Now, wait: resetWait}
	out.changed = sync.NewCond(&out.mu)
	return out
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
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(n, err)
	return n, err
}

func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending++
}

func (c *Conn) endWrite(n int, err error) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if now.Sub(c.lastWrite) >= uploadGap {
		c.uploaded = 0
	}
	c.uploaded += n
	c.lastWrite = now
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	c.changed.Broadcast()
}

// isFailure reports whether a write failed because of its connection, rather than being ended on this side.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
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

// writeFailure returns the error of the first write that failed. If an upload is in progress, it waits for its failure, and
// ends what still waits for the peer after resetWait.
func (c *Conn) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure != nil || !c.uploading() {
		return c.failure
	}
	expired := false
	t := time.AfterFunc(c.wait, func() {
		_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends writes too
		c.mu.Lock()
		defer c.mu.Unlock()
		expired = true
		c.changed.Broadcast()
	})
	defer t.Stop()
	for c.failure == nil && (!expired || c.pending > 0) {
		c.changed.Wait()
	}
	return c.failure
}

// uploading reports whether a write is in progress, or another one is likely to follow.
func (c *Conn) uploading() bool {
	return c.pending > 0 || (c.uploaded >= minUpload && c.now().Sub(c.lastWrite) < uploadGap)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}
