package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
	"github.com/ledgemount/ledgemount/internal/peers/peerstest"
)

// sharing is some instances of a fleet, two in each availability zone, that share what they see.
type sharing struct {
	ctx   context.Context //nolint:containedctx // of the test
	net   *meshtest.Net
	store *memkv.Store
	now   time.Time
	ends  int
	nodes []*Replicator
	peers []mesh.Peer
	fleet []peerstest.Instance
}

func newSharing(n, large int) *sharing {
	s := &sharing{ctx: context.Background(), net: meshtest.New(), store: memkv.New(), now: time.Unix(1_000_000, 0)}
	for i := range n {
		s.peers = append(s.peers, mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: string(rune('a' + i/2)), Addr: fmt.Sprintf("i-%d:1", i)})
	}
	var err error
	s.fleet, err = peerstest.Fleet(s.ctx, s.net, s.clock, large, s.peers)
	So(err, ShouldBeNil)
	for i := range s.fleet {
		s.nodes = append(s.nodes, nil)
		s.start(i)
	}
	return s
}

func (s *sharing) clock() time.Time { return s.now }

// start puts a process that knows nothing in the place of an instance.
func (s *sharing) start(i int) {
	var x *Replicator
	m := New(WithNow(s.clock), OnChange(func(c Change) {
		if c.Local {
			x.ScheduleSave()
		}
	}))
	x = NewReplicator(m, s.fleet[i].Dir, s.store, "fleet/", s.fleet[i].Router, WithWallClock(s.clock))
	s.nodes[i] = x
}

// end lets an endpoint end under the request at an instance.
func (s *sharing) end(i int) {
	s.ends++
	began := s.now
	s.now = s.now.Add(80 * time.Millisecond)
	s.nodes[i].memory.RecordCrash(crashing, "north", Crash{Run: fmt.Sprintf("e-%d", s.ends), Began: began, Ended: s.now})
	s.now = s.now.Add(time.Second)
}

// push does what an instance does when something has happened there.
func (s *sharing) push(i int) {
	s.nodes[i].push(s.ctx)
	s.nodes[i].save(s.ctx)
}

// exchange does what the exchange of loads does every so often: members with leaders, and leaders with each other.
func (s *sharing) exchange() {
	for i, x := range s.nodes {
		to := s.fleet[i].Dir.Coordinators()
		if len(to) == 0 {
			to = s.fleet[i].Dir.OtherZoneLeaders()
		}
		for _, p := range to {
			for j, q := range s.peers {
				if q.ID == p.ID {
					s.nodes[j].Receive(s.peers[i].ID, x.Payload(q.ID))
					x.Receive(q.ID, s.nodes[j].Payload(s.peers[i].ID))
				}
			}
		}
	}
}

// holds lists the instances that keep the request back.
func (s *sharing) holds() []int {
	var out []int
	for i, x := range s.nodes {
		if x.memory.Quarantined(crashing) {
			out = append(out, i)
		}
	}
	return out
}

func TestShare(t *testing.T) {
	Convey("Three ends, each seen by another instance", t, func() {
		Convey("make a small fleet keep the request back at once", func() {
			s := newSharing(4, 99)
			for i := range 3 {
				s.end(i)
				s.push(i)
			}
			So(s.holds(), ShouldResemble, []int{0, 1, 2, 3})

			Convey("also an instance that starts, by what others tell, and after it has told something itself", func() {
				s.start(3)
				s.nodes[3].memory.RecordCrash(Of("north", "GET", "h", "/", nil), "north", Crash{Run: "x", Began: s.now, Ended: s.now})
				s.exchange()
				s.push(3)
				s.exchange()
				So(s.holds(), ShouldResemble, []int{0, 1, 2, 3})
			})

			Convey("also when all have lost power, by the store", func() {
				for i := range s.nodes {
					s.start(i)
					s.nodes[i].load(s.ctx)
				}
				So(s.holds(), ShouldResemble, []int{0, 1, 2, 3})
			})

			Convey("until a run of it ends well anywhere", func() {
				s.nodes[2].memory.RecordSuccess(crashing)
				s.push(2)
				s.exchange()
				So(s.holds(), ShouldBeEmpty)
				for i := range s.nodes {
					s.start(i)
					s.nodes[i].load(s.ctx)
				}
				So(s.holds(), ShouldBeEmpty)
			})
		})

		Convey("are not told back to the instance that told them, unless it has started since", func() {
			s := newSharing(2, 99)
			s.exchange()
			s.end(0)
			s.push(0)
			n, _ := s.nodes[1].tell(s.peers[0].ID)
			So(n.Records, ShouldBeEmpty)
			s.nodes[1].receive(s.peers[0].ID, news{Hello: true})
			n, _ = s.nodes[1].tell(s.peers[0].ID)
			So(len(n.Records), ShouldEqual, 1)
		})

		Convey("make instances that are cut off from each other keep it back, by the store", func() {
			s := newSharing(4, 99)
			s.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			for i := range 3 {
				s.end(i)
				s.push(i)
			}
			for _, x := range s.nodes {
				x.load(s.ctx)
			}
			So(s.holds(), ShouldResemble, []int{0, 1, 2, 3})
		})

		Convey("make all zones of a large fleet keep it back after two exchanges", func() {
			s := newSharing(6, 2)
			for i, at := range []int{1, 3, 5} {
				s.end(at)
				s.push(at)
				_ = i
			}
			s.exchange()
			s.exchange()
			So(s.holds(), ShouldResemble, []int{0, 1, 2, 3, 4, 5})
			So(s.store.Calls(), ShouldBeLessThan, 20)
		})

		Convey("make leaders that are cut off from each other read the store", func() {
			s := newSharing(6, 2)
			s.net.SetCut(func(a, b mesh.Peer) bool { return a.Zone != b.Zone })
			for _, at := range []int{1, 3, 5} {
				s.end(at)
				s.push(at)
				s.push(at - 1)
			}
			for _, leader := range []int{0, 2, 4} {
				So(s.nodes[leader].isolated(), ShouldBeTrue)
				s.nodes[leader].load(s.ctx)
			}
			s.exchange()
			So(s.holds(), ShouldResemble, []int{0, 1, 2, 3, 4, 5})
		})

		Convey("are written later where the store was away", func() {
			s := newSharing(4, 99)
			s.store.SetDown(true)
			for i := range 3 {
				s.end(i)
				s.push(i)
			}
			s.store.SetDown(false)
			for _, x := range s.nodes {
				x.save(s.ctx)
			}
			s.start(0)
			s.nodes[0].load(s.ctx)
			So(s.nodes[0].memory.Quarantined(crashing), ShouldBeTrue)
		})
	})

	Convey("Ends that a restored store has lost are written again, by the leaders of a large fleet, and nothing where nothing is known", t, func() {
		for _, large := range []int{2, 99} {
			s := newSharing(4, large)
			restored := func() int64 {
				s.store.RestoreTo(0)
				for _, x := range s.nodes {
					x.restoredStore(external.Restoration{})
					x.saveRestored()
					x.save(s.ctx)
				}
				return s.store.Number()
			}
			So(restored(), ShouldEqual, 0)
			for i := range 3 {
				s.end(i)
				s.push(i)
			}
			s.exchange()
			s.exchange()
			So(restored(), ShouldBeGreaterThan, 0)
			s.start(0)
			s.nodes[0].load(s.ctx)
			So(s.nodes[0].memory.Quarantined(crashing), ShouldBeTrue)
		}
	})

	Convey("Where no endpoint has ended, nothing is told after the first words, and the store is not called", t, func() {
		s := newSharing(4, 99)
		s.exchange()
		s.exchange()
		for i, x := range s.nodes {
			for j, p := range s.peers {
				if i != j && s.fleet[i].Dir.Coordinators() != nil {
					raw := x.Payload(p.ID)
					So(len(raw), ShouldBeLessThan, 4)
				}
			}
			x.save(s.ctx)
		}
		So(s.store.Calls(), ShouldEqual, 0)
	})
}
