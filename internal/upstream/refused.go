package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// lookLimit bounds a look at an endpoint whose answer broke off. A port without a process refuses within one round trip, some
	// milliseconds between availability zones.
	lookLimit = 30 * time.Millisecond
	// endingFor is how long a process that is ending may still accept connections: its sockets close one after the other.
	endingFor = 50 * time.Millisecond
)

// Refused says whether a new connection to an address is refused: the machine answers, and no process listens there. A machine that is
// cut off or without power says nothing, and does not count.
func (c *Client) Refused(ctx context.Context, addr string) bool {
	cn, refused := c.look(ctx, addr)
	if cn != nil {
		_ = cn.Close()
	}
	return refused
}

// RefusedSoon is Refused for an address that has accepted a connection just now: if it closes one within a moment, it is looked at again.
func (c *Client) RefusedSoon(ctx context.Context, addr string) bool {
	cn, refused := c.look(ctx, addr)
	if cn == nil {
		return refused
	}
	defer func() { _ = cn.Close() }()
	if err := cn.SetReadDeadline(time.Now().Add(endingFor)); err != nil {
		return false
	}
	var one [1]byte
	_, err := cn.Read(one[:])
	var late net.Error
	if err == nil || (errors.As(err, &late) && late.Timeout()) {
		return false
	}
	return c.Refused(ctx, addr)
}

// look makes one new connection.
func (c *Client) look(ctx context.Context, addr string) (cn net.Conn, refused bool) {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	cn, err := c.dialer.DialContext(ctx, "tcp", addr)
	return cn, errors.Is(err, syscall.ECONNREFUSED)
}
