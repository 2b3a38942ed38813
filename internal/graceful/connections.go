package graceful

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the open connections of a server, and which of them are quiet: no request is in progress on them.
type connections struct {
	mu    sync.Mutex
	open  map[net.Conn]*list.Element // nil: a request is in progress
	quiet *list.List                 // of quietConn, longest first
}

type quietConn struct {
	conn  net.Conn
	since time.Time
}

func newConnections() *connections {
	return &connections{open: make(map[net.Conn]*list.Element), quiet: list.New()}
}

// set records a change of a connection's state.
func (c *connections) set(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.quiet.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = c.quiet.PushBack(quietConn{conn: conn, since: now})
	case http.StateActive:
		c.open[conn] = nil
	case http.StateHijacked, http.StateClosed:
		delete(c.open, conn)
	}
}

// size returns the number of open connections.
func (c *connections) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// closeQuiet closes the connections that have been quiet since before. It returns the number of connections that were open,
// whether it has closed them or not.
func (c *connections) closeQuiet(before time.Time) int {
	quiet, open := c.quietSince(before)
	for _, conn := range quiet {
		_ = conn.Close() // the server then reports it as closed
	}
	return open
}

func (c *connections) quietSince(before time.Time) (quiet []net.Conn, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.quiet.Front(); e != nil; e = e.Next() {
		q := e.Value.(quietConn)
		if !q.since.Before(before) {
			break
		}
		quiet = append(quiet, q.conn)
	}
	return quiet, len(c.open)
}

// closeLongestQuiet closes the connection that has been quiet for longest, if that is since before, or if there are at least
// enough quiet ones. It reports whether it did.
func (c *connections) closeLongestQuiet(before time.Time, enough int) bool {
	conn := c.takeLongestQuiet(before, enough)
	if conn == nil {
		return false
	}
	_ = conn.Close()
	return true
}

// takeLongestQuiet is closeLongestQuiet without the close. The connection no longer counts as open, since its descriptor is
// free as soon as it is closed. It returns nil if there is none.
func (c *connections) takeLongestQuiet(before time.Time, enough int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	front := c.quiet.Front()
	if front == nil || (c.quiet.Len() < enough && !front.Value.(quietConn).since.Before(before)) {
		return nil
	}
	q := c.quiet.Remove(front).(quietConn)
	delete(c.open, q.conn)
	return q.conn
}
