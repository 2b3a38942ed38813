package graceful

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// connections tracks the open connections of a server, and which of them are idle: no request is in progress on them.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]*list.Element // nil: a request is in progress
	idle *list.List                 // of idleConn, longest first
}

type idleConn struct {
	conn  net.Conn
	since time.Time
}

func newConnections() *connections {
	return &connections{open: make(map[net.Conn]*list.Element), idle: list.New()}
}

// set records a change of a connection's state.
func (c *connections) set(conn net.Conn, state http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.open[conn]; e != nil {
		c.idle.Remove(e)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.open[conn] = c.idle.PushBack(idleConn{conn: conn, since: now})
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

// closeIdle closes the connections that have been idle since before. It returns the number of connections that were open,
// whether it has closed them or not.
func (c *connections) closeIdle(before time.Time) int {
	idle, open := c.idleSince(before)
	for _, conn := range idle {
		_ = conn.Close() // the server then reports it as closed
	}
	return open
}

func (c *connections) idleSince(before time.Time) (idle []net.Conn, open int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil; e = e.Next() {
		q := e.Value.(idleConn)
		if !q.since.Before(before) {
			break
		}
		idle = append(idle, q.conn)
	}
	return idle, len(c.open)
}

// closeLongestIdle closes the connection that has been idle for longest, if that is since before, or if there are at least
// enough idle ones. It reports whether it did.
func (c *connections) closeLongestIdle(before time.Time, enough int) bool {
	conn := c.takeLongestIdle(before, enough)
	if conn == nil {
		return false
	}
	_ = conn.Close()
	return true
}

// takeLongestIdle removes the connection that closeLongestIdle closes, and returns it; nil: there is none.
func (c *connections) takeLongestIdle(before time.Time, enough int) net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	front := c.idle.Front()
	if front == nil || (c.idle.Len() < enough && !front.Value.(idleConn).since.Before(before)) {
		return nil
	}
	q := c.idle.Remove(front).(idleConn)
	delete(c.open, q.conn)
	return q.conn
}
