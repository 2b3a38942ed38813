package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the gateway's counts and times. docs/operators/metrics.md explains each.
type metrics struct {
	scope    tally.Scope
	retries  tally.Counter
	resumes  tally.Counter
	attempts tally.Counter
	tokens   tally.Counter
	first    tally.Histogram
	gap      tally.Histogram
	held     tally.Counter // requests
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:    s,
		retries:  s.Counter("retries"),
		resumes:  s.Counter("stream_resumes"),
		attempts: s.Counter("attempts"),
		tokens:   s.Counter("tokens_billed"),
		first:    s.Histogram("first_token_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		held:     s.Counter("quarantine_requests"),
		gap:      s.Histogram("slowest_gap_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

func (m *metrics) ended(o Outcome) {
	m.attempts.Inc(int64(o.Attempts))
	m.tokens.Inc(o.Tokens)
	if o.FirstToken > 0 {
		m.first.RecordDuration(o.FirstToken)
		m.gap.RecordDuration(o.SlowestGap)
	}
	code := string(o.Code)
	if code == "" {
		code = "answered"
	}
	m.scope.Tagged(map[string]string{"class": o.Class, "code": code, "verdict": o.Verdict.String()}).Counter("requests").Inc(1)
}
