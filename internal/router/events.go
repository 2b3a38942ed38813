package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/ledgemount/ledgemount/internal/buildinfo"
	"github.com/ledgemount/ledgemount/internal/compat"
	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/observe"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/reach"
	"github.com/ledgemount/ledgemount/internal/relay"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// meters holds the counters and histograms of a router.
type meters struct {
	metrics   *observe.Metrics
	firstByte tally.Histogram
	total     tally.Histogram
	store     tally.Histogram
	calls     *callCounts
	sent      *callCounts // bytes sent to other instances

	idleClosed tally.Counter
}

func newMeters(settings *Settings) *meters {
	m := observe.NewMetrics(settings.Instance.ID, settings.Instance.Zone)
	const smallest, growth, steps = time.Millisecond, 2, 15
	buckets := tally.MustMakeExponentialDurationBuckets(smallest, growth, steps)
	m.Scope().Tagged(map[string]string{"build": buildinfo.Revision(), "formats": strconv.Itoa(compat.Generation)}).Gauge("build_info").Update(1)
	return &meters{
		metrics:   m,
		calls:     newCallCounts(),
		sent:      newCallCounts(),
		firstByte: m.Scope().Histogram("relay_first_byte_seconds", buckets),
		total:     m.Scope().Histogram("relay_request_seconds", buckets),
		store:     m.Scope().Histogram("store_call_seconds", buckets),

		idleClosed: m.Scope().Counter("caller_connections_closed_total"),
	}
}

// recordStartStep records how long after the start of the process a step was reached.
func (m *meters) recordStartStep(step Step, took time.Duration) {
	m.metrics.Scope().Tagged(map[string]string{"step": string(step)}).Gauge("start_step_seconds").Update(took.Seconds())
}

// recordSettlement counts the tokens that were settled for lost holders: those that the holders had reported as spent
// (proven), and those that they may have spent.
func (m *meters) recordSettlement(s escrow.Settlement) {
	m.metrics.Scope().Tagged(map[string]string{"proven": "yes"}).Counter("escrow_settled_tokens_total").Inc(s.Spent)
	m.metrics.Scope().Tagged(map[string]string{"proven": "no"}).Counter("escrow_settled_tokens_total").Inc(s.Unproven())
}

// recordIdleClosed counts a connection without requests that was closed for a further one.
func (m *meters) recordIdleClosed() { m.idleClosed.Inc(1) }

// recordRejection counts a request that was rejected before it was read.
func (m *meters) recordRejection(code verdict.Code) {
	m.metrics.Scope().Tagged(map[string]string{"reason": string(code)}).Counter("edge_rejections_total").Inc(1)
}

// recordStoreCall records a call to the store.
func (m *meters) recordStoreCall(c external.Call) {
	scope := m.metrics.Scope().Tagged(map[string]string{"call": c.Name, "duty": string(c.Duty), "outcome": c.Outcome})
	scope.Counter("store_calls_total").Inc(1)
	m.store.RecordDuration(c.Took)
	m.calls.add(c)
}

// recordMeshSent records a message to another instance.
func (m *meters) recordMeshSent(kind mesh.Kind, bytes int) {
	m.metrics.Scope().Tagged(map[string]string{"kind": string(kind)}).Counter("mesh_sent_bytes_total").Inc(int64(bytes))
	m.sent.addBytes(kind, bytes)
}

func (m *meters) handler() http.Handler { return m.metrics.Handler() }

// Close flushes the metrics and stops reporting them.
func (m *meters) Close() error { return m.metrics.Close() }

// recordRequest records the outcome of a request.
func (m *meters) recordRequest(o *relay.Outcome) {
	reason := string(o.Code)
	if reason == "" {
		reason = "served"
	}
	m.metrics.Scope().Tagged(map[string]string{"reason": reason, "kind": o.Kind}).Counter("relay_requests_total").Inc(1)
	if o.Origin.Source != "" {
		m.countResumption("caller", string(o.Origin.Source))
	}
	if o.Resumed != relay.NoResumption {
		m.countResumption("instance", string(o.Resumed))
	}
	for _, attempt := range o.Endpoints {
		if attempt.DialFailure != "" {
			m.metrics.Scope().Tagged(map[string]string{"cause": string(attempt.DialFailure)}).Counter("relay_dial_failures_total").Inc(1)
		}
		if attempt.ProtocolFault != "" {
			m.metrics.Scope().Tagged(map[string]string{"cause": string(attempt.ProtocolFault)}).Counter("relay_protocol_faults_total").Inc(1)
		}
		if attempt.SkipReason != "" {
			m.metrics.Scope().Tagged(map[string]string{"cause": attempt.SkipReason}).Counter("relay_kept_off_total").Inc(1)
		}
	}
	if o.FirstByte > 0 {
		m.firstByte.RecordDuration(o.FirstByte)
	}
	m.total.RecordDuration(o.Total)
}

// countResumption counts an interrupted stream that was, or was not, continued by its caller or by this instance.
func (m *meters) countResumption(by, origin string) {
	m.metrics.Scope().Tagged(map[string]string{"by": by, "origin": origin}).Counter("stream_resumptions_total").Inc(1)
}

// logRejection logs and counts a request that was rejected before it was read.
func (r *Router) logRejection(err *verdict.Error) {
	r.metrics.recordRejection(err.Code())
	r.log.Warn().Str("event", "request_rejected").Str("code", string(err.Code())).Str("detail", err.Detail()).
		Int64("held_bytes", r.memory.Held()).Int("connections", r.callers.Connections()).Msg("a request was rejected before it was read")
}

// logRequest logs and records the outcome of a request. The log line contains the decisions and the data on which they
// were based.
func (r *Router) logRequest(o relay.Outcome) {
	r.metrics.recordRequest(&o)
	if o.Code == "" {
		r.start.reached(StepServed)
	}
	e := r.log.Info()
	if o.Code != "" {
		e = r.log.Warn()
	}
	e = e.Str("event", eventRequestEnded).Str("request", o.Request.ID).Str("route", o.Route).Str("kind", o.Kind).
		Str("service", o.Service).Str("customer", o.Customer).Int64("version", o.Version).Int("status", o.Status).
		Str("verdict", o.Verdict.String()).Int("attempts", o.Attempts).Int64("events", o.Events).
		Int64("reserved", o.Reserved).Int64("used", o.Used).Int64("escrow_left", o.Budget.Available).
		Int64("escrow_granted", o.Budget.Granted).Int64("escrow_spent", o.Budget.Spent).Int64("budget_rest", o.Budget.Remaining).
		Int64("budget_out", o.Budget.Outstanding).Int64("budget_unproven", o.Budget.Unproven).Int64("escrow_age_ms", o.Budget.Age.Milliseconds()).
		Int64("first_ms", o.FirstByte.Milliseconds()).Int64("total_ms", o.Total.Milliseconds()).
		Int64("pause_ms", o.MaxPause.Milliseconds()).Int64("prompt_tokens", o.Request.TokensIn)
	if o.Request.LastEventID != "" {
		e = e.Str("last_event", o.Request.LastEventID).Str("resumes", o.Request.Resumes).
			Str("origin", o.Origin.Software).Str("origin_source", string(o.Origin.Source)).Int64("origin_age_ms", o.Origin.Age.Milliseconds())
	}
	if o.Resumed != relay.NoResumption {
		e = e.Str("resumed", string(o.Resumed))
	}
	if o.Late != relay.NotLate {
		e = e.Str("late", string(o.Late))
	}
	if age := r.restored.age(); age > 0 {
		e = e.Int64("restored_ms", age.Milliseconds())
	}
	if o.Digest != "" {
		e = e.Str("digest", o.Digest).Strs("parts", partIDs(o.Request.SharedParts()))
	}
	if o.Code != "" {
		e = e.Str("code", string(o.Code)).Str("detail", o.Detail)
	}
	if len(o.Endpoints) > 0 {
		e = e.Array("endpoints", attemptList(o.Endpoints))
	}
	e.Msg("a request has ended")
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

func partIDs(parts []relay.Part) []string {
	out := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		out = append(out, p.ID)
	}
	return out
}

// attemptList writes the attempts of a request into a log line. The field "end" is the result of the attempt. "dial"
// states how the connection attempt failed, "fault" how the response violated the protocol, "via" through which instance the connection was forwarded, "ended" that the
// endpoint's process has exited, and "kept_off" why the first endpoint by affinity was excluded. "bytes" is the part of
// the response body that the attempt has brought the caller; it is left out if there was only one attempt.
type attemptList []relay.AttemptOutcome

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (s attemptList) MarshalZerologArray(a *zerolog.Array) {
	for _, x := range s {
		d := zerolog.Dict().Str("endpoint", x.Endpoint).Str("software", x.Software).Str("reason", x.Reason).Str("end", x.Result).Int64("at_ms", x.At.Milliseconds())
		if len(s) > 1 {
			d = d.Int64("bytes", x.Forwarded)
		}
		if x.DialFailure != "" {
			d = d.Str("dial", string(x.DialFailure))
		}
		if x.ProtocolFault != "" {
			d = d.Str("fault", string(x.ProtocolFault))
		}
		if x.Via != "" {
			d = d.Str("via", x.Via)
		}
		if x.ProcessExited {
			d = d.Bool("ended", true)
		}
		if x.SkipReason != "" {
			d = d.Str("kept_off", x.SkipReason)
		}
		a.Dict(d)
	}
}

// logDelayedExit logs that an endpoint's process exited while it ran a request. It is called if this was detected only
// after the log line of the request was written.
func (r *Router) logDelayedExit(l relay.DelayedExit) {
	quarantine.LogCrash(r.log, l.Endpoint, l.Digest)
}

// recordRejected counts a record that cannot be decoded.
func (m *meters) recordRejected() { m.metrics.Scope().Counter("records_rejected_total").Inc(1) }

// recordLimits records how many endpoints announce limits, and how many requests per second this instance may send to
// all of them together.
func (m *meters) recordLimits(endpoints int, perSecond float64) {
	m.metrics.Scope().Gauge("endpoints_limited").Update(float64(endpoints))
	m.metrics.Scope().Gauge("limits_lent_per_second").Update(perSecond)
}

// recordPath counts a change in how the endpoints of a service are reached.
func (m *meters) recordPath(c reach.Change) {
	m.metrics.Scope().Tagged(map[string]string{"from": c.From.String(), "to": c.To.String()}).Counter("path_changes_total").Inc(1)
}

// recordForwardRefused counts a connection that was not established for another instance.
func (m *meters) recordForwardRefused(reason string) {
	m.metrics.Scope().Tagged(map[string]string{"reason": reason}).Counter("forwards_refused_total").Inc(1)
}

// recordForwarded records the number of connections that are carried for other instances.
func (m *meters) recordForwarded(open int) {
	m.metrics.Scope().Gauge("forwarded_connections").Update(float64(open))
}

// recordNotice counts a notice that an endpoint sent in a response.
func (m *meters) recordNotice(n pool.NoticeTaken) {
	m.metrics.Scope().Tagged(map[string]string{"word": n.Notice.Name()}).Counter("endpoint_words_total").Inc(1)
}
