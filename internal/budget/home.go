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

// HomeName is the holder's name in the kernel.
const HomeName = "budget.home"

// Members is what the package uses of the membership view.
type Members interface {
	Self() mesh.Peer
	Zone() []mesh.Peer
	Fleet() []mesh.Peer
	Find(who string) (mesh.Peer, bool)
	Alive(who string) bool
	Lost(who string) bool
}

// Stopper stops a run at its endpoint and keeps it from ever starting there.
type Stopper interface {
	// StopRun returns what the run used. known reports whether the endpoint had the run; final reports that it cannot
	// start any more. An error means that the endpoint did not answer.
	StopRun(ctx context.Context, place Place) (used int64, known, final bool, err error)
}

// Times are the intervals of a holder.
type Times struct {
	Tick     time.Duration // how often the holder looks after its accounts
	Flush    time.Duration // longest time a charge waits for the store
	Beat     time.Duration // longest time between two writes of the journal
	Horizon  time.Duration // how long an outage of the store the escrow should last
	Idle     time.Duration // unused escrow goes back after this time
	Orphan   time.Duration // a reservation whose owner is missing this long is resolved; longer than the clients' DefaultMaxHold
	Dead     time.Duration // a holder that is missing this long is reclaimed
	Denied   time.Duration // how long a failed draw is remembered
	KeepDone time.Duration // how long settled keyed requests are remembered
}

// DefaultTimes suit an ordinary fleet.
func DefaultTimes() Times {
	return Times{
		Tick:     250 * time.Millisecond,
		Flush:    time.Second,
		Beat:     5 * time.Second,
		Horizon:  10 * time.Minute,
		Idle:     time.Hour,
		Orphan:   12 * time.Second,
		Dead:     12 * time.Second,
		Denied:   300 * time.Millisecond,
		KeepDone: 15 * time.Minute,
	}
}

// Billed is notified of every charge that has become durable.
type Billed func(c ledger.Charge)

// Home is the holder: the part of an instance that owns escrow and answers reservations of its zone.
type Home struct {
	store    external.Store
	members  Members
	caller   mesh.Caller
	stopper  Stopper
	size     SizePolicy
	times    Times
	now      func() time.Time
	hook     step.Hook
	log      zerolog.Logger
	billed   Billed
	keyCheck KeyCheck

	// flushing lets one write of the journal go at a time. Whoever waits for it, waits no longer than its caller does.
	flushing *semaphore.Weighted
	jobs     sync.WaitGroup
	ctx      context.Context //nolint:containedctx // ends background store operations
	cancel   context.CancelFunc

	mu       sync.Mutex
	gen      int
	holder   string
	accounts map[string]*account
	byPage   map[uint16][]*account // the same accounts by page
	queued   map[uint16][]*drawing // draws that wait for a write of their page
	drawing  map[uint16]bool       // pages that a draw is writing
	book     *ledger.Book
	journal  journalState
	closing  bool
	fences   map[string]*fenceState // holders that this one is reclaiming
	settledR map[string]string      // requests settled on behalf of reclaimed holders: their clients
	given    map[string]time.Time   // runs whose reservations were given up before they came; kept across incarnations
	releases map[Release]bool       // what operators have confirmed
	sweptAt  time.Time
	stats    Stats
}

// journalState is what is known of this holder's journal in the store.
type journalState struct {
	rev     int64
	seq     uint64
	clients map[string]bool
	pages   map[uint16]bool
	written time.Time
	dirty   time.Time // when the oldest unwritten charge came; zero if none
}

// Stats are counts since the start.
type Stats struct {
	Reserved, Refused, Draws, Returns, Flushes, Reclaims, Orphans, Fenced int64
}

// KeyCheck asks the home of a keyed request's key whether an orphaned run of it is to be billed. sure is false while the
// home cannot say.
type KeyCheck func(ctx context.Context, customer, request string, place Place, tokens int64) (bill, sure bool)

// WithKeyCheck sets the question that is asked before a keyed orphan is billed.
func WithKeyCheck(f KeyCheck) HomeOption { return func(h *Home) { h.keyCheck = f } }

// HomeOption changes a Home.
type HomeOption func(*Home)

// WithSize replaces the sizing policy.
func WithSize(p SizePolicy) HomeOption { return func(h *Home) { h.size = p } }

// WithTimes replaces the intervals.
func WithTimes(t Times) HomeOption { return func(h *Home) { h.times = t } }

// WithClock replaces the clock.
func WithClock(now func() time.Time) HomeOption { return func(h *Home) { h.now = now } }

// WithHook sets the hook that is called at each step.
func WithHook(hook step.Hook) HomeOption { return func(h *Home) { h.hook = hook } }

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) HomeOption { return func(h *Home) { h.log = log } }

// WithBilled sets the receiver of durable charges.
func WithBilled(b Billed) HomeOption { return func(h *Home) { h.billed = b } }

// NewHome makes a holder and registers its messages.
func NewHome(store external.Store, members Members, caller mesh.Caller, router *mesh.Router, stopper Stopper, opts ...HomeOption) *Home {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Home{
		given:    make(map[string]time.Time),
		flushing: semaphore.NewWeighted(1),
		store:    store,
		members:  members,
		caller:   caller,
		stopper:  stopper,
		times:    DefaultTimes(),
		now:      time.Now,
		hook:     step.None,
		log:      zerolog.Nop(),
		billed:   func(ledger.Charge) {},
		keyCheck: func(context.Context, string, string, Place, int64) (bill, sure bool) { return true, true },
		ctx:      ctx,
		cancel:   cancel,
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

// genSeparator stands between a process's name and the number of its incarnation as a holder.
const genSeparator = "#"

// reset begins a new incarnation with nothing. The caller holds the lock.
func (h *Home) reset() {
	h.gen++
	h.holder = h.members.Self().Who()
	if h.gen > 1 {
		h.holder = fmt.Sprintf("%s%s%d", h.holder, genSeparator, h.gen)
	}
	for _, batch := range h.queued {
		for _, d := range batch {
			close(d.a.busy) // whoever waits for it begins anew
			d.a.busy = nil
		}
	}
	h.accounts = make(map[string]*account)
	h.byPage = make(map[uint16][]*account)
	h.queued = make(map[uint16][]*drawing)
	h.drawing = make(map[uint16]bool)
	h.book = ledger.NewBook()
	h.journal = journalState{clients: make(map[string]bool), pages: make(map[uint16]bool)}
	h.fences = make(map[string]*fenceState)
	h.settledR = make(map[string]string)
}

func (h *Home) register(r *mesh.Router) {
	mesh.Handle(r, KindReserve, func(ctx context.Context, from mesh.Peer, req ReserveReq) (ReserveResp, error) {
		return h.Reserve(ctx, from.Who(), req)
	})
	mesh.Handle(r, KindUpdate, func(_ context.Context, from mesh.Peer, req UpdateReq) (mesh.Empty, error) {
		return mesh.Empty{}, h.Update(from.Who(), req)
	})
	mesh.Handle(r, KindSettle, func(ctx context.Context, _ mesh.Peer, req SettleReq) (mesh.Empty, error) {
		return mesh.Empty{}, h.Settle(ctx, req)
	})
	mesh.Handle(r, KindSync, func(_ context.Context, from mesh.Peer, req SyncReq) (SyncResp, error) {
		return h.Sync(from.Who(), req), nil
	})
	mesh.Handle(r, KindRecall, func(ctx context.Context, _ mesh.Peer, req RecallReq) (RecallResp, error) {
		n, err := h.giveBack(ctx, req.Budget, req.Need)
		return RecallResp{Returned: n}, err
	})
}

// Name implements kernel.Service.
func (h *Home) Name() string { return HomeName }

// Holder is the id of the present incarnation.
func (h *Home) Holder() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder
}

// Stats returns the counts.
func (h *Home) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stats
}

// Reserve holds tokens for a request. Its errors are NotRun.
func (h *Home) Reserve(ctx context.Context, client string, req ReserveReq) (ReserveResp, error) {
	if req.Tokens <= 0 || req.Tokens > maxTokens || req.Request == "" || req.Budget == "" {
		return ReserveResp{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the reservation is not valid")
	}
	if err := h.hook(ctx, step.Reserve); err != nil {
		return ReserveResp{}, err
	}
	if err := h.ready(ctx, client); err != nil {
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
			return ReserveResp{}, unready("the reservation took too long", ctx.Err())
		}
	}
}

func unready(detail string, cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeBudgetUnready, detail,
		verdict.WithRetryAfter(time.Second), verdict.WithCause(cause))
}

// ready makes sure that the store lists the client among those that may hold reservations of this holder.
func (h *Home) ready(ctx context.Context, client string) error {
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
		return unready("the store does not list this serving instance yet", err)
	}
	return nil
}

// tryReserve answers at once, or returns a channel to wait on for a draw.
func (h *Home) tryReserve(client string, req ReserveReq) (ReserveResp, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.journal.clients[client] || h.closing {
		return ReserveResp{}, nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "the holder has changed")
	}
	now := h.now()
	if _, gone := h.given[req.Place.Run]; gone {
		return ReserveResp{}, nil, verdict.New(verdict.NotRun, verdict.CodeConflict, "this reservation was given up before it came")
	}
	a := h.account(req.Budget, now)
	if a.customer != "" && a.customer != req.Customer {
		return ReserveResp{}, nil, unknownBudget(req.Budget)
	}
	if resp, ok := h.repeated(a, client, req); ok {
		return resp, nil, nil
	}
	if a.available() >= req.Tokens && a.customer != "" {
		a.hold(&reservation{
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
	if now.Before(a.blocked) && a.denied != nil {
		h.stats.Refused++
		return ReserveResp{}, nil, h.denial(a, req.Budget)
	}
	h.startDraw(a, req.Tokens-a.available())
	return ReserveResp{}, a.busy, nil
}

// repeated answers a request that is open or settled already.
func (h *Home) repeated(a *account, client string, req ReserveReq) (ReserveResp, bool) {
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
		r.orphan = time.Time{}
		resp.Outcome = Granted
	}
	return resp, true
}

func (h *Home) account(budget string, now time.Time) *account {
	a, ok := h.accounts[budget]
	if !ok {
		a = newAccount(budget, now)
		h.accounts[budget] = a
		h.byPage[PageOf(budget)] = append(h.byPage[PageOf(budget)], a)
	}
	return a
}

// dropAccount forgets an account without grant and without open reservations. The caller holds the lock.
func (h *Home) dropAccount(a *account) {
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

// denial turns the last failed draw into a refusal.
func (h *Home) denial(a *account, budget string) error {
	switch {
	case errors.Is(a.denied, ErrUnknown):
		return unknownBudget(budget)
	case errors.Is(a.denied, ErrExhausted):
		return verdict.New(verdict.NotRun, verdict.CodeBudgetExhausted, "budget "+budget+" has too little left")
	default:
		return unready("the budget's escrow here is used up and the store cannot be asked", a.denied)
	}
}

// Update moves an open reservation.
func (h *Home) Update(client string, req UpdateReq) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.accounts[req.Budget]
	if ok {
		if r, open := a.open[req.Request]; open && r.owner == client {
			r.place = req.Place
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "the reservation is not open for this instance")
}

// Settle closes a reservation. Settling again, or settling another run, changes nothing.
func (h *Home) Settle(ctx context.Context, req SettleReq) error {
	if err := h.hook(ctx, step.Settle); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Holder != "" && req.Holder != h.holder {
		return verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the holder has changed")
	}
	if req.Holder == "" {
		h.given[req.Run] = h.now() // the question may still be on its way, behind this
	}
	a, ok := h.accounts[req.Budget]
	if !ok {
		return nil
	}
	r, ok := a.open[req.Request]
	if !ok || r.place.Run != req.Run {
		return nil
	}
	h.close(a, r, req.Tokens)
	return nil
}

// close settles a reservation and books the charge. The caller holds the lock.
func (h *Home) close(a *account, r *reservation, tokens int64) {
	now := h.now()
	used := a.settle(r, tokens, now)
	if used == 0 {
		return
	}
	h.book.Charge(ledger.Charge{Request: r.request, Budget: a.budget, Tokens: used}, a.settled)
	if h.journal.dirty.IsZero() {
		h.journal.dirty = now
	}
}

// Sync tells a client which of its charges are in the store and which of its open requests this holder knows.
func (h *Home) Sync(client string, req SyncReq) SyncResp {
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := SyncResp{Holder: h.holder}
	if req.Holder != h.holder {
		return resp
	}
	h.book.Confirm(req.Confirm)
	for _, id := range req.Confirm {
		delete(h.settledR, id)
	}
	for _, id := range req.Pending {
		if h.book.Stored(id) || h.settledR[id] == client {
			resp.Flushed = append(resp.Flushed, id)
		}
	}
	for _, id := range req.Unsure {
		if h.isOpen(id) {
			resp.Known = append(resp.Known, id)
		}
	}
	return resp
}

func (h *Home) isOpen(request string) bool {
	for _, a := range h.accounts {
		if _, ok := a.open[request]; ok {
			return true
		}
	}
	return false
}
