package pressure

import (
	"errors"
	"net"
	"syscall"
)

// conn counts the bytes of a connection.
type conn struct {
	net.Conn
	monitor *Monitor
}

var errNoDescriptor = errors.New("connection has no file descriptor")

// Conn returns a connection whose bytes are counted.
func (m *Monitor) Conn(c net.Conn) net.Conn { return &conn{Conn: c, monitor: m} }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.monitor.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.monitor.out.Add(int64(n))
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

// listener counts the bytes of the connections that it accepts.
type listener struct {
	net.Listener
	monitor *Monitor
}

// Listener returns a listener that counts the bytes of the connections that it accepts.
func (m *Monitor) Listener(l net.Listener) net.Listener { return &listener{Listener: l, monitor: m} }

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.monitor.Conn(c), nil
}
