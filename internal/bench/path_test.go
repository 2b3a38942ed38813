package bench

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/instance"
	"github.com/ledgemount/ledgemount/internal/upstream"
)

// ask sends a chat request and returns the status and the body of the response.
func (tb *testbed) ask() (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodPost, tb.callersURL+"/v1/chat/completions",
		strings.NewReader(`{"model":"`+benchModel+`","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hello"}]}`))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func TestChatEdgeWithoutEndpoints(t *testing.T) {
	Convey("The chat edge of an instance that has lost its path to endpoints answers through another instance", t, func() {
		var cut atomic.Bool
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			if cut.Load() {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			return upstream.Dial(ctx, addr)
		}
		tb, err := startTestbed(instance.WithEndpointDial(dial))
		So(err, ShouldBeNil)
		defer tb.close()
		cut.Store(true)
		for range 3 {
			status, body, err := tb.ask()
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldContainSubstring, "[DONE]")
		}
		cut.Store(false)
		status, _, err := tb.ask()
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
	})
}
