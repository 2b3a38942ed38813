package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel close a connection if sent data is not acknowledged within silenceTimeout. The option
// also determines when keep-alive probes of an idle connection give up, whatever their count.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
