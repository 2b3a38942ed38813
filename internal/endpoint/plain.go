package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

const maxAnswer = 8 << 20

// PlainCall is one call of a plain service.
type PlainCall struct {
	URL         string // whole address
	Method      string
	ContentType string
	Run         string
	Attempt     int
	Key         string // the caller's idempotency key, or empty
	Body        []byte
	OnNotice    NoticeFunc
}

// Response is a plain service's whole answer.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// Invoke calls a plain service. An answer that names another request is dropped: the call may have run.
func (d *Driver) Invoke(ctx context.Context, c PlainCall) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, onceBody(c.Body))
	if err != nil {
		return nil, notRun(verdict.CodeInternal, "making the service request", err)
	}
	req.ContentLength = int64(len(c.Body))
	if c.ContentType != "" {
		req.Header.Set("Content-Type", c.ContentType)
	}
	if c.Key != "" {
		req.Header.Set("Idempotency-Key", c.Key)
	}
	mark(req, c.Run, c.Attempt)
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.OnNotice.tell(resp, c.Run)
	if said := resp.Header.Get(chat.HeaderVerdict); said == verdict.NotRun.String() {
		return nil, statusError(resp)
	}
	if named := resp.Header.Get(chat.HeaderRequestID); named != "" && named != c.Run {
		d.alien.Add(1)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the service's answer names another request")
	}
	return readAnswer(resp)
}

// onceBody is a body that net/http cannot send a second time. Without it, net/http repeats by itself a request with an
// Idempotency-Key whose connection breaks, also when the service has run it already.
func onceBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

func readAnswer(resp *http.Response) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeTruncated, "the service's answer ended early", verdict.WithCause(err))
	}
	if len(body) > maxAnswer {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "the service's answer is too large")
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
