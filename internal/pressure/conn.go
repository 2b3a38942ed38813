package pressure

import (
	"errors"
	"net"
	"syscall"
)

// conn counts what a connection carries.
type conn struct {
	net.Conn
	gauge *Monitor
}

var errNoDescriptor = errors.New("the connection has no descriptor")

// Conn counts a connection's bytes.
func (g *Monitor) Conn(c net.Conn) net.Conn { return &conn{Conn: c, gauge: g} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gauge.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.gauge.out.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

// listener counts what the connections that it takes carry.
type listener struct {
	net.Listener
	gauge *Monitor
}

// Listener counts the bytes of the connections that a listener takes.
func (g *Monitor) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gauge: g} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gauge.Conn(c), nil
}
