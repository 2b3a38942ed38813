// Package endpoint is the client of model engines and plain services.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/answer"
	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/cleaneof"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/httpcheck"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	dialTimeout       = time.Second
	idlePerHost       = 256
	idleTimeout       = time.Minute
	maxEventBytes     = 1 << 20
	maxErrorBodyBytes = 4 << 10
	scannerBuffer     = 4 << 10
	maxHeaderBytes    = 16 << 10
)

// Call is a request to a model engine.
type Call struct {
	URL      string
	Run      string // ID under which the engine runs the request
	Attempt  int
	Priority int
	Fence    int64
	Body     []byte // chat-completions request, as returned by Prepare
	OnNotice NoticeFunc
}

// NoticeFunc receives the notice in the header of an endpoint's response, and the status code. It may be nil.
type NoticeFunc func(notice pool.Notice, status int)

// notify calls f with the notice in a response header, unless the response belongs to another request.
func (f NoticeFunc) notify(resp *http.Response, run string) {
	if id := resp.Header.Get(chat.HeaderRequestID); f != nil && (id == "" || id == run) {
		f(answer.Notice(resp.StatusCode, resp.Header, answer.Headers{Leaving: chat.HeaderLeaving, Limit: chat.HeaderLimit}), resp.StatusCode)
	}
}

// Driver is an HTTP client for endpoints.
type Driver struct {
	http       *http.Client
	mismatched atomic.Int64
}

// NewDriver returns a Driver with its own connection pool.
func NewDriver() *Driver { return NewDriverWith(NewTransport()) }

// NewDriverWith returns a Driver that uses a given transport, whose responses it checks.
func NewDriverWith(t http.RoundTripper) *Driver {
	return &Driver{http: &http.Client{Transport: httpcheck.Transport(t)}}
}

// NewTransport returns a transport with a connection pool sized for endpoints.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         cleaneof.Dial((&net.Dialer{Timeout: dialTimeout}).DialContext),
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// By default, the transport holds up to 10 MB of each header.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close closes idle connections.
func (d *Driver) Close() { d.http.CloseIdleConnections() }

// MismatchedPieces returns the number of pieces of responses that were dropped because they belong to another request or
// attempt, or were received before.
func (d *Driver) MismatchedPieces() int64 { return d.mismatched.Load() }

// Prepare converts the body of a caller's request into the one that is sent to an engine. It always requests a stream,
// usage and an output limit.
func Prepare(body []byte, limit int64) ([]byte, error) {
	var fields map[string]json.RawMessage // the caller's other fields are forwarded unchanged
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, eris.Wrap(err, "preparing a request")
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(limit, 10))
	delete(fields, "max_completion_tokens")
	b, err := json.Marshal(fields)
	return b, eris.Wrap(err, "encoding a request")
}

// Dispatch sends a request and returns its stream after the engine has accepted it.
func (d *Driver) Dispatch(ctx context.Context, c Call) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+wire.PathCompletions, bytes.NewReader(c.Body))
	if err != nil {
		return nil, notRun(verdict.CodeInternal, "making the endpoint request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	setRunHeaders(req, c.Run, c.Attempt)
	req.Header.Set(chat.HeaderPriority, strconv.Itoa(c.Priority))
	req.Header.Set(chat.HeaderFence, strconv.FormatInt(c.Fence, 10))
	return d.openStream(req, c.Run, c.Attempt, 0, c.OnNotice)
}

// Resume continues the stream of a run after offset tokens. CodeNotFound means that the engine does not have the run.
func (d *Driver) Resume(ctx context.Context, base, run string, attempt int, offset int64) (*Stream, error) {
	u := base + wire.PathStreams + url.PathEscape(run) + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, notRun(verdict.CodeInternal, "making the resume request", err)
	}
	setRunHeaders(req, run, attempt)
	return d.openStream(req, run, attempt, offset, nil)
}

func setRunHeaders(req *http.Request, run string, attempt int) {
	req.Header.Set(chat.HeaderRequestID, run)
	req.Header.Set(chat.HeaderAttempt, strconv.Itoa(attempt))
}

func (d *Driver) openStream(req *http.Request, run string, attempt int, offset int64, onNotice NoticeFunc) (*Stream, error) {
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, sendError(req.Context(), err)
	}
	onNotice.notify(resp, run)
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusError(resp)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, scannerBuffer), maxEventBytes)
	return &Stream{d: d, body: resp.Body, sc: sc, run: run, attempt: attempt, nextOffset: offset}, nil
}

func notRun(c verdict.Code, detail string, err error) error {
	return verdict.New(verdict.NotRun, c, detail, verdict.WithCause(err))
}

// sendError returns the error for a request without a response. It has not run if no connection could be opened.
func sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(verdict.CodeEndpointRefused, "the endpoint cannot be reached", err)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "ended before the endpoint answered", verdict.WithCause(err))
	}
	if cause := httpcheck.Cause(err); cause != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the endpoint's response is invalid: "+cause.Error(), verdict.WithCause(err))
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the endpoint broke the connection", verdict.WithCause(err))
}

// statusError returns the error for an error status. The request has not run only if the endpoint states so in
// HeaderVerdict or, without that header, if the status is below 500.
func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	detail := "the endpoint answered " + resp.Status + ": " + strings.TrimSpace(string(b))
	v := verdict.MayHaveRun
	if stated := resp.Header.Get(chat.HeaderVerdict); stated != "" {
		v = verdict.Parse(stated)
	} else if resp.StatusCode < http.StatusInternalServerError {
		v = verdict.NotRun
	}
	return verdict.New(v, codeOf(resp.StatusCode), detail)
}

func codeOf(status int) verdict.Code {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return verdict.CodeBadRequest
	case http.StatusNotFound:
		return verdict.CodeNotFound
	case http.StatusTooManyRequests:
		return verdict.CodeOverloaded
	case http.StatusPreconditionFailed, http.StatusGone:
		return verdict.CodeStopping
	case http.StatusServiceUnavailable:
		return verdict.CodeEndpointRefused
	}
	return verdict.CodeEndpointFailed
}

// Stop cancels a run and prevents it from starting later.
func (d *Driver) Stop(ctx context.Context, base, run string) (wire.Stopped, error) {
	var out wire.Stopped
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+wire.PathStreams+url.PathEscape(run), http.NoBody)
	if err != nil {
		return out, eris.Wrap(err, "making the cancel request")
	}
	return out, eris.Wrap(d.json(req, &out), "cancelling a run")
}

// Load returns the load that an engine reports.
func (d *Driver) Load(ctx context.Context, base string) (wire.Load, error) {
	var out wire.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+wire.PathLoad, http.NoBody)
	if err != nil {
		return out, eris.Wrap(err, "making the load request")
	}
	return out, eris.Wrap(d.json(req, &out), "reading an endpoint's load")
}

// Order sends an order with a fencing token to an engine.
func (d *Driver) Order(ctx context.Context, base string, o wire.Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encoding an order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+wire.PathOrders, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "making the order request")
	}
	req.Header.Set("Content-Type", "application/json")
	return eris.Wrap(d.json(req, nil), "giving an order")
}

func (d *Driver) json(req *http.Request, out any) error {
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusError(resp)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(out)
}
