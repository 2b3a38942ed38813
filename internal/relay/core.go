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

// Budgets reserves what requests may use.
type Budgets interface {
	Reserve(ctx context.Context, customer string, most int64, rank int) (*escrow.Reservation, error)
	View(customer string) escrow.View
}

// Deps are the parts that a Core works with.
type Deps struct {
	Table   func() *route.Table // the configuration in force; nil: none is known
	Pool    *pool.Pool
	Budgets Budgets
	Retries *retry.FleetBudget
	Client  *upstream.Client
	Dialect Dialect
}

// Core serves requests. It keeps nothing of them but which ones their endpoints did not outlive.
type Core struct {
	Deps
	now      func() time.Time
	random   func() float64
	ended    func(Outcome)
	dialed   func(zone string, took time.Duration)
	crowded  func() bool
	woken    func() bool
	stall    time.Duration
	maxBody  int64
	apart    bool // requests of one subject are not kept together
	late     func(DelayedExit)
	overdue  overdue
	endings  endings
	turns    turns
	suspects *quarantine.Tracker
}

// Option changes a Core.
type Option func(*Core)

// WithNow replaces the clock.
func WithNow(now func() time.Time) Option { return func(c *Core) { c.now = now } }

// WithRandom replaces the source of numbers from 0 up to 1.
func WithRandom(f func() float64) Option { return func(c *Core) { c.random = f } }

// OnOutcome sets what is notified of each request that has ended.
func OnOutcome(f func(Outcome)) Option { return func(c *Core) { c.ended = f } }

// OnDelayedExit sets what is notified of an endpoint's end that was seen late.
func OnDelayedExit(f func(DelayedExit)) Option { return func(c *Core) { c.late = f } }

// WithQuarantine replaces the memory of requests that end endpoints, which is the instance's own where nothing else is set.
func WithQuarantine(m *quarantine.Tracker) Option { return func(c *Core) { c.suspects = m } }

// OnDial sets what is told how long new connections to endpoints took to come up, by the endpoint's availability zone.
func OnDial(f func(zone string, took time.Duration)) Option {
	return func(c *Core) { c.dialed = f }
}

// WithCongested sets what reports whether this instance's link is so crowded that requests are better served elsewhere.
func WithCongested(f func() bool) Option { return func(c *Core) { c.crowded = f } }

// WithStateFresh sets what reports whether what is known may be used: a machine that was suspended hears it again first.
func WithStateFresh(f func() bool) Option { return func(c *Core) { c.woken = f } }

// WithStallTimeout sets how long an endpoint may be silent at least before a request that may be repeated looks elsewhere; long prompts and
// pauses that are in time make it longer.
func WithStallTimeout(d time.Duration) Option { return func(c *Core) { c.stall = d } }

// WithoutAffinity sends requests wherever there is least to do, whatever they share.
func WithoutAffinity() Option { return func(c *Core) { c.apart = true } }

const (
	defaultStall   = 700 * time.Millisecond
	defaultMaxBody = 4 << 20
	mostDials      = 3 // endpoints that could not be reached in one request
)

// Times after which a caller that was refused may come back.
const (
	retryNow  = 150 * time.Millisecond
	retrySoon = 400 * time.Millisecond
)

// New makes a core.
func New(deps Deps, opts ...Option) *Core {
	c := &Core{
		Deps: deps, now: time.Now, random: rand.Float64, ended: func(Outcome) {}, dialed: func(string, time.Duration) {},
		late: func(DelayedExit) {}, suspects: quarantine.New(),
		crowded: func() bool { return false }, woken: func() bool { return true }, stall: defaultStall, maxBody: defaultMaxBody,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// MaxBody is the largest body that the configuration in force lets a caller send, in bytes.
func (c *Core) MaxBody() int64 {
	if t := c.Table(); t != nil && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return c.maxBody
}

// MaxHeader is the largest head that the configuration in force lets a caller send, in bytes; 0: no limit.
func (c *Core) MaxHeader() int {
	if t := c.Table(); t != nil {
		return t.Limits().MaxHeaderBytes
	}
	return 0
}

// Serve carries a request through. An error means that the caller has no answer yet and is to be told of it; ErrBroken, that
// the answer has begun and cannot be completed.
func (c *Core) Serve(ctx context.Context, req *Request, out Sink) error {
	j := &job{core: c, req: req, out: out, tried: make(map[string]bool)}
	j.outcome.Request = req
	err := j.run(ctx)
	j.finish(err)
	return err
}

// ErrBroken reports that an answer ended before it was whole.
var ErrBroken = errors.New("the answer was broken off")

// job is one request on its way.
type job struct {
	core    *Core
	req     *Request
	out     Sink
	outcome Outcome

	route    *route.Route
	service  *route.Service
	customer *route.Customer
	escrow   *escrow.Reservation
	end      time.Time // of the caller's patience or the route's time; zero: none

	tried    map[string]bool
	attempts int
	dials    int
	opening  pool.Availability // as far as it was asked
	ran      bool              // an endpoint may have run it
	begun    bool              // the caller has seen the head
	events   int64
	heard    time.Time // when the last event came
	// wholeMetered: the caller has an answer without events, of which the tokens cannot be counted
	wholeMetered bool
	last         string // ID of the last event that was passed on
	known        *quarantine.Digest
	entered      bool // its digest is under suspicion, and it was let in
}

func (j *job) run(ctx context.Context) error {
	if err := j.admit(); err != nil {
		return err
	}
	if err := j.enter(); err != nil {
		return err
	}
	defer j.leave()
	if j.core.crowded() {
		return refuse(verdict.CodeOverloaded, "this instance's link is crowded", retryNow)
	}
	if !j.end.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, j.end.Sub(j.core.now()))
		defer cancel()
		defer j.core.overdue.add(j, cancel)()
	}
	if err := j.opens(); err != nil {
		return err
	}
	if err := j.reserve(ctx); err != nil {
		return err
	}
	err := j.dispatch(ctx)
	j.settle()
	return err
}

// admit finds the route and who pays.
func (j *job) admit() error {
	if !j.core.woken() {
		return refuse(verdict.CodeUnavailable, "this machine was suspended, and has not heard the configuration since", retrySoon)
	}
	table := j.core.Table()
	if table == nil {
		return refuse(verdict.CodeUnavailable, "no configuration is known yet", retrySoon)
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
		return refuse(verdict.CodeNoEndpoint, "the route's service is not declared", retrySoon)
	}
	j.outcome.Service = name
	j.core.Retries.CountRequest(name)
	j.setEnd()
	return nil
}

// setEnd finds the moment at which the request is given up.
func (j *job) setEnd() {
	left := j.req.Deadline
	if t := j.route.Timeout; t > 0 && (left <= 0 || t < left) {
		left = t
	}
	if left > 0 {
		j.end = j.req.Arrived.Add(left)
	}
}

func (j *job) reserve(ctx context.Context) error {
	if j.customer == nil || j.customer.Prepaid < 0 || !j.req.Metered {
		return nil
	}
	most := j.req.TokensIn + j.req.TokensOut
	r, err := j.core.Budgets.Reserve(ctx, j.customer.Name, most, j.route.Priority)
	j.outcome.Reserved = most
	j.outcome.Budget = j.core.Budgets.View(j.customer.Name)
	j.escrow = r
	return err
}

// settle spends what the caller got: the tokens of the prompt, once any token of an answer was handed out, and those handed out.
// A request that brought its caller nothing is not billed.
func (j *job) settle() {
	used := int64(0)
	switch {
	case j.events > 0:
		used = j.req.TokensIn + min(j.req.TokensOut, j.events*max(1, j.service.Stride))
	case j.wholeMetered:
		used = j.req.TokensIn + j.req.TokensOut
	}
	j.outcome.Used = used
	if j.escrow != nil {
		j.escrow.Settle(used)
	}
}

// refuse makes an error for a request that has not run.
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
	j.core.ended(*o)
}

// lateness judges an answer that has begun by what its route wants.
func (j *job) lateness() Lateness {
	switch {
	case !j.begun || j.route == nil:
		return NotLate
	case j.route.Objective > 0 && j.outcome.FirstByte > j.route.Objective:
		return LateFirst
	case j.route.Gap > 0 && j.outcome.MaxPause > j.route.Gap:
		return LatePause
	}
	return NotLate
}

// left is the time that the request still has; ok is false if it has no limit.
func (j *job) left() (time.Duration, bool) {
	if j.end.IsZero() {
		return 0, false
	}
	return j.end.Sub(j.core.now()), true
}

// begin sends the head of the answer, once.
func (j *job) begin(status int, header http.Header, length int64) {
	if j.begun {
		return
	}
	j.begun = true
	j.outcome.Status = status
	j.outcome.FirstByte = j.core.now().Sub(j.req.Arrived)
	j.out.Begin(status, j.core.Dialect.ResponseHeader(header), length)
}
