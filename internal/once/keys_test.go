package once

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/member"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/clock"
)

const customer = "customer"

// keysFleet is a fleet of registries, each with a view of its own.
type keysFleet struct {
	clock *clock.Clock
	net   *meshtest.Net
	keys  map[string]*Keys

	mu       sync.Mutex
	leaving  map[string]bool // instances that have announced that they leave
	views    map[string][]mesh.Peer
	reserved map[string][]budget.KeyedReservation
}

type view struct {
	f    *keysFleet
	self mesh.Peer
}

func (v view) Self() mesh.Peer { return v.self }

func (v view) Fleet() []mesh.Peer {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.f.views[v.self.ID]
}

func (v view) Leaving(incarnationID string) bool {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return v.f.leaving[incarnationID]
}

func peer(id string) mesh.Peer {
	return mesh.Peer{ID: id, Zone: "zone", Addr: id, Incarnation: "x"}
}

func peers(ids ...string) []mesh.Peer {
	out := make([]mesh.Peer, 0, len(ids))
	for _, id := range ids {
		out = append(out, peer(id))
	}
	return out
}

func newKeysFleet(ids ...string) *keysFleet {
	f := &keysFleet{
		clock: clock.New(), net: meshtest.New(), keys: make(map[string]*Keys), views: make(map[string][]mesh.Peer),
		reserved: make(map[string][]budget.KeyedReservation), leaving: make(map[string]bool),
	}
	for _, id := range ids {
		f.start(id, ids...)
	}
	f.tick()
	return f
}

// start starts an instance that sees the given ones.
func (f *keysFleet) start(id string, sees ...string) {
	f.see(id, sees...)
	router := mesh.NewRouter()
	self := peer(id)
	f.keys[id] = NewKeys(view{f, self}, f.net.Join(self, router), router, func(string) []string { return []string{"zone"} },
		WithKeysClock(f.clock.Now), WithReservations(func() []budget.KeyedReservation {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.reserved[id]
		}))
}

// see sets the instances that an instance sees.
func (f *keysFleet) see(id string, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views[id] = peers(ids...)
}

// leave makes an instance leave the fleet: no other one sees it any more, and it still runs.
func (f *keysFleet) leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[peer(id).IncarnationID()] = true
	for viewer, seen := range f.views {
		if viewer != id {
			f.views[viewer] = slices.DeleteFunc(slices.Clone(seen), func(p mesh.Peer) bool { return p.ID == id })
		}
	}
}

func (f *keysFleet) crash(id string) {
	f.net.SetDown(id, true)
	delete(f.keys, id)
}

func (f *keysFleet) tick() {
	for _, k := range f.keys {
		k.Tick(context.Background())
	}
}

// requestOf returns a request whose registrar is id among the given instances, and was before among others.
func requestOf(id string, among []mesh.Peer, before string, others []mesh.Peer) string {
	for i := 0; ; i++ {
		request := fmt.Sprintf("k-%d", i)
		now, _ := member.Top(request, among, "")
		then, _ := member.Top(request, others, "")
		if now.ID == id && then.ID == before {
			return request
		}
	}
}

func billedRecord(request, owner, run string) Record {
	return Record{Request: request, Owner: peer(owner), Place: budget.Place{Run: run}, Done: true, Tokens: 7, Term: firstTerm}
}

func TestRegistrarChange(t *testing.T) {
	ctx := context.Background()
	Convey("Given a request that is registered at an instance of a zone", t, func() {
		f := newKeysFleet("a", "b", "c")
		request := requestOf("b", peers("b", "c"), "a", peers("a", "b", "c"))
		resp, err := f.keys["c"].Begin(ctx, customer, Record{Request: request, Owner: peer("c")})
		So(err, ShouldBeNil)
		So(resp.New, ShouldBeTrue)
		rec := resp.Record
		rec.Place.Run = "run-1"

		Convey("and the registrar crashes, its successor knows the request, although the owner has not seen the crash", func() {
			_, err := f.keys["c"].Update(ctx, customer, rec)
			So(err, ShouldBeNil)
			f.crash("a")
			f.see("b", "b", "c")
			So(f.keys["b"].handleBegin(ctx, Record{Request: request, Owner: peer("b")}).Record.Place.Run, ShouldEqual, "run-1")

			Convey("and the owner no longer uses the former registrar", func() {
				_, err := f.keys["c"].Update(ctx, customer, rec)
				So(err, ShouldEqual, ErrRegistrarUnreachable)
				f.see("c", "b", "c")
				f.tick()
				owner, err := f.keys["c"].Update(ctx, customer, rec)
				So(err, ShouldBeNil)
				So(owner, ShouldBeTrue)
			})
		})
		Convey("and the registrar and the owner crash, its successor knows the request from the budget's holder", func() {
			f.reserved["b"] = []budget.KeyedReservation{{
				Request: request, Customer: customer, Owner: "c~x", Place: budget.Place{Run: "run-1"}, Settled: true, Charged: 7,
			}}
			f.crash("a")
			f.crash("c")
			f.see("b", "b")
			got := f.keys["b"].handleBegin(ctx, Record{Request: request, Owner: peer("b")})
			So(got.New, ShouldBeFalse)
			So(got.Record.Billed(), ShouldBeTrue)
		})
		Convey("and an instance has not sent its records, the registrar does not answer that a key is new", func() {
			f.crash("a")
			f.see("b", "b", "c")
			f.net.SetCut(func(from, to mesh.Peer) bool { return to.ID == "c" })
			So(f.keys["b"].handleBegin(ctx, Record{Request: request, Owner: peer("b")}).Inconclusive, ShouldBeTrue)
			f.net.SetCut(func(_, _ mesh.Peer) bool { return false })
			So(f.keys["b"].handleBegin(ctx, Record{Request: request, Owner: peer("b")}).Inconclusive, ShouldBeFalse)
		})
	})
	Convey("A new registrar learns of a billed run that the former one has accepted, whatever it has heard before", t, func() {
		f := newKeysFleet("a", "b")
		k := f.keys["a"]
		k.handleTransfer([]Record{{Request: "k-1", Owner: peer("b"), Place: budget.Place{Run: "run-2"}, Term: 2}})
		k.handleTransfer([]Record{billedRecord("k-1", "a", "run-1")})
		k.handleTransfer([]Record{billedRecord("k-1", "b", "run-2")})
		So(k.records["k-1"].rec.Place.Run, ShouldEqual, "run-1")
	})
	Convey("After a pause a registrar collects again what it may have missed", t, func() {
		f := newKeysFleet("a", "b")
		request := requestOf("a", peers("a", "b"), "a", peers("a", "b"))
		So(f.keys["a"].complete(request), ShouldBeTrue)
		f.clock.Advance(time.Minute)
		So(f.keys["a"].complete(request), ShouldBeFalse)
	})
}

func TestBillOrphan(t *testing.T) {
	ctx := context.Background()
	Convey("Given an instance that serves a request and has the orphan of an earlier run of it", t, func() {
		f := newKeysFleet("a", "b")
		k := f.keys["a"]
		resp, err := k.Begin(ctx, customer, Record{Request: "k-1", Owner: peer("a")})
		So(err, ShouldBeNil)
		rec := resp.Record
		rec.Place.Run = "run-2"
		orphan := func() (bool, bool) { return k.BillOrphan(ctx, customer, "k-1", budget.Place{Run: "run-1"}, 7) }

		Convey("the orphan is billed if it comes first, and the request is not dispatched", func() {
			bill, sure := orphan()
			So(bill, ShouldBeTrue)
			So(sure, ShouldBeTrue)
			owner, err := k.Update(ctx, customer, rec)
			So(err, ShouldBeNil)
			So(owner, ShouldBeFalse)
		})
		Convey("nothing is decided while the request runs", func() {
			owner, err := k.Update(ctx, customer, rec)
			So(err, ShouldBeNil)
			So(owner, ShouldBeTrue)
			_, sure := orphan()
			So(sure, ShouldBeFalse)

			Convey("and the orphan is not billed once the request is", func() {
				rec.Done, rec.Tokens = true, 9
				owner, err := k.Update(ctx, customer, rec)
				So(err, ShouldBeNil)
				So(owner, ShouldBeTrue)
				bill, sure := orphan()
				So(bill, ShouldBeFalse)
				So(sure, ShouldBeTrue)
			})
		})
	})
	Convey("The orphan of an owner that is lost is billed, and no other run after it", t, func() {
		f := newKeysFleet("a", "b", "c")
		rec := Record{Request: "k-1", Owner: mesh.Peer{ID: "d", Zone: "zone", Addr: "d", Incarnation: "x"}, Place: budget.Place{Run: "run-1"}, Term: firstTerm}
		registrar, _ := f.keys["a"].viewedRegistrar("k-1", customer)
		f.keys[registrar.ID].handleTransfer([]Record{rec})
		bill, sure := f.keys["a"].BillOrphan(ctx, customer, "k-1", rec.Place, 7)
		So(bill, ShouldBeTrue)
		So(sure, ShouldBeTrue)
		won, err := f.keys["b"].Bill(ctx, customer, rec, billedRecord("k-1", "b", "run-2"))
		So(err, ShouldBeNil)
		So(won, ShouldBeFalse)
	})
}

func TestClaimEnds(t *testing.T) {
	ctx := context.Background()
	Convey("The claim of a registrar that leaves the fleet ends with the next tick, even if there was none in between", t, func() {
		f := newKeysFleet("a", "b")
		b := f.keys["b"]
		b.claims = make(map[string]keyClaim)
		b.handleCollect(peer("a"), CollectReq{Zone: peers("a", "b")})
		f.see("b", "b")
		b.Tick(ctx)
		So(b.claims, ShouldBeEmpty)
	})
	Convey("The claim of a registrar that is not in view yet counts until it may have been in view", t, func() {
		f := newKeysFleet("a", "b")
		b := f.keys["b"]
		b.handleCollect(peer("c"), CollectReq{Zone: peers("b", "c")})
		b.Tick(ctx)
		So(b.claims, ShouldContainKey, "c")
		f.clock.Advance(keyClaimTimeout + time.Second)
		b.Tick(ctx)
		So(b.claims, ShouldNotContainKey, "c")
	})
}

// TestBillWhileRegistrarLeaves guards against a request that was answered and never billed: a registrar that was stopping
// asked an instance for its records after that instance had seen it leave. Its claim then kept the instance from using the
// next registrar for keyClaimTimeout, longer than the instance's own planned stop lasted.
func TestBillWhileRegistrarLeaves(t *testing.T) {
	ctx := context.Background()
	Convey("Given a request that is served while its registrar is stopping", t, func() {
		f := newKeysFleet("a", "b", "c")
		request := requestOf("b", peers("b", "c"), "a", peers("a", "b", "c"))
		resp, err := f.keys["c"].Begin(ctx, customer, Record{Request: request, Owner: peer("c")})
		So(err, ShouldBeNil)
		f.leave("a")
		claim := CollectReq{Zone: peers("a", "b", "c")}

		Convey("a claim that arrives after the owner has seen the registrar leave does not keep it from billing", func() {
			f.keys["c"].handleCollect(peer("a"), claim)
			f.tick()
			billed, err := f.keys["c"].Update(ctx, customer, billedRecord(request, "c", resp.Record.Place.Run))
			So(err, ShouldBeNil)
			So(billed, ShouldBeTrue)
		})
		Convey("a claim that arrives before that does not outlast it either", func() {
			f.mu.Lock()
			f.leaving[peer("a").IncarnationID()] = false
			f.mu.Unlock()
			f.keys["c"].handleCollect(peer("a"), claim)
			f.leave("a")
			f.tick()
			billed, err := f.keys["c"].Update(ctx, customer, billedRecord(request, "c", resp.Record.Place.Run))
			So(err, ShouldBeNil)
			So(billed, ShouldBeTrue)
		})
	})
}

// TestBillWhileLeaving guards against a request that was answered and never billed because its serving instance was
// stopping: the others no longer ask such an instance for its records, so a claim that it has accepted before never ends,
// and they no longer use it as a registrar, which it still did itself.
func TestBillWhileLeaving(t *testing.T) {
	ctx := context.Background()
	serveAndLeave := func(request string) (*keysFleet, Record) {
		f := newKeysFleet("b", "c")
		resp, err := f.keys["c"].Begin(ctx, customer, Record{Request: request, Owner: peer("c")})
		So(err, ShouldBeNil)
		rec := resp.Record
		rec.Place.Run = "run-1"
		owner, err := f.keys["c"].Update(ctx, customer, rec)
		So(err, ShouldBeNil)
		So(owner, ShouldBeTrue)
		f.start("a", "a", "b", "c")
		f.see("b", "a", "b", "c")
		f.see("c", "a", "b", "c")
		f.leave("c")
		f.tick()
		f.tick()
		return f, billedRecord(request, "c", "run-1")
	}
	check := func(f *keysFleet, rec Record) {
		owner, err := f.keys["c"].Update(ctx, customer, rec)
		So(err, ShouldBeNil)
		So(owner, ShouldBeTrue)
		resp, err := f.keys["b"].Begin(ctx, customer, Record{Request: rec.Request, Owner: peer("b")})
		So(err, ShouldBeNil)
		So(resp.New, ShouldBeFalse)
		So(resp.Record.Billed(), ShouldBeTrue)
	}
	Convey("A leaving instance can bill a request whose former registrar has claimed it", t, func() {
		check(serveAndLeave(requestOf("a", peers("a", "b"), "b", peers("b", "c"))))
	})
	Convey("A leaving instance records a bill where the others look for it, if it has been the registrar itself", t, func() {
		check(serveAndLeave(requestOf("a", peers("a", "b"), "c", peers("a", "b", "c"))))
	})
}
