// Package relay carries one request from its caller to an endpoint and its answer back: who pays, whether it may run, where it
// runs, when it is sent again, and what the caller is told. It does not know which protocol asked: dialects translate.
package relay

import (
	"net/http"
	"time"

	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Request is a caller's request, read whole.
type Request struct {
	ID          string
	Method      string
	Target      string // path and query as the caller wrote them
	Path        string
	Host        string
	Header      http.Header // what goes on to the endpoint, without what the instance sets itself
	Body        []byte
	Key         string
	Deadline    time.Duration // from Arrived; 0: the caller names none
	Arrived     time.Time
	TokensIn    int64
	TokensOut   int64 // the most that may come
	Metered     bool  // the token counts were given
	Parts       []Part
	LastEventID string // the last event that the caller has; empty: none
}

// AffinityKey is the part of the prompt by which requests find each other's memory: the last that others share.
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

// SharedTokens is the number of tokens up to and with the last part that others share.
func (r *Request) SharedTokens() int64 {
	var n int64
	for i := range len(r.Parts) - 1 {
		n += r.Parts[i].Tokens
	}
	return n
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint    string // the endpoint's ID
	Customer    string // empty: none pays
	Remaining   time.Duration
	LastEventID string // the last event that was passed on; empty: none
}

// Reading is what an endpoint's answer reports of itself.
type Reading struct {
	Genuine bool // it answers this request, and an endpoint has signed it
	NotRun  bool // the endpoint reports that it did not run the request
	Moved   bool // it comes from another endpoint than the one meant
	Notice  pool.Notice
}

// Dialect writes requests for endpoints and reads their answers.
type Dialect interface {
	// Outbound is the request as it is sent in one attempt.
	Outbound(r *Request, a Attempt) *upstream.Request
	// Read judges an answer's head.
	Read(r *Request, res *upstream.Response) Reading
	// ResponseHeader is the header that the caller gets of an endpoint's answer.
	ResponseHeader(h http.Header) http.Header
}

// Sink is where a caller's answer goes.
type Sink interface {
	// Begin sends the head. length is the body's, -1 where it is not known.
	Begin(status int, header http.Header, length int64)
	// Write sends a piece of the body at once.
	Write(p []byte) error
}

// Outcome tells how a request ended, for logs and metrics.
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
	Reserved  int64         // tokens that were asked for, or refused
	Budget    escrow.View   // after that
	FirstByte time.Duration // until the answer's first byte; 0: none came
	MaxPause  time.Duration // the longest between two events of a stream
	Late      Lateness      // against the route's objective and its longest pause
	Total     time.Duration
	// Digest names the request by what it asks, whatever its ID; empty where no attempt broke off.
	Digest string
}

// Lateness reports what of an answer came later than its route wants it.
type Lateness string

// What may be late. An answer whose first event is late is not judged by its pauses.
const (
	NotLate   Lateness = ""
	LateFirst Lateness = "first" // the answer, or its first event
	LatePause Lateness = "pause" // an event in the middle of a stream
)

// AttemptOutcome is one attempt in an Outcome.
type AttemptOutcome struct {
	Endpoint      string
	Reason        string
	SkipReason    string // why the endpoint before it in the order of affinity got no work; empty: it is the first, or has work
	Result        string
	At            time.Duration // since the request arrived
	ProcessExited bool          // the attempt broke off, and the endpoint's process had ended
}

// Validate checks what every request needs. The error is a verdict.
func (r *Request) Validate() error {
	if r.ID == "" {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the request has no ID")
	}
	return nil
}
