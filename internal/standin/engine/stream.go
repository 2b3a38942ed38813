package engine

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
)

// stream is one generation; it goes on while nobody reads, so that it can be resumed.
type stream struct {
	engine  *Engine
	run     *Run
	attempt int
	number  int64
	words   []string
	total   int64
	cut     atomic.Bool

	mu      sync.Mutex
	at      int64 // tokens generated so far
	end     bool
	aborted bool
	halt    bool
	changed chan struct{}
	ended   chan struct{}
}

func newStream(e *Engine, id string, attempt int, req *chat.Request, number int64) *stream {
	prompt := Prompt(req)
	n := Length(prompt, req.OutputLimit())
	words := Text(prompt, n)
	return &stream{
		engine:  e,
		attempt: attempt,
		number:  number,
		words:   words,
		total:   n,
		changed: make(chan struct{}),
		ended:   make(chan struct{}),
		run: &Run{
			RequestID: id,
			Attempt:   attempt,
			Prompt:    PromptTokens(prompt),
			Text:      xxhash.Sum64String(strings.Join(words, "")),
			Started:   time.Now(),
		},
	}
}

func (s *stream) generate() {
	defer close(s.ended)
	e := s.engine
	e.mu.Lock()
	first, per := e.firstToken, e.perToken
	e.mu.Unlock()
	if e.On(Slow) {
		first, per = first*slowFactor, per*slowFactor
	}
	time.Sleep(first)
	start := time.Now()
	for !s.over() {
		s.advance(s.due(time.Since(start), per))
		if !s.over() {
			time.Sleep(max(per, time.Millisecond))
		}
	}
	s.mu.Lock()
	at, whole := s.at, s.at == s.total
	s.mu.Unlock()
	e.ended(s, at, whole)
}

// due is how many tokens should exist after a time; a sleeping generator catches up.
func (s *stream) due(since, per time.Duration) int64 {
	if per <= 0 {
		return s.total
	}
	return min(s.total, 1+int64(since/per))
}

func (s *stream) over() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end || s.halt || s.aborted
}

// broken reports whether nothing more may be sent.
func (s *stream) broken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted || (s.halt && !s.end)
}

func (s *stream) advance(to int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.halt || s.aborted || to <= s.at {
		return
	}
	s.at = to
	s.end = to == s.total
	s.wake()
}

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	s.wake()
}

// stop ends the generation and waits until it has ended.
func (s *stream) stop() {
	s.mu.Lock()
	s.halt = true
	s.wake()
	s.mu.Unlock()
	<-s.ended
}

func (s *stream) stopped() wire.Stopped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Stopped{RequestID: s.run.RequestID, Known: true, Usage: s.usage()}
}

// wait returns the tokens that are new since offset, and whether they are the last.
func (s *stream) wait(ctx context.Context, offset int64) (from, to int64, end, aborted bool) {
	for {
		s.mu.Lock()
		at, over, ab, changed := s.at, s.end, s.aborted || (s.halt && !s.end), s.changed
		s.mu.Unlock()
		if at > offset || over || ab {
			return offset, max(at, offset), over, ab
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return offset, offset, false, false
		}
	}
}

func (s *stream) usage() chat.Usage {
	return chat.Usage{PromptTokens: s.run.Prompt, CompletionTokens: s.at, TotalTokens: s.run.Prompt + s.at}
}

func (s *stream) chunk(i int64) chat.Chunk {
	return chat.Chunk{
		ID:      wire.ResponseID(s.run.RequestID, s.attempt),
		Object:  chat.ObjectChunk,
		Model:   s.engine.model,
		Choices: []chat.Choice{{Delta: &chat.Delta{Content: s.words[i]}}},
		Offset:  i,
		Tokens:  1,
	}
}

func (s *stream) last() chat.Chunk {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := chat.FinishStop
	u := s.usage()
	return chat.Chunk{
		ID:      wire.ResponseID(s.run.RequestID, s.attempt),
		Object:  chat.ObjectChunk,
		Model:   s.engine.model,
		Choices: []chat.Choice{{Delta: &chat.Delta{}, FinishReason: &stop}},
		Usage:   &u,
		Offset:  s.at,
	}
}
