// Package burn measures how fast each class and customer consumes the error budget of its service level objective.
package burn

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Bounds of the histograms, which hold microseconds, and of the series of counts.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 2
	bucketWidth       = time.Minute
	maxBuckets        = 6 * 60
)

// Key identifies a series: one class and customer.
type Key struct {
	Class    string `cbor:"1,keyasint" json:"class"`
	Customer string `cbor:"2,keyasint" json:"customer"`
}

// Counts holds the numbers of requests by outcome, such as those of one minute.
type Counts struct {
	Total        int64 `cbor:"1,keyasint" json:"total"`
	Whole        int64 `cbor:"2,keyasint" json:"whole"`          // got a complete response
	LateFirst    int64 `cbor:"3,keyasint" json:"late_first"`     // first token later than the class's objective
	LateBetween  int64 `cbor:"4,keyasint" json:"late_between"`   // gap between tokens longer than the class's objective
	NotRun       int64 `cbor:"5,keyasint" json:"not_run"`        // rejected, not run
	MayHaveRun   int64 `cbor:"6,keyasint" json:"may_have_run"`   // ended with an unknown outcome
	Exhausted    int64 `cbor:"7,keyasint" json:"exhausted"`      // rejected because the budget is exhausted
	Unready      int64 `cbor:"8,keyasint" json:"budget_unready"` // rejected although the budget may have tokens: false refusals
	Tokens       int64 `cbor:"9,keyasint" json:"tokens"`
	Bad          int64 `cbor:"10,keyasint" json:"bad"` // requests that count against the objective
	CallersFault int64 `cbor:"11,keyasint" json:"callers_fault"`
}

// Add adds other counts.
func (c *Counts) Add(o Counts) {
	c.Total += o.Total
	c.Whole += o.Whole
	c.LateFirst += o.LateFirst
	c.LateBetween += o.LateBetween
	c.NotRun += o.NotRun
	c.MayHaveRun += o.MayHaveRun
	c.Exhausted += o.Exhausted
	c.Unready += o.Unready
	c.Tokens += o.Tokens
	c.Bad += o.Bad
	c.CallersFault += o.CallersFault
}

// series holds the counts and latencies of one Key.
type series struct {
	minutes map[int64]*Counts
	first   *hdrhistogram.Histogram
	gap     *hdrhistogram.Histogram
}

// Recorder counts the outcomes of one instance's requests.
type Recorder struct {
	now func() time.Time

	mu      sync.Mutex
	classes map[string]declare.Class
	series  map[Key]*series
}

// NewRecorder returns an empty Recorder.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, series: make(map[Key]*series)}
}

// SetDocument sets the objectives of the classes.
func (r *Recorder) SetDocument(doc *declare.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes = doc.Decl.Classes
}

// Record counts one outcome.
func (r *Recorder) Record(o gateway.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	class := r.classes[o.Class]
	s := r.seriesFor(Key{Class: o.Class, Customer: o.Customer})
	c := r.currentCounts(s)
	c.Add(countsOf(o, class))
	if o.FirstToken > 0 {
		_ = s.first.RecordValue(clampedMicros(o.FirstToken))
	}
	if o.SlowestGap > 0 {
		_ = s.gap.RecordValue(clampedMicros(o.SlowestGap))
	}
}

// clampedMicros returns d in microseconds, limited to the bounds of the histograms.
func clampedMicros(d time.Duration) int64 { return min(max(d.Microseconds(), minMicros), maxMicros) }

func (r *Recorder) seriesFor(k Key) *series {
	s, ok := r.series[k]
	if !ok {
		s = &series{
			minutes: make(map[int64]*Counts),
			first:   hdrhistogram.New(minMicros, maxMicros, significantDigits),
			gap:     hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
		r.series[k] = s
	}
	return s
}

// currentCounts returns the counts of the current minute, and drops minutes that are older than maxBuckets.
func (r *Recorder) currentCounts(s *series) *Counts {
	m := r.now().Unix() / int64(bucketWidth/time.Second)
	c, ok := s.minutes[m]
	if !ok {
		c = &Counts{}
		s.minutes[m] = c
		for old := range s.minutes {
			if old <= m-maxBuckets {
				delete(s.minutes, old)
			}
		}
	}
	return c
}

// countsOf returns the counts of one request, judged by the objectives of its class.
func countsOf(o gateway.Outcome, class declare.Class) Counts {
	c := Counts{Total: 1, Tokens: o.Tokens}
	switch {
	case o.Code == "":
		c.Whole = 1
	case o.Verdict == verdict.NotRun:
		c.NotRun = 1
	case o.Verdict == verdict.MayHaveRun:
		c.MayHaveRun = 1
	}
	if o.FirstToken.Milliseconds() > class.FirstTokenMS && class.FirstTokenMS > 0 {
		c.LateFirst = 1
	}
	if o.SlowestGap.Milliseconds() > class.BetweenTokensMS && class.BetweenTokensMS > 0 {
		c.LateBetween = 1
	}
	switch o.Code {
	case verdict.CodeBudgetExhausted:
		c.Exhausted = 1
	case verdict.CodeBudgetUnavailable:
		c.Unready = 1
	default:
	}
	if callersFault(o.Code) {
		c.CallersFault = 1
		return c
	}
	if c.Whole == 0 || c.LateFirst+c.LateBetween > 0 {
		c.Bad = 1
	}
	return c
}

// callersFault reports whether a request failed because of the caller and not because of the system.
func callersFault(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeBudgetExhausted, verdict.CodeCancelled, verdict.CodeNotFound,
		verdict.CodeForbidden, verdict.CodeUnauthenticated, verdict.CodeKeyReused, verdict.CodeTooLarge, verdict.CodeBudgetUnknown:
		return true
	default:
		return false
	}
}

// Series holds the counts and latencies of one Key as instances send them to each other. The histograms are encoded.
type Series struct {
	Key     Key              `cbor:"1,keyasint"`
	Minutes map[int64]Counts `cbor:"2,keyasint"`
	First   []byte           `cbor:"3,keyasint"`
	Gap     []byte           `cbor:"4,keyasint"`
}

// Snapshot returns a copy of all series, sorted by key.
func (r *Recorder) Snapshot() []Series {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Series, 0, len(r.series))
	for k, s := range r.series {
		one := Series{Key: k, Minutes: make(map[int64]Counts, len(s.minutes))}
		for m, c := range s.minutes {
			one.Minutes[m] = *c
		}
		one.First, _ = s.first.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		one.Gap, _ = s.gap.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		out = append(out, one)
	}
	sort.Slice(out, func(i, j int) bool { return keyLess(out[i].Key, out[j].Key) })
	return out
}

func keyLess(a, b Key) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Customer < b.Customer
}
