package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

func TestDialFailureOf(t *testing.T) {
	Convey("The log states how a connection attempt failed", t, func() {
		opError := func(err error) error {
			return eris.Wrap(errors.Join(ErrNotSent, &net.OpError{Op: "dial", Err: err}), "connecting")
		}
		for _, c := range []struct {
			err  error
			want DialFailure
		}{
			{nil, ""},
			{opError(os.NewSyscallError("connect", syscall.ECONNREFUSED)), DialRefused},
			{opError(os.NewSyscallError("connect", syscall.ECONNRESET)), DialReset},
			{opError(os.ErrDeadlineExceeded), DialTimeout},
			{opError(context.DeadlineExceeded), DialTimeout},
			{opError(os.NewSyscallError("connect", syscall.EHOSTUNREACH)), DialOther},
		} {
			So(DialFailureOf(c.err), ShouldEqual, c.want)
		}
	})
}
