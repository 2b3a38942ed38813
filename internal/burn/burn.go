// Package burn measures how fast each class and customer uses up its service-level error budget.
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

// The histograms hold microseconds.
const (
	lowest    = 1
	highest   = 120_000_000
	digits    = 2
	bucketFor = time.Minute
	buckets   = 6 * 60
)

// Key is what is counted apart.
type Key struct {
	Class    string `cbor:"1,keyasint" json:"class"`
	Customer string `cbor:"2,keyasint" json:"customer"`
}

// Counts are the requests of one minute.
type Counts struct {
	Total        int64 `cbor:"1,keyasint" json:"total"`
	Whole        int64 `cbor:"2,keyasint" json:"whole"`          // answered whole
	LateFirst    int64 `cbor:"3,keyasint" json:"late_first"`     // first token over the class's objective
	LateBetween  int64 `cbor:"4,keyasint" json:"late_between"`   // a gap over the class's objective
	NotRun       int64 `cbor:"5,keyasint" json:"not_run"`        // refused, not run
	MayHaveRun   int64 `cbor:"6,keyasint" json:"may_have_run"`   // ended with an unknown fate
	Exhausted    int64 `cbor:"7,keyasint" json:"exhausted"`      // refused because the budget is used up
	Unready      int64 `cbor:"8,keyasint" json:"budget_unready"` // refused although the budget may have tokens: false refusals
	Tokens       int64 `cbor:"9,keyasint" json:"tokens"`
	Bad          int64 `cbor:"10,keyasint" json:"bad"` // against the objective
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

// NewRecorder makes an empty recorder.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{now: now, series: make(map[Key]*series)}
}

// SetDocument takes the classes' objectives.
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
	s := r.at(Key{Class: o.Class, Customer: o.Customer})
	c := r.minute(s)
	c.Add(countsOf(o, class))
	if o.FirstToken > 0 {
		_ = s.first.RecordValue(micros(o.FirstToken))
	}
	if o.SlowestGap > 0 {
		_ = s.gap.RecordValue(micros(o.SlowestGap))
	}
}

func micros(d time.Duration) int64 { return min(max(d.Microseconds(), lowest), highest) }

func (r *Recorder) at(k Key) *series {
	s, ok := r.series[k]
	if !ok {
		s = &series{
			minutes: make(map[int64]*Counts),
			first:   hdrhistogram.New(lowest, highest, digits),
			gap:     hdrhistogram.New(lowest, highest, digits),
		}
		r.series[k] = s
	}
	return s
}

func (r *Recorder) minute(s *series) *Counts {
	m := r.now().Unix() / int64(bucketFor/time.Second)
	c, ok := s.minutes[m]
	if !ok {
		c = &Counts{}
		s.minutes[m] = c
		for old := range s.minutes {
			if old <= m-buckets {
				delete(s.minutes, old)
			}
		}
	}
	return c
}

// countsOf judges one outcome against its class.
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
	case verdict.CodeBudgetUnready:
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

// callersFault reports whether the caller, not the system, kept a request from being answered.
func callersFault(code verdict.Code) bool {
	switch code {
	case verdict.CodeBadRequest, verdict.CodeBudgetExhausted, verdict.CodeCancelled, verdict.CodeNotFound,
		verdict.CodeForbidden, verdict.CodeUnauthenticated, verdict.CodeKeyReused, verdict.CodeTooLarge, verdict.CodeBudgetUnknown:
		return true
	default:
		return false
	}
}

// Series is one class's and customer's counts as they travel between instances. Histograms travel encoded.
type Series struct {
	Key     Key              `cbor:"1,keyasint"`
	Minutes map[int64]Counts `cbor:"2,keyasint"`
	First   []byte           `cbor:"3,keyasint"`
	Gap     []byte           `cbor:"4,keyasint"`
}

// Snapshot copies everything, ordered by key.
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
	sort.Slice(out, func(i, j int) bool { return less(out[i].Key, out[j].Key) })
	return out
}

func less(a, b Key) bool {
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Customer < b.Customer
}
