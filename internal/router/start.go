package router

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Step is a milestone in the start of an instance.
type Step string

// Steps in their usual order.
const (
	StepListening     Step = "listening"     // the listeners are open
	StepStore         Step = "store"         // the store has responded for the first time
	StepFleet         Step = "fleet"         // other instances are known, and in a large fleet also connected
	StepConfiguration Step = "configuration" // a configuration is in force
	StepEndpoints     Step = "endpoints"     // at least one endpoint accepts work
	StepEscrow        Step = "escrow"        // this instance is a holder in all pages of the budgets
	StepReady         Step = "ready"         // the instance is ready for callers
	StepServed        Step = "served"        // the first request was served
)

var startSteps = []Step{
	StepListening, StepStore, StepFleet, StepConfiguration, StepEndpoints, StepEscrow, StepReady, StepServed,
}

const (
	startPollInterval = 20 * time.Millisecond // between polls of the steps, until the instance is ready
	startLogTimeout   = 30 * time.Second      // maximum wait for the first served request, before the line is logged without it
)

// startRecorder measures the time from the start of the process to each step, and logs the times of all steps in one
// line. Steps that were not reached are left out.
type startRecorder struct {
	started time.Time
	now     func() time.Time
	log     zerolog.Logger
	record  func(Step, time.Duration)

	mu      sync.Mutex
	elapsed map[Step]time.Duration
	logged  bool
	served  chan struct{} // closed when the first request has been served
}

// processStart approximates the start time of the process by the initialization of this package.
var processStart = time.Now()

func newStartRecorder(log zerolog.Logger, record func(Step, time.Duration)) *startRecorder {
	return &startRecorder{
		started: processStart, now: time.Now, log: log, record: record, elapsed: make(map[Step]time.Duration), served: make(chan struct{}),
	}
}

// reached records the first time at which a step is reached.
func (s *startRecorder) reached(step Step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.elapsed[step]; ok {
		return
	}
	took := s.now().Sub(s.started)
	s.elapsed[step] = took
	s.record(step, took)
	if step == StepServed {
		close(s.served)
	}
}

// write logs the line on its first call only.
func (s *startRecorder) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logged {
		return
	}
	s.logged = true
	steps := zerolog.Dict()
	for _, step := range startSteps {
		if took, ok := s.elapsed[step]; ok {
			steps = steps.Int64(string(step), took.Milliseconds())
		}
	}
	s.log.Info().Str("event", "start_measured").Dict("steps_ms", steps).Msg("times from the start of the process to each step")
}

// startWatcher is the service that polls for the steps that no component reports.
type startWatcher struct {
	recorder *startRecorder
	steps    map[Step]func() bool
}

// Name implements kernel.Service.
func (*startWatcher) Name() string { return "start" }

// Run implements kernel.Service.
func (w *startWatcher) Run(ctx context.Context) error {
	t := time.NewTicker(startPollInterval)
	defer t.Stop()
	for !w.poll() {
		select {
		case <-ctx.Done():
			w.recorder.write()
			return nil
		case <-t.C:
		}
	}
	t.Stop()
	timer := time.NewTimer(startLogTimeout)
	defer timer.Stop()
	select {
	case <-w.recorder.served:
	case <-timer.C:
	case <-ctx.Done():
	}
	w.recorder.write()
	<-ctx.Done()
	return nil
}

// poll records the steps that have been reached, and reports whether the instance is ready.
func (w *startWatcher) poll() bool {
	for step, reached := range w.steps {
		if reached() {
			w.recorder.reached(step)
		}
	}
	return w.steps[StepReady]()
}
