package mesh

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

type text struct {
	S string `cbor:"1,keyasint"`
}

func listen(t *testing.T, ca *Authority, id string, r *Router) *Transport {
	t.Helper()
	cert, key, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := TLS(ca.PEM(), cert, key)
	if err != nil {
		t.Fatal(err)
	}
	tr, err := Listen(Peer{ID: id, Zone: "z", Addr: "127.0.0.1:0"}, cfg, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

func TestTransport(t *testing.T) {
	ca, err := NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	r := NewRouter()
	Handle(r, "echo", func(_ context.Context, from Peer, req text) (text, error) { return text{S: from.ID + " " + req.S}, nil })
	Handle(r, "refuse", func(context.Context, Peer, text) (text, error) {
		return text{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full", verdict.WithRetryAfter(time.Second))
	})
	HandleStream(r, "count", func(_ context.Context, _ Peer, _ Empty, send func(text) error) error {
		for _, s := range []string{"a", "b", "c"} {
			if err := send(text{S: s}); err != nil {
				return err
			}
		}
		return nil
	})
	server := listen(t, ca, "server", r)
	client := listen(t, ca, "client", NewRouter())
	ctx := context.Background()

	Convey("A call returns a typed reply, and the handler receives the caller's identity", t, func() {
		out, err := Call[text, text](ctx, client, server.Self().Addr, "echo", text{S: "hello"})
		So(err, ShouldBeNil)
		So(out.S, ShouldEqual, "client hello")
	})
	Convey("An error keeps its verdict, code and retry time", t, func() {
		_, err := Call[text, text](ctx, client, server.Self().Addr, "refuse", text{})
		e := verdict.From(err)
		So(e.Verdict(), ShouldEqual, verdict.NotRun)
		So(e.Code(), ShouldEqual, verdict.CodeOverloaded)
		So(e.RetryAfter(), ShouldEqual, time.Second)
	})
	Convey("A stream arrives complete and in order", t, func() {
		var got []string
		err := Stream(ctx, client, server.Self().Addr, "count", Empty{}, func(x text) error {
			got = append(got, x.S)
			return nil
		})
		So(err, ShouldBeNil)
		So(got, ShouldResemble, []string{"a", "b", "c"})
	})
	Convey("An unknown message, as a later build may send, is refused as not run, and the connection stays open", t, func() {
		conn, err := client.conn(ctx, client.conns, server.Self().Addr)
		So(err, ShouldBeNil)
		for range 3 {
			_, err := Call[text, text](ctx, client, server.Self().Addr, "nonsense", text{})
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			out, err := Call[text, text](ctx, client, server.Self().Addr, "echo", text{S: "still here"})
			So(err, ShouldBeNil)
			So(out.S, ShouldEqual, "client still here")
		}
		same, err := client.conn(ctx, client.conns, server.Self().Addr)
		So(err, ShouldBeNil)
		So(same, ShouldEqual, conn)
	})
	Convey("A peer with a certificate of another fleet cannot call", t, func() {
		other, err := NewAuthority()
		So(err, ShouldBeNil)
		stranger := listen(t, other, "stranger", NewRouter())
		_, err = Call[text, text](ctx, stranger, server.Self().Addr, "echo", text{S: "let me in"})
		So(err, ShouldNotBeNil)
		So(errors.Is(err, ErrUnreachable) || errors.Is(err, ErrNoReply), ShouldBeTrue)
	})
	Convey("A call to an address without a peer fails with ErrUnreachable", t, func() {
		_, err := Call[text, text](ctx, client, "127.0.0.1:9", "echo", text{})
		So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
	})
}

func FuzzReadFrame(f *testing.F) {
	var b bytes.Buffer
	_, _ = writeFrame(&b, request{Version: 1, Kind: "echo"})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req request
		_ = readFrame(bytes.NewReader(data), &req)
	})
}
