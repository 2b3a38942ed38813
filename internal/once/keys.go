// Package once prevents requests from running twice. It contains the registry of callers' idempotency keys, and
// claims in the store. The record of a key is stored in the memory of one instance, the key's registrar.
package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// KeysName is the registry's name in the kernel.
const KeysName = "once.keys"

// Kinds of the registry's messages.
const (
	KindBegin    mesh.Kind = "once.begin"
	KindUpdate   mesh.Kind = "once.note"
	KindTakeOver mesh.Kind = "once.take"
	KindDrop     mesh.Kind = "once.drop"
	KindTransfer mesh.Kind = "once.notes"
	KindCollect  mesh.Kind = "once.collect"
)

const (
	recordRetention = 15 * time.Minute
	defaultTick     = time.Second
	callAttempts    = 2
	callTimeout     = 700 * time.Millisecond
	// defaultSettleTime is how long a registrar assumes that records of instances may be missing that cannot be asked for
	// them, because they run an older build. These send their records within defaultTick of seeing a new registrar.
	defaultSettleTime = 3 * time.Second
	maxDropsPerTick   = 32
)

// ErrRegistrarUnreachable means that a key's registrar does not respond, or that it cannot tell yet whether the key has
// a record.
var ErrRegistrarUnreachable = errors.New("the key's registrar does not answer")

// BeginResp is the response to Begin: the registered record, and whether it is new. Inconclusive means that the
// registrar has no record, but that one may still be in transit from its owner.
type BeginResp struct {
	New          bool   `cbor:"1,keyasint"`
	Record       Record `cbor:"2,keyasint"`
	Inconclusive bool   `cbor:"3,keyasint,omitempty"`
}

// TakeOverReq makes another instance the owner, if the current owner and its term are the expected ones. Unbilled adds
// the condition that the owner has neither dispatched the request nor billed anything for it, NotBilled only that it has
// billed nothing.
type TakeOverReq struct {
	Request   string    `cbor:"1,keyasint"`
	From      string    `cbor:"2,keyasint"`
	To        mesh.Peer `cbor:"3,keyasint"`
	Unbilled  bool      `cbor:"4,keyasint,omitempty"`
	NotBilled bool      `cbor:"5,keyasint,omitempty"`
	// Known is the record as the sender knows it, for a registrar that has none; nil: from a build that does not send it.
	Known *Record `cbor:"6,keyasint,omitempty"`
}

// UpdateResp reports whether the sender still is the owner. Inconclusive means that the registrar cannot tell, because
// records may still be in transit to it.
type UpdateResp struct {
	StillOwner   bool `cbor:"1,keyasint"`
	Inconclusive bool `cbor:"2,keyasint,omitempty"`
}

// Transfer contains records that have a new registrar.
type Transfer struct {
	Records []Record `cbor:"1,keyasint"`
}

// Members is the part of the membership view that the registry uses.
type Members interface {
	Self() mesh.Peer
	Fleet() []mesh.Peer // without the instances that are leaving, except this one
	Leaving(incarnationID string) bool
}

// ZonesFunc lists the declared zones in which the records of a customer's keys may be stored.
type ZonesFunc func(customer string) []string

type storedRecord struct {
	rec Record
	at  time.Time
}

// Keys is the registry: the records that are stored at this instance, and access to those at other instances.
type Keys struct {
	members    Members
	caller     mesh.Caller
	zones      ZonesFunc
	now        func() time.Time
	log        zerolog.Logger
	tick       time.Duration
	settleTime time.Duration

	reservations func() []budget.KeyedReservation
	collecting   singleflight.Group

	mu           sync.Mutex
	records      map[string]*storedRecord // records whose registrar is this instance
	owned        map[string]*ownedRecord  // records of requests served by this instance
	pendingDrops map[string]*ownedRecord  // records that their registrars still have to drop
	collection   collection
	claims       map[string]keyClaim // by ID of the claiming registrar
	tickedAt     time.Time
}

type ownedRecord struct {
	rec       Record
	customer  string
	registrar string // the instance that last received the record
	at        time.Time
}

// KeysOption configures a Keys.
type KeysOption func(*Keys)

// WithKeysClock replaces the clock.
func WithKeysClock(now func() time.Time) KeysOption { return func(k *Keys) { k.now = now } }

// WithSettleTime sets the interval between ticks, and how long a registrar assumes that records may be missing.
func WithSettleTime(tick, settleTime time.Duration) KeysOption {
	return func(k *Keys) { k.tick, k.settleTime = tick, settleTime }
}

// WithReservations sets the source of the keyed reservations that the holder of this instance has. They are sent to the
// registrars of their keys, which may have lost the records together with the serving instances.
func WithReservations(f func() []budget.KeyedReservation) KeysOption {
	return func(k *Keys) { k.reservations = f }
}

// WithKeysLogger sets the logger.
func WithKeysLogger(log zerolog.Logger) KeysOption { return func(k *Keys) { k.log = log } }

// NewKeys creates the registry and registers its message handlers.
func NewKeys(m Members, c mesh.Caller, r *mesh.Router, zones ZonesFunc, opts ...KeysOption) *Keys {
	k := &Keys{
		members: m, caller: c, zones: zones, now: time.Now, log: zerolog.Nop(), tick: defaultTick, settleTime: defaultSettleTime,
		reservations: func() []budget.KeyedReservation { return nil },
		records:      make(map[string]*storedRecord), owned: make(map[string]*ownedRecord), pendingDrops: make(map[string]*ownedRecord),
		claims: make(map[string]keyClaim),
	}
	k.collection = newCollection()
	for _, opt := range opts {
		opt(k)
	}
	mesh.Handle(r, KindBegin, func(ctx context.Context, _ mesh.Peer, rec Record) (BeginResp, error) {
		return k.handleBegin(ctx, rec), nil
	})
	mesh.Handle(r, KindUpdate, func(ctx context.Context, _ mesh.Peer, rec Record) (UpdateResp, error) {
		return k.handleUpdate(ctx, rec), nil
	})
	mesh.Handle(r, KindTransfer, func(_ context.Context, _ mesh.Peer, n Transfer) (mesh.Empty, error) {
		k.handleTransfer(n.Records)
		return mesh.Empty{}, nil
	})
	mesh.Handle(r, KindCollect, func(_ context.Context, from mesh.Peer, req CollectReq) (CollectResp, error) {
		return k.handleCollect(from, req), nil
	})
	mesh.Handle(r, KindTakeOver, func(ctx context.Context, _ mesh.Peer, req TakeOverReq) (BeginResp, error) {
		return k.handleTakeOver(ctx, req), nil
	})
	mesh.Handle(r, KindDrop, func(_ context.Context, from mesh.Peer, rec Record) (mesh.Empty, error) {
		k.handleDrop(from, rec)
		return mesh.Empty{}, nil
	})
	return k
}

// Name implements kernel.Service.
func (k *Keys) Name() string { return KeysName }

// Run implements kernel.Service. It drops expired records, collects the records of which this instance is the registrar,
// and sends the others to their new registrars.
func (k *Keys) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { kernel.Every(ctx, k.tick, func(context.Context) { k.Observe() }) })
	kernel.Every(ctx, k.tick, k.Tick)
	wg.Wait()
	return nil
}

// Tick does the periodic work that is due. Tests call it directly.
func (k *Keys) Tick(ctx context.Context) {
	k.Observe()
	k.prune()
	k.collect(ctx)
	k.transferMoved(ctx)
	k.retryDrops(ctx)
}

// Observe records the present fleet, and that this instance runs. It makes no calls, so that it is late only if the
// process is.
func (k *Keys) Observe() {
	fleet := k.members.Fleet()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pruneClaims(fleet)
	k.observeFleet(fleet)
	k.tickedAt = k.now()
}

// registrarOf returns the registrar of a request's key. The zone is chosen among the declared ones, so that both sides
// of a network partition agree on it, whichever instances they see. It returns false if there is none, or if another
// instance has claimed the key as its registrar. Claims do not bind an instance that is leaving: the others no longer ask
// it for its records, so that the claims that it has accepted do not end.
func (k *Keys) registrarOf(request, customer string) (mesh.Peer, bool) {
	p, ok := k.viewedRegistrar(request, customer)
	if !ok || k.isLeaving() {
		return p, ok
	}
	k.mu.Lock()
	claim, disputed := k.competingClaim(request, p)
	k.mu.Unlock()
	if disputed {
		k.logDispute(request, p, claim)
	}
	return p, !disputed
}

// logDispute logs that a key's registrar cannot be used, because another instance has claimed the key.
func (k *Keys) logDispute(request string, registrar mesh.Peer, claim keyClaim) {
	k.log.Debug().Str("event", "registrar_disputed").Str("request", request).Str("registrar", registrar.IncarnationID()).
		Str("claimant", claim.registrar.IncarnationID()).Dur("claim_age", k.now().Sub(claim.at)).Bool("claimant_in_fleet", k.inFleet(claim.registrar)).
		Msg("the key's registrar is not used; another instance has claimed the key")
}

// isLeaving reports whether this instance is leaving the fleet.
func (k *Keys) isLeaving() bool { return k.members.Leaving(k.members.Self().IncarnationID()) }

// viewedRegistrar returns the registrar of a request's key in this instance's view of the fleet. An instance that is
// leaving is none for itself either, unless it is the last one of the zone.
func (k *Keys) viewedRegistrar(request, customer string) (mesh.Peer, bool) {
	zone := pickZone(request, k.zones(customer))
	var peers, others []mesh.Peer
	self := k.members.Self().ID
	for _, p := range k.members.Fleet() {
		if p.Zone != zone && zone != "" {
			continue
		}
		peers = append(peers, p)
		if p.ID != self {
			others = append(others, p)
		}
	}
	if len(others) > 0 && k.isLeaving() {
		peers = others
	}
	return member.Top(request, peers, "")
}

func pickZone(request string, zones []string) string {
	var best string
	var bestScore uint64
	for _, z := range zones {
		if s := xxhash.Sum64String(request + "\x00" + z); best == "" || s > bestScore {
			best, bestScore = z, s
		}
	}
	return best
}

// Begin registers a keyed request before any work is done for it. If a record exists already, Begin returns that one.
// ErrRegistrarUnreachable means that the request may have a record, but that it cannot be read now.
func (k *Keys) Begin(ctx context.Context, customer string, rec Record) (BeginResp, error) {
	rec.Term = max(rec.Term, firstTerm)
	resp, registrar, err := callRegistrar[Record, BeginResp](ctx, k, customer, rec.Request, KindBegin, rec)
	if err != nil {
		return BeginResp{}, err
	}
	if resp.Inconclusive {
		return BeginResp{}, ErrRegistrarUnreachable
	}
	if resp.New {
		k.trackOwned(rec, customer, registrar)
	}
	return resp, nil
}

// BillOrphan reports whether a run whose serving instance is lost is to be billed. It is not if another run of the
// request has been billed. sure is false while the registrar cannot decide, or another instance is still serving the
// request. The registrar records the billed run first, so that no other run is billed later.
func (k *Keys) BillOrphan(ctx context.Context, customer, request string, place budget.Place, tokens int64) (bill, sure bool) {
	self := k.members.Self()
	rec := Record{Request: request, Owner: self, Place: place, HolderAddr: self.Addr, Done: true, Tokens: tokens}
	resp, err := k.Begin(ctx, customer, rec)
	switch {
	case err != nil:
		return false, false
	case resp.New:
		return true, true
	case resp.Record.Billed():
		return resp.Record.Place.Run == place.Run, true
	}
	won, err := k.Bill(ctx, customer, resp.Record, rec)
	return won, won && err == nil
}

// Bill makes this instance the owner of a request of which nothing is billed, and records the run that it bills. current
// is the record as the registrar has it. Bill returns false if the request's owner may still bill another run.
func (k *Keys) Bill(ctx context.Context, customer string, current, billed Record) (bool, error) {
	req := k.takeOverReq(current)
	switch {
	case current.Unbilled():
		req.Unbilled = true
	case !k.inFleet(current.Owner):
		req.NotBilled = true
	default:
		return false, nil
	}
	taken, won, err := k.sendTakeOver(ctx, customer, req, current.Term)
	if err != nil || !won || taken.Billed() {
		return false, err
	}
	billed.Term = taken.Term
	return k.Update(ctx, customer, billed)
}

// inFleet reports whether an incarnation of an instance is in the fleet.
func (k *Keys) inFleet(p mesh.Peer) bool { return includes(k.members.Fleet(), p) }

// Update reports to the registrar where a request runs, or how it ended. It returns false if another instance has taken
// the request over. The record is sent to a new registrar before the present one has responded, because that one may
// fail after it has accepted the update.
func (k *Keys) Update(ctx context.Context, customer string, rec Record) (bool, error) {
	k.trackOwned(rec, customer, "")
	resp, registrar, err := callRegistrar[Record, UpdateResp](ctx, k, customer, rec.Request, KindUpdate, rec)
	switch {
	case err != nil:
		return false, err
	case resp.Inconclusive:
		return false, ErrRegistrarUnreachable
	case resp.StillOwner:
		k.trackOwned(rec, customer, registrar)
	default:
		k.forgetOwned(rec)
	}
	return resp.StillOwner, nil
}

// forgetOwned drops the record of a request that another instance has taken over.
func (k *Keys) forgetOwned(rec Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.owned[rec.Request]; ok && o.rec.Term <= rec.Term {
		delete(k.owned, rec.Request)
	}
}

// TakeOver makes this instance the owner of a request whose owner is lost. won is false if the owner has changed
// meanwhile.
func (k *Keys) TakeOver(ctx context.Context, customer string, rec Record) (current Record, won bool, err error) {
	return k.sendTakeOver(ctx, customer, k.takeOverReq(rec), rec.Term)
}

func (k *Keys) takeOverReq(rec Record) TakeOverReq {
	return TakeOverReq{Request: rec.Request, From: rec.Owner.IncarnationID(), To: k.members.Self(), Known: &rec}
}

func (k *Keys) sendTakeOver(ctx context.Context, customer string, req TakeOverReq, term int64) (current Record, won bool, err error) {
	resp, registrar, err := callRegistrar[TakeOverReq, BeginResp](ctx, k, customer, req.Request, KindTakeOver, req)
	if err != nil {
		return Record{}, false, err
	}
	if resp.Inconclusive {
		return Record{}, false, ErrRegistrarUnreachable
	}
	current = resp.Record
	won = current.OwnedBy(k.members.Self()) && (current.Term > term || current.Term == 0) // 0: a registrar without terms
	if won {
		k.trackOwned(current, customer, registrar)
	}
	return current, won, nil
}

// Drop removes the record of a request that has not run.
func (k *Keys) Drop(ctx context.Context, customer string, rec Record) {
	k.mu.Lock()
	delete(k.owned, rec.Request)
	k.pendingDrops[rec.Request] = &ownedRecord{rec: rec, customer: customer, at: k.now()}
	k.mu.Unlock()
	k.sendDrop(ctx, rec, customer)
}

func (k *Keys) sendDrop(ctx context.Context, rec Record, customer string) {
	if _, _, err := callRegistrar[Record, mesh.Empty](ctx, k, customer, rec.Request, KindDrop, rec); err != nil {
		return // retried at the next tick
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.pendingDrops, rec.Request)
}

// retryDrops resends the drops that the registrars have not confirmed.
func (k *Keys) retryDrops(ctx context.Context) {
	k.mu.Lock()
	todo := make([]ownedRecord, 0, len(k.pendingDrops))
	for id, o := range k.pendingDrops {
		if _, again := k.owned[id]; again || k.now().Sub(o.at) > recordRetention {
			delete(k.pendingDrops, id) // the request has begun again, or the registrar's record has expired
			continue
		}
		if len(todo) < maxDropsPerTick {
			todo = append(todo, *o)
		}
	}
	k.mu.Unlock()
	for _, o := range todo {
		k.sendDrop(ctx, o.rec, o.customer)
	}
}

// trackOwned stores the last known record of a request that this instance serves, unless the stored one supersedes it.
func (k *Keys) trackOwned(rec Record, customer, registrar string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.owned[rec.Request]; ok {
		if o.rec.supersedes(rec) {
			return
		}
		if registrar == "" {
			registrar = o.registrar
		}
	}
	k.owned[rec.Request] = &ownedRecord{rec: rec, customer: customer, registrar: registrar, at: k.now()}
}

func callRegistrar[Req, Resp any](ctx context.Context, k *Keys, customer, request string, kind mesh.Kind, req Req) (Resp, string, error) {
	var zero Resp
	p, ok := k.registrarOf(request, customer)
	if !ok {
		return zero, "", ErrRegistrarUnreachable
	}
	var last error
	for range callAttempts {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := mesh.Call[Req, Resp](c, k.caller, p.Addr, kind, req)
		cancel()
		if err == nil {
			return resp, p.ID, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return zero, "", errors.Join(ErrRegistrarUnreachable, last)
}
