package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/packed"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// scriptedSource is a store source whose responses a test sets.
type scriptedSource struct {
	update follow.Update
	err    error
	// changesErr is the error of calls for changes, if it is set
	changesErr error
	calls      int
}

func (s *scriptedSource) Snapshot(context.Context, follow.Cursor, follow.Part) (follow.Update, error) {
	s.calls++
	return s.update, s.err
}

func (s *scriptedSource) Changes(context.Context, follow.Cursor, bool) (follow.Update, error) {
	s.calls++
	if s.changesErr != nil {
		return follow.Update{}, s.changesErr
	}
	return s.update, s.err
}

var errDown = errors.New("the store is down")

// node is one instance: its directory, its path to the store, and its follower.
type node struct {
	dir      *peers.Directory
	store    *scriptedSource
	source   *Source
	follower *follow.Follower
	pool     *pool.Pool
	epochs   *external.Epochs
}

// fixture is two instances, in one zone if no others are named. The first one leads.
type fixture struct {
	net          *meshtest.Net
	now          time.Time
	lead, member *node
}

func newFixture(ctx context.Context, zones ...string) *fixture {
	if len(zones) == 0 {
		zones = []string{"a", "a"}
	}
	f := &fixture{net: meshtest.New(), now: time.Unix(1000, 0)}
	now := func() time.Time { return f.now }
	list := []mesh.Peer{{ID: "lead", Zone: zones[0], Addr: "lead:1"}, {ID: "member", Zone: zones[1], Addr: "member:1"}}
	fleet, err := peerstest.Fleet(ctx, f.net, now, len(list), list)
	So(err, ShouldBeNil)
	nodes := make([]*node, 0, len(fleet))
	for _, x := range fleet {
		n := &node{dir: x.Dir, store: &scriptedSource{}, pool: pool.New("a"), epochs: external.NewEpochs()}
		n.source = NewSource(n.dir, n.store, WithNow(now), WithEpochs(n.epochs))
		n.follower = follow.New(n.source, n.pool, follow.WithNow(now), follow.WithFleetRecords(func() bool { return false }))
		Serve(x.Router, n.follower, n.dir, n.epochs)
		nodes = append(nodes, n)
	}
	f.lead, f.member = nodes[0], nodes[1]
	return f
}

func config(version int64) *route.Config {
	return &route.Config{
		Version: version, Services: []route.Service{{Name: "models"}},
		Routes: []route.Route{{Host: "h", Prefix: "/", Timeout: time.Second, Split: []route.Share{{Service: "models", Weight: 1}}}},
	}
}

func endpoint(id string) pool.Endpoint {
	return pool.Endpoint{ID: id, Service: "models", Addr: id + ":80", Zone: "a", Slots: 4}
}

func TestFeed(t *testing.T) {
	ctx := context.Background()
	Convey("An instance whose zone is led", t, func() {
		f := newFixture(ctx)
		f.lead.store.update = follow.Update{
			Config: config(3), ConfigAt: 7, At: 9, Events: 2, Endpoints: []pool.Endpoint{endpoint("e-1"), endpoint("e-2")},
		}
		So(f.lead.follower.Step(ctx), ShouldBeNil)

		Convey("receives everything from the leader, without a call to the store", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.store.calls, ShouldEqual, 0)
			So(f.member.follower.Table().Version(), ShouldEqual, 3)
			r, ok := f.member.follower.Table().Match("h", "/x")
			So(ok, ShouldBeTrue)
			So(r.Timeout, ShouldEqual, time.Second)
			So(f.member.pool.Len(), ShouldEqual, 2)

			Convey("and then the changes: an endpoint that drains, one that is removed and one that is added again", func() {
				draining := endpoint("e-1")
				draining.Draining = true
				f.lead.store.update = follow.Update{At: 12, ConfigAt: 7, Events: 2, Endpoints: []pool.Endpoint{draining}, Removed: []string{"e-2"}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.pool.Len(), ShouldEqual, 0)
				f.lead.store.update = follow.Update{At: 14, ConfigAt: 7, Events: 1, Removed: []string{"e-1"}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				f.lead.store.update = follow.Update{At: 15, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-2")}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.pool.Len(), ShouldEqual, 1)
				So(f.member.store.calls, ShouldEqual, 0)
			})

			Convey("and a newer configuration, which is encoded once", func() {
				f.lead.store.update = follow.Update{At: 20, ConfigAt: 20, Events: 1, Config: config(5)}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Table().Version(), ShouldEqual, 5)
			})
		})

		Convey("sends no work to an availability zone if only the leader has read that it is evacuated", func() {
			f.lead.store.update = follow.Update{At: 12, OperatorAt: 12, Events: 1, Evacuations: []evacuation.Order{{Zone: "a", On: true, Revision: 12}}}
			So(f.lead.follower.Step(ctx), ShouldBeNil)
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.store.calls, ShouldEqual, 0)
			So(f.member.pool.Pick(pool.Query{Service: "models"}), ShouldBeNil)

			Convey("also if the store does not answer then, until the leader reports the order withdrawn", func() {
				f.member.store.err = errDown
				f.net.SetDown("lead:1", true)
				So(f.member.follower.Step(ctx), ShouldNotBeNil)
				So(f.member.pool.Pick(pool.Query{Service: "models"}), ShouldBeNil)
				f.net.SetDown("lead:1", false)
				f.now = f.now.Add(800 * time.Millisecond)
				f.lead.store.update = follow.Update{At: 15, OperatorAt: 15, Events: 1, Evacuations: []evacuation.Order{{Zone: "a", Revision: 15}}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.pool.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
			})
		})

		Convey("asks the store if the leader has no recent response from it", func() {
			f.lead.store.err = errDown
			f.now = f.now.Add(maxLeaderAge + time.Millisecond)
			So(f.lead.follower.Step(ctx), ShouldNotBeNil)
			f.member.store.update = follow.Update{Config: config(4), ConfigAt: 8, At: 10, Events: 1}
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.store.calls, ShouldEqual, 1)
			So(f.member.follower.Table().Version(), ShouldEqual, 4)
		})

		Convey("does not call the store for a while if neither the leader nor this instance reaches it", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			f.now = f.now.Add(maxLeaderAge + time.Millisecond)
			f.member.store.err = errDown
			So(f.member.follower.Step(ctx), ShouldNotBeNil)
			So(f.member.store.calls, ShouldEqual, 1)
			So(f.member.follower.Step(ctx), ShouldNotBeNil)
			So(f.member.store.calls, ShouldEqual, 1)

			Convey("but gets updates at once from a leader that reaches it again", func() {
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.store.calls, ShouldEqual, 1)
			})

			Convey("and tries again later, or when the leader is unreachable", func() {
				f.now = f.now.Add(firstPause)
				So(f.member.follower.Step(ctx), ShouldNotBeNil)
				So(f.member.store.calls, ShouldEqual, 2)
				f.net.SetDown("lead:1", true)
				So(f.member.follower.Step(ctx), ShouldNotBeNil)
				So(f.member.store.calls, ShouldEqual, 3)
			})
		})

		Convey("asks the store if the leader is unreachable, and later continues from there at the leader", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			f.net.SetDown("lead:1", true)
			f.member.store.update = follow.Update{At: 30, ConfigAt: 7, Events: 1, Removed: []string{"e-1"}}
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.pool.Len(), ShouldEqual, 1)
			f.net.SetDown("lead:1", false)
			f.now = f.now.Add(800 * time.Millisecond)
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.store.calls, ShouldEqual, 1)
			So(f.member.pool.Len(), ShouldEqual, 1)
		})

		// Guards against a fault in which a leader that had followed the store less far than this instance sent its
		// list. The list made a draining endpoint ready again and added a removed one. This instance had already
		// followed those changes, so they were not sent to it again.
		Convey("accepts no list from the leader that is older than its own state: it asks the store, and keeps its state if the store does not answer", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			f.net.SetDown("lead:1", true)
			draining := endpoint("e-1")
			draining.Draining = true
			f.member.store.update = follow.Update{At: 30, ConfigAt: 7, Events: 2, Endpoints: []pool.Endpoint{draining}, Removed: []string{"e-2"}}
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.pool.Len(), ShouldEqual, 0)
			f.member.store.err = errDown
			So(f.member.follower.Step(ctx), ShouldNotBeNil)
			So(f.member.follower.Step(ctx), ShouldNotBeNil)
			f.net.SetDown("lead:1", false)
			f.now = f.now.Add(800 * time.Millisecond)
			calls := f.member.store.calls
			So(f.member.follower.Step(ctx), ShouldNotBeNil) // a snapshot is read after some failed calls
			So(f.member.store.calls, ShouldEqual, calls+1)
			So(f.member.pool.Len(), ShouldEqual, 0)

			Convey("until the store answers, or the leader has caught up", func() {
				f.lead.store.update = follow.Update{At: 31, ConfigAt: 7, Events: 3, Endpoints: []pool.Endpoint{draining, endpoint("e-3")}, Removed: []string{"e-2"}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.pool.Len(), ShouldEqual, 1)
			})
		})

		Convey("reads everything from the store, in the same step, if the changes do not arrive completely in time", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			f.net.SetDown("lead:1", true)
			f.member.store.changesErr = external.ErrSlowResponse
			f.member.store.update = follow.Update{Config: config(9), ConfigAt: 40, At: 40, Events: 1}
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.store.calls, ShouldEqual, 2)
			So(f.member.follower.Table().Version(), ShouldEqual, 9)
		})

		Convey("receives everything when it has missed too many changes", func() {
			So(f.member.follower.Step(ctx), ShouldBeNil)
			for i := range 100 {
				e := endpoint("e-1")
				e.Draining = i%2 == 0
				f.lead.store.update = follow.Update{At: int64(20 + i), ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{e}}
				So(f.lead.follower.Step(ctx), ShouldBeNil)
			}
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.pool.Len(), ShouldEqual, 2)
		})
	})

	Convey("An instance that starts together with its leader waits for the leader, and does not read the store itself", t, func() {
		f := newFixture(ctx)
		f.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		started := make(chan error, 1)
		go func() {
			time.Sleep(2 * leaderStartRetry)
			started <- f.lead.follower.Step(ctx)
		}()
		So(f.member.follower.Step(ctx), ShouldBeNil)
		So(<-started, ShouldBeNil)
		So(f.member.store.calls, ShouldEqual, 0)
		So(f.member.follower.Table().Version(), ShouldEqual, 3)
	})

	Convey("A zone's leader asks the leader of the first zone, and the store if that leader has no recent response from it", t, func() {
		f := newFixture(ctx, "a", "b")
		f.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		So(f.member.follower.Step(ctx), ShouldBeNil)
		So(f.member.store.calls, ShouldEqual, 0)
		So(f.member.follower.Table().Version(), ShouldEqual, 3)
		f.now = f.now.Add(maxFleetLeaderAge + time.Millisecond)
		f.member.store.update = follow.Update{Config: config(4), ConfigAt: 8, At: 10, Events: 1}
		So(f.member.follower.Step(ctx), ShouldBeNil)
		So(f.member.store.calls, ShouldEqual, 1)
		So(f.member.follower.Table().Version(), ShouldEqual, 4)
	})

	Convey("Many changes are sent packed, are encoded once, and arrive whole", t, func() {
		f := newFixture(ctx)
		f.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-0")}}
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		So(f.member.follower.Step(ctx), ShouldBeNil)
		const changes = 1000
		update := follow.Update{At: 12, ConfigAt: 7, Events: changes}
		for i := range changes {
			update.Endpoints = append(update.Endpoints, endpoint(fmt.Sprintf("e-%d", i)))
		}
		f.lead.store.update = update
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		s := &server{follower: f.lead.follower, dir: f.lead.dir, epochs: external.NewEpochs()}
		first, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{At: 9, Unpacks: true})
		So(err, ShouldBeNil)
		second, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{At: 9, Unpacks: true})
		So(err, ShouldBeNil)
		So(&second.Packed[0], ShouldEqual, &first.Packed[0])
		So(len(first.Packed), ShouldBeLessThan, 30*changes)
		older, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{At: 9})
		So(err, ShouldBeNil)
		So(older.Endpoints, ShouldHaveLength, changes-1)
		So(f.member.follower.Step(ctx), ShouldBeNil)
		So(f.member.pool.Len(), ShouldEqual, changes)
	})

	Convey("A list of all endpoints is encoded once for many requesters, which receive the changes since then next", t, func() {
		f := newFixture(ctx)
		f.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		s := &server{follower: f.lead.follower, dir: f.lead.dir, epochs: external.NewEpochs()}
		first, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{})
		So(err, ShouldBeNil)
		f.lead.store.update = follow.Update{At: 12, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-2")}}
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		second, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{})
		So(err, ShouldBeNil)
		So(&second.All[0], ShouldEqual, &first.All[0])
		So(second.At, ShouldEqual, 9)
		next, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{At: second.At, ConfigAt: second.ConfigAt})
		So(err, ShouldBeNil)
		So(next.Complete, ShouldBeFalse)
		So(next.Endpoints, ShouldResemble, []pool.Endpoint{endpoint("e-2")})

		Convey("but nothing is sent once it is too old to be accepted", func() {
			f.now = f.now.Add(maxLeaderAge + time.Millisecond)
			old, err := s.handleUpdate(ctx, mesh.Peer{}, updateRequest{})
			So(err, ShouldBeNil)
			So(old, ShouldResemble, updateReply{Known: true, AgeMs: (maxLeaderAge + time.Millisecond).Milliseconds()})
		})

		Convey("but not for a requester that is ahead of the list", func() {
			f.lead.store.update = follow.Update{At: 20, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-3")}}
			So(f.lead.follower.Step(ctx), ShouldBeNil)
			_, at, err := s.encodedEndpoints(follow.Update{At: 20, Endpoints: []pool.Endpoint{endpoint("e-3")}}, 12)
			So(err, ShouldBeNil)
			So(at, ShouldEqual, 20)
		})
	})

	Convey("A corrupt encoded configuration is an error", t, func() {
		_, err := packed.Decode[*route.Config]([]byte("torn"))
		So(err, ShouldNotBeNil)
	})
}

// inEpoch returns an update whose revisions are numbers within an epoch, with the revisions of that epoch.
func inEpoch(epoch int64, u follow.Update) follow.Update {
	u.At, u.ConfigAt, u.OperatorAt = external.Revision(epoch, u.At), external.Revision(epoch, u.ConfigAt), external.Revision(epoch, u.OperatorAt)
	return u
}

// setUpdate makes an instance's next step read an update of an epoch from the store.
func (n *node) setUpdate(epoch int64, u follow.Update) {
	n.store.update = inEpoch(epoch, u)
	_ = n.epochs.Observe(epoch, u.At)
}

func TestFeedAfterRestoration(t *testing.T) {
	ctx := context.Background()
	Convey("An instance whose zone is led, and a store that is restored from a copy", t, func() {
		f := newFixture(ctx)
		list := []pool.Endpoint{endpoint("e-1"), endpoint("e-2")}
		f.lead.setUpdate(1, follow.Update{Config: config(3), ConfigAt: 300, OperatorAt: 300, At: 367, Events: 2, Endpoints: list})
		So(f.lead.follower.Step(ctx), ShouldBeNil)
		So(f.member.follower.Step(ctx), ShouldBeNil)
		So(f.member.epochs.Current(), ShouldEqual, 1)
		So(f.member.store.calls, ShouldEqual, 0)

		Convey("receives what was written since, although its revision numbers are lower than those it had seen", func() {
			f.lead.setUpdate(2, follow.Update{Config: config(4), ConfigAt: 290, OperatorAt: 290, At: 302, Events: 2, Endpoints: list})
			f.lead.store.changesErr = external.ErrHistoryGone
			So(f.lead.follower.Step(ctx), ShouldBeNil)
			So(f.member.follower.Step(ctx), ShouldBeNil)
			So(f.member.epochs.Current(), ShouldEqual, 2)
			So(f.member.follower.Table().Version(), ShouldEqual, 4)

			Convey("and then the changes", func() {
				leaving := endpoint("e-1")
				leaving.Draining = true
				f.lead.store.changesErr = nil
				f.lead.setUpdate(2, follow.Update{At: 303, Events: 1, Endpoints: []pool.Endpoint{leaving}})
				So(f.lead.follower.Step(ctx), ShouldBeNil)
				So(f.member.follower.Step(ctx), ShouldBeNil)
				So(f.member.store.calls, ShouldEqual, 0)
				lease := f.member.pool.Pick(pool.Query{Service: "models"})
				So(lease.Endpoint().ID, ShouldEqual, "e-2")
			})
		})

		Convey("reports to its leader that the store was restored, and accepts nothing from a leader that has not seen it", func() {
			So(f.member.epochs.Observe(2, 0), ShouldBeNil)
			f.member.store.err = errDown
			So(f.member.follower.Step(ctx), ShouldNotBeNil)
			So(f.lead.epochs.Current(), ShouldEqual, 2)
		})

		Convey("accepts nothing from an instance that names no epoch", func() {
			So(f.member.epochs.Observe(2, 0), ShouldBeNil)
			So(f.member.source.checkEpoch(&updateReply{}), ShouldNotBeNil)
			reply := updateReply{}
			So(f.lead.source.checkEpoch(&reply), ShouldBeNil)
			So(reply.Epoch, ShouldEqual, 1)
		})
	})
}
