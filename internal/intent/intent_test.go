package intent

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/external/etcdstore"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/inproc"
	"github.com/ledgemount/ledgemount/internal/standin/kv"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// memoryFeed is a Feed that keeps the latest document in memory.
type memoryFeed struct{ doc *declare.Document }

func (f *memoryFeed) Document() *declare.Document { return f.doc }

func (f *memoryFeed) Adopt(data []byte, _ int64) error {
	var doc declare.Document
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	if doc.Version > f.doc.Version {
		f.doc = &doc
	}
	return nil
}

// singleMember is the membership view of a fleet of one instance.
type singleMember struct{ self mesh.Peer }

func (m singleMember) Self() mesh.Peer    { return m.self }
func (m singleMember) Fleet() []mesh.Peer { return []mesh.Peer{m.self} }

func newPlanner(t *testing.T) (*Service, *kv.Server, *etcdstore.Client) {
	t.Helper()
	server := kv.New(kv.WithLostEvery(1))
	t.Cleanup(server.Close)
	transport := inproc.New()
	transport.Handle("store", server.Handler())
	var rt http.RoundTripper = transport
	store := etcdstore.New("http://store", etcdstore.WithTransport(rt))
	self := mesh.Peer{ID: "a", Zone: "z", Addr: "a"}
	router := mesh.NewRouter()
	caller := meshtest.New().Join(self, router)
	return New(store, &memoryFeed{doc: &declare.Document{}}, singleMember{self}, caller, router, func() map[string]int { return nil }), server, store
}

func classIntent(deadline int64) *Intent {
	return &Intent{Apply: declare.Declarations{Classes: map[string]declare.Class{
		"c": {Priority: 1, DeadlineMS: deadline, FirstTokenMS: 1, BetweenTokensMS: 1, Objective: 0.9},
	}}}
}

func zoneIntent(name string) *Intent {
	return &Intent{Apply: declare.Declarations{Zones: map[string]declare.Zone{name: {Region: "r"}}}}
}

func TestPlanner(t *testing.T) {
	ctx := context.Background()
	Convey("Given a planner", t, func() {
		s, server, store := newPlanner(t)
		plan := func(in *Intent) *Plan {
			p, err := s.Plan(ctx, in)
			So(err, ShouldBeNil)
			return p
		}
		Convey("a plan changes nothing before its confirmation, and a second confirmation has no effect", func() {
			p := plan(zoneIntent("a"))
			So(s.feed.Document().Version, ShouldEqual, 0)
			for range 2 {
				r, err := s.Confirm(ctx, p.ID)
				So(err, ShouldBeNil)
				So(r.State, ShouldEqual, StateAccepted)
				So(r.Version, ShouldEqual, 1)
			}
		})
		Convey("concurrent plans are both applied if they are disjoint, and the later one is rejected if they conflict", func() {
			first, other, conflicting := plan(classIntent(10)), plan(zoneIntent("a")), plan(classIntent(20))
			_, err := s.Confirm(ctx, first.ID)
			So(err, ShouldBeNil)
			_, err = s.Confirm(ctx, other.ID)
			So(err, ShouldBeNil)
			_, err = s.Confirm(ctx, conflicting.ID)
			e := verdict.From(err)
			So(e.Code(), ShouldEqual, verdict.CodeConflict)
			So(e.Verdict(), ShouldEqual, verdict.NotRun)
			So(e.Field(), ShouldEqual, "classes/c")
			So(s.feed.Document().Decl.Classes["c"].DeadlineMS, ShouldEqual, 10)
		})
		Convey("a configuration with fields from a later build is not overwritten, because this build would lose them", func() {
			p := plan(zoneIntent("a"))
			_, err := s.Confirm(ctx, p.ID)
			So(err, ShouldBeNil)
			next := plan(zoneIntent("b"))
			e, err := s.store.Get(ctx, declare.Key)
			So(err, ShouldBeNil)
			later := bytes.Replace(e.Data, []byte(`"declarations":{`), []byte(`"declarations":{"quotas":{"q":{"tokens":5}},`), 1)
			_, err = s.store.Put(ctx, declare.Key, later, e.Revision, 0)
			So(err, ShouldBeNil)
			_, err = s.Confirm(ctx, next.ID)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeConflict)
			So(err.Error(), ShouldContainSubstring, "quotas")
			e, err = s.store.Get(ctx, declare.Key)
			So(err, ShouldBeNil)
			So(e.Data, ShouldResemble, later)
		})
		Convey("a change is reported as accepted although all responses of the store are lost", func() {
			server.Set(kv.ResponseLost, true)
			in := zoneIntent("a")
			in.Apply.Customers = map[string]declare.Customer{"c": {Budget: "b"}}
			in.Budgets = map[string]declare.Budget{"b": {Customer: "c", Deposits: map[string]int64{"one": 100}}}
			p := plan(in)
			r, err := s.Confirm(ctx, p.ID)
			So(err, ShouldBeNil)
			So(r.State, ShouldEqual, StateAccepted)
			server.Set(kv.ResponseLost, false)
			v, err := budget.Inspect(ctx, store, "b")
			So(err, ShouldBeNil)
			So(v.Deposited, ShouldEqual, 100)
			So(plan(in).Empty(), ShouldBeTrue)
		})
		Convey("planning fails with CodeUnavailable while the store is down", func() {
			server.Set(kv.Down, true)
			_, err := s.Plan(ctx, zoneIntent("a"))
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeUnavailable)
		})
		Convey("errors of invalid intents name the field", func() {
			for field, in := range map[string]*Intent{
				"drain/0":            {Drain: []string{"nobody"}},
				"remove/0":           {Remove: []string{"pools/none"}},
				"move/0/pool":        {Move: []Move{{Pool: "none", Version: "v"}}},
				"budgets/b/customer": {Budgets: map[string]declare.Budget{"b": {Customer: "nobody", Deposits: map[string]int64{"x": 1}}}},
				"classes/c/priority": {Apply: declare.Declarations{Classes: map[string]declare.Class{"c": {
					Priority: 101, DeadlineMS: 1, FirstTokenMS: 1, BetweenTokensMS: 1, Objective: 0.5,
				}}}},
			} {
				_, err := s.Plan(ctx, in)
				So(verdict.From(err).Field(), ShouldEqual, field)
			}
		})
		Convey("a withdrawal of more than the budget holds is rejected", func() {
			in := &Intent{
				Apply:   declare.Declarations{Customers: map[string]declare.Customer{"c": {Budget: "b"}}},
				Budgets: map[string]declare.Budget{"b": {Customer: "c", Deposits: map[string]int64{"one": 100}}},
			}
			_, err := s.Confirm(ctx, plan(in).ID)
			So(err, ShouldBeNil)
			in.Budgets = map[string]declare.Budget{"b": {Customer: "c", Deposits: map[string]int64{"less": -101}}}
			_, err = s.Confirm(ctx, plan(in).ID)
			So(verdict.From(err).Code(), ShouldEqual, verdict.CodeConflict)
		})
	})
}
