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
	// lookAgain is the pause before a look that got no answer at all is repeated, and mostLooks how often: packets are lost.
	lookAgain = 200 * time.Millisecond
	mostLooks = 3
)

// looked is what a look at an address has shown.
type looked int

const (
	lookedOpen    looked = iota // a connection came up
	lookedRefused               // the machine answers, and no process listens there
	lookedNothing               // no answer: the machine is cut off or without power, or packets were lost
)

// Refused reports whether a new connection to an address is refused. A machine that is cut off or without power says nothing, and does not count.
// A connection that comes up is kept for the next request.
func (c *Client) Refused(ctx context.Context, addr string) bool {
	cn, saw := c.look(ctx, addr)
	if cn != nil {
		c.put(cn, nil)
	}
	return saw == lookedRefused
}

// RefusedSoon is Refused for an address that has not refused just now: if it closes a connection within a moment, or says nothing, it is looked
// at again.
func (c *Client) RefusedSoon(ctx context.Context, addr string) bool {
	for range mostLooks {
		cn, saw := c.look(ctx, addr)
		switch {
		case saw == lookedRefused:
			return true
		case saw == lookedNothing:
			pause(ctx, lookAgain)
		case staysOpen(cn):
			c.put(cn, nil)
			return false
		default:
			_ = cn.Close()
		}
	}
	return false
}

// staysOpen reports whether a new connection is still open after a moment.
func staysOpen(cn *conn) bool {
	if err := cn.SetReadDeadline(time.Now().Add(endingFor)); err != nil {
		return false
	}
	_, err := cn.br.Peek(1)
	var late net.Error
	return errors.As(err, &late) && late.Timeout()
}

// look makes one new connection; nil: none came up.
func (c *Client) look(ctx context.Context, addr string) (*conn, looked) {
	ctx, cancel := context.WithTimeout(ctx, lookLimit)
	defer cancel()
	nc, err := c.dialer.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		return c.connOf(nc, addr), lookedOpen
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, lookedRefused
	}
	return nil, lookedNothing
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
