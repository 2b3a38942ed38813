// Package relay forwards requests from callers to endpoints, and responses back to callers. It determines the customer
// that is billed, admits or rejects a request, picks endpoints, retries, and reports the outcome to the caller. It is
// independent of the protocol: a Dialect translates requests and responses.
//
// The instances of package router use it. Package gateway is the counterpart for the chat edge, with its own types.
package relay

import (
	"net/http"
	"time"

	"github.com/ledgemount/ledgemount/internal/continuity"
	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/memory"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request is a caller's request with its complete body.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query as the caller sent them
	Path        string
	Host        string
	Header      http.Header // fields to forward to the endpoint, without those that the instance sets itself
	Body        []byte
	Key         string
	Deadline    time.Duration // relative to Arrived; 0: the caller states none
	Arrived     time.Time
	TokensIn    int64
	TokensOut   int64 // maximum number of output tokens
	Metered     bool  // the caller stated token counts
	Parts       []Part
	LastEventID string // last event that the caller has received; empty: none
	// Memory is the account of what is held for the request; nil: unlimited.
	Memory *memory.Account
	// Resumes is the ID of the request whose response brought the first event of the stream that this one continues; empty:
	// not stated.
	Resumes string
}

// AffinityKey returns the ID of the last part of the prompt that other requests share. Requests with the same key are
// sent to the same endpoint, which then has the shared parts in its prompt cache.
func (r *Request) AffinityKey() string {
	switch n := len(r.Parts); n {
	case 0:
		return ""
	case 1:
		return r.Parts[0].ID
	default:
		return r.Parts[n-2].ID
	}
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last part.
func (r *Request) SharedParts() []Part { return r.Parts[:max(0, len(r.Parts)-1)] }

// SharedTokens returns the number of tokens in the parts of the prompt that other requests share: all but the last
// part.
func (r *Request) SharedTokens() int64 {
	var n int64
	for _, p := range r.SharedParts() {
		n += p.Tokens
	}
	return n
}

// Attempt holds the parameters of one attempt to run a request at an endpoint.
type Attempt struct {
	Endpoint    string        // the endpoint's ID
	Customer    string        // empty: no customer is billed
	Remaining   time.Duration // until the deadline; 0: the request has none
	LastEventID string        // last event that the caller has received; empty: none
}

// Reading is the interpretation of an endpoint's response header.
type Reading struct {
	Genuine bool // the response belongs to this request and is signed by an endpoint
	NotRun  bool // the endpoint reports that it did not run the request
	Moved   bool // the response comes from a different endpoint than the intended one
	Notice  pool.Notice
}

// Dialect translates requests and responses between relay and the protocol of the endpoints.
type Dialect interface {
	// Outbound returns the request to send in an attempt.
	Outbound(r *Request, a Attempt) *upstream.Request
	// Read interprets the header of a response.
	Read(r *Request, res *upstream.Response) Reading
	// ResponseHeader returns the header to send to the caller for the header of an endpoint's response.
	ResponseHeader(h http.Header) http.Header
}

// Sink receives the response for the caller.
type Sink interface {
	// SetTimeout makes writes fail from d on, for a caller that does not read its response; 0: never.
	SetTimeout(d time.Duration)
	// Begin sends the response header. length is the length of the body, or -1 if it is unknown.
	Begin(status int, header http.Header, length int64)
	// Write sends a piece of the body without delay.
	Write(p []byte) error
}

// Outcome describes how a request ended, for logs and metrics.
type Outcome struct {
	Request   *Request
	Route     string
	Kind      string
	Service   string
	Customer  string
	Version   int64 // of the configuration
	Status    int
	Code      verdict.Code
	Verdict   verdict.Verdict
	Detail    string
	Attempts  int
	Endpoints []AttemptOutcome
	Events    int64
	Used      int64         // tokens
	Reserved  int64         // tokens whose reservation was requested, whether granted or refused
	Budget    escrow.View   // after the reservation
	FirstByte time.Duration // time until the first byte of the response; 0: none was received
	MaxPause  time.Duration // longest pause between two events of a stream
	Late      Lateness      // compared with the route's latency targets
	Total     time.Duration
	Origin    continuity.Resolution // of a stream that the caller takes up again
	Resumed   Resumption            // whether this instance resumed an interrupted stream within the response
	// Digest identifies the request by its content, regardless of its ID. It is empty unless an attempt was interrupted
	// or the request was quarantined.
	Digest string
}

// Resumption states whether an instance resumed an interrupted stream within the same response.
type Resumption string

// Resumptions.
const (
	NoResumption         Resumption = ""          // it was not interrupted, or must not be resumed
	ResumptionSame       Resumption = "same"      // at an endpoint of the software version that began it
	ResumptionNoEndpoint Resumption = "none-left" // no other endpoint of that version accepted it
	ResumptionUnknown    Resumption = "unknown"   // the version that began it is not known
)

// Lateness states which latency target of its route a response missed.
type Lateness string

// Missed targets. If the response or its first event is late, pauses are not considered.
const (
	NotLate   Lateness = ""
	LateFirst Lateness = "first" // the response, or its first event
	LatePause Lateness = "pause" // a later event of a stream
)

// AttemptOutcome describes one attempt in an Outcome.
type AttemptOutcome struct {
	Endpoint      string
	Software      string // the endpoint's software version
	Reason        string // why the endpoint was picked
	SkipReason    string // why the endpoint that is first by affinity was excluded; empty: it was not
	Result        string
	Forwarded     int64                  // bytes of the response body that were sent to the caller
	DialFailure   upstream.DialFailure   // how the connection attempt failed; empty: it did not
	ProtocolFault upstream.ProtocolFault // how the response violated the protocol; empty: it did not
	Via           string                 // the instance that the connection was forwarded through; empty: none
	At            time.Duration          // since the request arrived
	ProcessExited bool                   // the attempt was interrupted, and the endpoint's process had exited
}

// Validate checks the fields that every request must have. The error is a verdict.
func (r *Request) Validate() error {
	if r.ID == "" {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request has no ID")
	}
	return nil
}
