package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// probeTimeout is the connection timeout when probing an endpoint whose response was interrupted. A port without a
	// process refuses a connection within one round trip, which takes some milliseconds between availability zones.
	probeTimeout = 30 * time.Millisecond
	// exitGrace is how long an exiting process may still accept connections: its sockets close one after the other.
	exitGrace = 50 * time.Millisecond
	// probeRetryDelay is the delay before a probe that got no response is repeated, since packets may have been lost.
	probeRetryDelay = 200 * time.Millisecond
	// maxProbes is the maximum number of probes in one call of RefusedSoon.
	maxProbes = 3
)

// probeResult is the result of probing an address.
type probeResult int

const (
	probeConnected  probeResult = iota // a connection was established
	probeRefused                       // the machine is reachable, but no process listens on the port
	probeNoResponse                    // no response: the machine is disconnected or has no power, or packets were lost
)

// Refused reports whether a new connection to an address is refused. A machine that is disconnected or has no power does
// not respond at all, which does not count as refused. If the connection is established, it is kept for the next request.
func (c *Client) Refused(ctx context.Context, addr string) bool {
	cn, res := c.probe(ctx, addr)
	if cn != nil {
		c.put(cn, nil)
	}
	return res == probeRefused
}

// RefusedSoon is like Refused, for an address that has not refused a connection a moment ago. If the address does not
// respond, or closes a connection within exitGrace, it is probed again.
func (c *Client) RefusedSoon(ctx context.Context, addr string) bool {
	for range maxProbes {
		cn, res := c.probe(ctx, addr)
		switch {
		case res == probeRefused:
			return true
		case res == probeNoResponse:
			sleep(ctx, probeRetryDelay)
		case staysOpen(cn):
			c.put(cn, nil)
			return false
		default:
			_ = cn.Close()
		}
	}
	return false
}

// staysOpen reports whether a new connection is still open after exitGrace.
func staysOpen(cn *conn) bool {
	if err := cn.SetReadDeadline(time.Now().Add(exitGrace)); err != nil {
		return false
	}
	_, err := cn.br.Peek(1)
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// probe tries to establish one new connection. The connection is nil unless the result is probeConnected.
func (c *Client) probe(ctx context.Context, addr string) (*conn, probeResult) {
	cn, err := c.open(ctx, addr, probeTimeout)
	switch {
	case err == nil:
		return cn, probeConnected
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, probeRefused
	}
	return nil, probeNoResponse
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
