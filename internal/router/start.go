package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Step is a part of an instance's start.
type Step string

// The steps, in the order in which they usually come.
const (
	StepListening     Step = "listening"
	StepStore         Step = "store"         // its first answer
	StepFleet         Step = "fleet"         // other instances are known, and linked in a large fleet
	StepConfiguration Step = "configuration" // one is in force
	StepEndpoints     Step = "endpoints"     // at least one takes work
	StepEscrow        Step = "escrow"        // this instance is in all pages of the budgets
	StepReady         Step = "ready"         // callers may come
	StepServed        Step = "served"        // the first request was answered
)

var startSteps = []Step{
	StepListening, StepStore, StepFleet, StepConfiguration, StepEndpoints, StepEscrow, StepReady, StepServed,
}

const (
	startLook  = 20 * time.Millisecond // between looks at what has been reached, until the instance is ready
	startQuiet = 30 * time.Second      // after that, without a request, the line is logged all the same
)

// startLine measures an instance's start and logs it as one line: the time from the start of the process to each step. Its zero time of a
// step means that it was not reached.
type startLine struct {
	begun  time.Time
	now    func() time.Time
	log    zerolog.Logger
	record func(Step, time.Duration)

	mu     sync.Mutex
	at     map[Step]time.Duration
	logged bool
	served chan struct{} // closed with the first request
}

// processBegun is when this process began, as nearly as the program can tell.
var processBegun = time.Now()

func newStartLine(log zerolog.Logger, record func(Step, time.Duration)) *startLine {
	return &startLine{
		begun: processBegun, now: time.Now, log: log, record: record, at: make(map[Step]time.Duration), served: make(chan struct{}),
	}
}

// reached notes a step; only the first time counts.
func (s *startLine) reached(step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.at[step]; ok {
		return
	}
	took := s.now().Sub(s.begun)
	s.at[step] = took
	s.record(step, took)
	if step == StepServed {
		close(s.served)
	}
}

// write logs the line, once.
func (s *startLine) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged {
		return
	}
	s.logged = true
	steps := zerolog.Dict()
	for _, step := range startSteps {
		if took, ok := s.at[step]; ok {
			steps = steps.Int64(string(step), took.Milliseconds())
		}
	}
	s.log.Info().Str("event", "start_measured").Dict("steps_ms", steps).Msg("times from the start of the process to each step")
}

// startWatch is the service that sees the steps that nothing reports.
type startWatch struct {
	line  *startLine
	steps map[Step]func() bool
}

// Name implements kernel.Service.
func (*startWatch) Name() string { return "start" }

// Run implements kernel.Service.
func (w *startWatch) Run(ctx context.Context) error {
	t := time.NewTicker(startLook)
	defer t.Stop()
	for !w.look() {
		select {
		case <-ctx.Done():
			w.line.write()
			return nil
		case <-t.C:
		}
	}
	t.Stop()
	quiet := time.NewTimer(startQuiet)
	defer quiet.Stop()
	select {
	case <-w.line.served:
	case <-quiet.C:
	case <-ctx.Done():
	}
	w.line.write()
	<-ctx.Done()
	return nil
}

// look notes the steps that have been reached, and reports whether the instance is ready.
func (w *startWatch) look() bool {
	for step, reached := range w.steps {
		if reached() {
			w.line.reached(step)
		}
	}
	return w.steps[StepReady]()
}
