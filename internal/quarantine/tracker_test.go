package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// testTracker is a Tracker with a manual clock.
type testTracker struct {
	*Tracker
	now     time.Time
	changes []Change
	probing bool
}

func newTestTracker() *testTracker {
	tt := &testTracker{now: time.Unix(1_000_000, 0)}
	tt.Tracker = New(WithNow(func() time.Time { return tt.now }), OnChange(func(c Change) { tt.changes = append(tt.changes, c) }),
		WithProber(func(Digest) bool { return tt.probing }))
	return tt
}

var crashing = DigestOf("north", "POST", "api.example", "/draft/x", []byte("crashes"))

// crash records a run of the crashing request that begins now and crashes its endpoint 80 ms later.
func (tt *testTracker) crash(endpoint string, streamed bool) {
	began := tt.now
	tt.now = tt.now.Add(80 * time.Millisecond)
	tt.RecordCrash(crashing, "north", Crash{Run: endpoint, Began: began, Ended: tt.now, Streamed: streamed})
	tt.now = tt.now.Add(300 * time.Millisecond)
}

func (tt *testTracker) enter() Decision {
	d, _ := tt.Enter(crashing)
	if d == Run {
		tt.Leave(crashing)
	}
	return d
}

func TestDigest(t *testing.T) {
	Convey("Requests are the same if customer, method, host, path and query, and body are equal", t, func() {
		seen := map[Digest]string{}
		for _, c := range []string{"north", "south"} {
			for _, target := range []string{"/draft/x", "/draft/x?a=1", "/draft/y"} {
				for _, body := range []string{"", "crashes", "crashes2"} {
					digest := DigestOf(c, "POST", "api.example", target, []byte(body))
					So(seen[digest], ShouldBeEmpty)
					seen[digest] = c + target + body
				}
			}
		}
		So(DigestOf("ab", "POST", "c", "/", nil), ShouldNotEqual, DigestOf("a", "POST", "bc", "/", nil))
		So(DigestOf("north", "POST", "api.example", "/draft/x", []byte("crashes")), ShouldEqual, crashing)
	})
}

func TestTracker(t *testing.T) {
	Convey("A tracker of crashes", t, func() {
		tt := newTestTracker()

		Convey("suspects no request at first", func() {
			So(tt.Suspects("north"), ShouldBeFalse)
			So(tt.enter(), ShouldEqual, Run)
		})

		Convey("quarantines a request from the third crash in a row on, and no other", func() {
			for i := range 2 {
				tt.crash(fmt.Sprintf("e-%d", i), false)
				So(tt.enter(), ShouldEqual, Run)
			}
			tt.crash("e-2", false)
			So(tt.enter(), ShouldEqual, Refuse)
			So(tt.Quarantined(crashing), ShouldBeTrue)
			So(tt.Suspects("north"), ShouldBeTrue)
			So(tt.Suspects("south"), ShouldBeFalse)
			d, _ := tt.Enter(DigestOf("north", "POST", "api.example", "/draft/x", []byte("fine")))
			So(d, ShouldEqual, Run)
			So(len(tt.changes), ShouldEqual, 1)
			So(tt.changes[0].Quarantined && tt.changes[0].Local && len(tt.changes[0].Crashes) == 3, ShouldBeTrue)
		})

		Convey("counts a crash that several instances observed once, and a later crash of the same endpoint again", func() {
			tt.crash("e-0", false)
			tt.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: tt.now.Add(-400 * time.Millisecond), Ended: tt.now.Add(-250 * time.Millisecond)})
			tt.crash("e-1", false)
			So(tt.enter(), ShouldEqual, Run)
			tt.now = tt.now.Add(2 * time.Second)
			tt.crash("e-0", false)
			So(tt.enter(), ShouldEqual, Refuse)
		})

		Convey("does not quarantine a request that many callers send if all endpoints crash at the same moment", func() {
			began := tt.now
			tt.now = tt.now.Add(100 * time.Millisecond)
			for i := range 12 {
				tt.RecordCrash(crashing, "north", Crash{Run: fmt.Sprintf("e-%d", i), Began: began, Ended: tt.now})
			}
			So(tt.enter(), ShouldEqual, Run)
		})

		Convey("quarantines a request after six crashes if each run had passed events on: a request may crash its endpoint late", func() {
			for i := range 5 {
				tt.crash(fmt.Sprintf("e-%d", i), true)
				So(tt.enter(), ShouldEqual, Run)
			}
			tt.crash("e-5", true)
			So(tt.enter(), ShouldEqual, Refuse)
		})

		Convey("runs a request only once at a time after two crashes, and leaves retries to its caller", func() {
			tt.crash("e-0", false)
			So(tt.NoRetry(crashing), ShouldBeFalse)
			tt.crash("e-1", false)
			So(tt.NoRetry(crashing), ShouldBeTrue)
			d, _ := tt.Enter(crashing)
			So(d, ShouldEqual, Run)
			So(tt.enter(), ShouldEqual, Wait)
			tt.Leave(crashing)
			So(tt.enter(), ShouldEqual, Run)
		})

		Convey("releases a request after a successful run, also from quarantine", func() {
			for i := range 3 {
				tt.crash(fmt.Sprintf("e-%d", i), false)
			}
			tt.RecordSuccess(crashing)
			So(tt.enter(), ShouldEqual, Run)
			So(tt.Suspects("north"), ShouldBeFalse)
			So(tt.changes[1].Quarantined, ShouldBeFalse)
			tt.crash("e-9", false)
			So(tt.enter(), ShouldEqual, Run)
		})

		Convey("tries a request once more on one instance when its quarantine has expired, and extends the quarantine after a crash", func() {
			for i := range 3 {
				tt.crash(fmt.Sprintf("e-%d", i), false)
			}
			tt.now = tt.now.Add(DefaultDuration + time.Second)
			So(tt.enter(), ShouldEqual, Refuse)
			tt.probing = true
			d, _ := tt.Enter(crashing)
			So(d, ShouldEqual, Run)
			So(tt.enter(), ShouldEqual, Refuse) // one run is in progress
			tt.crash("e-3", false)
			tt.Leave(crashing)
			So(tt.enter(), ShouldEqual, Refuse)
			tt.now = tt.now.Add(DefaultDuration + time.Second)
			So(tt.enter(), ShouldEqual, Refuse)
			tt.now = tt.now.Add(DefaultDuration)
			So(tt.enter(), ShouldEqual, Run)
		})

		Convey("is bounded, also for customers with thousands of different requests, and keeps quarantined requests", func() {
			for i := range 3 {
				tt.crash(fmt.Sprintf("e-%d", i), false)
			}
			for i := range 3 * maxRecords {
				customer := []string{"north", "south"}[i%2]
				tt.RecordCrash(DigestOf(customer, "POST", "h", fmt.Sprintf("/%d", i), nil), customer, Crash{Run: fmt.Sprintf("x-%d", i), Began: tt.now, Ended: tt.now})
			}
			So(tt.customers["north"], ShouldBeLessThanOrEqualTo, maxCustomerRecords)
			So(len(tt.records), ShouldBeLessThanOrEqualTo, maxRecords)
			So(tt.enter(), ShouldEqual, Refuse)
		})
	})
}

// TestMergeInAnyOrder checks that trackers that have received the same reports agree, even if reports arrive late,
// twice or out of order.
func TestMergeInAnyOrder(t *testing.T) {
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
			tracker := list[rapid.IntRange(0, members-1).Draw(t, "member")]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				tracker.RecordCrash(crashing, "north", Crash{
					Run: fmt.Sprintf("e-%d", rapid.IntRange(0, 4).Draw(t, "endpoint")), Began: now.Add(-80 * time.Millisecond), Ended: now,
					Streamed: rapid.Bool().Draw(t, "events"),
				})
			case 2:
				if rapid.IntRange(0, 3).Draw(t, "well") == 0 {
					tracker.RecordSuccess(crashing)
				}
			case 3:
				records, _ := tracker.changedSince(0, "")
				sent = append(sent, records...)
				if len(sent) > 0 {
					list[rapid.IntRange(0, members-1).Draw(t, "to")].merge(sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")], "", 0, sameCrashWindow)
				}
			}
		}
		for range 3 {
			for _, from := range list {
				records, _ := from.changedSince(0, "")
				for _, to := range list {
					for _, r := range records {
						to.merge(r, "", 0, sameCrashWindow)
					}
				}
			}
		}
		for _, tracker := range list[1:] {
			if a, b := list[0].Quarantined(crashing), tracker.Quarantined(crashing); a != b {
				t.Fatalf("quarantined: %v and %v", a, b)
			}
			if a, b := list[0].Suspects("north"), tracker.Suspects("north"); a != b {
				t.Fatalf("suspected: %v and %v", a, b)
			}
		}
	})
}

func TestReportValidation(t *testing.T) {
	Convey("Invalid reports are rejected", t, func() {
		good := report{Digest: crashing[:], Customer: "north", Crashes: []reportedCrash{{Run: "e-0", BeganMs: 9, EndedMs: 1}}}
		So(good.valid(), ShouldBeTrue)
		for _, bad := range []report{
			{},
			{Digest: []byte("short")},
			{Digest: crashing[:], QuarantinedMs: -1},
			{Digest: crashing[:], Probes: -1},
			{Digest: crashing[:], Crashes: []reportedCrash{{BeganMs: 9, EndedMs: 1}}},
			{Digest: crashing[:], Crashes: []reportedCrash{{Run: "e", BeganMs: 1, EndedMs: 9}}},
			{Digest: crashing[:], Crashes: make([]reportedCrash, maxCrashes+1)},
		} {
			So(bad.valid(), ShouldBeFalse)
		}
		So(New().mergeSnapshot([]byte("no record"), time.Now()), ShouldNotBeNil)
	})
}

// BenchmarkSuspects measures a request that is not under suspicion: 3 ns, and 33 ns while requests of other customers
// are. The digest of a request of 12 KB, which is computed only for customers with a suspected request, takes 12 us.
func BenchmarkSuspects(b *testing.B) {
	tracker := New()
	b.Run("nobody", func(b *testing.B) {
		for b.Loop() {
			tracker.Suspects("north")
		}
	})
	tracker.RecordCrash(crashing, "north", Crash{Run: "e-0", Began: time.Now(), Ended: time.Now()})
	b.Run("others", func(b *testing.B) {
		for b.Loop() {
			tracker.Suspects("south")
		}
	})
	body := make([]byte, 12<<10)
	b.Run("digest", func(b *testing.B) {
		for b.Loop() {
			DigestOf("north", "POST", "api.example", "/draft/x", body)
		}
	})
}

// merge is mergeAll for one report.
func (t *Tracker) merge(rep report, from string, age, window time.Duration) (advanced bool) {
	return t.mergeAll([]report{rep}, from, age, window)
}
