package graceful

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the open connections of a server and whether a request is in progress on each. The zero value is ready
// to use.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]connection
}

type connection struct {
	active bool      // a request is in progress
	since  time.Time // when that last changed
}

// set records a change of a connection's state.
func (c *connections) set(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle, http.StateActive:
		if c.open == nil {
			c.open = make(map[net.Conn]connection)
		}
		c.open[conn] = connection{active: state == http.StateActive, since: now}
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
	}
}

// closeQuiet closes the connections that have had no request since before. It returns the number of connections that were
// open, whether it has closed them or not.
func (c *connections) closeQuiet(before time.Time) int {
	quiet, open := c.quiet(before)
	for _, conn := range quiet {
		_ = conn.Close() // the server then reports it as closed
	}
	return open
}

// quiet returns the connections that have had no request since before, and the number of all connections.
func (c *connections) quiet(before time.Time) (quiet []net.Conn, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.open {
		if !state.active && state.since.Before(before) {
			quiet = append(quiet, conn)
		}
	}
	return quiet, len(c.open)
}
