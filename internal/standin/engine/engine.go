// Package engine is a stand-in for a model engine: chat completions with streams that can be resumed and cancelled.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/standin"
)

// Fault is one way in which an engine can fail.
type Fault string

// The faults.
const (
	Crash        Fault = "crash"          // closes every connection and loses its streams
	Slow         Fault = "slow"           // takes ten times as long
	Refuse       Fault = "refuse"         // responds with 503 and runs nothing
	StaleChunk   Fault = "late-answer"    // sends a chunk of an earlier attempt in the stream
	ForeignChunk Fault = "crossed-answer" // sends a chunk of another request in the stream
	CacheGap     Fault = "cache-gap"      // drops some of its cache events
	Truncate     Fault = "truncate"       // interrupts some streams before usage and end marker
)

const (
	slowFactor    = 10
	faultEvery    = 4
	maxBody       = 8 << 20
	bytesPerToken = 4
)

// Notices are the announcements that an engine sends in response headers.
type Notices struct {
	Leaving    bool   // sent in all responses: the engine accepts no new work and will shut down
	RetryAfter string // sent in rejections: the Retry-After header; not sent if empty
}

// Run is one line of the engine's log.
type Run struct {
	RequestID string
	Attempt   int
	Prompt    int64
	Output    int64  // tokens generated
	Text      uint64 // hash of the complete text
	Whole     bool
	Started   time.Time
}

// Engine is the stand-in.
type Engine struct {
	standin.Switches[Fault]

	model       string
	firstToken  time.Duration
	perToken    time.Duration
	capacity    int
	checkFences bool
	keepLog     bool

	mu        sync.Mutex
	notices   Notices
	rejected  int // number of rejected requests
	fence     int64
	version   string
	role      string
	streams   map[string]*stream
	cancelled map[string]bool
	log       []*Run
	running   int
	admitted  int64
	cache     *cache
}

// Option changes an Engine.
type Option func(*Engine)

// WithTimes sets the time to the first token and between tokens.
func WithTimes(first, per time.Duration) Option {
	return func(e *Engine) { e.firstToken, e.perToken = first, per }
}

// WithCapacity limits the number of concurrent streams.
func WithCapacity(n int) Option { return func(e *Engine) { e.capacity = n } }

// WithoutLog makes an engine without a log that also drops streams once they have ended, for long runs.
func WithoutLog() Option { return func(e *Engine) { e.keepLog = false } }

// SetTimes changes the time to the first token and between tokens of later streams.
func (e *Engine) SetTimes(first, per time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstToken, e.perToken = first, per
}

// WithoutFenceChecks makes an engine that does not compare fences.
func WithoutFenceChecks() Option { return func(e *Engine) { e.checkFences = false } }

// New makes an engine that serves one model.
func New(model string, opts ...Option) *Engine {
	e := &Engine{
		model:       model,
		firstToken:  10 * time.Millisecond,
		perToken:    time.Millisecond,
		capacity:    64,
		checkFences: true,
		keepLog:     true,
		streams:     make(map[string]*stream),
		cancelled:   make(map[string]bool),
		cache:       newCache(),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Log returns a copy of the engine's log.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.log))
	for _, r := range e.log {
		out = append(out, *r)
	}
	return out
}

// SetNotices sets the notices that the engine sends in later responses.
func (e *Engine) SetNotices(n Notices) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notices = n
}

// Rejected returns the number of requests that the engine has rejected.
func (e *Engine) Rejected() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejected
}

// writeNotices writes the engine's notices into a response header, and counts a rejection.
func (e *Engine) writeNotices(h http.Header, rejected bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notices.Leaving {
		h.Set(chat.HeaderLeaving, "1")
	}
	if rejected {
		e.rejected++
	}
	if rejected && e.notices.RetryAfter != "" {
		h.Set("Retry-After", e.notices.RetryAfter)
	}
}

// Handler serves the engine's paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathCompletions, e.guard(e.complete))
	mux.HandleFunc("GET "+wire.PathStreams+"{id}", e.guard(e.resume))
	mux.HandleFunc("DELETE "+wire.PathStreams+"{id}", e.guard(e.cancel))
	mux.HandleFunc("GET "+wire.PathLoad, e.guard(e.load))
	mux.HandleFunc("POST "+wire.PathOrders, e.guard(e.order))
	mux.HandleFunc("GET "+wire.PathEvents, e.guard(e.cacheEvents))
	mux.HandleFunc("GET "+wire.PathKV+"{block}", e.guard(e.exportKV))
	mux.HandleFunc("PUT "+wire.PathKV+"{block}", e.guard(e.importKV))
	return mux
}

// guard closes the connections of a crashed engine without a response.
func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.On(Crash) {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// SetCrash crashes the engine or restarts it. A crash loses every stream.
func (e *Engine) SetCrash(on bool) {
	e.Set(Crash, on)
	if !on {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.abort()
	}
	e.streams = make(map[string]*stream)
	e.cancelled = make(map[string]bool)
}

func refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set(chat.HeaderVerdict, "not-run")
	http.Error(w, detail, status)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	req, err := chat.ParseRequest(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	blocks := pool.Blocks(body)
	s, status := e.admit(r, req, blocks)
	e.writeNotices(w.Header(), s == nil)
	if s == nil {
		refuse(w, status, http.StatusText(status))
		return
	}
	e.send(w, r, s, 0)
}

// admit returns the stream of a request, or the status with which the engine rejects it.
func (e *Engine) admit(r *http.Request, req *chat.Request, blocks []uint64) (*stream, int) {
	id := r.Header.Get(chat.HeaderRequestID)
	attempt, _ := strconv.Atoi(r.Header.Get(chat.HeaderAttempt))
	fence, _ := strconv.ParseInt(r.Header.Get(chat.HeaderFence), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case req.Model != e.model:
		return nil, http.StatusNotFound
	case e.On(Refuse):
		return nil, http.StatusServiceUnavailable
	case e.checkFences && fence < e.fence:
		return nil, http.StatusPreconditionFailed
	case e.cancelled[id]:
		return nil, http.StatusGone
	case e.running >= e.capacity:
		return nil, http.StatusTooManyRequests
	}
	if old, ok := e.streams[id]; ok && old.attempt == attempt {
		return old, 0
	}
	e.admitted++
	for _, b := range blocks {
		e.cache.use(b, e.On(CacheGap))
	}
	s := newStream(e, id, attempt, req, e.admitted)
	e.streams[id] = s
	if e.keepLog {
		e.log = append(e.log, s.run)
	}
	e.running++
	go s.generate()
	return s, 0
}

// streamEnded records the result of a generation.
func (e *Engine) streamEnded(s *stream, output int64, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.run.Output = output
	s.run.Whole = complete
	e.running--
	if !e.keepLog {
		delete(e.streams, s.run.RequestID)
	}
}

func (e *Engine) find(r *http.Request) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[r.PathValue("id")]
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	s := e.find(r)
	if s == nil {
		refuse(w, http.StatusNotFound, "no such stream")
		return
	}
	offset, _ := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	e.send(w, r, s, offset)
}

// cancel stops a stream. If its request has not arrived yet, the engine rejects the request when it arrives.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	s := e.streams[id]
	if s == nil {
		e.cancelled[id] = true
	}
	e.mu.Unlock()
	out := wire.Stopped{RequestID: id}
	if s != nil {
		s.stop()
		out = s.stopped()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := wire.Load{Running: e.running, Capacity: e.capacity, Model: e.model, Version: e.version, Role: e.role, Fence: e.fence}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// order applies an order to the engine, unless the engine has seen a higher fence.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in wire.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFences && in.Fence < e.fence {
		refuse(w, http.StatusPreconditionFailed, "an order with a higher number was taken")
		return
	}
	e.fence = in.Fence
	if in.Version != "" {
		e.version = in.Version
	}
	if in.Role != "" {
		e.role = in.Role
	}
	w.WriteHeader(http.StatusNoContent)
}

// send writes the stream as events, from an offset in tokens.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, offset int64) {
	w.Header().Set(chat.HeaderRequestID, s.run.RequestID)
	w.Header().Set(chat.HeaderAttempt, strconv.Itoa(s.attempt))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.injectForeignChunks(w, s)
	for {
		from, to, complete, aborted := s.wait(r.Context(), offset) // a cancelled stream is reported as aborted
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() != nil {
			return
		}
		for i := from; i < to; i++ {
			if s.interrupted() || e.truncateAt(s, i) {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, s.chunk(i))
		}
		offset = to
		if complete {
			break
		}
		if rc.Flush() != nil {
			return
		}
	}
	writeEvent(w, s.finalChunk())
	_, _ = fmt.Fprintf(w, "data: %s\n\n", chat.Done)
	_ = rc.Flush()
}

// injectForeignChunks writes chunks of another request or attempt into the stream, if such a fault is on.
func (e *Engine) injectForeignChunks(w io.Writer, s *stream) {
	if e.On(ForeignChunk) && s.number%faultEvery == 0 {
		c := s.chunk(0)
		c.ID = wire.ResponseID("someone-else", 1)
		c.Choices[0].Delta.Content = "secret "
		writeEvent(w, c)
	}
	if e.On(StaleChunk) && s.number%faultEvery == 1 {
		c := s.chunk(0)
		c.ID = wire.ResponseID(s.run.RequestID, s.attempt-1)
		c.Choices[0].Delta.Content = "old "
		writeEvent(w, c)
	}
}

// truncateAt reports whether to interrupt a stream at token i. The fault interrupts some streams once, in the middle.
func (e *Engine) truncateAt(s *stream, i int64) bool {
	if !e.On(Truncate) || s.number%faultEvery != 2 || i != s.total/2 {
		return false
	}
	return s.truncated.CompareAndSwap(false, true)
}

func writeEvent(w io.Writer, c chat.Chunk) {
	b, err := json.Marshal(c)
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	}
}

// Text returns the response of every engine to a prompt: n words from a random generator that the prompt seeds.
func Text(prompt []byte, n int64) []string {
	rng := rand.New(rand.NewPCG(xxhash.Sum64(prompt), 0)) //nolint:gosec // test data
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("w%04d ", rng.IntN(10000))
	}
	return out
}

// Length returns how many tokens the engines generate for a prompt: between a quarter of the limit and the limit.
func Length(prompt []byte, limit int64) int64 {
	quarter := limit / 4
	return max(1, quarter+int64(xxhash.Sum64(prompt)%uint64(limit-quarter+1)))
}

// PromptTokens returns the number of tokens that the engines count for a prompt.
func PromptTokens(prompt []byte) int64 { return int64(len(prompt))/bytesPerToken + 1 }

// Prompt joins the contents of a request's messages.
func Prompt(req *chat.Request) []byte {
	var b []byte
	for _, m := range req.Messages {
		b = append(b, m.Content...)
	}
	return b
}
