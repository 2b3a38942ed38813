package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/graceful"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Headers that callers may set.
const (
	HeaderKey      = "Idempotency-Key"
	HeaderBudget   = "Ledgemount-Budget"
	HeaderClass    = "Ledgemount-Class"
	HeaderDeadline = "Ledgemount-Deadline-Ms"
)

const (
	maxKeyLength = 255
	maxDeadline  = time.Hour
)

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Use(limitTimes)
	e.HTTPErrorHandler = func(err error, c echo.Context) {
		if c.Response().Committed {
			return
		}
		var he *echo.HTTPError
		if errors.As(err, &he) {
			err = verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is nothing at "+c.Request().URL.Path)
		}
		WriteProblem(c.Response(), err, "")
		if verdict.From(err).Code() != verdict.CodeBodyTimeout {
			graceful.DiscardBody(c.Response(), c.Request())
		}
	}
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", g.readyz)
	e.GET("/v1/models", g.models)
	e.POST("/v1/chat/completions", g.completions)
	e.Any("/*", g.service)
	return e
}

// Timeouts of callers. Without them, a caller that does not read or write would hold its request until it disconnects.
const (
	bodyTimeout  = 30 * time.Second // for a caller to send a body
	writeTimeout = 10 * time.Second // for a caller to receive a response that no endpoint has sent
	writeGrace   = time.Second      // after a request's deadline, to receive what was sent before
)

// limitTimes limits the times in which a caller sends its request and receives the response.
func limitTimes(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		rc := http.NewResponseController(c.Response())
		now := time.Now()
		_ = rc.SetReadDeadline(now.Add(bodyTimeout)) // the server's connections support both
		_ = rc.SetWriteDeadline(now.Add(bodyTimeout + writeTimeout))
		return next(c)
	}
}

func (g *Gateway) readyz(c echo.Context) error {
	if g.Leaving() || g.feed.Version() == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// Model is an entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

func (g *Gateway) models(c echo.Context) error {
	if _, err := g.authenticate(c.Request().Header.Get("Authorization")); err != nil {
		return err
	}
	out := ModelList{Object: "list", Data: []Model{}}
	for name, p := range g.feed.Document().Decl.Pools {
		if p.Kind == declare.KindEngine {
			out.Data = append(out.Data, Model{ID: p.Model, Object: "model", OwnedBy: name})
		}
	}
	sort.Slice(out.Data, func(i, k int) bool { return out.Data[i].ID < out.Data[k].ID })
	return c.JSON(http.StatusOK, out)
}

// newJob authenticates a request, reads its body and sets the fields that all kinds of requests share. account holds the
// memory of the body.
func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request, account *memory.Account) (*job, []byte, error) {
	if err := g.hook(r.Context(), step.Accept); err != nil {
		return nil, nil, err
	}
	if err := g.hook(r.Context(), step.Authenticate); err != nil {
		return nil, nil, err
	}
	id, err := g.authenticate(r.Header.Get("Authorization"))
	if err != nil {
		return nil, nil, err
	}
	body, err := readBody(r, g.maxBody, account)
	if err != nil {
		return nil, nil, err
	}
	j := &job{g: g, customer: id.customer, accepted: g.now(), transcript: newTranscript(), fingerprint: fingerprint(r, body)}
	if err := g.resolve(j, r, id); err != nil {
		return nil, nil, err
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Time{}) // the server reads ahead to notice that the caller leaves
	_ = rc.SetWriteDeadline(time.Now().Add(j.deadline.Sub(j.accepted) + writeGrace))
	return j, body, nil
}

func leavingError() error {
	return verdict.New(verdict.NotRun, verdict.CodeStopping, "this instance is leaving", verdict.WithRetryAfter(time.Second))
}

func readBody(r *http.Request, limit int64, account *memory.Account) ([]byte, error) {
	if !account.Grow(memory.RequestOverhead) {
		return nil, memoryExceeded()
	}
	body, _, err := memory.Read(r.Body, r.ContentLength, limit+1, account)
	switch {
	case errors.Is(err, memory.ErrExceeded):
		return nil, memoryExceeded()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.New(verdict.NotRun, verdict.CodeBodyTimeout, "the body did not come in time", verdict.WithCause(err))
	case err != nil:
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body could not be read", verdict.WithCause(err))
	case int64(len(body)) > limit:
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes",
			verdict.WithField("(body)"))
	}
	return body, nil
}

// overloadRetryAfter is the delay after which a caller that was rejected for want of memory may retry.
const overloadRetryAfter = 300 * time.Millisecond

func memoryExceeded() error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the open requests of this instance hold as much memory as they may", verdict.WithRetryAfter(overloadRetryAfter))
}

func fingerprint(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + " " + r.URL.RequestURI() + "\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// resolve sets the class, the deadline, the budget and the ID of the request.
func (g *Gateway) resolve(j *job, r *http.Request, id identity) error {
	j.class = id.class
	if name := r.Header.Get(HeaderClass); name != "" {
		j.class = name
	}
	decl := &g.feed.Document().Decl
	class, ok := decl.Classes[j.class]
	if !ok {
		return badRequest(HeaderClass, "there is no class "+strconv.Quote(j.class))
	}
	if keyClass := decl.Classes[id.class]; class.Priority < keyClass.Priority {
		return verdict.New(verdict.NotRun, verdict.CodeForbidden, "the key may not use a more urgent class", verdict.WithField(HeaderClass))
	}
	j.priority = class.Priority
	limit, err := parseDeadline(r.Header.Get(HeaderDeadline), class.Deadline())
	if err != nil {
		return err
	}
	j.deadline = j.accepted.Add(limit)
	j.budget = id.budget
	if name := r.Header.Get(HeaderBudget); name != "" {
		j.budget = name
	}
	return j.setID(r.Header.Get(HeaderKey))
}

func parseDeadline(header string, classDeadline time.Duration) (time.Duration, error) {
	if header == "" {
		return classDeadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest(HeaderDeadline, "must be a number of milliseconds from 1 to 3600000")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (j *job) setID(key string) error {
	if key == "" {
		j.id = newRequestID()
		return nil
	}
	if len(key) > maxKeyLength {
		return badRequest(HeaderKey, "must be at most 255 bytes")
	}
	j.key = key
	j.id = requestID(j.customer, key)
	return nil
}

func badRequest(field, detail string) error {
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, detail, verdict.WithField(field))
}

func (g *Gateway) completions(c echo.Context) error {
	w, r := c.Response(), c.Request()
	if !g.work.enter() {
		return leavingError()
	}
	defer g.work.leave()
	account := g.memory.Open()
	defer account.Close()
	j, body, err := g.newJob(w, r, account)
	if err != nil {
		return err
	}
	req, err := chat.ParseRequest(body)
	if err != nil {
		return err
	}
	if err := g.resolveChat(j, req, body); err != nil {
		return err
	}
	j, err = g.start(r.Context(), j)
	if err != nil {
		WriteProblem(w, err, "")
		return nil
	}
	w.Header().Set(chat.HeaderRequestID, j.id)
	if req.Stream {
		g.writeStream(r.Context(), w, j, req)
	} else {
		g.writeCompletion(r.Context(), w, j, req)
	}
	return nil
}

func (g *Gateway) resolveChat(j *job, req *chat.Request, body []byte) error {
	for name, p := range g.feed.Document().Decl.Pools {
		if p.Kind == declare.KindEngine && p.Model == req.Model {
			j.pool = name
		}
	}
	if j.pool == "" {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is no model "+strconv.Quote(req.Model), verdict.WithField("model"))
	}
	var err error
	if j.body, err = endpoint.Prepare(body, req.OutputLimit()); err != nil {
		return badRequest("(body)", err.Error())
	}
	j.repeatable = true
	j.tokens = req.TotalLimit()
	j.long = req.OutputLimit() > longOutput
	j.blocks = pool.Blocks(j.body)
	return nil
}

// writeStream sends the response as server-sent events. An error before the first piece is written as a problem
// document; a later one as an error event in place of the end marker.
func (g *Gateway) writeStream(ctx context.Context, w http.ResponseWriter, j *job, req *chat.Request) {
	rc := http.NewResponseController(w)
	headerSent := false
	sendHeader := func() {
		if headerSent {
			return
		}
		headerSent = true
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
	}
	enc := newChunkEncoder(j, req)
	err := j.transcript.follow(ctx, func(pieces []endpoint.Piece) error {
		sendHeader()
		if _, err := w.Write(enc.encode(pieces)); err != nil {
			return err
		}
		return rc.Flush()
	})
	switch {
	case err == nil:
		sendHeader()
		_, _ = io.WriteString(w, "data: "+chat.Done+"\n\n")
	case !headerSent:
		WriteProblem(w, err, j.id)
	default:
		writeErrorEvent(w, err, j.id)
	}
	_ = rc.Flush()
}

func writeEvent(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), b...), '\n', '\n'))
	return err
}

// ErrorEvent is the last event of a stream that ended prematurely.
type ErrorEvent struct {
	Error Problem `json:"error"`
}

func writeErrorEvent(w io.Writer, err error, request string) {
	_ = writeEvent(w, ErrorEvent{Error: NewProblem(err, request)})
}

func (g *Gateway) writeCompletion(ctx context.Context, w http.ResponseWriter, j *job, req *chat.Request) {
	pieces, _, err := j.transcript.complete(ctx)
	if err != nil {
		WriteProblem(w, err, j.id)
		return
	}
	var text strings.Builder
	finish := chat.FinishStop
	out := chat.Completion{ID: j.id, Object: chat.ObjectCompletion, Created: j.accepted.Unix(), Model: req.Model}
	for _, p := range pieces {
		text.WriteString(p.Text)
		if p.Finish != "" {
			finish = p.Finish
		}
		if p.Usage != nil {
			out.Usage = *p.Usage
		}
	}
	out.Choices = []chat.Choice{{Message: &chat.Delta{Role: "assistant", Content: text.String()}, FinishReason: &finish}}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(chat.HeaderVerdict, verdict.Ran.String())
	_ = json.NewEncoder(w).Encode(out)
}

// service forwards a call to a plain service.
func (g *Gateway) service(c echo.Context) error {
	w, r := c.Response(), c.Request()
	route, ok := g.route(r.URL.Path)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is nothing at "+r.URL.Path)
	}
	if !g.work.enter() {
		return leavingError()
	}
	defer g.work.leave()
	account := g.memory.Open()
	defer account.Close()
	j, body, err := g.newJob(w, r, account)
	if err != nil {
		return err
	}
	j.pool = route.Pool
	j.repeatable = route.Repeatable
	j.tokens = route.Tokens
	j.plain = &plainCall{
		route: route, path: r.URL.RequestURI(), method: r.Method, contentType: r.Header.Get("Content-Type"), body: body,
	}
	j, err = g.start(r.Context(), j)
	if err != nil {
		WriteProblem(w, err, "")
		return nil
	}
	_, resp, err := j.transcript.complete(r.Context())
	if err != nil {
		WriteProblem(w, err, j.id)
		return nil
	}
	w.Header().Set(chat.HeaderRequestID, j.id)
	w.Header().Set(chat.HeaderVerdict, verdict.Ran.String())
	return c.Blob(resp.Status, resp.ContentType, resp.Body)
}

// route returns the declared route with the longest matching path.
func (g *Gateway) route(path string) (declare.Route, bool) {
	var best declare.Route
	found := false
	for _, rt := range g.feed.Document().Decl.Routes {
		if (path == rt.Path || strings.HasPrefix(path, strings.TrimSuffix(rt.Path, "/")+"/")) && len(rt.Path) > len(best.Path) {
			best, found = rt, true
		}
	}
	return best, found
}
