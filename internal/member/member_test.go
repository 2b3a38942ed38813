package member

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/standin/clock"
)

// fakeList is an instance list that tests set. Its reads fail while insts is nil.
type fakeList struct{ insts []external.Instance }

func (l *fakeList) Instances(context.Context) ([]external.Instance, error) {
	if l.insts == nil {
		return nil, errors.New("the list is unavailable")
	}
	return l.insts, nil
}

func TestView(t *testing.T) {
	ctx := context.Background()
	Convey("Given two listed instances of a zone", t, func() {
		c, l, net := clock.New(), &fakeList{}, meshtest.New()
		l.insts = []external.Instance{{ID: "a", Zone: "z", Addr: "a", State: external.StateLive}, {ID: "b", Zone: "z", Addr: "b", State: external.StateLive}}
		join := func(id, inc string) *View {
			p := mesh.Peer{ID: id, Zone: "z", Addr: id, Incarnation: inc}
			r := mesh.NewRouter()
			return New(p, l, net.Join(p, r), r, WithClock(c.Now), WithIntervals(time.Second, time.Second))
		}
		a, b := join("a", "1"), join("b", "1")
		a.refresh(ctx)
		Convey("a listed peer counts only after its first heartbeat", func() {
			So(len(a.Zone()), ShouldEqual, 1)
			a.beatAll(ctx)
			So(len(a.Zone()), ShouldEqual, 2)
			So(a.Alive(b.self.IncarnationID()), ShouldBeTrue)
		})
		Convey("a silent peer is not alive, but is lost only when it is removed from the list too", func() {
			a.beatAll(ctx)
			net.SetDown("b", true)
			c.Advance(10 * time.Second)
			So(a.Alive(b.self.IncarnationID()), ShouldBeFalse)
			So(a.Lost(b.self.IncarnationID()), ShouldBeFalse)
			l.insts = l.insts[:1]
			a.refresh(ctx)
			So(a.Lost(b.self.IncarnationID()), ShouldBeTrue)
		})
		Convey("a list that cannot be read changes nothing", func() {
			a.beatAll(ctx)
			l.insts = nil
			a.refresh(ctx)
			So(len(a.Fleet()), ShouldEqual, 2)
		})
		Convey("a restarted process is a different one: the former one is lost", func() {
			a.beatAll(ctx)
			join("b", "2")
			a.beatAll(ctx)
			So(a.Lost("b~1"), ShouldBeTrue)
			So(a.Alive("b~2"), ShouldBeTrue)
		})
		Convey("a leaving instance is alive, but not in its zone's list", func() {
			b.Leave()
			a.beatAll(ctx)
			So(a.Alive(b.self.IncarnationID()), ShouldBeTrue)
			So(len(a.Zone()), ShouldEqual, 1)
		})
	})
	Convey("Rendezvous hashing moves only the keys of the peer that is removed", t, func() {
		peers := []mesh.Peer{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		for _, key := range []string{"k1", "k2", "k3", "k4", "k5", "k6"} {
			before, _ := Top(key, peers, "")
			after, _ := Top(key, peers[:2], "")
			if before.ID != "c" {
				So(after.ID, ShouldEqual, before.ID)
			}
		}
	})
}
