package burn

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ledgemount/ledgemount/internal/declare"
)

// Alert is the urgency of a burn rate for operators.
type Alert string

// The alerts use the customary pairs of windows: 5 minutes and 1 hour for a fast burn, 30 minutes and 6 hours for a slow
// one.
const (
	AlertNone Alert = "ok"
	AlertSlow Alert = "ticket"
	AlertFast Alert = "page"
)

// Burn rates at which the alerts are raised.
const (
	fastBurn = 14.4
	slowBurn = 6.0
)

// windows are the windows over which the burn rate is measured.
var windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Line is the report of one class and customer. An empty customer stands for all customers of the class.
type Line struct {
	Key
	Objective    float64            `json:"objective"`
	Counts       Counts             `json:"counts"`
	Burn         map[string]float64 `json:"burn"` // burn rate by window; 1 consumes exactly the error budget
	Alert        Alert              `json:"alert"`
	FirstTokenMS Quantiles          `json:"first_token_ms"`
	SlowestGapMS Quantiles          `json:"slowest_gap_ms"`
	FalseRefusal float64            `json:"false_refusal_share"`
}

// Quantiles are quantiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the burn report of several instances, such as the fleet.
type Report struct {
	At        time.Time `json:"at"`
	Instances int       `json:"instances"`
	Unseen    int       `json:"unseen"`
	Lines     []Line    `json:"lines"`
}

// merged is the sum of the series of one Key.
type merged struct {
	minutes    map[int64]Counts
	first, gap *hdrhistogram.Histogram
}

// Merge merges the series of several instances into one report.
func Merge(all [][]Series, classes map[string]declare.Class, now time.Time) (Report, error) {
	sums := make(map[Key]*merged)
	for _, list := range all {
		for _, s := range list {
			if err := mergeOne(sums, s.Key, s); err != nil {
				return Report{}, err
			}
			if err := mergeOne(sums, Key{Class: s.Key.Class}, s); err != nil {
				return Report{}, err
			}
		}
	}
	r := Report{At: now, Instances: len(all)}
	for k, m := range sums {
		r.Lines = append(r.Lines, lineOf(k, m, classes[k.Class], now))
	}
	sort.Slice(r.Lines, func(i, j int) bool { return keyLess(r.Lines[i].Key, r.Lines[j].Key) })
	return r, nil
}

func mergeOne(sums map[Key]*merged, k Key, s Series) error {
	m, ok := sums[k]
	if !ok {
		m = &merged{
			minutes: make(map[int64]Counts),
			first:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
			gap:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
		sums[k] = m
	}
	for minute, c := range s.Minutes {
		sum := m.minutes[minute]
		sum.Add(c)
		m.minutes[minute] = sum
	}
	if err := mergeHistogram(m.first, s.First); err != nil {
		return err
	}
	return mergeHistogram(m.gap, s.Gap)
}

func mergeHistogram(into *hdrhistogram.Histogram, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(b)
	if err != nil {
		return fmt.Errorf("decoding a histogram: %w", err)
	}
	into.Merge(h)
	return nil
}

func lineOf(k Key, m *merged, class declare.Class, now time.Time) Line {
	l := Line{Key: k, Objective: class.Objective, Burn: make(map[string]float64, len(windows))}
	for _, c := range m.minutes {
		l.Counts.Add(c)
	}
	for _, w := range windows {
		l.Burn[w.String()] = burnOver(m.minutes, class.Objective, now, w)
	}
	l.Alert = alertOf(l.Burn)
	l.FirstTokenMS = quantiles(m.first)
	l.SlowestGapMS = quantiles(m.gap)
	if eligible := l.Counts.Total - l.Counts.CallersFault; eligible > 0 {
		l.FalseRefusal = float64(l.Counts.Unready) / float64(eligible)
	}
	return l
}

// burnOver returns the burn rate in a window: the share of bad requests divided by the share that the objective allows.
func burnOver(minutes map[int64]Counts, objective float64, now time.Time, w time.Duration) float64 {
	from := now.Add(-w).Unix() / int64(bucketWidth/time.Second)
	var sum Counts
	for m, c := range minutes {
		if m >= from {
			sum.Add(c)
		}
	}
	eligible := sum.Total - sum.CallersFault
	if eligible == 0 || objective >= 1 {
		return 0
	}
	return float64(sum.Bad) / float64(eligible) / (1 - objective)
}

func alertOf(burn map[string]float64) Alert {
	at := func(i int) float64 { return burn[windows[i].String()] }
	switch {
	case at(0) >= fastBurn && at(2) >= fastBurn:
		return AlertFast
	case at(1) >= slowBurn && at(3) >= slowBurn:
		return AlertSlow
	}
	return AlertNone
}

const microsPerMilli = 1000.0

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// Text writes the report as a table.
func (r Report) Text(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "class\tcustomer\trequests\twhole\tbad\tobjective\tburn 5m\t1h\t6h\talert\tfirst p95 ms\tgap p95 ms\tfalse refusals\n")
	for _, l := range r.Lines {
		customer := l.Customer
		if customer == "" {
			customer = "(all)"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%.4f\t%.2f\t%.2f\t%.2f\t%s\t%.1f\t%.1f\t%d\n",
			l.Class, customer, l.Counts.Total, l.Counts.Whole, l.Counts.Bad, l.Objective,
			l.Burn[windows[0].String()], l.Burn[windows[2].String()], l.Burn[windows[3].String()], l.Alert,
			l.FirstTokenMS.P95, l.SlowestGapMS.P95, l.Counts.Unready)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d instances answered, %d did not\n", r.Instances, r.Unseen)
	return err
}
