package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// DialFailure is the way in which a connection attempt failed, for logs and metrics.
type DialFailure string

// The ways in which connection attempts fail.
const (
	DialRefused DialFailure = "refused" // the machine is reachable, but no process listens on the port
	DialReset   DialFailure = "reset"
	DialTimeout DialFailure = "timeout" // no response
	DialOther   DialFailure = "other"
)

// DialFailureOf returns the way in which the connection attempt that returned err failed; empty if err is nil.
func DialFailureOf(err error) DialFailure {
	var netErr net.Error
	switch {
	case err == nil:
		return ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.Is(err, syscall.ECONNRESET):
		return DialReset
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return DialTimeout
	}
	return DialOther
}
