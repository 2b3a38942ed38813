package pressure

import (
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testLink = 8 // Mbit/s: 1,000,000 bytes per second

func TestMonitor(t *testing.T) {
	Convey("A monitor of a link", t, func() {
		now := time.Unix(1000, 0)
		var changes []bool
		m := New(WithNow(func() time.Time { return now }), WithLink(testLink), OnChange(func(diverting bool) { changes = append(changes, diverting) }))
		p := m.policy
		advance := func(d time.Duration) { now = now.Add(d) }
		// carry simulates some count intervals in which the link carries a fraction of its capacity.
		carry := func(intervals int, share float64) {
			for range intervals {
				advance(p.CountInterval)
				m.in.Add(int64(share * 1e6 * p.CountInterval.Seconds()))
				m.Diverting()
			}
		}
		carry(1, 0)

		Convey("diverts no callers while connections are fast and the link carries little", func() {
			for range 20 {
				m.ObserveDial(time.Millisecond)
				carry(1, p.BusyShare/2)
			}
			So(m.Diverting(), ShouldBeFalse)
			So(changes, ShouldBeEmpty)
		})

		Convey("diverts callers before the link is full, and accepts them again after the hold time", func() {
			carry(1, 1.1*p.BusyShare)
			So(m.Diverting(), ShouldBeTrue)
			advance(p.HoldTime - p.CountInterval)
			carry(1, 0)
			So(m.Diverting(), ShouldBeFalse)
			So(changes, ShouldResemble, []bool{true, false})

			Convey("for longer if the link then becomes busy again", func() {
				carry(1, 1.1*p.BusyShare)
				advance(p.HoldTime + time.Second)
				So(m.Diverting(), ShouldBeTrue)
				advance(p.HoldTime)
				So(m.Diverting(), ShouldBeFalse)
			})
		})

		Convey("sees no congestion if one connection among slow ones is fast", func() {
			for range 10 {
				advance(p.Onset / 4)
				m.ObserveDial(300 * time.Millisecond)
				m.ObserveDial(300 * time.Millisecond)
				m.ObserveDial(p.SlowDial - 1)
			}
			So(m.Diverting(), ShouldBeFalse)
			So(m.Congested(), ShouldBeFalse)
		})

		Convey("diverts callers when even the fastest connections are slow for a while", func() {
			for range p.MinSamples {
				m.ObserveDial(p.SlowDial)
			}
			So(m.Congested(), ShouldBeTrue)
			So(m.Diverting(), ShouldBeFalse)
			advance(p.Onset)
			m.ObserveDial(p.SlowDial)
			So(m.Diverting(), ShouldBeTrue)
		})

		Convey("ignores old connections", func() {
			for range p.MinSamples {
				m.ObserveDial(p.SlowDial)
			}
			advance(p.Window + 1)
			So(m.Congested(), ShouldBeFalse)
		})
	})

	Convey("For a link of unknown capacity, only the connection times count", t, func() {
		now := time.Unix(1000, 0)
		m := New(WithNow(func() time.Time { return now }))
		m.Diverting()
		now = now.Add(time.Second)
		m.out.Add(1 << 40)
		So(m.Diverting(), ShouldBeFalse)
	})
}

func TestConn(t *testing.T) {
	Convey("Bytes of accepted and dialed connections are counted in both directions", t, func() {
		m := New()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		counted := m.Listener(l)
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
		c := m.Conn(raw)
		_, err = c.Write([]byte("hello"))
		So(err, ShouldBeNil)
		back, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(back), ShouldEqual, "hello")
		So(m.in.Load(), ShouldEqual, 10)
		So(m.out.Load(), ShouldEqual, 10)
	})
}
