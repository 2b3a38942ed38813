package continuity

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/external/memkv"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/peers"
	"github.com/ledgemount/ledgemount/internal/pool"
)

const (
	service      = "models"
	testLifetime = 30 * time.Second
)

// testTracker is a Tracker with a clock and a list of endpoints.
type testTracker struct {
	*Tracker
	now     time.Time
	contact time.Time
	pool    *pool.Pool
}

func newTestTracker(opts ...Option) *testTracker {
	x := &testTracker{now: time.Unix(1000, 0)}
	x.contact = x.now
	x.pool = pool.New("a", pool.WithNow(func() time.Time { return x.now }))
	x.Tracker = New(x.pool, append([]Option{
		WithNow(func() time.Time { return x.now }), WithLastContact(func() time.Time { return x.contact }),
		WithLifetime(func() time.Duration { return testLifetime }),
	}, opts...)...)
	return x
}

// list adds an endpoint with a software version.
func (x *testTracker) list(id, software string) {
	x.pool.Put(pool.Endpoint{ID: id, Service: service, Zone: "a", Slots: 1, Software: software})
}

// pass lets time pass. The list of endpoints is current if connected is set.
func (x *testTracker) pass(d time.Duration, connected bool) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(pollInterval)
		if connected {
			x.contact = x.now
		}
		x.Observe()
	}
}

func (x *testTracker) sole() string {
	software, _ := x.Sole(service)
	return software
}

func TestSole(t *testing.T) {
	Convey("A service has a sole software version", t, func() {
		x := newTestTracker()
		x.list("e-1", "v1")

		Convey("once its endpoints have been observed for the lifetime of a stream", func() {
			x.pass(testLifetime-time.Second, true)
			So(x.sole(), ShouldBeEmpty)
			x.pass(2*time.Second, true)
			So(x.sole(), ShouldEqual, "v1")
		})

		Convey("not while a stream of a version may last whose last endpoint has gone", func() {
			x.list("e-2", "v2")
			x.pass(testLifetime+time.Second, true)
			So(x.sole(), ShouldBeEmpty)
			x.pool.Remove("e-1")
			x.pass(testLifetime-time.Second, true)
			So(x.sole(), ShouldBeEmpty)
			x.pass(2*time.Second, true)
			So(x.sole(), ShouldEqual, "v2")
		})

		Convey("not if a version is unknown", func() {
			x.list("e-2", "")
			x.pass(testLifetime+time.Second, true)
			So(x.sole(), ShouldBeEmpty)
			x.pool.Remove("e-1")
			x.pass(2*testLifetime, true)
			So(x.sole(), ShouldBeEmpty)
		})

		Convey("not while the list of endpoints may be outdated, nor for the lifetime of a stream afterwards", func() {
			x.pass(testLifetime+time.Second, true)
			x.pass(maxContactAge+time.Second, false)
			So(x.sole(), ShouldBeEmpty)
			x.pass(testLifetime-time.Second, true)
			So(x.sole(), ShouldBeEmpty)
			x.pass(2*time.Second, true)
			So(x.sole(), ShouldEqual, "v1")
		})

		Convey("not after a gap that ended between two observations", func() {
			x.pass(testLifetime+time.Second, true)
			x.now = x.now.Add(maxContactAge + time.Second)
			x.contact = x.now
			x.Observe()
			So(x.sole(), ShouldBeEmpty)
		})
	})

	Convey("When the fleet starts for the first time, the version is the sole one at once", t, func() {
		x := newTestTracker(WithFirstStart())
		x.contact = time.Time{}
		x.Observe()
		x.list("e-1", "v1")
		x.pass(time.Second, true)
		So(x.sole(), ShouldEqual, "v1")

		Convey("also if the list of endpoints is late at first, but not after a gap later on", func() {
			x.pass(maxContactAge+time.Second, false)
			x.pass(time.Second, true)
			So(x.sole(), ShouldEqual, "v1")
			x.pass(startGrace, true)
			x.pass(maxContactAge+time.Second, false)
			x.pass(time.Second, true)
			So(x.sole(), ShouldBeEmpty)
		})
	})

	Convey("An instance that starts in a running fleet adopts the history of another one", t, func() {
		old, x := newTestTracker(), newTestTracker()
		old.list("e-0", "v0")
		old.list("e-1", "v1")
		x.list("e-1", "v1")
		x.pass(time.Second, true)
		Convey("but not of one that has started itself", func() {
			old.pass(time.Second, true)
			x.adopt(old.history())
			So(x.sole(), ShouldBeEmpty)
			So(x.ObservedForLifetime(), ShouldBeFalse)
		})
		Convey("nor of one whose list may be outdated", func() {
			old.pass(testLifetime+time.Second, true)
			old.pass(maxContactAge+time.Second, false)
			So(old.history().Observed, ShouldBeFalse)
		})
		Convey("with the versions that have gone", func() {
			old.pass(testLifetime+time.Second, true)
			old.pool.Remove("e-0")
			old.pass(time.Second, true)
			x.adopt(old.history())
			So(x.ObservedForLifetime(), ShouldBeTrue)
			So(x.sole(), ShouldBeEmpty)
			x.pass(testLifetime+time.Second, true)
			So(x.sole(), ShouldEqual, "v1")
		})
	})
}

func TestOrigins(t *testing.T) {
	Convey("A tracker", t, func() {
		x := newTestTracker(WithFirstStart())
		x.list("e-1", "v1")
		x.pass(time.Second, true)
		key := KeyOf("north", "r-1")

		Convey("keeps the first origin of a stream for its lifetime", func() {
			x.Begin(service, key, "v1")
			x.Put(key, Origin{Service: service, Software: "v2", Began: x.now})
			o, ok := x.Origin(key)
			So(ok, ShouldBeTrue)
			So(o.Software, ShouldEqual, "v1")
			x.pass(testLifetime+time.Second, true)
			_, ok = x.Origin(key)
			So(ok, ShouldBeFalse)
		})

		Convey("records no unknown version", func() {
			So(x.Begin(service, key, ""), ShouldBeFalse)
			_, ok := x.Origin(key)
			So(ok, ShouldBeFalse)
		})

		Convey("does not confuse customers", func() {
			So(KeyOf("north", "r-1"), ShouldNotResemble, KeyOf("south", "r-1"))
			So(KeyOf("a", "br-1"), ShouldNotResemble, KeyOf("ab", "r-1"))
		})

		Convey("gives out origins only once there may be several versions, also those of earlier streams", func() {
			So(x.Begin(service, key, "v1"), ShouldBeFalse)
			So(x.takeUnsent(), ShouldBeEmpty)
			x.list("e-2", "v2")
			So(len(x.takeUnsent()), ShouldEqual, 1)
			So(x.takeUnsent(), ShouldBeEmpty)
			So(x.Begin(service, KeyOf("north", "r-2"), "v2"), ShouldBeTrue)
			So(len(x.takeUnsent()), ShouldEqual, 1)
		})

		Convey("does not give out the origin of a complete stream, but keeps it", func() {
			x.Begin(service, key, "v1")
			x.End(key)
			x.list("e-2", "v2")
			So(x.due(), ShouldBeFalse)
			So(x.takeUnsent(), ShouldBeEmpty)
			_, ok := x.Origin(key)
			So(ok, ShouldBeTrue)
			x.Begin(service, KeyOf("north", "r-3"), "v1")
			So(x.due(), ShouldBeTrue)
			x.pass(testLifetime+time.Second, true)
			So(x.due(), ShouldBeFalse)
			So(x.unsent, ShouldBeEmpty)
		})

		Convey("forgets the oldest if there are too many", func() {
			for i := range maxOrigins + 100 {
				x.Begin(service, KeyOf("north", fmt.Sprint(i)), "v1")
			}
			So(len(x.origins), ShouldEqual, maxOrigins)
			So(len(x.unsent), ShouldEqual, maxUnsent)
			_, ok := x.Origin(KeyOf("north", "0"))
			So(ok, ShouldBeFalse)
			So(len(x.takeUnsent()), ShouldEqual, 0)
			_, ok = x.Origin(KeyOf("north", fmt.Sprint(maxOrigins)))
			So(ok, ShouldBeTrue)
		})
	})
}

func TestLifetimeFor(t *testing.T) {
	Convey("A stream may be taken up for a multiple of its route's time limit", t, func() {
		So(LifetimeFor(nil), ShouldEqual, minLifetime)
		So(LifetimeFor([]time.Duration{time.Second, 20 * time.Second}), ShouldEqual, 40*time.Second)
		So(LifetimeFor([]time.Duration{time.Second, 0}), ShouldEqual, maxLifetime)
		So(LifetimeFor([]time.Duration{time.Hour}), ShouldEqual, maxLifetime)
	})
}

func TestDecide(t *testing.T) {
	Convey("The replies of other instances", t, func() {
		found, sole, other, nothing := lookupReply{Software: "v1", Service: service, AgeMs: 7}, lookupReply{Sole: "v1"}, lookupReply{Sole: "v2"}, lookupReply{}
		Convey("name the origin, whatever else they say", func() {
			res := decide([]lookupReply{other, nothing, found, sole})
			So(res, ShouldResemble, Resolution{Service: service, Software: "v1", Source: SourcePeer, Age: 7 * time.Millisecond})
		})
		Convey("name the sole version if none contradicts", func() {
			So(decide([]lookupReply{nothing, sole, sole}), ShouldResemble, Resolution{Software: "v1", Source: SourceSole})
			So(decide([]lookupReply{sole, other}), ShouldResemble, Resolution{Source: SourceUnknown})
		})
		Convey("or nothing", func() {
			So(decide([]lookupReply{nothing}), ShouldResemble, Resolution{Source: SourceUnknown})
			So(decide(nil), ShouldResemble, Resolution{Source: SourceUnknown})
		})
	})
}

// FuzzMessages looks for messages of other instances that crash the process, or are accepted although they are invalid.
func FuzzMessages(f *testing.F) {
	key := KeyOf("north", "r-1")
	for _, v := range []any{
		originsMessage{Origins: []sentOrigin{{Key: key[:], Service: service, Software: "v1", AgeMs: 3}}},
		lookupRequest{Key: key[:], Service: service},
		historyReply{Observed: true, Versions: []seenVersion{{Service: service, Software: "v1"}}},
	} {
		if raw, err := cbor.Marshal(v); err == nil {
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		x := newTestTracker()
		router := mesh.NewRouter()
		store := memkv.New()
		archive := NewArchive(store, "p/", "i-0", time.Now)
		r := NewReplicator(x.Tracker, peers.New(store, "p/", peers.Record{}, router), archive, router, zerolog.Nop())
		for _, key := range []string{"p/" + historyKey, "p/" + originsPrefix + "i-1"} {
			r.Observe(external.Entry{Key: key, Data: raw})
		}
		for _, kind := range []mesh.Kind{KindOrigins, KindLookup, KindHistory} {
			_, _ = router.Dispatch(t.Context(), mesh.Peer{ID: "i-1"}, kind, raw)
		}
		var h historyReply
		if cbor.Unmarshal(raw, &h) == nil {
			x.adopt(h)
		}
		for _, o := range x.origins {
			if o.Software == "" || len(o.Software) > maxNameLen || o.Began.After(x.now) {
				t.Fatalf("origin %+v", o)
			}
		}
	})
}
