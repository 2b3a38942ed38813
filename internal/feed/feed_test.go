package feed

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/evacuation"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/follow"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// script is a store's side that answers what a test sets.
type script struct {
	update follow.Update
	err    error
	// changesErr is what calls for changes end with, if it is set
	changesErr error
	calls      int
}

func (s *script) Snapshot(context.Context, follow.Cursor) (follow.Update, error) {
	s.calls++
	return s.update, s.err
}

func (s *script) Changes(context.Context, follow.Cursor, bool) (follow.Update, error) {
	s.calls++
	if s.changesErr != nil {
		return follow.Update{}, s.changesErr
	}
	return s.update, s.err
}

var errDown = errors.New("the store is down")

// end is one instance: its directory, its path to the store, and its follower.
type end struct {
	dir      *peers.Directory
	store    *script
	source   *Source
	follower *follow.Follower
	pool     *pool.Pool
	epochs   *external.Epochs
}

// bed is two instances, of one zone if no others are named; the first one leads.
type bed struct {
	net          *meshtest.Net
	at           time.Time
	lead, member *end
}

func newBed(ctx context.Context, zones ...string) *bed {
	if len(zones) == 0 {
		zones = []string{"a", "a"}
	}
	b := &bed{net: meshtest.New(), at: time.Unix(1000, 0)}
	now := func() time.Time { return b.at }
	list := []mesh.Peer{{ID: "lead", Zone: zones[0], Addr: "lead:1"}, {ID: "member", Zone: zones[1], Addr: "member:1"}}
	fleet, err := peerstest.Fleet(ctx, b.net, now, len(list), list)
	So(err, ShouldBeNil)
	ends := make([]*end, 0, len(fleet))
	for _, x := range fleet {
		e := &end{dir: x.Dir, store: &script{}, pool: pool.New("a"), epochs: external.NewEpochs()}
		e.source = NewSource(e.dir, e.store, WithNow(now), WithEpochs(e.epochs))
		e.follower = follow.New(e.source, e.pool, follow.WithNow(now), follow.WithFleetRecords(func() bool { return false }))
		Serve(x.Router, e.follower, e.epochs)
		ends = append(ends, e)
	}
	b.lead, b.member = ends[0], ends[1]
	return b
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
		b := newBed(ctx)
		b.lead.store.update = follow.Update{
			Config: config(3), ConfigAt: 7, At: 9, Events: 2, Endpoints: []pool.Endpoint{endpoint("e-1"), endpoint("e-2")},
		}
		So(b.lead.follower.Step(ctx), ShouldBeNil)

		Convey("learns everything from the leader, without a call to the store", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.store.calls, ShouldEqual, 0)
			So(b.member.follower.Table().Version(), ShouldEqual, 3)
			r, ok := b.member.follower.Table().Match("h", "/x")
			So(ok, ShouldBeTrue)
			So(r.Timeout, ShouldEqual, time.Second)
			So(b.member.pool.Len(), ShouldEqual, 2)

			Convey("and then what changes: an endpoint that drains, one that goes and one that comes back", func() {
				draining := endpoint("e-1")
				draining.Draining = true
				b.lead.store.update = follow.Update{At: 12, ConfigAt: 7, Events: 2, Endpoints: []pool.Endpoint{draining}, Removed: []string{"e-2"}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.pool.Len(), ShouldEqual, 0)
				b.lead.store.update = follow.Update{At: 14, ConfigAt: 7, Events: 1, Removed: []string{"e-1"}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				b.lead.store.update = follow.Update{At: 15, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-2")}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.pool.Len(), ShouldEqual, 1)
				So(b.member.store.calls, ShouldEqual, 0)
			})

			Convey("and a newer configuration, which is packed once", func() {
				b.lead.store.update = follow.Update{At: 20, ConfigAt: 20, Events: 1, Config: config(5)}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Table().Version(), ShouldEqual, 5)
			})
		})

		Convey("keeps work off an availability zone of which only the leader has heard that it is evacuated", func() {
			b.lead.store.update = follow.Update{At: 12, OperatorAt: 12, Events: 1, Evacuations: []evacuation.Order{{Zone: "a", On: true, Revision: 12}}}
			So(b.lead.follower.Step(ctx), ShouldBeNil)
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.store.calls, ShouldEqual, 0)
			So(b.member.pool.Pick(pool.Query{Service: "models"}), ShouldBeNil)

			Convey("also where the store is away then, and until the leader tells that it was taken back", func() {
				b.member.store.err = errDown
				b.net.SetDown("lead:1", true)
				So(b.member.follower.Step(ctx), ShouldNotBeNil)
				So(b.member.pool.Pick(pool.Query{Service: "models"}), ShouldBeNil)
				b.net.SetDown("lead:1", false)
				b.at = b.at.Add(800 * time.Millisecond)
				b.lead.store.update = follow.Update{At: 15, OperatorAt: 15, Events: 1, Evacuations: []evacuation.Order{{Zone: "a", Revision: 15}}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.pool.Pick(pool.Query{Service: "models"}), ShouldNotBeNil)
			})
		})

		Convey("asks the store where the leader has not heard it lately", func() {
			b.lead.store.err = errDown
			b.at = b.at.Add(mostAge + time.Millisecond)
			So(b.lead.follower.Step(ctx), ShouldNotBeNil)
			b.member.store.update = follow.Update{Config: config(4), ConfigAt: 8, At: 10, Events: 1}
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.store.calls, ShouldEqual, 1)
			So(b.member.follower.Table().Version(), ShouldEqual, 4)
		})

		Convey("leaves the store alone for a while where the leader does not hear it either and it did not answer here", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			b.at = b.at.Add(mostAge + time.Millisecond)
			b.member.store.err = errDown
			So(b.member.follower.Step(ctx), ShouldNotBeNil)
			So(b.member.store.calls, ShouldEqual, 1)
			So(b.member.follower.Step(ctx), ShouldNotBeNil)
			So(b.member.store.calls, ShouldEqual, 1)

			Convey("but hears at once of a leader that hears it again", func() {
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.store.calls, ShouldEqual, 1)
			})

			Convey("and tries again later, or when the leader cannot be reached", func() {
				b.at = b.at.Add(restFirst)
				So(b.member.follower.Step(ctx), ShouldNotBeNil)
				So(b.member.store.calls, ShouldEqual, 2)
				b.net.SetDown("lead:1", true)
				So(b.member.follower.Step(ctx), ShouldNotBeNil)
				So(b.member.store.calls, ShouldEqual, 3)
			})
		})

		Convey("asks the store where the leader cannot be reached, and goes on from there at the leader", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			b.net.SetDown("lead:1", true)
			b.member.store.update = follow.Update{At: 30, ConfigAt: 7, Events: 1, Removed: []string{"e-1"}}
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.pool.Len(), ShouldEqual, 1)
			b.net.SetDown("lead:1", false)
			b.at = b.at.Add(800 * time.Millisecond)
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.store.calls, ShouldEqual, 1)
			So(b.member.pool.Len(), ShouldEqual, 1)
		})

		// A list that the leader had followed less far than this instance took an endpoint for ready again that was known to drain, and one that was
		// gone for there. What this instance had followed already was not told to it again.
		Convey("takes no list from the leader that is older than what it knows: it asks the store, and without it keeps what it knows", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			b.net.SetDown("lead:1", true)
			draining := endpoint("e-1")
			draining.Draining = true
			b.member.store.update = follow.Update{At: 30, ConfigAt: 7, Events: 2, Endpoints: []pool.Endpoint{draining}, Removed: []string{"e-2"}}
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.pool.Len(), ShouldEqual, 0)
			b.member.store.err = errDown
			So(b.member.follower.Step(ctx), ShouldNotBeNil)
			So(b.member.follower.Step(ctx), ShouldNotBeNil)
			b.net.SetDown("lead:1", false)
			b.at = b.at.Add(800 * time.Millisecond)
			calls := b.member.store.calls
			So(b.member.follower.Step(ctx), ShouldNotBeNil) // everything is read after some calls that failed
			So(b.member.store.calls, ShouldEqual, calls+1)
			So(b.member.pool.Len(), ShouldEqual, 0)

			Convey("until the store tells, or the leader knows as much", func() {
				b.lead.store.update = follow.Update{At: 31, ConfigAt: 7, Events: 3, Endpoints: []pool.Endpoint{draining, endpoint("e-3")}, Removed: []string{"e-2"}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.pool.Len(), ShouldEqual, 1)
			})
		})

		Convey("reads everything from the store, in the same step, where what has changed there does not arrive whole in time", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			b.net.SetDown("lead:1", true)
			b.member.store.changesErr = external.ErrSlowResponse
			b.member.store.update = follow.Update{Config: config(9), ConfigAt: 40, At: 40, Events: 1}
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.store.calls, ShouldEqual, 2)
			So(b.member.follower.Table().Version(), ShouldEqual, 9)
		})

		Convey("is told everything when it has missed too much", func() {
			So(b.member.follower.Step(ctx), ShouldBeNil)
			for i := range 100 {
				e := endpoint("e-1")
				e.Draining = i%2 == 0
				b.lead.store.update = follow.Update{At: int64(20 + i), ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{e}}
				So(b.lead.follower.Step(ctx), ShouldBeNil)
			}
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.pool.Len(), ShouldEqual, 2)
		})
	})

	Convey("An instance that starts together with its leader waits for it, and does not read the store itself", t, func() {
		b := newBed(ctx)
		b.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		started := make(chan error, 1)
		go func() {
			time.Sleep(2 * startAgain)
			started <- b.lead.follower.Step(ctx)
		}()
		So(b.member.follower.Step(ctx), ShouldBeNil)
		So(<-started, ShouldBeNil)
		So(b.member.store.calls, ShouldEqual, 0)
		So(b.member.follower.Table().Version(), ShouldEqual, 3)
	})

	Convey("A zone's leader asks the leader of the first zone, and the store where that one has not heard it lately", t, func() {
		b := newBed(ctx, "a", "b")
		b.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		So(b.lead.follower.Step(ctx), ShouldBeNil)
		So(b.member.follower.Step(ctx), ShouldBeNil)
		So(b.member.store.calls, ShouldEqual, 0)
		So(b.member.follower.Table().Version(), ShouldEqual, 3)
		b.at = b.at.Add(fleetAge + time.Millisecond)
		b.member.store.update = follow.Update{Config: config(4), ConfigAt: 8, At: 10, Events: 1}
		So(b.member.follower.Step(ctx), ShouldBeNil)
		So(b.member.store.calls, ShouldEqual, 1)
		So(b.member.follower.Table().Version(), ShouldEqual, 4)
	})

	Convey("A list of all endpoints is packed once for many who ask, and what has changed since is told next", t, func() {
		b := newBed(ctx)
		b.lead.store.update = follow.Update{Config: config(3), ConfigAt: 7, At: 9, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-1")}}
		So(b.lead.follower.Step(ctx), ShouldBeNil)
		s := &server{follower: b.lead.follower, epochs: external.NewEpochs()}
		first, err := s.tell(ctx, mesh.Peer{}, question{})
		So(err, ShouldBeNil)
		b.lead.store.update = follow.Update{At: 12, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-2")}}
		So(b.lead.follower.Step(ctx), ShouldBeNil)
		second, err := s.tell(ctx, mesh.Peer{}, question{})
		So(err, ShouldBeNil)
		So(&second.All[0], ShouldEqual, &first.All[0])
		So(second.At, ShouldEqual, 9)
		next, err := s.tell(ctx, mesh.Peer{}, question{At: second.At, ConfigAt: second.ConfigAt})
		So(err, ShouldBeNil)
		So(next.Whole, ShouldBeFalse)
		So(next.Endpoints, ShouldResemble, []pool.Endpoint{endpoint("e-2")})

		Convey("but nothing is sent once it is too old to be taken", func() {
			b.at = b.at.Add(mostAge + time.Millisecond)
			old, err := s.tell(ctx, mesh.Peer{}, question{})
			So(err, ShouldBeNil)
			So(old, ShouldResemble, news{Known: true, AgeMs: (mostAge + time.Millisecond).Milliseconds()})
		})

		Convey("but not for one that knows more than the list says", func() {
			b.lead.store.update = follow.Update{At: 20, ConfigAt: 7, Events: 1, Endpoints: []pool.Endpoint{endpoint("e-3")}}
			So(b.lead.follower.Step(ctx), ShouldBeNil)
			_, at, err := s.packAll(follow.Update{At: 20, Endpoints: []pool.Endpoint{endpoint("e-3")}}, 12)
			So(err, ShouldBeNil)
			So(at, ShouldEqual, 20)
		})
	})

	Convey("A packed configuration that is torn is an error", t, func() {
		_, err := unpack[*route.Config]([]byte("torn"))
		So(err, ShouldNotBeNil)
	})
}

// in makes an update of an epoch of the store; its revisions are numbers.
func in(epoch int64, u follow.Update) follow.Update {
	u.At, u.ConfigAt, u.OperatorAt = external.Revision(epoch, u.At), external.Revision(epoch, u.ConfigAt), external.Revision(epoch, u.OperatorAt)
	return u
}

// read lets an instance's next step read the store in an epoch.
func (e *end) read(epoch int64, u follow.Update) {
	e.store.update = in(epoch, u)
	_ = e.epochs.Observe(epoch, u.At)
}

func TestFeedAfterRestoration(t *testing.T) {
	ctx := context.Background()
	Convey("An instance whose zone is led, and a store that is restored from a copy", t, func() {
		b := newBed(ctx)
		list := []pool.Endpoint{endpoint("e-1"), endpoint("e-2")}
		b.lead.read(1, follow.Update{Config: config(3), ConfigAt: 300, OperatorAt: 300, At: 367, Events: 2, Endpoints: list})
		So(b.lead.follower.Step(ctx), ShouldBeNil)
		So(b.member.follower.Step(ctx), ShouldBeNil)
		So(b.member.epochs.Current(), ShouldEqual, 1)
		So(b.member.store.calls, ShouldEqual, 0)

		Convey("is told what was written since, though its revisions are lower than those that were known", func() {
			b.lead.read(2, follow.Update{Config: config(4), ConfigAt: 290, OperatorAt: 290, At: 302, Events: 2, Endpoints: list})
			b.lead.store.changesErr = external.ErrHistoryGone
			So(b.lead.follower.Step(ctx), ShouldBeNil)
			So(b.member.follower.Step(ctx), ShouldBeNil)
			So(b.member.epochs.Current(), ShouldEqual, 2)
			So(b.member.follower.Table().Version(), ShouldEqual, 4)

			Convey("and then what changes", func() {
				leaving := endpoint("e-1")
				leaving.Draining = true
				b.lead.store.changesErr = nil
				b.lead.read(2, follow.Update{At: 303, Events: 1, Endpoints: []pool.Endpoint{leaving}})
				So(b.lead.follower.Step(ctx), ShouldBeNil)
				So(b.member.follower.Step(ctx), ShouldBeNil)
				So(b.member.store.calls, ShouldEqual, 0)
				lease := b.member.pool.Pick(pool.Query{Service: "models"})
				So(lease.Endpoint().ID, ShouldEqual, "e-2")
			})
		})

		Convey("tells its leader that the store was restored, and takes nothing from one that does not know", func() {
			So(b.member.epochs.Observe(2, 0), ShouldBeNil)
			b.member.store.err = errDown
			So(b.member.follower.Step(ctx), ShouldNotBeNil)
			So(b.lead.epochs.Current(), ShouldEqual, 2)
		})

		Convey("takes nothing from an instance that names no epoch", func() {
			So(b.member.epochs.Observe(2, 0), ShouldBeNil)
			So(b.member.source.epoch(&news{}), ShouldNotBeNil)
			n := news{}
			So(b.lead.source.epoch(&n), ShouldBeNil)
			So(n.Epoch, ShouldEqual, 1)
		})
	})
}
