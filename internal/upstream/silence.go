package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// boundSilence lets the kernel give up a connection on which what was sent is not acknowledged within silentFor.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
