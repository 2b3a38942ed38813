// Package once keeps requests that must not run twice: the registry of callers' idempotency keys, and claims in the store.
package once

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/kernel"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
)

// KeysName is the registry's name in the kernel.
const KeysName = "once.keys"

// The registry's messages.
const (
	KindBegin mesh.Kind = "once.begin"
	KindNote  mesh.Kind = "once.note"
	KindTake  mesh.Kind = "once.take"
	KindDrop  mesh.Kind = "once.drop"
	KindNotes mesh.Kind = "once.notes"
)

const (
	keepRecords = 15 * time.Minute
	keysTick    = time.Second
	homesAsked  = 2
	keyTimeout  = 700 * time.Millisecond
	// defaultSettling is how long after a change of the zone's instances, a start or a pause a home does not trust that it
	// knows every record that lives with it: owners tell new homes within keysTick of seeing the change.
	defaultSettling = 3 * time.Second
	keyCallLimit    = 32
)

// ErrNoHome means that the instance that should know a key cannot be asked.
var ErrNoHome = errors.New("the home of the key does not answer")

// Record is what is known of a keyed request.
type Record struct {
	Request     string       `cbor:"1,keyasint"`
	Fingerprint uint64       `cbor:"2,keyasint"` // hash of the body: the same key with another body is refused
	Owner       mesh.Peer    `cbor:"3,keyasint"` // the serving instance
	Place       budget.Place `cbor:"4,keyasint"` // set before the request is dispatched
	Home        string       `cbor:"5,keyasint"` // address of the budget's holder
	Done        bool         `cbor:"6,keyasint"`
	Tokens      int64        `cbor:"7,keyasint"` // billed, once done
}

// unbilled reports whether nothing has been or will be billed for the request unless its owner dispatches it, which it
// may do only while it is the owner.
func (r Record) unbilled() bool { return r.Place.Run == "" || (r.Done && r.Tokens == 0) }

// BeginResp answers a Begin: the record that stands, and whether it is new. Unsure means that there is no record here,
// but that one may still be on its way from its owner.
type BeginResp struct {
	New    bool   `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
	Unsure bool   `cbor:"3,keyasint,omitempty"`
}

// TakeReq makes another instance the owner, if the owner is still the one expected. Unbilled asks for that only if the
// owner has neither dispatched the request nor billed anything for it.
type TakeReq struct {
	Request  string    `cbor:"1,keyasint"`
	From     string    `cbor:"2,keyasint"`
	To       mesh.Peer `cbor:"3,keyasint"`
	Unbilled bool      `cbor:"4,keyasint,omitempty"`
}

// NoteResp tells an owner whether it still is one.
type NoteResp struct {
	Owner bool `cbor:"1,keyasint"`
}

// Notes are records that have got a new home.
type Notes struct {
	Records []Record `cbor:"1,keyasint"`
}

// Members is what the registry uses of the membership view.
type Members interface {
	Self() mesh.Peer
	Fleet() []mesh.Peer
}

// ZonesFunc lists the declared zones in which a customer's keys may live.
type ZonesFunc func(customer string) []string

type kept struct {
	rec Record
	at  time.Time
}

// Keys is the registry: this instance's part of it, and its access to the others' parts.
type Keys struct {
	members  Members
	caller   mesh.Caller
	zones    ZonesFunc
	now      func() time.Time
	log      zerolog.Logger
	tick     time.Duration
	settling time.Duration

	mu       sync.Mutex
	held     map[string]*kept  // records that live here
	owned    map[string]*owned // records of requests served here
	drops    map[string]*owned // records that their homes have still to forget
	zone     string            // the zone's instances at the last tick
	ticked   time.Time
	unstable time.Time // when the zone last changed
}

type owned struct {
	rec      Record
	customer string
	home     string // the instance that was told last
	at       time.Time
}

// KeysOption changes a Keys.
type KeysOption func(*Keys)

// WithKeysClock replaces the clock.
func WithKeysClock(now func() time.Time) KeysOption { return func(k *Keys) { k.now = now } }

// WithSettling sets the time between ticks, and how long a home does not trust that it knows every record.
func WithSettling(tick, settling time.Duration) KeysOption {
	return func(k *Keys) { k.tick, k.settling = tick, settling }
}

// WithKeysLogger sets the logger.
func WithKeysLogger(log zerolog.Logger) KeysOption { return func(k *Keys) { k.log = log } }

// NewKeys makes the registry and registers its messages.
func NewKeys(m Members, c mesh.Caller, r *mesh.Router, zones ZonesFunc, opts ...KeysOption) *Keys {
	k := &Keys{
		members: m, caller: c, zones: zones, now: time.Now, log: zerolog.Nop(), tick: keysTick, settling: defaultSettling,
		held: make(map[string]*kept), owned: make(map[string]*owned), drops: make(map[string]*owned),
	}
	for _, opt := range opts {
		opt(k)
	}
	mesh.Handle(r, KindBegin, func(_ context.Context, _ mesh.Peer, rec Record) (BeginResp, error) { return k.begin(rec), nil })
	mesh.Handle(r, KindNote, func(_ context.Context, _ mesh.Peer, rec Record) (NoteResp, error) { return k.note(rec), nil })
	mesh.Handle(r, KindNotes, func(_ context.Context, _ mesh.Peer, n Notes) (mesh.Empty, error) {
		for _, rec := range n.Records {
			k.note(rec)
		}
		return mesh.Empty{}, nil
	})
	mesh.Handle(r, KindTake, func(_ context.Context, _ mesh.Peer, req TakeReq) (BeginResp, error) { return k.take(req), nil })
	mesh.Handle(r, KindDrop, func(_ context.Context, from mesh.Peer, rec Record) (mesh.Empty, error) {
		k.drop(from, rec)
		return mesh.Empty{}, nil
	})
	return k
}

// Name implements kernel.Service.
func (k *Keys) Name() string { return KeysName }

// Run implements kernel.Service: it forgets old records and tells new homes of the records that live with them now.
func (k *Keys) Run(ctx context.Context) error {
	kernel.Every(ctx, k.tick, k.Tick)
	return nil
}

// Tick does what is due. Tests call it directly.
func (k *Keys) Tick(ctx context.Context) {
	k.lookAround()
	k.forget()
	k.rehome(ctx)
	k.redrop(ctx)
}

// lookAround notes when the zone's instances change, and when this instance has been paused.
func (k *Keys) lookAround() {
	self := k.members.Self()
	var ids []string
	for _, p := range k.members.Fleet() {
		if p.Zone == self.Zone {
			ids = append(ids, p.IncarnationID())
		}
	}
	sort.Strings(ids)
	zone := strings.Join(ids, " ")
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if zone != k.zone || now.Sub(k.ticked) > 2*k.tick {
		k.unstable = now
	}
	k.zone, k.ticked = zone, now
}

// settled reports whether every record that lives here should have arrived. The caller holds the lock.
func (k *Keys) settled() bool {
	now := k.now()
	if now.Sub(k.ticked) > 2*k.tick {
		k.unstable = now // paused, and not looked around since
	}
	return now.Sub(k.unstable) > k.settling
}

// home is the instance that a request's record lives with. The zone is chosen among the declared ones, so that both
// sides of a cut agree on it whatever they see of each other.
func (k *Keys) home(request, customer string) (mesh.Peer, bool) {
	zone := pickZone(request, k.zones(customer))
	var peers []mesh.Peer
	for _, p := range k.members.Fleet() {
		if p.Zone == zone || zone == "" {
			peers = append(peers, p)
		}
	}
	return member.Top(request, peers, "")
}

func pickZone(request string, zones []string) string {
	var best string
	var high uint64
	for _, z := range zones {
		if s := xxhash.Sum64String(request + "\x00" + z); best == "" || s > high {
			best, high = z, s
		}
	}
	return best
}

// Begin registers a keyed request before anything is done for it. If another record stands, that one is returned.
// ErrNoHome means that nobody who should know can be asked.
func (k *Keys) Begin(ctx context.Context, customer string, rec Record) (BeginResp, error) {
	resp, home, err := ask[Record, BeginResp](ctx, k, customer, rec.Request, KindBegin, rec)
	if err != nil {
		return BeginResp{}, err
	}
	if resp.Unsure {
		return BeginResp{}, ErrNoHome
	}
	if resp.New {
		k.own(rec, customer, home)
	}
	return resp, nil
}

// BillOrphan reports whether a run whose serving instance is gone is to be billed: not if another run of the request has
// been. sure is false while the home cannot say, or another instance is still serving the request.
func (k *Keys) BillOrphan(ctx context.Context, customer, request string, place budget.Place, tokens int64) (bill, sure bool) {
	rec := Record{Request: request, Owner: k.members.Self(), Place: place, Done: true, Tokens: tokens}
	resp, err := k.Begin(ctx, customer, rec)
	switch {
	case err != nil:
		return false, false
	case resp.New || resp.Record.Place.Run == place.Run:
		return true, true
	case resp.Record.unbilled():
		now, err := k.TakeUnbilled(ctx, customer, resp.Record)
		mine := err == nil && now.Owner.IncarnationID() == k.members.Self().IncarnationID()
		if mine {
			_, err = k.Note(ctx, customer, rec)
		}
		return mine && err == nil, mine && err == nil
	case resp.Record.Done:
		return false, true
	}
	return false, false
}

// Note tells the home where a request runs, or how it ended. False means that another instance has taken it over.
func (k *Keys) Note(ctx context.Context, customer string, rec Record) (bool, error) {
	k.own(rec, customer, "")
	resp, home, err := ask[Record, NoteResp](ctx, k, customer, rec.Request, KindNote, rec)
	if err != nil {
		return false, err
	}
	k.own(rec, customer, home)
	return resp.Owner, nil
}

// Take makes this instance the owner of a request whose owner is gone.
func (k *Keys) Take(ctx context.Context, customer string, rec Record) (Record, error) {
	return k.takeAs(ctx, customer, TakeReq{Request: rec.Request, From: rec.Owner.IncarnationID(), To: k.members.Self()})
}

// TakeUnbilled makes this instance the owner of a request that it has served itself, unless the owner has dispatched or
// billed it.
func (k *Keys) TakeUnbilled(ctx context.Context, customer string, rec Record) (Record, error) {
	return k.takeAs(ctx, customer, TakeReq{Request: rec.Request, From: rec.Owner.IncarnationID(), To: k.members.Self(), Unbilled: true})
}

func (k *Keys) takeAs(ctx context.Context, customer string, req TakeReq) (Record, error) {
	self := k.members.Self()
	resp, home, err := ask[TakeReq, BeginResp](ctx, k, customer, req.Request, KindTake, req)
	if err != nil {
		return Record{}, err
	}
	if resp.Record.Owner.IncarnationID() == self.IncarnationID() {
		k.own(resp.Record, customer, home)
	}
	return resp.Record, nil
}

// Drop forgets a request that has not run.
func (k *Keys) Drop(ctx context.Context, customer string, rec Record) {
	k.mu.Lock()
	delete(k.owned, rec.Request)
	k.drops[rec.Request] = &owned{rec: rec, customer: customer, at: k.now()}
	k.mu.Unlock()
	k.sendDrop(ctx, rec, customer)
}

func (k *Keys) sendDrop(ctx context.Context, rec Record, customer string) {
	if _, _, err := ask[Record, mesh.Empty](ctx, k, customer, rec.Request, KindDrop, rec); err != nil {
		return // tried again at the next tick
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.drops, rec.Request)
}

// redrop tells homes again of records to forget.
func (k *Keys) redrop(ctx context.Context) {
	k.mu.Lock()
	todo := make([]owned, 0, len(k.drops))
	for id, o := range k.drops {
		if _, again := k.owned[id]; again || k.now().Sub(o.at) > keepRecords {
			delete(k.drops, id) // begun anew meanwhile, or forgotten by its home
			continue
		}
		if len(todo) < keyCallLimit {
			todo = append(todo, *o)
		}
	}
	k.mu.Unlock()
	for _, o := range todo {
		k.sendDrop(ctx, o.rec, o.customer)
	}
}

func (k *Keys) own(rec Record, customer, home string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if o, ok := k.owned[rec.Request]; ok && home == "" {
		home = o.home
	}
	k.owned[rec.Request] = &owned{rec: rec, customer: customer, home: home, at: k.now()}
}

func ask[Req, Resp any](ctx context.Context, k *Keys, customer, request string, kind mesh.Kind, req Req) (Resp, string, error) {
	var zero Resp
	p, ok := k.home(request, customer)
	if !ok {
		return zero, "", ErrNoHome
	}
	var last error
	for range homesAsked {
		c, cancel := context.WithTimeout(ctx, keyTimeout)
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
	return zero, "", errors.Join(ErrNoHome, last)
}
