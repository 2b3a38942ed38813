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

// stream is one generation. It continues without a reader, so that a reader can resume it.
type stream struct {
	engine    *Engine
	run       *Run
	attempt   int
	number    int64
	words     []string
	total     int64
	truncated atomic.Bool

	mu        sync.Mutex
	generated int64 // tokens generated so far
	completed bool
	aborted   bool
	cancelled bool
	changed   chan struct{}
	ended     chan struct{}
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
	for !s.finished() {
		s.advance(s.due(time.Since(start), per))
		if !s.finished() {
			time.Sleep(max(per, time.Millisecond))
		}
	}
	s.mu.Lock()
	generated, complete := s.generated, s.generated == s.total
	s.mu.Unlock()
	e.streamEnded(s, generated, complete)
}

// due returns how many tokens must have been generated after a time. The generator catches up after a long sleep.
func (s *stream) due(since, per time.Duration) int64 {
	if per <= 0 {
		return s.total
	}
	return min(s.total, 1+int64(since/per))
}

func (s *stream) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.completed || s.cancelled || s.aborted
}

// interrupted reports whether the stream was aborted or cancelled before it was complete, so that nothing more is sent.
func (s *stream) interrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aborted || (s.cancelled && !s.completed)
}

func (s *stream) advance(to int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelled || s.aborted || to <= s.generated {
		return
	}
	s.generated = to
	s.completed = to == s.total
	s.notifyReaders()
}

// notifyReaders wakes up all waiting readers. The caller must hold the stream's lock.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.aborted = true
	s.notifyReaders()
}

// stop cancels the generation and waits until it has ended.
func (s *stream) stop() {
	s.mu.Lock()
	s.cancelled = true
	s.notifyReaders()
	s.mu.Unlock()
	<-s.ended
}

func (s *stream) stopped() wire.Stopped {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Stopped{RequestID: s.run.RequestID, Known: true, Usage: s.usage()}
}

// wait waits for tokens after offset. It returns their range, and whether the stream is complete or was interrupted.
func (s *stream) wait(ctx context.Context, offset int64) (from, to int64, completed, aborted bool) {
	for {
		s.mu.Lock()
		generated, done, interrupted, changed := s.generated, s.completed, s.aborted || (s.cancelled && !s.completed), s.changed
		s.mu.Unlock()
		if generated > offset || done || interrupted {
			return offset, max(generated, offset), done, interrupted
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return offset, offset, false, false
		}
	}
}

func (s *stream) usage() chat.Usage {
	return chat.Usage{PromptTokens: s.run.Prompt, CompletionTokens: s.generated, TotalTokens: s.run.Prompt + s.generated}
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

func (s *stream) finalChunk() chat.Chunk {
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
		Offset:  s.generated,
	}
}
