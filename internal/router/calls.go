package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/kernel"
)

// callCounts counts calls to the store by what they are for.
type callCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func newCallCounts() *callCounts { return &callCounts{counts: make(map[string]int)} }

// add counts a call as DUTY_CALL, with _stale for those that a copy was good enough for and _failed for those without an answer.
func (c *callCounts) add(call external.Call) {
	name := string(call.Duty) + "_" + call.Name
	if call.Stale {
		name += "_stale"
	}
	if call.Outcome != "ok" {
		name += "_" + call.Outcome
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[name]++
}

// take returns what was counted since it was last called.
func (c *callCounts) take() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	c.counts = make(map[string]int)
	return out
}

// callLog is the service that logs how often the store was called, and what for.
type callLog struct {
	counts *callCounts
	log    zerolog.Logger
}

// callLogEvery bounds the lines that tell of calls.
const callLogEvery = 5 * time.Second

// Name implements kernel.Service.
func (*callLog) Name() string { return "call-log" }

// Run implements kernel.Service.
func (l *callLog) Run(ctx context.Context) error {
	kernel.Every(ctx, callLogEvery, func(context.Context) { l.write() })
	return nil
}

func (l *callLog) write() {
	counts := l.counts.take()
	if len(counts) == 0 {
		return
	}
	calls := zerolog.Dict()
	for name, n := range counts {
		calls = calls.Int(name, n)
	}
	l.log.Info().Str("event", "store_calls").Dict("calls", calls).Msg("calls to the store, by what they are for")
}
