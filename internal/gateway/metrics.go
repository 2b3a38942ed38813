package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics are the gateway's metrics. docs/operators/metrics.md explains each.
type metrics struct {
	scope       tally.Scope
	retries     tally.Counter
	resumes     tally.Counter
	attempts    tally.Counter
	tokens      tally.Counter
	firstToken  tally.Histogram
	slowestGap  tally.Histogram
	quarantined tally.Counter // requests put into quarantine
	invalid     tally.Counter // invalid responses of endpoints
}

func newMetrics(s tally.Scope) metrics {
	return metrics{
		scope:       s,
		retries:     s.Counter("retries"),
		resumes:     s.Counter("stream_resumes"),
		attempts:    s.Counter("attempts"),
		tokens:      s.Counter("tokens_billed"),
		firstToken:  s.Histogram("first_token_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)),
		quarantined: s.Counter("quarantine_requests"),
		invalid:     s.Counter("invalid_responses"),
		slowestGap:  s.Histogram("slowest_gap_seconds", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
}

func (m *metrics) ended(o Outcome) {
	m.attempts.Inc(int64(o.Attempts))
	m.tokens.Inc(o.Tokens)
	if o.FirstToken > 0 {
		m.firstToken.RecordDuration(o.FirstToken)
		m.slowestGap.RecordDuration(o.SlowestGap)
	}
	code := string(o.Code)
	if code == "" {
		code = "answered"
	}
	m.scope.Tagged(map[string]string{"class": o.Class, "code": code, "verdict": o.Verdict.String()}).Counter("requests").Inc(1)
}
