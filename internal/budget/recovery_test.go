package budget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/ledger"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/clock"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
)

// zoneFleet is a zone of instances with the real Holder and Client, on a store and a network in memory.
type zoneFleet struct {
	t     *testing.T
	clock *clock.Clock
	store *memstore.Store
	net   *meshtest.Net

	mu      sync.Mutex
	nodes   map[string]*zoneNode
	order   []string
	charges map[string][]ledger.Charge // that holders have reported, by request
}

// zoneNode is one instance of a zoneFleet.
type zoneNode struct {
	fleet  *zoneFleet
	peer   mesh.Peer
	store  *faultyStore
	holder *Holder
	client *Client
	gone   bool // crashed or stopped, and seen so by the others
}

// zoneView is an instance's view of a zoneFleet.
type zoneView struct{ n *zoneNode }

func (v zoneView) Self() mesh.Peer { return v.n.peer }

func (v zoneView) Zone() []mesh.Peer {
	f := v.n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []mesh.Peer
	for _, id := range f.order {
		if n := f.nodes[id]; n == v.n || !n.gone {
			out = append(out, n.peer)
		}
	}
	return out
}

func (v zoneView) Fleet() []mesh.Peer { return v.Zone() }

func (v zoneView) Find(incarnationID string) (mesh.Peer, bool) {
	f := v.n.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		if n.peer.IncarnationID() == incarnationID {
			return n.peer, true
		}
	}
	return mesh.Peer{}, false
}

func (v zoneView) Alive(incarnationID string) bool {
	for _, p := range v.Zone() {
		if p.IncarnationID() == incarnationID {
			return true
		}
	}
	return false
}

func (v zoneView) Lost(incarnationID string) bool { return !v.Alive(incarnationID) }

// faultyStore is an instance's access to the store.
type faultyStore struct {
	external.Store

	mu       sync.Mutex
	loseNext string // the response to the next write of a key with this prefix is lost, and the store is away from then on
	away     bool
	refused  int // calls while the store was away
}

// loseResponse makes the next write of a key with a prefix take effect without a response; all later calls fail.
func (s *faultyStore) loseResponse(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = prefix
}

func (s *faultyStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// isAway reports whether a call fails now.
func (s *faultyStore) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.refused++
	}
	return s.away
}

// refusedCalls returns the number of calls that have failed.
func (s *faultyStore) refusedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Get implements external.Store.
func (s *faultyStore) Get(ctx context.Context, key string) (external.Entry, error) {
	if s.isAway() {
		return external.Entry{}, external.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

// List implements external.Store.
func (s *faultyStore) List(ctx context.Context, prefix string) ([]external.Entry, error) {
	if s.isAway() {
		return nil, external.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Put implements external.Store.
func (s *faultyStore) Put(ctx context.Context, key string, data []byte, rev, lease int64) (int64, error) {
	if s.isAway() {
		return 0, external.ErrAmbiguous
	}
	rev, err := s.Store.Put(ctx, key, data, rev, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loseNext != "" && len(key) >= len(s.loseNext) && key[:len(s.loseNext)] == s.loseNext {
		s.loseNext, s.away = "", true
		return 0, external.ErrAmbiguous
	}
	return rev, err
}

// Delete implements external.Store.
func (s *faultyStore) Delete(ctx context.Context, key string, rev int64) error {
	if s.isAway() {
		return external.ErrAmbiguous
	}
	return s.Store.Delete(ctx, key, rev)
}

const testBudgetName = "budget"

var zoneTimes = Times{
	Tick: time.Millisecond, Flush: time.Second, RefreshInterval: time.Hour, Horizon: time.Minute, Idle: time.Hour,
	OrphanTimeout: 10 * time.Second, DeadTimeout: 4 * time.Second, IncreaseBackoff: 10 * time.Millisecond, DoneRetention: time.Hour,
}

// newZoneFleet makes a zone with the given instances, and a budget of deposit tokens.
func newZoneFleet(t *testing.T, ids ...string) *zoneFleet {
	t.Helper()
	_, store := newTestHolder(t)
	f := &zoneFleet{
		t: t, clock: clock.New(), store: store, net: meshtest.New(), nodes: make(map[string]*zoneNode),
		charges: make(map[string][]ledger.Charge),
	}
	for _, id := range ids {
		f.start(id)
	}
	return f
}

func (f *zoneFleet) start(id string) *zoneNode {
	n := &zoneNode{fleet: f, peer: mesh.Peer{ID: id, Zone: "z", Addr: id, Incarnation: "x"}, store: &faultyStore{Store: f.store}}
	router := mesh.NewRouter()
	caller := f.net.Join(n.peer, router)
	n.holder = NewHolder(n.store, zoneView{n}, caller, router, noopStopper{}, WithTimes(zoneTimes), WithClock(f.clock.Now),
		WithLogger(zerolog.New(zerolog.NewTestWriter(f.t))), OnBilled(f.billed))
	n.client = NewClient(n.store, zoneView{n}, caller, router, WithClientClock(f.clock.Now))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[id] = n
	f.order = append(f.order, id)
	return n
}

func (f *zoneFleet) billed(c ledger.Charge) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charges[c.Request] = append(f.charges[c.Request], c)
}

// crash ends an instance without any further work.
func (n *zoneNode) crash() {
	n.fleet.net.SetDown(n.peer.Addr, true)
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	n.gone = true
}

// serve reserves tokens at a holder for a request of this instance's client and dispatches the request.
func (n *zoneNode) serve(holder *zoneNode, request string, tokens int64) *Hold {
	params := ReserveParams{Request: request, Budget: testBudgetName, Customer: "c", Tokens: tokens, Place: Place{Run: "run-" + request}}
	h, resp, err := n.client.reserveAt(n.fleet.t.Context(), holder.peer.Addr, params, false)
	So(err, ShouldBeNil)
	So(resp.Outcome, ShouldEqual, Granted)
	So(h.Dispatch(), ShouldBeNil)
	return h
}

// finish settles a hold and waits until its holder has the settlement.
func (n *zoneNode) finish(h *Hold, used int64) {
	h.Settle(used)
	n.client.jobs.Wait()
	n.client.mu.Lock()
	defer n.client.mu.Unlock()
	So(h.state, ShouldEqual, stateDelivered)
}

// reclaim makes an instance take over a holder that is gone.
func (n *zoneNode) reclaim(dead string) error {
	e, err := n.store.Get(n.fleet.t.Context(), ledger.Key("z", dead))
	So(err, ShouldBeNil)
	So(e.Revision, ShouldNotEqual, 0)
	j, err := ledger.Decode(e.Data)
	So(err, ShouldBeNil)
	return n.holder.Reclaim(n.fleet.t.Context(), e, j)
}

// flush makes an instance write its charges to the store.
func (f *zoneFleet) flush(n *zoneNode) {
	f.clock.Advance(zoneTimes.Flush)
	n.holder.Tick(f.t.Context())
}

// spent returns the tokens that the store counts as spent.
func (f *zoneFleet) spent() int64 {
	v, err := Inspect(f.t.Context(), f.store, testBudgetName)
	So(err, ShouldBeNil)
	return v.Spent
}

// TestChargeAfterTwoReclaims guards against a request that is billed twice: a charge that the first successor of a lost
// holder has billed was billed again by the second one, if the first was lost before the client had asked it.
func TestChargeAfterTwoReclaims(t *testing.T) {
	Convey("Given two requests at a lost holder, one of which its successor has billed", t, func() {
		f := newZoneFleet(t, "client", "home", "first", "second")
		client, home, first, second := f.nodes["client"], f.nodes["home"], f.nodes["first"], f.nodes["second"]
		running := client.serve(home, "running", 100)
		client.finish(client.serve(home, "done", 100), 60)
		home.crash()
		So(first.reclaim(home.holder.ID()), ShouldBeNil)
		So(f.charges["done"], ShouldHaveLength, 1)
		So(f.spent(), ShouldEqual, 60)
		settleAt := func(n *zoneNode) {
			client.client.Tick(t.Context()) // the successor confirms the take-over
			client.finish(running, 30)
			f.flush(n)
		}
		check := func() {
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.charges["running"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 90)
			client.client.Tick(t.Context())
			So(client.client.Open(), ShouldEqual, 0)
		}
		Convey("each is billed once by the first successor", func() {
			settleAt(first)
			check()
		})
		Convey("each is billed once if the first successor is lost before the client has asked it", func() {
			first.crash()
			So(second.reclaim(first.holder.ID()), ShouldBeNil)
			settleAt(second)
			check()
		})
		Convey("each is billed once if the other request has ended meanwhile", func() {
			running.Settle(30)
			first.crash()
			So(second.reclaim(first.holder.ID()), ShouldBeNil)
			client.client.Tick(t.Context())
			client.client.jobs.Wait()
			client.client.Tick(t.Context()) // delivers the settlement
			client.client.jobs.Wait()
			f.flush(second)
			check()
		})
		Convey("each is billed once if the first successor is lost with the settlement of the other request", func() {
			client.client.Tick(t.Context())
			running.Settle(30)
			client.client.jobs.Wait()
			first.crash()
			So(second.reclaim(first.holder.ID()), ShouldBeNil)
			check()
		})
	})
}

// TestSuccessorStopsBeforeTakeOver guards against a request that is never billed: a successor that had asked a client for
// its reports stopped before it took the lost holder over, and the client took the charge for one that it had stored.
func TestSuccessorStopsBeforeTakeOver(t *testing.T) {
	Convey("Given a charge of a lost holder that is reported to a successor", t, func() {
		f := newZoneFleet(t, "client", "home")
		client, home := f.nodes["client"], f.nodes["home"]
		client.finish(client.serve(home, "done", 100), 60)
		home.crash()
		first, second := f.start("first"), f.start("second")
		waitForSuccessor := func() {
			client.client.Tick(t.Context())
			f.clock.Advance(holderLostAfter + time.Second)
			client.client.Tick(t.Context())
		}
		Convey("which stops before it has taken the holder over, the next one bills it", func() {
			client.client.Fence(FenceReq{Holder: home.holder.ID(), Successor: first.holder.ID(), Peer: first.peer, Client: client.peer.IncarnationID()})
			So(first.holder.Stop(t.Context()), ShouldBeNil)
			first.crash()
			waitForSuccessor()
			So(second.reclaim(home.holder.ID()), ShouldBeNil)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
		Convey("which stops after it has taken the holder over, the client drops the charge", func() {
			So(first.reclaim(home.holder.ID()), ShouldBeNil)
			So(first.holder.Stop(t.Context()), ShouldBeNil)
			first.crash()
			waitForSuccessor()
			So(client.client.Open(), ShouldEqual, 0)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
	})
}

// TestLastFlushUnknown guards against charges that are stored and never reported: the outcome of a holder's write of its
// journal stays unknown, and the holder ends.
func TestLastFlushUnknown(t *testing.T) {
	Convey("Given a holder whose write of a charge takes effect without a response", t, func() {
		f := newZoneFleet(t, "client", "home", "successor")
		client, home, successor := f.nodes["client"], f.nodes["home"], f.nodes["successor"]
		client.finish(client.serve(home, "done", 100), 60)
		home.store.loseResponse(ledger.Prefix)

		Convey("a planned stop reports the charge once the store is back", func() {
			stopped := make(chan error, 1)
			go func() { stopped <- home.holder.Stop(t.Context()) }()
			outlastsWrite := func() bool { return home.store.refusedCalls() > 2*casTries }
			waitUntil(t, func() bool { return len(stopped) > 0 || outlastsWrite() })
			home.store.setAway(false)
			So(<-stopped, ShouldBeNil)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
		Convey("a holder that finds its journal fenced reports the charge, and its successor does not", func() {
			f.flush(home)
			So(successor.reclaim(home.holder.ID()), ShouldBeNil)
			So(f.charges["done"], ShouldBeEmpty)
			home.store.setAway(false)
			f.flush(home)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
		Convey("a holder that stops while the store is away hands the report to its clients", func() {
			ctx, cancel := context.WithTimeout(t.Context(), 4*handOverTime)
			defer cancel()
			So(home.holder.Stop(ctx), ShouldNotBeNil)
			So(home.store.isAway(), ShouldBeTrue) // the write was made
			home.crash()
			So(successor.reclaim(home.holder.ID()), ShouldBeNil)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
	})
}

// TestTakeOverUnknown guards against charges of a lost holder that are stored and never reported: the take-over's write
// takes effect without a response, and the successor gives up its incarnation.
func TestTakeOverUnknown(t *testing.T) {
	Convey("Given a take-over whose write has an unknown outcome", t, func() {
		f := newZoneFleet(t, "client", "home", "successor")
		client, home, successor := f.nodes["client"], f.nodes["home"], f.nodes["successor"]
		running := client.serve(home, "running", 100)
		client.finish(client.serve(home, "done", 100), 60)
		home.crash()
		ended := successor.holder.ID()
		successor.store.loseResponse(PagePrefix)
		So(successor.reclaim(home.holder.ID()), ShouldNotBeNil)
		So(successor.holder.ID(), ShouldNotEqual, ended)
		So(f.charges["done"], ShouldBeEmpty)
		successor.store.setAway(false)

		Convey("the next incarnation reports its charge, and each request is billed once", func() {
			f.clock.Advance(zoneTimes.DeadTimeout)
			successor.holder.Tick(t.Context())
			So(successor.reclaim(ended), ShouldBeNil)
			So(f.charges["done"], ShouldHaveLength, 1)
			client.client.Tick(t.Context())
			client.finish(running, 30)
			f.flush(successor)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.charges["running"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 90)
		})
		Convey("the charge is reported once if another instance takes both over", func() {
			third := f.start("third")
			f.clock.Advance(zoneTimes.DeadTimeout)
			successor.holder.Tick(t.Context())
			successor.crash()
			So(third.reclaim(ended), ShouldBeNil)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		})
	})
}

// TestTickAfterStop guards against a holder that takes the journal that it has removed for one that a successor has fenced.
// It began a new incarnation, and its client had to wait until it took the holder for lost.
func TestTickAfterStop(t *testing.T) {
	Convey("Given a holder that has stopped, whose instance still runs", t, func() {
		f := newZoneFleet(t, "client", "home")
		client, home := f.nodes["client"], f.nodes["home"]
		client.finish(client.serve(home, "done", 100), 60)
		id := home.holder.ID()
		So(home.holder.Stop(t.Context()), ShouldBeNil)
		f.clock.Advance(2 * zoneTimes.RefreshInterval)
		home.holder.Tick(t.Context())

		Convey("it is not fenced and writes no journal", func() {
			So(home.holder.ID(), ShouldEqual, id)
			So(home.holder.Stats().Fenced, ShouldEqual, 0)
			So(home.holder.writeJournal(t.Context(), "", new(uint16)), ShouldNotBeNil)
			entries, err := f.store.List(t.Context(), ledger.Prefix)
			So(err, ShouldBeNil)
			So(entries, ShouldBeEmpty)
		})
		Convey("it still tells its clients which charges are stored", func() {
			client.client.Tick(t.Context())
			So(client.client.Open(), ShouldEqual, 0)
		})
	})
}

// TestOutcomeOfDeferredRun guards against a request that was answered and is never billed: its serving instance is lost
// while the settlement is put off, and the endpoint cannot tell what the run has used.
func TestOutcomeOfDeferredRun(t *testing.T) {
	Convey("Given a run that has ended and is not settled yet", t, func() {
		f := newZoneFleet(t, "client", "home", "successor")
		client, home, successor := f.nodes["client"], f.nodes["home"], f.nodes["successor"]
		hold := client.serve(home, "done", 100)
		So(hold.RecordOutcome(t.Context(), 60), ShouldBeNil)
		resolve := func(n *zoneNode) {
			client.crash()
			n.holder.Tick(t.Context()) // the owner is missed
			f.clock.Advance(zoneTimes.OrphanTimeout)
			n.holder.Tick(t.Context())
			f.flush(n)
			So(f.charges["done"], ShouldHaveLength, 1)
			So(f.spent(), ShouldEqual, 60)
		}
		Convey("its holder bills it if its serving instance is lost", func() { resolve(home) })
		Convey("so does the holder's successor", func() {
			home.crash()
			So(successor.reclaim(home.holder.ID()), ShouldBeNil)
			resolve(successor)
		})
		Convey("it is billed once if its serving instance can settle it", func() {
			client.finish(hold, 60)
			resolve(home)
		})
	})
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for !ok() {
		if t.Context().Err() != nil {
			t.Fatal("the test has ended")
		}
		time.Sleep(time.Millisecond)
	}
}
