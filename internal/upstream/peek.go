package upstream

import (
	"errors"
	"net"
	"syscall"
)

// connState is the state of a connection on which no response is expected.
type connState int

const (
	connIdle    connState = iota // open, without unread data
	connClosed                   // by the peer, or unusable
	connSurplus                  // the peer has sent data that belongs to no request
)

// peekState returns the state of a connection. It consumes nothing.
func peekState(c net.Conn) connState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return connIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = connIdle
		case err == nil && n > 0:
			state = connSurplus
		}
	})
	if err != nil {
		return connClosed
	}
	return state
}
