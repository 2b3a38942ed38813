package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBufferBytes is the size of the kernel's buffer of what an endpoint has sent and nobody has read, which counts
// towards the memory of the machine. By default, it may grow to many megabytes for each connection.
const receiveBufferBytes = 64 << 10

// setSocketOptions sets the options of a connection to an endpoint. The kernel closes it if sent data is not acknowledged
// within silenceTimeout. That option also determines when keep-alive probes of an idle connection give up, whatever their
// count.
func setSocketOptions(_, _ string, c syscall.RawConn) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // the default would serve too
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
