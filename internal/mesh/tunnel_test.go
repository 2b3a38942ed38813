package mesh

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// tunnelTest is a tunnel whose destination is the test itself.
type tunnelTest struct {
	near net.Conn
	far  *net.TCPConn // as the destination sees it
	peer *Transport   // in between
}

func newTunnelTest(t *testing.T) *tunnelTest {
	ca, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	destination, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = destination.Close() })
	r := NewRouter()
	HandleTunnel(r, "connect", func(_ context.Context, _ Peer, req text) (net.Conn, error) { return net.Dial("tcp", req.S) })
	HandleTunnel(r, "refuse", func(context.Context, Peer, text) (net.Conn, error) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
	})
	server, client := listen(t, ca, "server", r), listen(t, ca, "client", NewRouter())
	near, err := Tunnel(context.Background(), client, server.Self().Addr, "connect", text{S: destination.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	far, err := destination.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_, err = Tunnel(context.Background(), client, server.Self().Addr, "refuse", text{})
	if verdict.From(err).Code() != verdict.CodeOverloaded {
		t.Fatalf("the refusal arrived as %v", err)
	}
	return &tunnelTest{near: near, far: far.(*net.TCPConn), peer: server}
}

func TestTunnel(t *testing.T) {
	read := func(c net.Conn) (string, error) {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		b, err := io.ReadAll(c)
		return string(b), err
	}
	Convey("Bytes pass in both directions, and the destination's end of data arrives after them", t, func() {
		x := newTunnelTest(t)
		_, err := io.WriteString(x.near, "question")
		So(err, ShouldBeNil)
		buf := make([]byte, len("question"))
		_, err = io.ReadFull(x.far, buf)
		So(err, ShouldBeNil)
		So(string(buf), ShouldEqual, "question")
		_, err = io.WriteString(x.far, "answer")
		So(err, ShouldBeNil)
		So(x.far.Close(), ShouldBeNil)
		got, err := read(x.near)
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "answer")
	})
	Convey("A reset by the destination does not look like the end of its data", t, func() {
		x := newTunnelTest(t)
		_, err := io.WriteString(x.far, "half")
		So(err, ShouldBeNil)
		So(x.far.SetLinger(0), ShouldBeNil)
		So(x.far.Close(), ShouldBeNil)
		_, err = read(x.near)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
	})
	Convey("Nor does a reset while bytes are written to the destination", t, func() {
		for _, part := range []int{10, 100_000, 400_000} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond, 200 * time.Millisecond} {
				for range *uploadPlays {
					SoMsg(fmt.Sprintf("%d bytes, reset after %v", part, delay), playResetDuringUpload(t, part, delay, true), ShouldNotBeNil)
					SoMsg(fmt.Sprintf("%d bytes, closed after %v", part, delay), playResetDuringUpload(t, part, delay, false), ShouldNotBeNil)
				}
			}
		}
	})
	Convey("Nor does the end of the instance in between", t, func() {
		x := newTunnelTest(t)
		_, err := io.WriteString(x.far, "half")
		So(err, ShouldBeNil)
		So(x.peer.Close(), ShouldBeNil)
		_, err = read(x.near)
		So(err, ShouldNotBeNil)
	})
	Convey("If the near end is closed, the connection to the destination is closed", t, func() {
		x := newTunnelTest(t)
		So(x.near.Close(), ShouldBeNil)
		_, err := read(x.far)
		var timeout net.Error
		So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse)
	})
	Convey("A destination that reads no more can still send its response", t, func() {
		x := newTunnelTest(t)
		_, err := io.WriteString(x.far, "early answer")
		So(err, ShouldBeNil)
		So(x.far.CloseRead(), ShouldBeNil)
		for range 4 {
			_, err = x.near.Write(make([]byte, 64<<10))
			So(err, ShouldBeNil)
		}
		So(x.far.CloseWrite(), ShouldBeNil)
		got, _ := read(x.near)
		So(got, ShouldEqual, "early answer")
	})
}

var uploadPlays = flag.Int("uploads.plays", 1, "how often each case of an upload whose destination resets the connection is played")

// playResetDuringUpload returns the error that ends the data of a destination that sends a part of a response and resets the
// connection, or closes it with unread data, while the near end still writes.
func playResetDuringUpload(t *testing.T, part int, delay time.Duration, reset bool) error {
	x := newTunnelTest(t)
	defer func() { _ = x.near.Close() }()
	go func() { _, _ = x.near.Write(make([]byte, 6<<20)) }()
	_, err := io.ReadFull(x.far, make([]byte, 1000))
	So(err, ShouldBeNil)
	_, err = x.far.Write(make([]byte, part))
	So(err, ShouldBeNil)
	time.Sleep(delay)
	if reset {
		So(x.far.SetLinger(0), ShouldBeNil)
	}
	So(x.far.Close(), ShouldBeNil)
	_ = x.near.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, x.near)
	return err
}

func TestTunnelsAfterRestart(t *testing.T) {
	Convey("While tunnels through a restarted instance are still open, new ones do not wait for their end", t, func() {
		ca, err := NewAuthority()
		So(err, ShouldBeNil)
		r := NewRouter()
		HandleTunnel(r, "connect", func(context.Context, Peer, text) (net.Conn, error) {
			c, _ := net.Pipe()
			return c, nil
		})
		old, client := listen(t, ca, "server", r), listen(t, ca, "client", NewRouter())
		addr := old.Self().Addr
		_, err = Tunnel(context.Background(), client, addr, "connect", text{})
		So(err, ShouldBeNil)
		_ = old.udp.Conn.Close() // like a killed process: the client is not notified

		cert, key, err := ca.Issue("server")
		So(err, ShouldBeNil)
		cfg, err := TLS(ca.PEM(), cert, key)
		So(err, ShouldBeNil)
		restarted, err := Listen(Peer{ID: "server", Zone: "z", Addr: addr}, cfg, r)
		So(err, ShouldBeNil)
		defer func() { _ = restarted.Close() }()
		connected := false
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, err = Tunnel(ctx, client, addr, "connect", text{})
			cancel()
			if connected = err == nil; connected {
				break
			}
		}
		So(connected, ShouldBeTrue)
	})
}
