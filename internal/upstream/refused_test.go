package upstream

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRefused(t *testing.T) {
	Convey("An address is refused once its process has ended, and not before", t, func() {
		ctx := context.Background()
		c := New()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		So(c.Refused(ctx, addr), ShouldBeFalse)
		So(c.RefusedSoon(ctx, addr), ShouldBeFalse)

		Convey("and a connection that came up is kept for the next request", func() {
			So(len(c.idle[addr]), ShouldEqual, 2)
			cn := c.pop(addr)
			So(cn.quiet(), ShouldBeTrue)
		})

		Convey("also if it still accepts a connection while it ends", func() {
			go func() {
				cn, err := l.Accept()
				_ = l.Close()
				if err == nil {
					_ = cn.Close()
				}
			}()
			So(c.RefusedSoon(ctx, addr), ShouldBeTrue)
		})

		Convey("and at once after it has ended", func() {
			_ = l.Close()
			So(c.Refused(ctx, addr), ShouldBeTrue)
			So(c.RefusedSoon(ctx, addr), ShouldBeTrue)
		})
	})
}
