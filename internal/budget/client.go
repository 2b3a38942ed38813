package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// ClientName is the serving side's name in the kernel.
const ClientName = "budget.client"

const (
	// DefaultMaxHold limits the time from the request for a reservation to the first dispatch, measured by the serving
	// instance's clock. Holders wait longer than this before they resolve an orphan.
	DefaultMaxHold = 5 * time.Second

	// reserveTimeout is how long a serving instance waits for a holder's response to one reservation.
	reserveTimeout = time.Second

	candidatesPerZone = 4 // instances of a zone that may hold escrow
	maxCandidateTries = 3
	takeOverTries     = 2
	settleTimeout     = time.Second
	clientTick        = 250 * time.Millisecond
	holderLostAfter   = 3 * time.Second
	maxDeliveries     = 64
)

type holdState int

const (
	stateHeld       holdState = iota // reserved, not dispatched
	stateDispatched                  // an endpoint may run the request
	stateSettled                     // ended; the holder has not confirmed the settlement yet
	stateDelivered                   // the holder has the settlement, but it may not be in the store yet
	stateRevoked                     // the holder is fenced; the reservation must not be used
)

// String returns the state's name in logs.
func (s holdState) String() string {
	switch s {
	case stateHeld:
		return "held"
	case stateDispatched:
		return "dispatched"
	case stateSettled:
		return "settled"
	case stateDelivered:
		return "delivered"
	case stateRevoked:
		return "revoked"
	}
	return "unknown"
}

// Hold is a reservation on the serving side.
type Hold struct {
	c           *Client
	request     string
	budget      string
	customer    string
	tokens      int64
	keyed       bool
	requestedAt time.Time

	// The client's lock guards the fields below.
	place        Place
	state        holdState
	used         int64
	outcome      int64 // tokens used by the run at place, while its settlement is deferred
	holder       string
	addr         string
	chain        []string
	successors   []holderAt // successors that may have taken the reservation over, while unconfirmed
	unconfirmed  bool       // reported to a successor that has not confirmed the take-over
	reportedOpen bool       // while unconfirmed: whether the reports to successors are of an open reservation
	unreported   bool       // its holder has ended and does not report the charge
	ownHolders   int        // while unconfirmed: the length of chain before the first of these successors
	sending      bool
	failingSince time.Time // when calls to the holder began to fail; zero while they succeed
}

// Client is the serving side of reservations. It keeps a second copy of all reservations and charges that are not in
// the store yet.
type Client struct {
	members Members
	caller  mesh.Caller
	store   external.Store
	now     func() time.Time
	log     zerolog.Logger
	maxHold time.Duration

	jobs sync.WaitGroup
	sem  chan struct{}

	mu        sync.Mutex
	stopping  bool // Run is waiting for jobs or has returned; it does not wait for later settlements
	holds     map[*Hold]struct{}
	fenced    map[string]bool
	toConfirm map[holderAt][]string
}

type holderAt struct{ holder, addr string }

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithClientClock replaces the clock.
func WithClientClock(now func() time.Time) ClientOption { return func(c *Client) { c.now = now } }

// WithClientLogger sets the logger.
func WithClientLogger(log zerolog.Logger) ClientOption { return func(c *Client) { c.log = log } }

// WithMaxHold replaces DefaultMaxHold. The duration must stay below the holders' Times.OrphanTimeout.
func WithMaxHold(d time.Duration) ClientOption { return func(c *Client) { c.maxHold = d } }

// NewClient creates the serving side and registers its message handler.
func NewClient(store external.Store, members Members, caller mesh.Caller, router *mesh.Router, opts ...ClientOption) *Client {
	c := &Client{
		members:   members,
		caller:    caller,
		store:     store,
		now:       time.Now,
		log:       zerolog.Nop(),
		maxHold:   DefaultMaxHold,
		sem:       make(chan struct{}, maxDeliveries),
		holds:     make(map[*Hold]struct{}),
		fenced:    make(map[string]bool),
		toConfirm: make(map[holderAt][]string),
	}
	for _, opt := range opts {
		opt(c)
	}
	mesh.Handle(router, KindFence, func(_ context.Context, _ mesh.Peer, req FenceReq) (FenceResp, error) {
		return c.Fence(req), nil
	})
	mesh.Handle(router, KindUnreported, func(_ context.Context, _ mesh.Peer, req UnreportedReq) (mesh.Empty, error) {
		c.markUnreported(req)
		return mesh.Empty{}, nil
	})
	return c
}

// Name implements kernel.Service.
func (c *Client) Name() string { return ClientName }

// Run implements kernel.Service. It redelivers settlements and asks holders which charges have reached the store.
func (c *Client) Run(ctx context.Context) error {
	kernel.Every(ctx, clientTick, c.Tick)
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.jobs.Wait()
	return nil
}

// HolderCandidates ranks the instances that may hold a budget's escrow for requests served by self, best first. Self
// ranks last: while another instance can hold the escrow, each reservation is known to two processes.
func HolderCandidates(budget string, zone []mesh.Peer, self string) []mesh.Peer {
	out := pageCandidates(PageOf(budget), zone)
	others := out[:0]
	ownPeer := mesh.Peer{}
	for _, p := range out {
		if p.ID == self {
			ownPeer = p
			continue
		}
		others = append(others, p)
	}
	if ownPeer.ID != "" {
		others = append(others, ownPeer)
	}
	return others
}

// pageCandidates ranks the instances of a zone that may hold escrow on a page. All budgets of a page share these
// candidates, so that one write of the page serves many budgets.
func pageCandidates(page uint16, zone []mesh.Peer) []mesh.Peer {
	ranked := member.Rank("budget-homes", zone)
	ranked = ranked[:min(len(ranked), candidatesPerZone)]
	return member.Rank(PageKey(page), ranked)
}

// ReserveParams describes a reservation that a serving instance requests.
type ReserveParams struct {
	Request  string
	Budget   string
	Customer string
	Tokens   int64
	Place    Place
	Keyed    bool
}

// Reserve reserves tokens at one of the budget's candidate holders. Its errors have the verdict NotRun. The Hold is nil
// unless the outcome is Granted.
func (c *Client) Reserve(ctx context.Context, a ReserveParams) (*Hold, ReserveResp, error) {
	self := c.members.Self()
	candidates := HolderCandidates(a.Budget, c.members.Zone(), self.ID)
	if len(candidates) == 0 {
		return nil, ReserveResp{}, verdict.New(verdict.NotRun, verdict.CodeStopping, "this instance is leaving")
	}
	var last error
	run := a.Place.Run
	for i, candidate := range candidates[:min(len(candidates), maxCandidateTries)] {
		if i > 0 {
			// A candidate that did not respond may have made a reservation for the previous run id. Under a new id,
			// that reservation is never billed for this run.
			a.Place.Run = fmt.Sprintf("%s-%d", run, i+1)
		}
		h, resp, err := c.reserveAt(ctx, candidate.Addr, a, false)
		if err == nil {
			return h, resp, nil
		}
		last = err
		if !shouldTryNextCandidate(err) || ctx.Err() != nil {
			break
		}
	}
	if errors.Is(last, mesh.ErrUnreachable) || errors.Is(last, mesh.ErrNoReply) {
		last = unavailable("the budget's holder does not answer", last)
	}
	return nil, ReserveResp{}, last
}

// shouldTryNextCandidate reports whether another candidate may succeed after this error.
func shouldTryNextCandidate(err error) bool {
	if errors.Is(err, mesh.ErrUnreachable) || errors.Is(err, mesh.ErrNoReply) {
		return true
	}
	return verdict.From(err).Code() == verdict.CodeStopping
}

// TakeOver makes this instance the owner of a missing instance's reservation. addr is the holder's address. If the
// holder's response was lost, the outcome is Unconfirmed, and the Hold is to be settled with what the run has used: the
// holder may have made this instance the owner.
func (c *Client) TakeOver(ctx context.Context, addr string, a ReserveParams) (h *Hold, resp ReserveResp, err error) {
	for range takeOverTries { // a repeated take-over has the same outcome
		h, resp, err = c.reserveAt(ctx, addr, a, true)
		if !errors.Is(err, mesh.ErrNoReply) || ctx.Err() != nil {
			break
		}
	}
	if !errors.Is(err, mesh.ErrNoReply) {
		return h, resp, err
	}
	h = c.newHold(addr, a)
	return h, ReserveResp{Outcome: Unconfirmed, Tokens: a.Tokens, Place: a.Place, HolderAddr: addr}, c.track(h, true)
}

func (c *Client) newHold(addr string, a ReserveParams) *Hold {
	return &Hold{
		c: c, request: a.Request, budget: a.Budget, customer: a.Customer, tokens: a.Tokens, keyed: a.Keyed,
		place: a.Place, requestedAt: c.now(), addr: addr,
	}
}

func (c *Client) reserveAt(ctx context.Context, addr string, a ReserveParams, takeover bool) (*Hold, ReserveResp, error) {
	h := c.newHold(addr, a)
	req := ReserveReq{
		Request: a.Request, Budget: a.Budget, Customer: a.Customer, Tokens: a.Tokens, Place: a.Place, Keyed: a.Keyed, Takeover: takeover,
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	resp, err := mesh.Call[ReserveReq, ReserveResp](ctx, c.caller, addr, KindReserve, req)
	if err != nil {
		if errors.Is(err, mesh.ErrNoReply) && !takeover {
			c.abandon(h)
		}
		return nil, ReserveResp{}, err
	}
	resp.HolderAddr = addr
	if resp.Outcome != Granted {
		return nil, resp, nil
	}
	h.tokens = resp.Tokens
	h.place = resp.Place
	h.holder = resp.Holder
	h.chain = []string{resp.Holder}
	if err := c.track(h, takeover); err != nil {
		return nil, resp, err
	}
	return h, resp, nil
}

// track records a granted reservation, unless its holder was fenced while the response was in transit.
func (c *Client) track(h *Hold, dispatched bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenced[h.holder] {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "the budget's holder has been replaced")
	}
	if dispatched {
		h.state = stateDispatched
	}
	c.holds[h] = struct{}{}
	return nil
}

// abandon settles a reservation with zero tokens because the holder's response was lost. The holder may or may not have
// made the reservation.
func (c *Client) abandon(h *Hold) {
	c.mu.Lock()
	h.state = stateSettled
	c.holds[h] = struct{}{}
	c.mu.Unlock()
	c.deliver(h)
}

// Request returns the id of the request.
func (h *Hold) Request() string { return h.request }

// Tokens returns the maximum that may be charged.
func (h *Hold) Tokens() int64 { return h.tokens }

// HolderAddr returns the address of the holder.
func (h *Hold) HolderAddr() string {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.addr
}

// Place returns where the request runs.
func (h *Hold) Place() Place {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	return h.place
}

// Dispatch must be called immediately before the request is first sent to an endpoint. An error means that the
// reservation must not be used any more; its verdict is NotRun.
func (h *Hold) Dispatch() error {
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	if h.state == stateDispatched {
		return nil
	}
	if h.state != stateHeld {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "the reservation was revoked",
			verdict.WithRetryAfter(time.Second))
	}
	if h.c.now().Sub(h.requestedAt) > h.c.maxHold {
		return verdict.New(verdict.NotRun, verdict.CodeBudgetUnavailable, "the reservation is too old to be used",
			verdict.WithRetryAfter(time.Second))
	}
	h.state = stateDispatched
	return nil
}

// Move notifies the holder that the request will run at another place. It must succeed before the request is sent
// there.
func (h *Hold) Move(ctx context.Context, p Place) error {
	addr := h.HolderAddr()
	req := UpdateReq{Request: h.request, Budget: h.budget, Place: p}
	if _, err := mesh.Call[UpdateReq, mesh.Empty](ctx, h.c.caller, addr, KindUpdate, req); err != nil {
		return eris.Wrap(err, "moving the reservation")
	}
	h.c.mu.Lock()
	defer h.c.mu.Unlock()
	h.place = p
	return nil
}

// RecordOutcome reports the tokens used by a run whose settlement is deferred to the holder. If this instance is lost
// before it settles the run, the holder does not depend on the endpoint for them.
func (h *Hold) RecordOutcome(ctx context.Context, tokens int64) error {
	h.c.mu.Lock()
	h.outcome = min(tokens, h.tokens)
	addr := h.addr
	req := UpdateReq{Request: h.request, Budget: h.budget, Place: h.place, Used: h.outcome}
	h.c.mu.Unlock()
	_, err := mesh.Call[UpdateReq, mesh.Empty](ctx, h.c.caller, addr, KindUpdate, req)
	return eris.Wrap(err, "recording the outcome of a run")
}

// Settle ends the reservation and records the tokens used; zero means that nothing ran. The settlement is delivered
// in the background.
func (h *Hold) Settle(tokens int64) {
	c := h.c
	c.mu.Lock()
	if h.state >= stateSettled {
		c.mu.Unlock()
		return
	}
	h.used = min(tokens, h.tokens)
	h.state = stateSettled
	c.mu.Unlock()
	c.deliver(h)
}

// deliver sends a settlement in the background.
func (c *Client) deliver(h *Hold) {
	c.mu.Lock()
	if h.state != stateSettled || h.sending || h.unconfirmed {
		c.mu.Unlock()
		return
	}
	h.sending = true
	req := SettleReq{Request: h.request, Budget: h.budget, Run: h.place.Run, Holder: h.holder, Tokens: h.used}
	addr := h.addr
	defer c.mu.Unlock()
	send := func() {
		c.sem <- struct{}{}
		defer func() { <-c.sem }()
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		_, err := mesh.Call[SettleReq, mesh.Empty](ctx, c.caller, addr, KindSettle, req)
		c.recordDelivery(h, req, err)
	}
	if c.stopping {
		go send()
		return
	}
	c.jobs.Go(send)
}

func (c *Client) recordDelivery(h *Hold, req SettleReq, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h.sending = false
	if h.holder != req.Holder {
		return // a successor has the reservation now
	}
	if err != nil {
		if h.failingSince.IsZero() {
			h.failingSince = c.now()
		}
		return
	}
	h.failingSince = time.Time{}
	if h.used == 0 || h.holder == "" { // the holder of an unconfirmed hold may not have its charge
		delete(c.holds, h)
		return
	}
	if h.state == stateSettled {
		h.state = stateDelivered
	}
}

// Open returns the number of reservations and charges that are not in the store yet.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.holds)
}
