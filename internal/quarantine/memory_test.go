package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// bed is a memory with a clock of the test's own.
type bed struct {
	*Tracker
	now     time.Time
	changes []Change
	probes  bool
}

func newBed() *bed {
	b := &bed{now: time.Unix(1_000_000, 0)}
	b.Tracker = New(WithNow(func() time.Time { return b.now }), OnChange(func(c Change) { b.changes = append(b.changes, c) }),
		WithProber(func(Digest) bool { return b.probes }))
	return b
}

var crashing = Of("north", "POST", "api.example", "/draft/x", []byte("crashes"))

// end lets a run of the crashing request end its endpoint: it begins now, and ends after a while.
func (b *bed) end(endpoint string, events bool) {
	began := b.now
	b.now = b.now.Add(80 * time.Millisecond)
	b.RecordCrash(crashing, "north", Crash{Run: endpoint, Began: began, Ended: b.now, Streamed: events})
	b.now = b.now.Add(300 * time.Millisecond)
}

func (b *bed) enter() Decision {
	d, _ := b.Enter(crashing)
	if d == Run {
		b.Leave(crashing)
	}
	return d
}

func TestDigest(t *testing.T) {
	Convey("Requests are the same by caller, method, host, path and query, and body, and by nothing else", t, func() {
		seen := map[Digest]string{}
		for _, c := range []string{"north", "south"} {
			for _, target := range []string{"/draft/x", "/draft/x?a=1", "/draft/y"} {
				for _, body := range []string{"", "crashes", "crashes2"} {
					p := Of(c, "POST", "api.example", target, []byte(body))
					So(seen[p], ShouldBeEmpty)
					seen[p] = c + target + body
				}
			}
		}
		So(Of("ab", "POST", "c", "/", nil), ShouldNotEqual, Of("a", "POST", "bc", "/", nil))
		So(Of("north", "POST", "api.example", "/draft/x", []byte("crashes")), ShouldEqual, crashing)
	})
}

func TestMemory(t *testing.T) {
	Convey("A memory of runs that their endpoints did not outlive", t, func() {
		b := newBed()

		Convey("knows nobody at first", func() {
			So(b.Suspects("north"), ShouldBeFalse)
			So(b.enter(), ShouldEqual, Run)
		})

		Convey("keeps a request back from the third end in a row on, and no other", func() {
			for i := range 2 {
				b.end(fmt.Sprintf("e-%d", i), false)
				So(b.enter(), ShouldEqual, Run)
			}
			b.end("e-2", false)
			So(b.enter(), ShouldEqual, Refuse)
			So(b.Quarantined(crashing), ShouldBeTrue)
			So(b.Suspects("north"), ShouldBeTrue)
			So(b.Suspects("south"), ShouldBeFalse)
			d, _ := b.Enter(Of("north", "POST", "api.example", "/draft/x", []byte("fine")))
			So(d, ShouldEqual, Run)
			So(len(b.changes), ShouldEqual, 1)
			So(b.changes[0].Quarantined && b.changes[0].Local && len(b.changes[0].Crashes) == 3, ShouldBeTrue)
		})

		Convey("counts an end that several saw once, and the next end of an endpoint that was back under the same name", func() {
			b.end("e-0", false)
			b.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: b.now.Add(-400 * time.Millisecond), Ended: b.now.Add(-250 * time.Millisecond)})
			b.end("e-1", false)
			So(b.enter(), ShouldEqual, Run)
			b.now = b.now.Add(2 * time.Second)
			b.end("e-0", false)
			So(b.enter(), ShouldEqual, Refuse)
		})

		Convey("does not blame a request that many send at once for endpoints that all end at the same moment", func() {
			began := b.now
			b.now = b.now.Add(100 * time.Millisecond)
			for i := range 12 {
				b.RecordCrash(crashing, "north", Crash{Run: fmt.Sprintf("e-%d", i), Began: began, Ended: b.now})
			}
			So(b.enter(), ShouldEqual, Run)
		})

		Convey("keeps a request back after six ends where each run had passed events on: a request may end its endpoint late", func() {
			for i := range 5 {
				b.end(fmt.Sprintf("e-%d", i), true)
				So(b.enter(), ShouldEqual, Run)
			}
			b.end("e-5", true)
			So(b.enter(), ShouldEqual, Refuse)
		})

		Convey("lets a request run once at a time, and only its caller send it again, after two ends", func() {
			b.end("e-0", false)
			So(b.NoRetry(crashing), ShouldBeFalse)
			b.end("e-1", false)
			So(b.NoRetry(crashing), ShouldBeTrue)
			d, _ := b.Enter(crashing)
			So(d, ShouldEqual, Run)
			So(b.enter(), ShouldEqual, Wait)
			b.Leave(crashing)
			So(b.enter(), ShouldEqual, Run)
		})

		Convey("clears a request by a run that ends well, also one that is kept back", func() {
			for i := range 3 {
				b.end(fmt.Sprintf("e-%d", i), false)
			}
			b.RecordSuccess(crashing)
			So(b.enter(), ShouldEqual, Run)
			So(b.Suspects("north"), ShouldBeFalse)
			So(b.changes[1].Quarantined, ShouldBeFalse)
			b.end("e-9", false)
			So(b.enter(), ShouldEqual, Run)
		})

		Convey("tries a request again once after its life, at one instance, and then keeps it back for longer", func() {
			for i := range 3 {
				b.end(fmt.Sprintf("e-%d", i), false)
			}
			b.now = b.now.Add(DefaultDuration + time.Second)
			So(b.enter(), ShouldEqual, Refuse)
			b.probes = true
			d, _ := b.Enter(crashing)
			So(d, ShouldEqual, Run)
			So(b.enter(), ShouldEqual, Refuse) // one is under way
			b.end("e-3", false)
			b.Leave(crashing)
			So(b.enter(), ShouldEqual, Refuse)
			b.now = b.now.Add(DefaultDuration + time.Second)
			So(b.enter(), ShouldEqual, Refuse)
			b.now = b.now.Add(DefaultDuration)
			So(b.enter(), ShouldEqual, Run)
		})

		Convey("is bounded, also against a customer with thousands of different requests, and keeps what is kept back", func() {
			for i := range 3 {
				b.end(fmt.Sprintf("e-%d", i), false)
			}
			for i := range 3 * mostRecords {
				customer := []string{"north", "south"}[i%2]
				b.RecordCrash(Of(customer, "POST", "h", fmt.Sprintf("/%d", i), nil), customer, Crash{Run: fmt.Sprintf("x-%d", i), Began: b.now, Ended: b.now})
			}
			So(b.customers["north"], ShouldBeLessThanOrEqualTo, mostCustomer)
			So(len(b.records), ShouldBeLessThanOrEqualTo, mostRecords)
			So(b.enter(), ShouldEqual, Refuse)
		})
	})
}

// Whatever is told late, doubled or out of order, all memories that have heard the same hold the same.
func TestToldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members = 3
		now := time.Unix(1_000_000, 0)
		var list [members]*Tracker
		for i := range list {
			list[i] = New(WithNow(func() time.Time { return now }))
		}
		var sent []report
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			m := list[rapid.IntRange(0, members-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				m.RecordCrash(crashing, "north", Crash{
					Run: fmt.Sprintf("e-%d", rapid.IntRange(0, 4).Draw(t, "endpoint")), Began: now.Add(-80 * time.Millisecond), Ended: now,
					Streamed: rapid.Bool().Draw(t, "events"),
				})
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "well") == 0 {
					m.RecordSuccess(crashing)
				}
			case 3:
				records, _ := m.since(0, "")
				sent = append(sent, records...)
				if len(sent) > 0 {
					list[rapid.IntRange(0, members-1).Draw(t, "to")].learn(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")], "", 0, sameEnd)
				}
			}
		}
		for range 3 {
			for _, from := range list {
				records, _ := from.since(0, "")
				for _, to := range list {
					for _, r := range records {
						to.learn(r, "", 0, sameEnd)
					}
				}
			}
		}
		for _, m := range list[1:] {
			if a, b := list[0].Quarantined(crashing), m.Quarantined(crashing); a != b {
				t.Fatalf("kept back: %v and %v", a, b)
			}
			if a, b := list[0].Suspects("north"), m.Suspects("north"); a != b {
				t.Fatalf("suspected: %v and %v", a, b)
			}
		}
	})
}

func TestToldCheck(t *testing.T) {
	Convey("What cannot be right is not taken", t, func() {
		good := report{Digest: crashing[:], Customer: "north", Ends: []reportedEnd{{Run: "e-0", BeganMs: 9, EndedMs: 1}}}
		So(good.valid(), ShouldBeTrue)
		for _, bad := range []report{
			{},
			{Digest: []byte("short")},
			{Digest: crashing[:], HeldMs: -1},
			{Digest: crashing[:], Probes: -1},
			{Digest: crashing[:], Ends: []reportedEnd{{BeganMs: 9, EndedMs: 1}}},
			{Digest: crashing[:], Ends: []reportedEnd{{Run: "e", BeganMs: 1, EndedMs: 9}}},
			{Digest: crashing[:], Ends: make([]reportedEnd, mostEnds+1)},
		} {
			So(bad.valid(), ShouldBeFalse)
		}
		So(New().learnAll([]byte("no record"), time.Now()), ShouldNotBeNil)
	})
}

// BenchmarkSuspects is what a request costs that nobody suspects: 3 ns, and while requests of other customers are under suspicion
// 33 ns. The digest of a request of 12 KB, made only for customers of whom one is, takes 12 us.
func BenchmarkSuspects(b *testing.B) {
	m := New()
	b.Run("nobody", func(b *testing.B) {
		for b.Loop() {
			m.Suspects("north")
		}
	})
	m.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: time.Now(), Ended: time.Now()})
	b.Run("others", func(b *testing.B) {
		for b.Loop() {
			m.Suspects("south")
		}
	})
	body := make([]byte, 12<<10)
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			Of("north", "POST", "api.example", "/draft/x", body)
		}
	})
}
