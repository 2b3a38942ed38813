package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ledgemount/ledgemount/internal/escrow"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Budgets reserves tokens of customers' budgets for requests.
type Budgets interface {
	Reserve(ctx context.Context, customer string, maxTokens int64, priority int) (*escrow.Reservation, error)
	View(customer string) escrow.View
}

// Deps holds the dependencies of a Core.
type Deps struct {
	Table   func() *route.Table // returns the configuration in force, or nil if none is known
	Pool    *pool.Pool
	Budgets Budgets
	Retries *retry.FleetBudget
	Client  *upstream.Client
	Dialect Dialect
}

// Core serves requests. Beyond the requests in progress, its only state is which requests were running when the process
// of their endpoint exited, and the retry slots that rejected callers were assigned.
type Core struct {
	Deps
	now           func() time.Time
	random        func() float64
	onOutcome     func(Outcome)
	onDial        func(zone string, took time.Duration, err error)
	paths         Paths
	congested     func() bool
	stateFresh    func() bool
	stallTimeout  time.Duration
	maxBody       int64
	noAffinity    bool // requests with a common prompt prefix are not sent to the same endpoint
	onDelayedExit func(DelayedExit)
	deadlines     deadlineTracker
	exits         exitProber
	retrySlots    retrySchedule
	suspects      *quarantine.Tracker
	streams       Streams
}

// Option configures a Core.
type Option func(*Core)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(c *Core) { c.now = now } }

// WithRandom replaces the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(c *Core) { c.random = f } }

// OnOutcome sets the function that is called with the outcome of each request.
func OnOutcome(f func(Outcome)) Option { return func(c *Core) { c.onOutcome = f } }

// OnDelayedExit sets the function that is called if the exit of an endpoint's process is detected only after the
// outcome of the interrupted request was reported.
func OnDelayedExit(f func(DelayedExit)) Option { return func(c *Core) { c.onDelayedExit = f } }

// WithQuarantine sets the tracker of requests that may crash endpoints. By default, each Core has a separate one.
func WithQuarantine(t *quarantine.Tracker) Option { return func(c *Core) { c.suspects = t } }

// WithStreams sets how the software versions at which streams began are recorded and determined. By default, they are not
// known.
func WithStreams(s Streams) Option { return func(c *Core) { c.streams = s } }

// OnDial sets the function that is called for each new connection to an endpoint. It receives the endpoint's
// availability zone, and the time until the connection was established or failed.
func OnDial(f func(zone string, took time.Duration, err error)) Option {
	return func(c *Core) { c.onDial = f }
}

// WithPaths sets how endpoints are reached that this instance has lost its own path to. By default, they are not.
func WithPaths(p Paths) Option { return func(c *Core) { c.paths = p } }

// WithCongested sets the function that reports whether this instance's network link is so congested that other
// instances should serve its requests.
func WithCongested(f func() bool) Option { return func(c *Core) { c.congested = f } }

// WithStateFresh sets the function that reports whether the known configuration and endpoints may be used. After a
// suspension of the machine, they must be received again first.
func WithStateFresh(f func() bool) Option { return func(c *Core) { c.stateFresh = f } }

// WithStallTimeout sets the minimum time for which an endpoint may be silent before a repeatable request is retried at
// another endpoint. The effective time is longer for long prompts, and for routes that allow long pauses.
func WithStallTimeout(d time.Duration) Option { return func(c *Core) { c.stallTimeout = d } }

// WithoutAffinity picks endpoints regardless of common prompt prefixes.
func WithoutAffinity() Option { return func(c *Core) { c.noAffinity = true } }

const (
	defaultStallTimeout = 700 * time.Millisecond
	defaultMaxBody      = 4 << 20
	maxDials            = 3  // failed connection attempts per request, apart from those that are refused
	maxRefusedDials     = 16 // refused connection attempts per request: they take no time
)

// Delays after which a rejected caller may retry.
const (
	retryAfterShort = 150 * time.Millisecond
	retryAfterLong  = 400 * time.Millisecond
	retryAfterGone  = 5 * time.Second // what the request needs is unlikely to come back
)

// New returns a Core.
func New(deps Deps, opts ...Option) *Core {
	c := &Core{
		Deps: deps, now: time.Now, random: rand.Float64, onOutcome: func(Outcome) {}, onDial: func(string, time.Duration, error) {}, paths: directPaths{},
		onDelayedExit: func(DelayedExit) {}, suspects: quarantine.New(), streams: unknownStreams{},
		congested: func() bool { return false }, stateFresh: func() bool { return true }, stallTimeout: defaultStallTimeout, maxBody: defaultMaxBody,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// MaxBody returns the maximum size of a caller's request body in bytes, according to the configuration in force.
func (c *Core) MaxBody() int64 {
	if t := c.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return c.maxBody
}

// MaxHeader returns the maximum size of a caller's request header in bytes, according to the configuration in force. 0
// means no limit.
func (c *Core) MaxHeader() int {
	if t := c.Table(); t != nil {
		return t.Limits().MaxHeaderBytes
	}
	return 0
}

// Serve processes a request and writes the response to out. If it returns an error that matches ErrBroken, the response
// has been started but cannot be completed. After any other error, no response has been started, and the caller must be
// sent the error.
func (c *Core) Serve(ctx context.Context, req *Request, out Sink) error {
	j := &job{core: c, req: req, out: out, tried: make(map[string]bool)}
	j.outcome.Request = req
	err := j.run(ctx)
	j.finish(err)
	return err
}

// ErrBroken reports that a response ended before it was complete.
var ErrBroken = errors.New("response interrupted")

// job is the state of a request in progress.
type job struct {
	core    *Core
	req     *Request
	out     Sink
	outcome Outcome

	route       *route.Route
	service     *route.Service
	customer    *route.Customer
	reservation *escrow.Reservation
	deadline    time.Time // the earlier one of the caller's deadline and the route's timeout; zero: none

	tried        map[string]bool
	attempts     int
	failedDials  int
	refusedDials int
	dialFailure  upstream.DialFailure   // of the attempt in progress
	fault        upstream.ProtocolFault // of the response to the attempt in progress
	via          string                 // the instance that the attempt in progress is forwarded through; empty: none
	availability pool.Availability      // availability of endpoints as last queried
	mayHaveRun   bool                   // an endpoint may have run the request
	delivered    delivery
	forwarded    int64 // bytes of the response body that have been sent to the caller
	events       int64
	lastEventAt  time.Time // when the last event was received
	// billInFull is set if the caller received a response that is not a stream, whose tokens cannot be counted.
	billInFull    bool
	bound         bool   // the stream has begun, so that it may only continue at an endpoint of the same software version
	software      string // that version; empty: unknown, or not bound
	cachedDigest  *quarantine.Digest
	cachedParts   []quarantine.Part
	admitted      []quarantine.Digest // the request and parts of its prompt that were admitted although they are under suspicion
	wroteAt       time.Time           // when the attempt in progress received its first event, or a complete response; zero: not yet
	nextPartCheck time.Time           // see notePartsWritten
}

func (j *job) run(ctx context.Context) error {
	if err := j.admit(); err != nil {
		return err
	}
	if err := j.checkQuarantine(); err != nil {
		return err
	}
	defer j.leaveQuarantine()
	if j.core.congested() {
		return refuse(verdict.CodeOverloaded, "this instance's link is crowded", retryAfterShort)
	}
	if !j.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.deadline.Sub(j.core.now()))
		defer cancel()
		defer j.core.deadlines.add(j, cancel)()
	}
	if err := j.bindToOrigin(ctx); err != nil {
		return err
	}
	if err := j.checkEndpoints(); err != nil {
		return err
	}
	if err := j.reserve(ctx); err != nil {
		return err
	}
	err := j.dispatch(ctx)
	j.settle()
	return err
}

// admit determines the route, the customer and the service of the request.
func (j *job) admit() error {
	if !j.core.stateFresh() {
		return refuse(verdict.CodeUnavailable, "this machine was suspended, and has not heard the configuration since", retryAfterLong)
	}
	table := j.core.Table()
	if table == nil {
		return refuse(verdict.CodeUnavailable, "no configuration is known yet", retryAfterLong)
	}
	j.outcome.Version = table.Version()
	r, ok := table.Match(j.req.Host, j.req.Path)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route has this host and path")
	}
	j.route = r
	j.outcome.Route, j.outcome.Kind = r.Name, r.Kind.String()
	if table.Keyed() && !r.Public {
		j.customer, ok = table.CustomerByKey(j.req.Key)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.CodeUnauthenticated, "the key is not known")
		}
		j.outcome.Customer = j.customer.Name
	}
	name := r.Choose(j.core.random())
	j.service, ok = table.Service(name)
	if !ok {
		return refuse(verdict.CodeNoEndpoint, "the route's service is not declared", retryAfterLong)
	}
	j.outcome.Service = name
	j.core.Retries.CountRequest(name)
	j.setDeadline()
	j.limitWrites()
	return nil
}

// setDeadline sets the deadline to the earlier one of the caller's deadline and the route's timeout.
func (j *job) setDeadline() {
	limit := j.req.Deadline
	if t := j.route.Timeout; t > 0 && (limit <= 0 || t < limit) {
		limit = t
	}
	if limit > 0 {
		j.deadline = j.req.Arrived.Add(limit)
	}
}

// writeGrace is the time after the deadline in which the caller may still receive what was sent before, or an error.
const writeGrace = time.Second

// limitWrites makes writes to the caller fail some time after the deadline. Otherwise a caller that does not read would
// hold its connection to an endpoint, and the endpoint's slot, until it disconnects.
func (j *job) limitWrites() {
	if remaining, ok := j.remaining(); ok {
		j.out.SetTimeout(max(0, remaining) + writeGrace)
		return
	}
	j.out.SetTimeout(0)
}

func (j *job) reserve(ctx context.Context) error {
	if j.customer == nil || j.customer.Prepaid < 0 || !j.req.Metered {
		return nil
	}
	maxTokens := j.req.TokensIn + j.req.TokensOut
	r, err := j.core.Budgets.Reserve(ctx, j.customer.Name, maxTokens, j.route.Priority)
	j.outcome.Reserved = maxTokens
	j.outcome.Budget = j.core.Budgets.View(j.customer.Name)
	j.reservation = r
	return err
}

// settle bills the tokens of the prompt and those that were sent to the caller. A request is not billed if the caller
// received no token.
func (j *job) settle() {
	used := int64(0)
	switch {
	case j.events > 0:
		used = j.req.TokensIn + min(j.req.TokensOut, j.events*max(1, j.service.Stride))
	case j.billInFull:
		used = j.req.TokensIn + j.req.TokensOut
	}
	j.outcome.Used = used
	if j.reservation != nil {
		j.reservation.Settle(used)
	}
}

// refuse returns the error for a request that was rejected and has not run.
func refuse(code verdict.Code, detail string, after time.Duration) error {
	return verdict.New(verdict.NotRun, code, detail, verdict.WithRetryAfter(after))
}

func (j *job) finish(err error) {
	o := &j.outcome
	o.Attempts, o.Events = j.attempts, j.events
	o.Total = j.core.now().Sub(j.req.Arrived)
	o.Late = j.lateness()
	if err != nil {
		v := verdict.From(err)
		o.Code, o.Verdict, o.Detail = v.Code(), v.Verdict(), v.Detail()
		if !errors.Is(err, ErrBroken) {
			o.Status = v.Code().Status()
		}
	} else {
		o.Verdict = verdict.Ran
	}
	j.core.onOutcome(*o)
}

// lateness returns which latency target of its route a response missed. A response that was not started missed none.
func (j *job) lateness() Lateness {
	switch {
	case !j.delivered.started() || j.route == nil:
		return NotLate
	case j.route.Objective > 0 && j.outcome.FirstByte > j.route.Objective:
		return LateFirst
	case j.route.Gap > 0 && j.outcome.MaxPause > j.route.Gap:
		return LatePause
	}
	return NotLate
}

// remaining returns the time until the deadline. ok is false if the request has none.
func (j *job) remaining() (time.Duration, bool) {
	if j.deadline.IsZero() {
		return 0, false
	}
	return j.deadline.Sub(j.core.now()), true
}

// sendHeader sends the response header, unless it has been sent before. extent is what the caller has received then.
func (j *job) sendHeader(status int, header http.Header, length int64, extent extent) {
	if j.delivered.started() {
		return
	}
	j.delivered.extent = extent
	j.outcome.Status = status
	j.outcome.FirstByte = j.core.now().Sub(j.req.Arrived)
	j.out.Begin(status, j.core.Dialect.ResponseHeader(header), length)
}

// forward sends a piece of the response body to the caller.
func (j *job) forward(p []byte) error {
	j.forwarded += int64(len(p))
	return j.out.Write(p)
}
