package peers

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
)

const kindEcho mesh.Kind = "test.echo"

// fleet is some directories over one store and one network. The first has the largest machine.
type fleet struct {
	store *memkv.Store
	net   *meshtest.Net
	at    time.Time
	dirs  []*Directory
}

// newFleet makes n instances, assigned to the zones in turn. Without zones, all are in the same one.
func newFleet(n, large int, zones ...string) *fleet {
	if len(zones) == 0 {
		zones = []string{"a"}
	}
	f := &fleet{store: memkv.New(), net: meshtest.New(), at: time.Unix(1000, 0)}
	for i := range n {
		r := mesh.NewRouter()
		peer := mesh.Peer{ID: fmt.Sprintf("i-%d", i), Zone: zones[i%len(zones)], Addr: fmt.Sprintf("10.0.0.%d:1", i)}
		mesh.Handle(r, kindEcho, func(context.Context, mesh.Peer, string) (string, error) { return peer.ID, nil })
		d := New(f.store, "p/", Record{Peer: peer, Capacity: float64(n - i)}, r, WithLargeFleet(large),
			WithNow(func() time.Time { return f.at }), WithCaller(f.net.Join(peer, r)))
		f.dirs = append(f.dirs, d)
	}
	return f
}

// exchangeRecords makes each instance write its record and read those of the others.
func (f *fleet) exchangeRecords(ctx context.Context) {
	for _, d := range f.dirs {
		So(d.writeRecord(ctx), ShouldBeNil)
	}
	for _, d := range f.dirs {
		So(d.readRecords(ctx), ShouldBeNil)
		d.connect(ctx)
	}
}

func ids(peers []mesh.Peer) []string {
	out := make([]string, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

func TestDirectory(t *testing.T) {
	ctx := context.Background()

	Convey("In a small fleet each instance does its own work", t, func() {
		f := newFleet(3, 4)
		f.exchangeRecords(ctx)
		for _, d := range f.dirs {
			So(d.Large(), ShouldBeFalse)
			So(d.Leads(), ShouldBeTrue)
			So(d.LeadersUnreachable(), ShouldBeFalse)
			So(d.Size(), ShouldEqual, 3)
		}
	})

	Convey("In a large fleet", t, func() {
		f := newFleet(6, 4)
		f.exchangeRecords(ctx)
		last := f.dirs[5]

		Convey("the largest machines lead, and at most three are asked", func() {
			So(ids(last.Leaders()), ShouldResemble, []string{"i-0", "i-1", "i-2"})
			So(f.dirs[0].Leads(), ShouldBeTrue)
			So(f.dirs[0].LeadersUnreachable(), ShouldBeFalse)
			So(ids(f.dirs[1].Leaders()), ShouldResemble, []string{"i-0"})
			So(last.ZoneSize(), ShouldEqual, 6)
		})

		Convey("an unreachable instance is avoided, longer each time, and used again once it answers", func() {
			f.net.SetDown("10.0.0.0:1", true)
			first := last.Leaders()[0]
			_, err := Call[string, string](ctx, last, first, kindEcho, "")
			So(errors.Is(err, mesh.ErrUnreachable), ShouldBeTrue)
			So(ids(last.Leaders()), ShouldResemble, []string{"i-1", "i-2"})
			f.at = f.at.Add(last.times.FirstPause)
			So(ids(last.Leaders())[0], ShouldEqual, "i-0")
			_, _ = Call[string, string](ctx, last, first, kindEcho, "")
			f.at = f.at.Add(last.times.FirstPause)
			So(ids(last.Leaders())[0], ShouldEqual, "i-1")
			f.net.SetDown("10.0.0.0:1", false)
			f.at = f.at.Add(last.times.MaxPause)
			got, err := Call[string, string](ctx, last, first, kindEcho, "")
			So(err, ShouldBeNil)
			So(got, ShouldEqual, "i-0")
			So(last.suspects, ShouldBeEmpty)
		})

		Convey("an instance that can reach no leader does the work itself, and reports why", func() {
			f.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			for _, p := range last.Leaders() {
				_, _ = Call[string, string](ctx, last, p, kindEcho, "")
			}
			So(last.Leads(), ShouldBeTrue)
			So(last.LeadersUnreachable(), ShouldBeTrue)
		})

		Convey("an instance that has left is not asked any more", func() {
			So(f.dirs[0].Leave(ctx), ShouldBeNil)
			So(last.readRecords(ctx), ShouldBeNil)
			So(ids(last.Leaders())[0], ShouldEqual, "i-1")
			So(last.Size(), ShouldEqual, 5)
		})

		Convey("instances of other zones and records that cannot be decoded are skipped", func() {
			raw, _ := cbor.Marshal(Record{Peer: mesh.Peer{ID: "far", Zone: "b", Addr: "10.1.0.1:1"}, Capacity: 99})
			f.store.Put("p/peers/far", raw)
			f.store.Put("p/peers/torn", []byte("?"))
			So(last.readRecords(ctx), ShouldBeNil)
			So(last.Size(), ShouldEqual, 7)
			So(ids(last.Leaders())[0], ShouldEqual, "i-0")
		})
	})
}

func TestSettled(t *testing.T) {
	ctx := context.Background()
	Convey("An instance begins", t, func() {
		Convey("not before it has read the records", func() {
			f := newFleet(3, 9)
			d := f.dirs[0]
			d.startedAt = f.at
			So(d.Settled(), ShouldBeFalse)
			f.exchangeRecords(ctx)
			So(d.Settled(), ShouldBeTrue)
		})

		Convey("a little later if it finds no other instance, as others may be starting too", func() {
			f := newFleet(1, 9)
			d := f.dirs[0]
			d.startedAt = f.at
			f.exchangeRecords(ctx)
			So(d.Settled(), ShouldBeFalse)
			f.at = f.at.Add(d.times.Settle + 1)
			So(d.Settled(), ShouldBeTrue)
		})

		Convey("in a large fleet once it reaches a leader, or has tried for a few seconds", func() {
			f := newFleet(6, 4)
			last := f.dirs[5]
			for _, d := range f.dirs {
				d.startedAt = f.at
			}
			f.exchangeRecords(ctx)
			So(last.Settled(), ShouldBeTrue)
			f.net.SetCut(func(_, _ mesh.Peer) bool { return true })
			for _, p := range last.Leaders() {
				_, _ = Call[string, string](ctx, last, p, kindEcho, "")
			}
			So(last.Settled(), ShouldBeFalse)
			f.at = f.at.Add(maxSettleFactor*last.times.Settle + 1)
			So(last.Settled(), ShouldBeTrue)
		})
	})
}

// zonedFleet is two instances in each of some zones over one store. The first of each zone has the larger machine.
func zonedFleet(ctx context.Context, zones ...string) *fleet {
	f := newFleet(2*len(zones), len(zones))
	for i, d := range f.dirs {
		d.self.Peer.Zone = zones[i/2]
	}
	f.exchangeRecords(ctx)
	return f
}

func TestFleetLeaders(t *testing.T) {
	ctx := context.Background()
	Convey("In a large fleet of several zones", t, func() {
		f := zonedFleet(ctx, "a", "b", "c", "d")
		fleetLeaders := func(i int) []string { return ids(f.dirs[2*i].FleetLeaders()) }

		Convey("the leader of the first zone asks no one, and the others ask the leaders of zones before theirs, two at most", func() {
			So(fleetLeaders(0), ShouldBeEmpty)
			So(fleetLeaders(1), ShouldResemble, []string{"i-0"})
			So(fleetLeaders(3), ShouldResemble, []string{"i-0", "i-2"})
		})

		Convey("the next instance of a zone replaces an unreachable one, and the next zone replaces an unreachable zone", func() {
			last := f.dirs[6]
			reach := func() { _, _ = Call[string, string](ctx, last, last.FleetLeaders()[0], kindEcho, "") }
			f.net.SetDown("10.0.0.0:1", true)
			reach()
			So(fleetLeaders(3), ShouldResemble, []string{"i-1", "i-2"})
			f.net.SetDown("10.0.0.1:1", true)
			reach()
			So(fleetLeaders(3), ShouldResemble, []string{"i-2", "i-4"})
		})
	})

	Convey("In a small fleet there are none", t, func() {
		f := newFleet(3, 9)
		f.exchangeRecords(ctx)
		So(f.dirs[2].FleetLeaders(), ShouldBeEmpty)
	})
}

func TestDiscovered(t *testing.T) {
	ctx := context.Background()
	isDiscovered := func(d *Directory) bool {
		d.checkDiscovered()
		select {
		case <-d.Discovered():
			return true
		default:
			return false
		}
	}
	Convey("A fleet is discovered", t, func() {
		f := newFleet(6, 4)
		last := f.dirs[5]
		for _, d := range f.dirs {
			d.startedAt = f.at
		}
		So(isDiscovered(last), ShouldBeFalse)

		Convey("that is large, once the instance is linked to it", func() {
			So(last.writeRecord(ctx), ShouldBeNil)
			for _, d := range f.dirs {
				So(d.writeRecord(ctx), ShouldBeNil)
			}
			So(last.readRecords(ctx), ShouldBeNil)
			So(isDiscovered(last), ShouldBeFalse)
			last.connect(ctx)
			So(isDiscovered(last), ShouldBeFalse)
			f.at = f.at.Add(last.times.Settle) // more of its zone may be starting
			So(isDiscovered(last), ShouldBeTrue)
		})

		Convey("that is small and new, once others had time to start", func() {
			So(last.readRecords(ctx), ShouldBeNil)
			So(isDiscovered(last), ShouldBeFalse)
			f.at = f.at.Add(last.times.Settle)
			So(isDiscovered(last), ShouldBeTrue)
		})

		Convey("that is small and existed before, at once", func() {
			So(last.writeRecord(ctx), ShouldBeNil)
			last.self.Peer.Incarnation = "next"
			So(last.readRecords(ctx), ShouldBeNil)
			So(isDiscovered(last), ShouldBeTrue)
		})
	})
}

func TestLenders(t *testing.T) {
	ctx := context.Background()
	Convey("In a small fleet", t, func() {
		f := newFleet(3, 9)
		f.exchangeRecords(ctx)

		Convey("every instance holds its own tokens, and borrows from all others", func() {
			pooled, _ := f.dirs[0].Pool("north")
			So(pooled, ShouldBeFalse)
			So(f.dirs[0].Leads(), ShouldBeTrue)
			So(ids(f.dirs[0].Lenders("north")), ShouldHaveLength, 2)
			So(ids(f.dirs[0].Lenders("north")), ShouldNotContain, "i-0")
		})

		Convey("including those of other zones with several instances", func() {
			f := newFleet(8, 9, "a", "b")
			f.exchangeRecords(ctx)
			for _, d := range f.dirs {
				So(d.Lenders("north"), ShouldHaveLength, 7)
				So(d.Lenders("north")[0].Zone, ShouldEqual, d.self.Peer.Zone)
			}
		})

		Convey("an instance that could not be reached is not asked for a while", func() {
			f.net.SetDown("10.0.0.1:1", true)
			for _, p := range f.dirs[0].Lenders("north") {
				_, _ = Call[string, string](ctx, f.dirs[0], p, kindEcho, "")
			}
			So(ids(f.dirs[0].Lenders("north")), ShouldResemble, []string{"i-2"})
		})
	})

	Convey("In a large fleet", t, func() {
		f := newFleet(6, 4)
		f.exchangeRecords(ctx)

		Convey("two instances of a zone hold its pools, each for a part of the customers", func() {
			holders := make(map[string]int)
			for i := range 40 {
				customer := fmt.Sprintf("customer-%d", i)
				for _, d := range f.dirs {
					pooled, here := d.Pool(customer)
					So(pooled, ShouldBeTrue)
					if here {
						holders[d.self.Peer.ID]++
					}
				}
				So(f.dirs[5].Lenders(customer)[0].ID, ShouldBeIn, "i-0", "i-1")
			}
			So(holders, ShouldHaveLength, 2)
			So(holders["i-0"]+holders["i-1"], ShouldEqual, 40)
		})

		Convey("the pool is asked first, then the zone's other pool, then one instance of each other zone", func() {
			for _, zone := range []string{"b", "c"} {
				for i := range 2 {
					id := fmt.Sprintf("%s-%d", zone, i)
					raw, _ := cbor.Marshal(Record{Peer: mesh.Peer{ID: id, Zone: zone, Addr: id}})
					f.store.Put("p/peers/"+id, raw)
				}
			}
			last := f.dirs[5]
			So(last.readRecords(ctx), ShouldBeNil)
			got := last.Lenders("north")
			So(got, ShouldHaveLength, 4)
			So(last.SameZone(got[0]) && last.SameZone(got[1]), ShouldBeTrue)
			So(got[2].Zone, ShouldNotEqual, got[3].Zone)
		})
	})
}

func TestIdentity(t *testing.T) {
	Convey("Instances that need the fleet's authority at the same time create one, and trust each other", t, func() {
		ctx := context.Background()
		store := memkv.New()
		router := mesh.NewRouter()
		mesh.Handle(router, kindEcho, func(_ context.Context, from mesh.Peer, _ string) (string, error) { return from.ID, nil })
		transports := make([]*mesh.Transport, 0, 2)
		for _, id := range []string{"i-0", "i-1"} {
			self := mesh.Peer{ID: id, Zone: "a", Addr: "127.0.0.1:0"}
			d := New(store, "p/", Record{Peer: self}, router)
			cfg, err := d.identity(ctx)
			So(err, ShouldBeNil)
			transport, err := mesh.Listen(self, cfg, router)
			So(err, ShouldBeNil)
			defer func() { _ = transport.Close() }()
			transports = append(transports, transport)
		}
		got, err := mesh.Call[string, string](ctx, transports[1], transports[0].Self().Addr, kindEcho, "")
		So(err, ShouldBeNil)
		So(got, ShouldEqual, "i-1")

		Convey("and an authority that cannot be decoded is an error", func() {
			store.Put("p/"+authorityKey, []byte("?"))
			_, err := New(store, "p/", Record{}, router).identity(ctx)
			So(err, ShouldNotBeNil)
		})
	})
}

func TestOwns(t *testing.T) {
	Convey("All instances with the same records agree on the owners of a key", t, func() {
		ctx := context.Background()
		f := newFleet(6, 100)
		f.exchangeRecords(ctx)
		for i := range 20 {
			owners := 0
			for _, d := range f.dirs {
				if d.Owns(fmt.Sprint("endpoint-", i), 2) {
					owners++
				}
			}
			So(owners, ShouldEqual, 2)
		}
		So(f.dirs[0].Size(), ShouldEqual, 6)
	})

	Convey("A standalone instance owns all keys, and is discovered at once", t, func() {
		d := New(memkv.New(), "p/", Record{Peer: mesh.Peer{ID: "only"}}, mesh.NewRouter())
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- d.Run(ctx) }()
		<-d.Discovered()
		So(d.IsDiscovered(), ShouldBeTrue)
		So(d.Owns("endpoint", 1), ShouldBeTrue)
		cancel()
		So(<-ended, ShouldBeNil)
	})
}
