package listen

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// Guards against connections that are established between the last Accept and Close, and are reset then.
func TestCloseResetsEstablishedConnections(t *testing.T) {
	Convey("After RefuseNew, the connections that peers have established can be accepted, and no others are established", t, func() {
		l, err := TCP(context.Background(), "127.0.0.1:0")
		So(err, ShouldBeNil)
		var established, accepted atomic.Int64
		var g sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range 40 {
			g.Go(func() {
				for ctx.Err() == nil {
					d := net.Dialer{}
					c, err := d.DialContext(ctx, "tcp", l.Addr().String())
					if err != nil {
						return
					}
					established.Add(1)
					_ = c.Close()
				}
			})
		}
		g.Go(func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				accepted.Add(1)
				_ = c.Close()
			}
		})
		time.Sleep(100 * time.Millisecond)
		So(l.RefuseNew(), ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		before := established.Load()
		time.Sleep(100 * time.Millisecond)
		So(established.Load(), ShouldEqual, before)
		So(accepted.Load(), ShouldEqual, before)
		cancel()
		_ = l.Close()
		g.Wait()
	})
}
