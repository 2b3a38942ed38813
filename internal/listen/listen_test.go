package listen

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestTCP(t *testing.T) {
	Convey("An address that is taken is waited for", t, func() {
		holder, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := holder.Addr().String()
		waits := 0
		l, err := TCP(context.Background(), addr, OnWait(func(error) {
			waits++
			_ = holder.Close()
		}))
		So(err, ShouldBeNil)
		So(l.Addr().String(), ShouldEqual, addr)
		So(waits, ShouldEqual, 1)
		_ = l.Close()
	})
	Convey("The wait ends with its context", t, func() {
		holder, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer func() { _ = holder.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*retryInterval)
		defer cancel()
		_, err = TCP(ctx, holder.Addr().String())
		So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
	})
	Convey("An address that is no address fails at once", t, func() {
		_, err := TCP(context.Background(), "127.0.0.1:99999")
		So(err, ShouldNotBeNil)
	})
}
