package upstream

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRefused(t *testing.T) {
	Convey("Connections to an address are refused once its process has exited, and not before", t, func() {
		ctx := context.Background()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		exits := false // as soon as a connection is established
		c := New(WithWrap(func(cn net.Conn) net.Conn {
			if exits {
				_ = l.Close()
			}
			return cn
		}))
		addr := l.Addr().String()
		So(c.Refused(ctx, addr), ShouldBeFalse)
		So(c.RefusedSoon(ctx, addr), ShouldBeFalse)

		Convey("and an established connection is kept for the next request", func() {
			So(len(c.idle[addr]), ShouldEqual, 2)
			cn := c.pop(addr)
			So(cn.state(), ShouldEqual, connIdle)
		})

		Convey("also if the process still accepts a connection while it exits", func() {
			exits = true
			So(c.RefusedSoon(ctx, addr), ShouldBeTrue)
		})

		Convey("and immediately after the process has exited", func() {
			_ = l.Close()
			So(c.Refused(ctx, addr), ShouldBeTrue)
			So(c.RefusedSoon(ctx, addr), ShouldBeTrue)
		})
	})
}
