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
	Crash         Fault = "crash"          // breaks every connection and forgets its streams
	Slow          Fault = "slow"           // takes ten times as long
	Refuse        Fault = "refuse"         // answers 503, has run nothing
	LateAnswer    Fault = "late-answer"    // sends pieces of an earlier attempt into the stream
	CrossedAnswer Fault = "crossed-answer" // sends a piece of another request into the stream
	CacheGap      Fault = "cache-gap"      // loses some of its cache events
	Truncate      Fault = "truncate"       // some streams end without usage and end marker
)

const (
	slowFactor    = 10
	faultEvery    = 4
	maxBody       = 8 << 20
	bytesPerToken = 4
)

// Words are what an engine reports of itself in its answers.
type Words struct {
	Leaving bool   // in all answers: it takes no new work, and will end
	Rest    string // in answers that turn a request away: for how long it wants no more; empty: it does not say
}

// Run is one line of the engine's log.
type Run struct {
	RequestID string
	Attempt   int
	Prompt    int64
	Output    int64  // tokens generated
	Text      uint64 // hash of the whole text
	Whole     bool
	Started   time.Time
}

// Engine is the stand-in.
type Engine struct {
	standin.Switches[Fault]

	model      string
	firstToken time.Duration
	perToken   time.Duration
	capacity   int
	checks     bool
	keep       bool

	mu      sync.Mutex
	words   Words
	turned  int // requests that it has turned away
	fence   int64
	loaded  string
	role    string
	streams map[string]*stream
	tombs   map[string]bool
	log     []*Run
	running int
	n       int64
	cache   *cache
}

// Option changes an Engine.
type Option func(*Engine)

// WithTimes sets the time to the first token and between tokens.
func WithTimes(first, per time.Duration) Option {
	return func(e *Engine) { e.firstToken, e.perToken = first, per }
}

// WithCapacity limits the streams that run together.
func WithCapacity(n int) Option { return func(e *Engine) { e.capacity = n } }

// WithoutLog makes an engine that keeps no log and forgets streams that have ended, for long runs.
func WithoutLog() Option { return func(e *Engine) { e.keep = false } }

// SetTimes changes the time to the first token and between tokens of later streams.
func (e *Engine) SetTimes(first, per time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstToken, e.perToken = first, per
}

// WithoutChecks makes an engine that does not compare fences.
func WithoutChecks() Option { return func(e *Engine) { e.checks = false } }

// New makes an engine that serves one model.
func New(model string, opts ...Option) *Engine {
	e := &Engine{
		model:      model,
		firstToken: 10 * time.Millisecond,
		perToken:   time.Millisecond,
		capacity:   64,
		checks:     true,
		keep:       true,
		streams:    make(map[string]*stream),
		tombs:      make(map[string]bool),
		cache:      newCache(),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Log returns a copy of what the engine ran.
func (e *Engine) Log() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.log))
	for _, r := range e.log {
		out = append(out, *r)
	}
	return out
}

// Say sets what the engine reports of itself in its answers from now on.
func (e *Engine) Say(w Words) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.words = w
}

// Turned is the number of requests that the engine has turned away.
func (e *Engine) Turned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.turned
}

// say writes the engine's words into the head of an answer.
func (e *Engine) say(h http.Header, turned bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.words.Leaving {
		h.Set(chat.HeaderLeaving, "1")
	}
	if turned {
		e.turned++
	}
	if turned && e.words.Rest != "" {
		h.Set("Retry-After", e.words.Rest)
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

func (e *Engine) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.On(Crash) {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

// SetCrash crashes the engine or brings it back. A crash forgets every stream.
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
	e.tombs = make(map[string]bool)
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
	e.say(w.Header(), s == nil)
	if s == nil {
		refuse(w, status, http.StatusText(status))
		return
	}
	e.send(w, r, s, 0)
}

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
	case e.checks && fence < e.fence:
		return nil, http.StatusPreconditionFailed
	case e.tombs[id]:
		return nil, http.StatusGone
	case e.running >= e.capacity:
		return nil, http.StatusTooManyRequests
	}
	if old, ok := e.streams[id]; ok && old.attempt == attempt {
		return old, 0
	}
	e.n++
	for _, b := range blocks {
		e.cache.store(b, e.On(CacheGap))
	}
	s := newStream(e, id, attempt, req, e.n)
	e.streams[id] = s
	if e.keep {
		e.log = append(e.log, s.run)
	}
	e.running++
	go s.generate()
	return s, 0
}

func (e *Engine) ended(s *stream, output int64, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.run.Output = output
	s.run.Whole = whole
	e.running--
	if !e.keep {
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

// cancel stops a stream, and keeps a request that has not arrived yet from ever running.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	s := e.streams[id]
	if s == nil {
		e.tombs[id] = true
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
	out := wire.Load{Running: e.running, Capacity: e.capacity, Model: e.model, Version: e.loaded, Role: e.role, Fence: e.fence}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var in wire.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&in); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && in.Fence < e.fence {
		refuse(w, http.StatusPreconditionFailed, "an order with a higher number was taken")
		return
	}
	e.fence = in.Fence
	if in.Version != "" {
		e.loaded = in.Version
	}
	if in.Role != "" {
		e.role = in.Role
	}
	w.WriteHeader(http.StatusNoContent)
}

// send writes the stream from an offset in tokens, as events or as one answer.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, offset int64) {
	w.Header().Set(chat.HeaderRequestID, s.run.RequestID)
	w.Header().Set(chat.HeaderAttempt, strconv.Itoa(s.attempt))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	e.meddle(w, s)
	for {
		from, to, end, aborted := s.wait(r.Context(), offset) // a cancelled stream counts as aborted
		if aborted {
			panic(http.ErrAbortHandler)
		}
		if r.Context().Err() != nil {
			return
		}
		for i := from; i < to; i++ {
			if s.broken() || e.cutHere(s, i) {
				panic(http.ErrAbortHandler)
			}
			writeEvent(w, s.chunk(i))
		}
		offset = to
		if end {
			break
		}
		if rc.Flush() != nil {
			return
		}
	}
	writeEvent(w, s.last())
	_, _ = fmt.Fprintf(w, "data: %s\n\n", chat.Done)
	_ = rc.Flush()
}

// meddle writes pieces that belong to someone else into the stream, if such a fault is on.
func (e *Engine) meddle(w io.Writer, s *stream) {
	if e.On(CrossedAnswer) && s.number%faultEvery == 0 {
		c := s.chunk(0)
		c.ID = wire.ResponseID("someone-else", 1)
		c.Choices[0].Delta.Content = "secret "
		writeEvent(w, c)
	}
	if e.On(LateAnswer) && s.number%faultEvery == 1 {
		c := s.chunk(0)
		c.ID = wire.ResponseID(s.run.RequestID, s.attempt-1)
		c.Choices[0].Delta.Content = "old "
		writeEvent(w, c)
	}
}

// cutHere breaks some streams once, in the middle.
func (e *Engine) cutHere(s *stream, i int64) bool {
	if !e.On(Truncate) || s.number%faultEvery != 2 || i != s.total/2 {
		return false
	}
	return s.cut.CompareAndSwap(false, true)
}

func writeEvent(w io.Writer, c chat.Chunk) {
	b, err := json.Marshal(c)
	if err == nil {
		_, _ = fmt.Fprintf(w, "data: %s\n\n", b)
	}
}

// Text is the answer that every engine gives to a prompt: n words drawn from a generator seeded by the prompt.
func Text(prompt []byte, n int64) []string {
	rng := rand.New(rand.NewPCG(xxhash.Sum64(prompt), 0)) //nolint:gosec // test data
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("w%04d ", rng.IntN(10000))
	}
	return out
}

// Length is how many tokens the engines generate for a prompt: between a quarter of the limit and all of it.
func Length(prompt []byte, limit int64) int64 {
	quarter := limit / 4
	return max(1, quarter+int64(xxhash.Sum64(prompt)%uint64(limit-quarter+1)))
}

// PromptTokens is how the engines count a prompt.
func PromptTokens(prompt []byte) int64 { return int64(len(prompt))/bytesPerToken + 1 }

// Prompt joins the contents of a request's messages.
func Prompt(req *chat.Request) []byte {
	var b []byte
	for _, m := range req.Messages {
		b = append(b, m.Content...)
	}
	return b
}
