package pressure

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testLink = 8 // Mbit/s: 1,000,000 bytes a second

func TestGauge(t *testing.T) {
	Convey("A gauge of a link", t, func() {
		now := time.Unix(1000, 0)
		var told []bool
		g := New(WithNow(func() time.Time { return now }), WithLink(testLink), OnChange(func(away bool) { told = append(told, away) }))
		p := g.policy
		pass := func(d time.Duration) { now = now.Add(d) }
		// carry lets some spans pass in which the link carries a share of what it can.
		carry := func(spans int, share float64) {
			for range spans {
				pass(p.CountInterval)
				g.in.Add(int64(share * 1e6 * p.CountInterval.Seconds()))
				g.Diverting()
			}
		}
		carry(1, 0)

		Convey("is calm while connections come up fast and little is carried", func() {
			for range 20 {
				g.ObserveDial(time.Millisecond)
				carry(1, p.BusyShare/2)
			}
			So(g.Diverting(), ShouldBeFalse)
			So(told, ShouldBeEmpty)
		})

		Convey("sends callers away before the link is full, and takes them again after a rest", func() {
			carry(1, 1.1*p.BusyShare)
			So(g.Diverting(), ShouldBeTrue)
			pass(p.HoldTime - p.CountInterval)
			carry(1, 0)
			So(g.Diverting(), ShouldBeFalse)
			So(told, ShouldResemble, []bool{true, false})

			Convey("for longer where that fills it again", func() {
				carry(1, 1.1*p.BusyShare)
				pass(p.HoldTime + time.Second)
				So(g.Diverting(), ShouldBeTrue)
				pass(p.HoldTime)
				So(g.Diverting(), ShouldBeFalse)
			})
		})

		Convey("takes one fast connection among slow ones for a calm link", func() {
			for range 10 {
				pass(p.Onset / 4)
				g.ObserveDial(300 * time.Millisecond)
				g.ObserveDial(300 * time.Millisecond)
				g.ObserveDial(p.SlowDial - 1)
			}
			So(g.Diverting(), ShouldBeFalse)
			So(g.Congested(), ShouldBeFalse)
		})

		Convey("sends callers away when even the fastest connections are slow for a while", func() {
			for range p.MinSamples {
				g.ObserveDial(p.SlowDial)
			}
			So(g.Congested(), ShouldBeTrue)
			So(g.Diverting(), ShouldBeFalse)
			pass(p.Onset)
			g.ObserveDial(p.SlowDial)
			So(g.Diverting(), ShouldBeTrue)
		})

		Convey("forgets old connections", func() {
			for range p.MinSamples {
				g.ObserveDial(p.SlowDial)
			}
			pass(p.Window + 1)
			So(g.Congested(), ShouldBeFalse)
		})
	})

	Convey("A link whose size is not known is judged by its connections alone", t, func() {
		now := time.Unix(1000, 0)
		g := New(WithNow(func() time.Time { return now }))
		g.Diverting()
		now = now.Add(time.Second)
		g.out.Add(1 << 40)
		So(g.Diverting(), ShouldBeFalse)
	})
}

func TestConn(t *testing.T) {
	Convey("Bytes of taken and of made connections are counted both ways", t, func() {
		g := New()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		counted := g.Listener(l)
		defer func() { _ = counted.Close() }()
		go func() {
			c, err := counted.Accept()
			if err != nil {
				return
			}
			_, _ = io.CopyN(c, c, 5)
			_ = c.Close()
		}()
		raw, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		c := g.Conn(raw)
		_, err = c.Write([]byte("hello"))
		So(err, ShouldBeNil)
		back, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(back), ShouldEqual, "hello")
		So(g.in.Load(), ShouldEqual, 10)
		So(g.out.Load(), ShouldEqual, 10)
	})
}
