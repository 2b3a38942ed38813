package endpoint

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// calls are all calls to endpoints.
var calls = map[string]func(ctx context.Context, d *Driver, url string) error{
	"plain service": func(_ context.Context, d *Driver, url string) error { return invoke(d, url) },
	"stream":        func(_ context.Context, d *Driver, url string) error { return dispatch(d, url) },
	"resumption": func(ctx context.Context, d *Driver, url string) error {
		_, err := d.Resume(ctx, url, "run", 1, 1)
		return err
	},
	"stop": func(ctx context.Context, d *Driver, url string) error {
		_, err := d.Stop(ctx, url, "run")
		return err
	},
	"load": func(ctx context.Context, d *Driver, url string) error {
		_, err := d.Load(ctx, url)
		return err
	},
	"order": func(ctx context.Context, d *Driver, url string) error { return d.Order(ctx, url, wire.Order{}) },
	"cache events": func(ctx context.Context, d *Driver, url string) error {
		_, err := d.CacheEvents(ctx, url, 0)
		return err
	},
	"export": func(ctx context.Context, d *Driver, url string) error {
		_, err := d.ExportKV(ctx, url, 1)
		return err
	},
	"import": func(ctx context.Context, d *Driver, url string) error { return d.ImportKV(ctx, url, 1, []byte("b")) },
}

const jsonObject = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"

// expectInvalid checks that no call takes raw bytes for a response, and that none concludes that the request has not run.
func expectInvalid(t *testing.T, raw string) {
	for name, call := range calls {
		url := rawEndpoint(t, func(c net.Conn) { _, _ = io.WriteString(c, raw) })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		d := NewDriver()
		err := call(ctx, d, url)
		SoMsg(name+": "+raw, err, ShouldNotBeNil)
		SoMsg(name+": "+raw, verdict.Of(err), ShouldNotEqual, verdict.NotRun)
		d.Close()
		cancel()
	}
}

// Guards against a response without a valid status that counts as a success, or as a rejection of a request that has run.
func TestInvalidStatusIsResponse(t *testing.T) {
	Convey("A response with a status under 100, or that switches the protocol, is no response", t, func() {
		for _, status := range []string{"000", "099", "101"} {
			expectInvalid(t, "HTTP/1.1 "+status+" Unknown\r\n"+jsonObject)
			expectInvalid(t, "HTTP/1.1 "+status+" Unknown\r\n\r\nHTTP/1.1 200 OK\r\n"+jsonObject)
		}
	})
}

// Guards against a response whose header has a field with an invalid name, and a body that is not the endpoint's.
func TestInvalidFieldNameIsServed(t *testing.T) {
	Convey("A response is none if a name in its header or an interim response is invalid", t, func() {
		for _, line := range []string{"X Odd: 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X\tOdd: 1", "X\x00Odd: 1", "X\x7f: 1"} {
			expectInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+jsonObject)
			expectInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Type: application/json\r\n\r\n{}")
			expectInvalid(t, "HTTP/1.1 404 Not Found\r\n"+line+"\r\n"+jsonObject)
			expectInvalid(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+jsonObject)
		}
	})
	Convey("So is one whose trailer has such a name", t, func() {
		for _, line := range []string{"X Odd: 1", "X\tOdd: 1", "X\x00Odd: 1"} {
			url := rawEndpoint(t, func(c net.Conn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+line+"\r\n\r\n")
			})
			d := NewDriver()
			SoMsg(line, invoke(d, url), ShouldNotBeNil)
			d.Close()
		}
	})
	Convey("A response after interim ones is served", t, func() {
		url := rawEndpoint(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n")
		})
		d := NewDriver()
		defer d.Close()
		So(invoke(d, url), ShouldBeNil)
	})
}
