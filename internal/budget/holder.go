package budget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// HolderName is the holder's name in the kernel, whose errors contain it. "home" there means the holder.
const HolderName = "budget.home"

// Members is the part of the membership view that the package uses.
type Members interface {
	Self() mesh.Peer
	Zone() []mesh.Peer
	Fleet() []mesh.Peer
	Find(id string) (mesh.Peer, bool)
	Alive(id string) bool
	Lost(id string) bool
}

// Stopper stops a run at its endpoint and prevents it from starting there later.
type Stopper interface {
	// StopRun returns the tokens that the run used. known reports whether the endpoint had the run; final reports
	// that the run cannot start any more. An error means that the endpoint did not respond.
	StopRun(ctx context.Context, place Place) (used int64, known, final bool, err error)
}

// Times contains the intervals and timeouts of a holder.
type Times struct {
	Tick            time.Duration // interval of the holder's periodic work
	Flush           time.Duration // longest time before a charge is written to the store
	RefreshInterval time.Duration // longest time between two writes of the journal
	Horizon         time.Duration // how long escrow should last during an outage of the store
	Idle            time.Duration // unused escrow is returned after this time
	OrphanTimeout   time.Duration // an orphan is resolved after this time; longer than the clients' DefaultMaxHold
	DeadTimeout     time.Duration // a holder that is missing this long is reclaimed
	IncreaseBackoff time.Duration // delay after a failed increase of a grant that a reservation waited for
	DoneRetention   time.Duration // how long settled keyed requests are remembered
}

// DefaultTimes returns times that suit an ordinary fleet.
func DefaultTimes() Times {
	return Times{
		Tick:            250 * time.Millisecond,
		Flush:           time.Second,
		RefreshInterval: 5 * time.Second,
		Horizon:         10 * time.Minute,
		Idle:            time.Hour,
		OrphanTimeout:   12 * time.Second,
		DeadTimeout:     12 * time.Second,
		IncreaseBackoff: 300 * time.Millisecond,
		DoneRetention:   15 * time.Minute,
	}
}

// BilledFunc receives every charge that has become durable.
type BilledFunc func(c ledger.Charge)

// Holder is the part of an instance that owns escrow and serves reservations of its zone.
//
// A holder is dead if it is fenced, if it is an earlier holder of the observing process, or if its instance is not
// alive and its journal has not changed for DeadTimeout. It is fenced if its journal contains a successor; it ends its
// incarnation when it detects this. To reclaim or take over a dead holder means to fence its journal, to collect the
// reports of its clients, and to move its grants to the successor. "Lost" does not refer to a holder, but to the
// serving instance of a reservation or to the response to a write.
type Holder struct {
	store    external.Store
	members  Members
	caller   mesh.Caller
	stopper  Stopper
	size     SizePolicy
	times    Times
	now      func() time.Time
	hook     step.Hook
	log      zerolog.Logger
	billed   BilledFunc
	keyCheck KeyCheck

	// journalSem admits one write of the journal at a time. A caller stops waiting for it when its context ends.
	journalSem *semaphore.Weighted
	jobs       sync.WaitGroup
	ctx        context.Context //nolint:containedctx // ends background store operations
	cancel     context.CancelFunc

	mu               sync.Mutex
	gen              int
	holder           string // id of the current incarnation
	accounts         map[string]*account
	byPage           map[uint16][]*account         // the same accounts by page
	queuedIncreases  map[uint16][]*pendingIncrease // increases that wait for a write of their page
	busyPages        map[uint16]bool               // pages that a background job is writing
	book             *ledger.Book
	journal          journalState
	closing          bool
	stopped          bool                       // everything is returned and the journal removed
	fences           map[string]*fenceState     // other holders of the zone, as observed by sweeps
	inheritedSettled map[string]string          // clients of requests settled on behalf of reclaimed holders, by request
	abandonedRuns    map[string]time.Time       // runs abandoned before their reservations arrived; kept across incarnations
	releases         map[Release]bool           // releases that operators have confirmed
	unreported       map[string][]ledger.Charge // pending charges of ended incarnations, whose journals may have them
	unknownMoves     map[string][]move          // take-overs of ended incarnations with an unknown outcome, by page key
	handedOver       map[string]bool            // requests whose charges this holder does not report
	sweptAt          time.Time
	stats            Stats
}

// journalState is the last observed state of this holder's journal in the store.
type journalState struct {
	rev        int64
	seq        uint64
	clients    map[string]bool
	pages      map[uint16]bool
	writtenAt  time.Time
	dirtySince time.Time // time of the oldest unwritten charge; zero if there is none
}

// Stats contains counters since the start.
type Stats struct {
	Reserved, Rejected, Increases, Returns, Flushes, Reclaims, Orphans, Fenced int64
}

// KeyCheck asks the registrar of a keyed request, the instance that stores the key's record, whether an orphaned run of
// the request is to be billed. sure is false while the registrar cannot decide.
type KeyCheck func(ctx context.Context, customer, request string, place Place, tokens int64) (bill, sure bool)

// WithKeyCheck sets the check that runs before a keyed orphan is billed.
func WithKeyCheck(f KeyCheck) HolderOption { return func(h *Holder) { h.keyCheck = f } }

// HolderOption configures a Holder.
type HolderOption func(*Holder)

// WithSize replaces the sizing policy.
func WithSize(p SizePolicy) HolderOption { return func(h *Holder) { h.size = p } }

// WithTimes replaces the intervals.
func WithTimes(t Times) HolderOption { return func(h *Holder) { h.times = t } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) HolderOption { return func(h *Holder) { h.now = now } }

// WithHook sets the hook that is called at each step.
func WithHook(hook step.Hook) HolderOption { return func(h *Holder) { h.hook = hook } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) HolderOption { return func(h *Holder) { h.log = log } }

// OnBilled sets the function that receives durable charges.
func OnBilled(b BilledFunc) HolderOption { return func(h *Holder) { h.billed = b } }

// NewHolder creates a holder and registers its message handlers.
func NewHolder(store external.Store, members Members, caller mesh.Caller, router *mesh.Router, stopper Stopper, opts ...HolderOption) *Holder {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Holder{
		abandonedRuns: make(map[string]time.Time),
		unreported:    make(map[string][]ledger.Charge),
		unknownMoves:  make(map[string][]move),
		handedOver:    make(map[string]bool),
		journalSem:    semaphore.NewWeighted(1),
		store:         store,
		members:       members,
		caller:        caller,
		stopper:       stopper,
		times:         DefaultTimes(),
		now:           time.Now,
		hook:          step.None,
		log:           zerolog.Nop(),
		billed:        func(ledger.Charge) {},
		keyCheck:      func(context.Context, string, string, Place, int64) (bill, sure bool) { return true, true },
		ctx:           ctx,
		cancel:        cancel,
	}
	for _, opt := range opts {
		opt(h)
	}
	if h.size == nil {
		h.size = ByRate(h.times.Horizon)
	}
	h.mu.Lock()
	h.reset()
	h.mu.Unlock()
	h.register(router)
	return h
}

// genSeparator separates an instance's incarnation id from the number of its incarnation as a holder.
const genSeparator = "#"

// reset begins a new incarnation with empty state. The caller holds the lock.
func (h *Holder) reset() {
	h.gen++
	h.holder = h.members.Self().IncarnationID()
	if h.gen > 1 {
		h.holder = fmt.Sprintf("%s%s%d", h.holder, genSeparator, h.gen)
	}
	for _, batch := range h.queuedIncreases {
		for _, inc := range batch {
			close(inc.a.busy) // the waiters start over
			inc.a.busy = nil
		}
	}
	h.accounts = make(map[string]*account)
	h.byPage = make(map[uint16][]*account)
	h.queuedIncreases = make(map[uint16][]*pendingIncrease)
	h.busyPages = make(map[uint16]bool)
	h.book = ledger.NewBook()
	h.journal = journalState{clients: make(map[string]bool), pages: make(map[uint16]bool)}
	h.fences = make(map[string]*fenceState)
	h.inheritedSettled = make(map[string]string)
}

func (h *Holder) register(r *mesh.Router) {
	mesh.Handle(r, KindReserve, func(ctx context.Context, from mesh.Peer, req ReserveReq) (ReserveResp, error) {
		return h.Reserve(ctx, from.IncarnationID(), req)
	})
	mesh.Handle(r, KindUpdate, func(_ context.Context, from mesh.Peer, req UpdateReq) (mesh.Empty, error) {
		return mesh.Empty{}, h.Update(from.IncarnationID(), req)
	})
	mesh.Handle(r, KindSettle, func(ctx context.Context, from mesh.Peer, req SettleReq) (mesh.Empty, error) {
		return mesh.Empty{}, h.Settle(ctx, from.IncarnationID(), req)
	})
	mesh.Handle(r, KindSync, func(_ context.Context, from mesh.Peer, req SyncReq) (SyncResp, error) {
		return h.Sync(from.IncarnationID(), req), nil
	})
	mesh.Handle(r, KindRecall, func(ctx context.Context, _ mesh.Peer, req RecallReq) (RecallResp, error) {
		n, err := h.returnEscrow(ctx, req.Budget, req.Need)
		return RecallResp{Returned: n}, err
	})
}

// Name implements kernel.Service.
func (h *Holder) Name() string { return HolderName }

// ID returns the id of the current incarnation.
func (h *Holder) ID() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder
}

// Stats returns the counters.
func (h *Holder) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

// Reserve reserves tokens for a request. Its errors have the verdict NotRun.
func (h *Holder) Reserve(ctx context.Context, client string, req ReserveReq) (ReserveResp, error) {
	if req.Tokens <= 0 || req.Tokens > maxTokens || req.Request == "" || req.Budget == "" {
		return ReserveResp{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the reservation is not valid")
	}
	if err := h.hook(ctx, step.Reserve); err != nil {
		return ReserveResp{}, err
	}
	if err := h.ensureClientListed(ctx, client); err != nil {
		return ReserveResp{}, err
	}
	for {
		resp, wait, err := h.tryReserve(client, req)
		if err != nil || wait == nil {
			return resp, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return ReserveResp{}, unavailable("the reservation took too long", ctx.Err())
		}
	}
}

func unavailable(detail string, cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnavailable, detail,
		verdict.WithRetryAfter(time.Second), verdict.WithCause(cause))
}

// ensureClientListed makes sure that the journal in the store lists the client among those that may have reservations
// at this holder.
func (h *Holder) ensureClientListed(ctx context.Context, client string) error {
	h.mu.Lock()
	closing, known := h.closing, h.journal.clients[client]
	h.mu.Unlock()
	if closing {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "the holder is stopping")
	}
	if known {
		return nil
	}
	if err := h.writeJournal(ctx, client, nil); err != nil {
		return unavailable("the store does not list this serving instance yet", err)
	}
	return nil
}

// tryReserve responds immediately, or returns a channel that is closed when a pending increase of the grant ends.
func (h *Holder) tryReserve(client string, req ReserveReq) (ReserveResp, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.journal.clients[client] || h.closing {
		return ReserveResp{}, nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "the holder has changed")
	}
	now := h.now()
	if _, abandoned := h.abandonedRuns[req.Place.Run]; abandoned {
		return ReserveResp{}, nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "this reservation was given up before it came")
	}
	a := h.account(req.Budget, now)
	if a.customer != "" && a.customer != req.Customer {
		return ReserveResp{}, nil, unknownBudget(req.Budget)
	}
	if resp, ok := h.existingResponse(a, client, req); ok {
		return resp, nil, nil
	}
	if req.Takeover {
		return ReserveResp{Outcome: Absent, Holder: h.holder}, nil, nil
	}
	if a.available() >= req.Tokens && a.customer != "" {
		a.reserve(&reservation{
			request: req.Request, customer: req.Customer, owner: client, place: req.Place,
			tokens: req.Tokens, keyed: req.Keyed, since: now,
		})
		h.stats.Reserved++
		h.topUp(a, now)
		return ReserveResp{Outcome: Granted, Holder: h.holder, Tokens: req.Tokens, Place: req.Place}, nil, nil
	}
	if a.busy != nil {
		return ReserveResp{}, a.busy, nil
	}
	if now.Before(a.blockedUntil) && a.increaseErr != nil {
		h.stats.Rejected++
		return ReserveResp{}, nil, h.denial(a, req.Budget)
	}
	h.startIncrease(a, req.Tokens-a.available())
	return ReserveResp{}, a.busy, nil
}

// existingResponse returns the response to a request that is already open or settled.
func (h *Holder) existingResponse(a *account, client string, req ReserveReq) (ReserveResp, bool) {
	if m, ok := a.done[req.Request]; ok {
		return ReserveResp{Outcome: Settled, Holder: h.holder, Tokens: m.tokens, Place: m.place}, true
	}
	r, ok := a.open[req.Request]
	if !ok {
		return ReserveResp{}, false
	}
	if r.owner == client && r.place.Run == req.Place.Run {
		return ReserveResp{Outcome: Granted, Holder: h.holder, Tokens: r.tokens, Place: r.place}, true
	}
	resp := ReserveResp{Outcome: Existing, Holder: h.holder, Tokens: r.tokens, Owner: r.owner, Place: r.place}
	if req.Takeover {
		r.owner = client
		r.orphanedAt = time.Time{}
		resp.Outcome = Granted
	}
	return resp, true
}

func (h *Holder) account(budget string, now time.Time) *account {
	a, ok := h.accounts[budget]
	if !ok {
		a = newAccount(budget, now)
		h.accounts[budget] = a
		h.byPage[PageOf(budget)] = append(h.byPage[PageOf(budget)], a)
	}
	return a
}

// dropAccount removes an account that has neither a grant nor open reservations. The caller holds the lock.
func (h *Holder) dropAccount(a *account) {
	delete(h.accounts, a.budget)
	page := PageOf(a.budget)
	for i, b := range h.byPage[page] {
		if b == a {
			h.byPage[page] = append(h.byPage[page][:i:i], h.byPage[page][i+1:]...)
			return
		}
	}
}

func unknownBudget(budget string) error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnknown, "no budget "+budget+" of this customer", verdict.WithField("budget"))
}

// denial converts the error of the last failed increase into the error of a rejected reservation.
func (h *Holder) denial(a *account, budget string) error {
	switch {
	case errors.Is(a.increaseErr, ErrUnknown):
		return unknownBudget(budget)
	case errors.Is(a.increaseErr, ErrExhausted):
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "budget "+budget+" has too little left")
	default:
		return unavailable("the budget's escrow here is used up and the store cannot be asked", a.increaseErr)
	}
}

// Update moves an open reservation, or records what its run has used.
func (h *Holder) Update(client string, req UpdateReq) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accounts[req.Budget]
	if ok {
		if r, open := a.open[req.Request]; open && r.owner == client {
			r.place, r.used = req.Place, req.Used
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "the reservation is not open for this instance")
}

// Settle closes a reservation. A repeated settlement, one for another run, or one by another client than the owner has no
// effect.
func (h *Holder) Settle(ctx context.Context, client string, req SettleReq) error {
	if err := h.hook(ctx, step.Settle); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Holder != "" && req.Holder != h.holder {
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the holder has changed")
	}
	if req.Holder == "" {
		h.abandonedRuns[req.Run] = h.now() // the ReserveReq may still be in transit and arrive after this message
	}
	a, ok := h.accounts[req.Budget]
	if !ok {
		return nil
	}
	r, ok := a.open[req.Request]
	if !ok || r.place.Run != req.Run || r.owner != client {
		return nil
	}
	h.closeReservation(a, r, req.Tokens)
	return nil
}

// closeReservation settles a reservation and adds its charge to the book. The caller holds the lock.
func (h *Holder) closeReservation(a *account, r *reservation, tokens int64) {
	now := h.now()
	used := a.settle(r, tokens, now)
	if used == 0 {
		return
	}
	h.book.Charge(ledger.Charge{Request: r.request, Budget: a.budget, Tokens: used, Run: r.place.Run, Holder: h.holder}, a.settled)
	if h.journal.dirtySince.IsZero() {
		h.journal.dirtySince = now
	}
}

// Sync reports to a client which of its charges are in the store, and which of its open requests this holder has.
func (h *Holder) Sync(client string, req SyncReq) SyncResp {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := SyncResp{Holder: h.holder}
	if req.Holder != h.holder {
		return resp
	}
	h.book.Confirm(req.Confirm)
	for _, id := range req.Confirm {
		delete(h.inheritedSettled, id)
	}
	for _, id := range req.Pending {
		if h.book.Stored(id) || h.inheritedSettled[id] == client {
			resp.Flushed = append(resp.Flushed, id)
		}
	}
	for _, id := range req.Unconfirmed {
		if h.isOpen(id) {
			resp.Known = append(resp.Known, id)
		}
	}
	return resp
}
