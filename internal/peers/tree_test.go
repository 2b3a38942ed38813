package peers

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/mesh/meshtest"
)

// countedStore counts the entries that are read from a store.
type countedStore struct {
	external.KV
	entries int
}

func (s *countedStore) ReadAll(ctx context.Context, prefix string) ([]external.Entry, int64, error) {
	entries, at, err := s.KV.ReadAll(ctx, prefix)
	s.entries += len(entries)
	return entries, at, err
}

// rankedZone returns n ranked records of one zone.
func rankedZone(n int) []Record {
	out := make([]Record, 0, n)
	for i := range n {
		out = append(out, Record{Peer: mesh.Peer{ID: fmt.Sprintf("i-%04d", i), Zone: "a"}})
	}
	return out
}

func TestParents(t *testing.T) {
	Convey("The children of each instance are bounded, whatever the size of its zone", t, func() {
		for _, n := range []int{1, 5, 30, maxPlainZone, maxPlainZone + 1, 100, 227, 400, 1000} {
			zone := rankedZone(n)
			children := make(map[string]int)
			for at := range zone {
				parents := parentsOf(zone, at)
				So(len(parents) == 0, ShouldEqual, at == 0)
				So(len(parents), ShouldBeLessThanOrEqualTo, 2+maxLeaders)
				if at > 0 {
					children[parents[0].Peer.ID]++
				}
			}
			for _, count := range children {
				So(count, ShouldBeLessThanOrEqualTo, max(relayFanOut, maxPlainZone-1))
			}
			So(children[zone[0].Peer.ID], ShouldEqual, map[bool]int{true: relayCount(n), false: n - 1}[relayCount(n) > 0])
		}
	})

	Convey("An instance whose relay is lost asks the next relay, then the leaders", t, func() {
		zone := rankedZone(200)
		parents := parentsOf(zone, 150)
		relays := relayCount(200)
		So(relays, ShouldEqual, 7)
		So(parents[0].Peer.ID, ShouldNotEqual, parents[1].Peer.ID)
		for _, p := range parents[:2] {
			So(p.Peer.ID, ShouldBeBetweenOrEqual, zone[1].Peer.ID, zone[relays].Peer.ID)
		}
		So(parents[2].Peer.ID, ShouldEqual, zone[0].Peer.ID)
	})
}

// largeZones is directories of zones with relays over one store.
type largeZones struct {
	at     time.Time
	stores []*countedStore
	dirs   []*Directory
}

func newLargeZones(zones, size int) *largeZones {
	f := &largeZones{at: time.Unix(1000, 0)}
	store, net := memkv.New(), meshtest.New()
	for i := range zones * size {
		zone := fmt.Sprint("zone-", i%zones)
		r := mesh.NewRouter()
		self := mesh.Peer{ID: fmt.Sprintf("i-%04d", i), Zone: zone, Addr: fmt.Sprintf("%d:1", i)}
		kv := &countedStore{KV: store}
		f.stores = append(f.stores, kv)
		f.dirs = append(f.dirs, New(kv, "p/", Record{Peer: self, Capacity: float64(zones*size - i)}, r,
			WithNow(func() time.Time { return f.at }), WithCaller(net.Join(self, r))))
	}
	for _, d := range f.dirs {
		d.startedAt = f.at
		if err := d.writeRecord(context.Background()); err != nil {
			panic(err)
		}
	}
	return f
}

// round makes each instance read the records that are due, and sends the list of instances down the trees.
func (f *largeZones) round(ctx context.Context) {
	for _, d := range f.dirs {
		d.updateRecords(ctx)
		d.connect(ctx)
	}
	for _, d := range f.dirs {
		if parents := d.Parents(); len(parents) > 0 {
			for _, p := range f.dirs {
				if p.self.Peer.ID == parents[0].ID {
					version, raw, err := p.List(d.ListVersion())
					So(err, ShouldBeNil)
					d.ApplyList(version, raw)
				}
			}
		}
	}
	f.at = f.at.Add(5 * time.Second)
}

func TestReadsOfRecords(t *testing.T) {
	ctx := context.Background()
	Convey("In a fleet whose zones have relays", t, func() {
		const zones, size = 3, 100
		f := newLargeZones(zones, size)
		f.round(ctx)
		for range 2 {
			f.round(ctx)
		}

		Convey("all instances know all others, in the same order", func() {
			for _, d := range f.dirs {
				So(d.Size(), ShouldEqual, zones*size)
				So(d.IsDiscovered() || !isClosed(d.Discovered()), ShouldBeTrue)
				_, n := d.Position()
				So(n, ShouldEqual, zones*size)
			}
		})

		Convey("only the leaders read records after the start", func() {
			for _, s := range f.stores {
				s.entries = 0
			}
			f.round(ctx)
			readers := 0
			for _, s := range f.stores {
				if s.entries > 0 {
					readers++
				}
			}
			So(readers, ShouldEqual, zones*maxLeaders)
		})

		Convey("an instance that hears of no parent reads the records of its zone only", func() {
			last := len(f.dirs) - 1
			f.stores[last].entries = 0
			f.at = f.at.Add(listLifetime)
			f.dirs[last].updateRecords(ctx)
			So(f.stores[last].entries, ShouldEqual, size)
			So(f.dirs[last].Size(), ShouldEqual, zones*size)
		})

		Convey("whole lists are read by those that rank first, and by the others later and later", func() {
			leader, relay, last := f.dirs[0], f.dirs[3], f.dirs[len(f.dirs)-1]
			So(leader.ReadsStore(0), ShouldBeTrue)
			So(relay.ReadsStore(0), ShouldBeFalse)
			So(relay.ReadsStore(2*leaderReadDelay), ShouldBeTrue)
			So(last.ReadsStore(maxLeaders*leaderReadDelay), ShouldBeFalse)
			So(last.ReadsStore(time.Minute), ShouldBeTrue)
		})

		Convey("a share of a resource is the same for all, and sums to one", func() {
			for _, d := range f.dirs {
				close(d.discovered)
				So(d.EvenShare(0), ShouldAlmostEqual, 1.0/(zones*size))
			}
			owners := 0
			for _, d := range f.dirs {
				if d.Owns("key", 2) {
					owners++
				}
			}
			So(owners, ShouldEqual, 2)
		})
	})

	Convey("An instance that knows only its zone has no share, and owns nothing that others may own", t, func() {
		f := newLargeZones(3, 100)
		last := f.dirs[len(f.dirs)-1]
		last.updateRecords(ctx)
		last.connect(ctx)
		close(last.discovered)
		So(last.ZoneSize(), ShouldEqual, 100)
		So(last.IsDiscovered(), ShouldBeFalse)
		So(last.EvenShare(0), ShouldEqual, 0)
	})

	Convey("An instance that starts reads its zone's records only, until others had time to start", t, func() {
		f := newLargeZones(4, 20)
		last := len(f.dirs) - 1
		f.dirs[last].updateRecords(ctx)
		So(f.stores[last].entries, ShouldEqual, 20)
		So(f.dirs[last].Settled(), ShouldBeFalse)
		So(f.dirs[last].ReadsStore(time.Minute), ShouldBeFalse)
		f.at = f.at.Add(f.dirs[last].times.Settle)
		f.dirs[last].updateRecords(ctx)
		So(f.dirs[last].Size(), ShouldEqual, 80)
	})
}

// TestStart counts the entries that the instances read if none has a record when they first read.
func TestStart(t *testing.T) {
	ctx := context.Background()
	Convey("Instances of zones with relays that start at once do not all read the records of all zones", t, func() {
		const zones, size = 3, 100
		f := newLargeZones(zones, size)
		for _, d := range f.dirs {
			d.setRecords(map[string]Record{d.self.Peer.ID: d.self}, false) // as after a read of an empty store
		}
		f.at = f.at.Add(f.dirs[0].times.Settle)
		for _, d := range f.dirs {
			d.updateRecords(ctx)
		}
		whole := 0
		for _, s := range f.stores {
			So(s.entries, ShouldBeLessThanOrEqualTo, size+zones*size)
			if s.entries > size {
				whole++
			}
		}
		So(whole, ShouldEqual, zones*maxLeaders)
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func mustEncode(r Record) []byte {
	raw, err := cbor.Marshal(r)
	So(err, ShouldBeNil)
	return raw
}

func TestList(t *testing.T) {
	Convey("A list of instances", t, func() {
		ctx := context.Background()
		f := newFleet(3, 2)
		f.exchangeRecords(ctx)
		leader := f.dirs[0]
		version, raw, err := leader.List(0)
		So(err, ShouldBeNil)

		Convey("is sent once to those that have it", func() {
			_, again, err := leader.List(version)
			So(err, ShouldBeNil)
			So(again, ShouldBeNil)
		})

		Convey("is encoded again after a change, but not for each of many", func() {
			f.store.Put("p/peers/a/i-9", mustEncode(Record{Peer: mesh.Peer{ID: "i-9", Zone: "a"}}))
			So(leader.readRecords(ctx), ShouldBeNil)
			_, soon, err := leader.List(version)
			So(err, ShouldBeNil)
			So(soon, ShouldBeNil)
			f.at = f.at.Add(listInterval)
			next, later, err := leader.List(version)
			So(err, ShouldBeNil)
			So(next, ShouldNotEqual, version)
			So(later, ShouldNotBeNil)
		})

		Convey("that cannot be decoded changes nothing", func() {
			f.dirs[1].ApplyList(7, raw[:len(raw)/2])
			So(f.dirs[1].Size(), ShouldEqual, 3)
			So(f.dirs[1].ListVersion(), ShouldEqual, 0)
		})
	})
}
