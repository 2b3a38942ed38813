package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

const maxResponseBytes = 8 << 20

// PlainCall is a request to a plain service.
type PlainCall struct {
	URL         string // with path and query
	Method      string
	ContentType string
	Run         string
	Attempt     int
	Key         string // the caller's idempotency key, or empty
	Body        []byte
	OnNotice    NoticeFunc
}

// Response is the complete response of a plain service.
type Response struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// Invoke calls a plain service. A response that belongs to another request is dropped; the call then counts as one
// that may have run.
func (d *Driver) Invoke(ctx context.Context, c PlainCall) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, singleUseBody(c.Body))
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
	setRunHeaders(req, c.Run, c.Attempt)
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.OnNotice.notify(resp, c.Run)
	if stated := resp.Header.Get(chat.HeaderVerdict); stated == verdict.NotRun.String() {
		return nil, statusError(resp)
	}
	if id := resp.Header.Get(chat.HeaderRequestID); id != "" && id != c.Run {
		d.mismatched.Add(1)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the service's answer names another request")
	}
	return readResponse(resp)
}

// singleUseBody returns a body that net/http cannot send twice. With another body, net/http itself retries a request with
// an Idempotency-Key when the connection breaks, even if the service has already run the request.
func singleUseBody(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

func readResponse(resp *http.Response) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, verdict.New(verdict.Ran, verdict.CodeTruncated, "the service's answer ended early", verdict.WithCause(err))
	}
	if len(body) > maxResponseBytes {
		return nil, verdict.New(verdict.Ran, verdict.CodeTooLarge, "the service's answer is too large")
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
