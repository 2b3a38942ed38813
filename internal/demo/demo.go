// Package demo runs a small fleet in one process, injects the selected faults, and audits every guarantee.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
)

// Config configures a run of the demo.
type Config struct {
	Duration time.Duration
	Seed     uint64
	Faults   []string
	JSON     bool
	Verbose  bool
	Out      io.Writer
	Log      io.Writer
}

// Result is the outcome of a run, which the demo prints as its last line.
type Result struct {
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	NotRun        int     `json:"not_run"`
	MayHaveRun    int     `json:"may_have_run"`
	RefusedBudget int     `json:"refused_budget"`
	FalseRefusals int64   `json:"false_refusals"`
	Overspend     int64   `json:"overspend_tokens"`
	DoubleBilled  int     `json:"double_billed"`
	Unbilled      int     `json:"unbilled"`
	Lost          int     `json:"lost"`
	Crossed       int     `json:"crossed"`
	RanTwice      int     `json:"ran_twice"`
	NotRunButRan  int     `json:"not_run_but_ran"`
	ConfigReverts int     `json:"config_reverts"`
	LateNewWork   int     `json:"late_new_work"`
	CutByStop     int     `json:"cut_by_stop"`
	StoreWrites   int64   `json:"store_writes"`
	StoreReads    int64   `json:"store_reads"`
	Held          int64   `json:"held_tokens"`
	Faults        string  `json:"faults"`
	Billed        int64   `json:"billed_tokens"`
	Attempts      float64 `json:"attempts_per_request"` // dispatches to endpoints per request that reached one
	ConfigP99MS   float64 `json:"config_p99_ms"`        // from a change's confirmation until it is in force everywhere
	Changes       int     `json:"config_changes"`
	Settled       bool    `json:"settled"`      // all charges reached the store in time
	FailedStops   int     `json:"failed_stops"` // planned stops that left something to the zone
	Seed          uint64  `json:"seed"`

	StoreCalls map[external.Duty]external.Calls `json:"store_calls"`
	Notes      []string                         `json:"notes,omitempty"`
}

// GuaranteesHeld reports whether the run found no violated guarantee, and answered at least one request.
func (r *Result) GuaranteesHeld() bool {
	return r.Overspend == 0 && r.DoubleBilled == 0 && r.Unbilled == 0 && r.Lost == 0 && r.Crossed == 0 && r.RanTwice == 0 &&
		r.NotRunButRan == 0 && r.ConfigReverts == 0 && r.LateNewWork == 0 && r.CutByStop == 0 && r.Answered > 0
}

// ErrGuaranteeViolated is returned when the audit found a violated guarantee.
var ErrGuaranteeViolated = errors.New("a guarantee was violated")

const (
	changeInterval = 400 * time.Millisecond
	watchInterval  = 5 * time.Millisecond
	settleTimeout  = 20 * time.Second
	setUpTimeout   = 10 * time.Second
	faultStart     = 0.25 // share of the duration after which the faults start
	faultEnd       = 0.7  // share of the duration after which the faults heal
	healTimeout    = 20 * time.Second
)

// Run runs the demo and writes its result. It returns ErrGuaranteeViolated if a guarantee was violated.
func Run(ctx context.Context, cfg Config) error {
	chosen, err := selectFaults(cfg.Faults)
	if err != nil {
		return err
	}
	log := zerolog.Nop()
	if cfg.Verbose {
		log = zerolog.New(cfg.Log).With().Timestamp().Logger()
	}
	f, err := newFleet(log)
	if err != nil {
		return eris.Wrap(err, "starting the fleet")
	}
	defer f.close()
	s := &scenario{f: f, operator: newOperator(f), callers: newCallers(f, cfg.Seed)}
	res, err := runScenario(ctx, cfg, s, chosen)
	if err != nil {
		return err
	}
	res.Faults = strings.Join(cfg.Faults, ",")
	res.Seed = cfg.Seed
	if err := writeResult(cfg, res); err != nil {
		return err
	}
	if !res.GuaranteesHeld() {
		return ErrGuaranteeViolated
	}
	return nil
}

// selectFaults returns the faults with the given names.
func selectFaults(names []string) ([]fault, error) {
	known := faults()
	var out []fault
	for _, name := range names {
		ft, ok := known[name]
		if !ok {
			return nil, eris.Errorf("there is no fault %q; the names are: %s", name, strings.Join(FaultNames(), ", "))
		}
		out = append(out, ft)
	}
	return out, nil
}

// runScenario configures the fleet, runs callers, operators and faults, stops the fleet, and audits the run.
func runScenario(ctx context.Context, cfg Config, s *scenario, chosen []fault) (*Result, error) {
	setUp, cancelSetUp := context.WithTimeout(ctx, setUpTimeout)
	defer cancelSetUp()
	if err := s.operator.setUp(setUp); err != nil {
		return nil, err
	}
	if err := sleep(ctx, 2*keysSettleTime); err != nil {
		return nil, err
	}
	w := watchVersions(s.f)
	load, stopLoad := context.WithTimeout(ctx, cfg.Duration)
	defer stopLoad()
	var wg sync.WaitGroup
	wg.Go(func() { s.callers.run(load) })
	wg.Go(func() { s.operator.changePeriodically(load, changeInterval) })
	if slices.Contains(cfg.Faults, "operator-race") {
		wg.Go(func() { s.operator.raceOperators(load) })
	}
	err := injectFaults(ctx, cfg.Duration, s, chosen)
	wg.Wait()
	if err != nil {
		return nil, err
	}
	settled := s.f.settle(ctx, settleTimeout)
	writes, reads := s.f.kv.Writes(), s.f.kv.Reads()
	calls := s.f.storeCalls()
	for _, n := range s.f.live("") {
		s.stop(n)
	}
	reverts := w.stop()
	return buildResult(ctx, s, &Result{
		StoreWrites: writes, StoreReads: reads, StoreCalls: calls, ConfigReverts: reverts, Settled: settled,
	})
}

// injectFaults starts the faults one after another, waits, and heals them in the same order.
func injectFaults(ctx context.Context, d time.Duration, s *scenario, chosen []fault) error {
	if err := sleep(ctx, time.Duration(faultStart*float64(d))); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, d+healTimeout)
	defer cancel()
	startTime := time.Now()
	for _, ft := range chosen {
		if err := ft.start(ctx, s); err != nil && ctx.Err() != nil {
			return err
		}
	}
	remaining := time.Duration((faultEnd-faultStart)*float64(d)) - time.Since(startTime)
	if err := sleep(ctx, remaining); err != nil {
		return err
	}
	for _, ft := range chosen {
		if err := ft.heal(ctx, s); err != nil {
			return eris.Wrap(err, "healing a fault")
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// buildResult audits the run and completes its result.
func buildResult(ctx context.Context, s *scenario, res *Result) (*Result, error) {
	s.callers.mu.Lock()
	calls := s.callers.calls
	s.callers.mu.Unlock()
	a, err := runAudit(ctx, s, calls)
	if err != nil {
		return nil, eris.Wrap(err, "auditing")
	}
	res.Requests = len(calls)
	res.Answered, res.NotRun, res.MayHaveRun, res.RefusedBudget = countVerdicts(calls)
	res.FalseRefusals, _ = s.callers.accounts.refusals()
	res.Overspend, res.DoubleBilled, res.Unbilled = a.Overspend, a.DoubleBilled, a.Unbilled
	res.Lost, res.Crossed, res.RanTwice, res.NotRunButRan = a.Lost, a.Crossed, a.RanTwice, a.NotRunButRan
	res.LateNewWork, res.CutByStop, res.Held, res.Billed = a.LateNewWork, a.CutByStop, a.Held, a.Billed
	res.FailedStops = s.failedStops
	res.Notes = a.Notes
	res.ConfigP99MS, res.Changes = s.operator.changeLatencyP99()
	res.Attempts = s.f.runsPerRequest(calls)
	return res, nil
}

// changeLatencyP99 returns the 99th percentile of the time until a change is in force everywhere, and the number of
// changes measured.
func (o *operatorClient) changeLatencyP99() (ms float64, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.latency) == 0 {
		return 0, 0
	}
	sort.Slice(o.latency, func(i, j int) bool { return o.latency[i] < o.latency[j] })
	at := o.latency[(len(o.latency)-1)*99/100]
	return float64(at.Microseconds()) / 1000, len(o.latency)
}

// runsPerRequest returns the number of engine runs per chat call that may have run.
func (f *fleet) runsPerRequest(calls []*call) float64 {
	runs, ran := 0, 0
	for _, e := range f.engines {
		runs += len(e.engine.Log())
	}
	for _, c := range calls {
		if (c.kind == chatStream || c.kind == chatNonStreaming) && c.mayHaveRun() {
			ran++
		}
	}
	if ran == 0 {
		return 0
	}
	return float64(runs) / float64(ran)
}

// storeCalls sums up the instances' calls to the store by purpose.
func (f *fleet) storeCalls() map[external.Duty]external.Calls {
	out := make(map[external.Duty]external.Calls)
	for _, n := range f.all() {
		for d, c := range n.in.Store().Calls() {
			sum := out[d]
			sum.Reads += c.Reads
			sum.Writes += c.Writes
			sum.Bytes += c.Bytes
			out[d] = sum
		}
	}
	return out
}

// versionWatch polls the configuration version in force in every instance. It counts decreases, which must never happen.
type versionWatch struct {
	quit, done chan struct{}
	reverts    int
}

func watchVersions(f *fleet) *versionWatch {
	w := &versionWatch{quit: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		seen := make(map[*node]int64)
		for {
			for _, n := range f.all() {
				v := n.in.Feed().Version()
				if v < seen[n] {
					w.reverts++
				}
				seen[n] = v
			}
			select {
			case <-w.quit:
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

func (w *versionWatch) stop() int {
	close(w.quit)
	<-w.done
	return w.reverts
}

func writeResult(cfg Config, r *Result) error {
	if cfg.JSON {
		b, err := json.Marshal(r)
		if err != nil {
			return eris.Wrap(err, "encoding the result")
		}
		_, err = fmt.Fprintln(cfg.Out, string(b))
		return err
	}
	return r.text(cfg.Out)
}

func (r *Result) text(w io.Writer) error {
	summary := "every promise was kept"
	if !r.GuaranteesHeld() {
		summary = "A PROMISE WAS BROKEN"
	}
	_, err := fmt.Fprintf(w, `%d requests: %d answered whole, %d not run, %d may have run, %d refused for their budget
billed %d tokens; held %d; %d false refusals; %.2f runs a request
%d changes of configuration, in force everywhere within %.0f ms for 99 in 100
store: %d writes, %d reads
overspend %d, double billed %d, unbilled %d, lost %d, crossed %d, ran twice %d, not run but ran %d,
reverts %d, late new work %d, cut by a stop %d
%s
`, r.Requests, r.Answered, r.NotRun, r.MayHaveRun, r.RefusedBudget, r.Billed, r.Held, r.FalseRefusals, r.Attempts,
		r.Changes, r.ConfigP99MS, r.StoreWrites, r.StoreReads, r.Overspend, r.DoubleBilled, r.Unbilled, r.Lost, r.Crossed,
		r.RanTwice, r.NotRunButRan, r.ConfigReverts, r.LateNewWork, r.CutByStop, summary)
	for _, n := range r.Notes {
		_, _ = fmt.Fprintln(w, "note:", n)
	}
	return err
}
