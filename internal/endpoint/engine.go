// Package endpoint drives model engines and plain services.
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
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

const (
	dialTimeout   = time.Second
	idlePerHost   = 256
	idleTimeout   = time.Minute
	maxEvent      = 1 << 20
	maxErrorBody  = 4 << 10
	scannerBuffer = 4 << 10
)

// Call is one dispatch of a request to a model engine.
type Call struct {
	URL      string
	Run      string // id under which the engine knows the request
	Attempt  int
	Priority int
	Fence    int64
	Body     []byte // chat-completions request, already prepared with Prepare
	OnNotice NoticeFunc
}

// NoticeFunc is told what an endpoint reports of itself in the head of an answer; nil: nobody is.
type NoticeFunc func(w pool.Notice, status int)

// tell reads the head of an answer, unless it names another request.
func (f NoticeFunc) tell(resp *http.Response, run string) {
	if named := resp.Header.Get(chat.HeaderRequestID); f != nil && (named == "" || named == run) {
		f(answer.Notice(resp.StatusCode, resp.Header, answer.Headers{Leaving: chat.HeaderLeaving, Limit: chat.HeaderLimit}), resp.StatusCode)
	}
}

// Driver speaks to endpoints.
type Driver struct {
	http  *http.Client
	alien atomic.Int64
}

// NewDriver makes a driver with a connection pool of its own.
func NewDriver() *Driver { return NewDriverWith(NewTransport()) }

// NewDriverWith makes a driver on a transport.
func NewDriverWith(t http.RoundTripper) *Driver { return &Driver{http: &http.Client{Transport: t}} }

// NewTransport makes the connection pool that suits endpoints.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// Close drops idle connections.
func (d *Driver) Close() { d.http.CloseIdleConnections() }

// MismatchedPieces is the number of pieces of answers that were dropped because they name another request or attempt.
func (d *Driver) MismatchedPieces() int64 { return d.alien.Load() }

// Prepare turns a caller's body into what is sent to an engine: always streamed, with usage, with an output limit.
func Prepare(body []byte, limit int64) ([]byte, error) {
	var fields map[string]json.RawMessage // the caller's other fields are passed on as they are
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

// Dispatch sends a request and returns its stream once the engine has accepted it.
func (d *Driver) Dispatch(ctx context.Context, c Call) (*Stream, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+wire.PathCompletions, bytes.NewReader(c.Body))
	if err != nil {
		return nil, notRun(verdict.CodeInternal, "making the endpoint request", err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	mark(req, c.Run, c.Attempt)
	req.Header.Set(chat.HeaderPriority, strconv.Itoa(c.Priority))
	req.Header.Set(chat.HeaderFence, strconv.FormatInt(c.Fence, 10))
	return d.open(req, c.Run, c.Attempt, 0, c.OnNotice)
}

// Resume goes on with a run after offset tokens. CodeNotFound means that the engine does not know the run.
func (d *Driver) Resume(ctx context.Context, base, run string, attempt int, offset int64) (*Stream, error) {
	u := base + wire.PathStreams + url.PathEscape(run) + "?offset=" + strconv.FormatInt(offset, 10)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return nil, notRun(verdict.CodeInternal, "making the resume request", err)
	}
	mark(req, run, attempt)
	return d.open(req, run, attempt, offset, nil)
}

func mark(req *http.Request, run string, attempt int) {
	req.Header.Set(chat.HeaderRequestID, run)
	req.Header.Set(chat.HeaderAttempt, strconv.Itoa(attempt))
}

func (d *Driver) open(req *http.Request, run string, attempt int, offset int64, heard NoticeFunc) (*Stream, error) {
	resp, err := d.http.Do(req)
	if err != nil {
		return nil, sendError(req.Context(), err)
	}
	heard.tell(resp, run)
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		return nil, statusError(resp)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, scannerBuffer), maxEvent)
	return &Stream{d: d, body: resp.Body, sc: sc, run: run, attempt: attempt, next: offset}, nil
}

func notRun(c verdict.Code, detail string, err error) error {
	return verdict.New(verdict.NotRun, c, detail, verdict.WithCause(err))
}

// sendError judges a request that got no answer: one that never left has not run.
func sendError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(verdict.CodeEndpointRefused, "the endpoint cannot be reached", err)
	}
	if ctx.Err() != nil {
		return verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "ended before the endpoint answered", verdict.WithCause(err))
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the endpoint broke the connection", verdict.WithCause(err))
}

// statusError judges a refusal. Only an endpoint that says so, or a status that means it, has surely not run it.
func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	detail := "the endpoint answered " + resp.Status + ": " + strings.TrimSpace(string(b))
	v := verdict.MayHaveRun
	if said := resp.Header.Get(chat.HeaderVerdict); said != "" {
		v = verdict.Parse(said)
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

// Stop cancels a run and keeps it from starting later.
func (d *Driver) Stop(ctx context.Context, base, run string) (wire.Stopped, error) {
	var out wire.Stopped
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, base+wire.PathStreams+url.PathEscape(run), http.NoBody)
	if err != nil {
		return out, eris.Wrap(err, "making the cancel request")
	}
	return out, eris.Wrap(d.json(req, &out), "cancelling a run")
}

// Load reads an engine's report of itself.
func (d *Driver) Load(ctx context.Context, base string) (wire.Load, error) {
	var out wire.Load
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+wire.PathLoad, http.NoBody)
	if err != nil {
		return out, eris.Wrap(err, "making the load request")
	}
	return out, eris.Wrap(d.json(req, &out), "reading an endpoint's load")
}

// Order gives a fenced order.
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
	return json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(out)
}
