package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	partService = "models"
	ranFor      = 80 * time.Millisecond

	partDuration = DefaultDuration / partDurationDivisor
)

func partsOf(ids ...string) []Part {
	out := make([]Part, 0, len(ids))
	for _, id := range ids {
		out = append(out, PartOf(partService, id))
	}
	return out
}

// crashParts records a run with the given parts that begins now and crashes its endpoint.
func (tt *testTracker) crashParts(endpoint string, ids ...string) {
	began := tt.now
	tt.now = tt.now.Add(ranFor)
	tt.RecordPartCrash(partService, partsOf(ids...), Crash{Run: endpoint, Began: began, Ended: tt.now})
	tt.now = tt.now.Add(separateCrash)
}

func (tt *testTracker) quarantinedParts(ids ...string) (out []string) {
	for _, id := range ids {
		if tt.Quarantined(PartOf(partService, id).Digest) {
			out = append(out, id)
		}
	}
	return out
}

func TestParts(t *testing.T) {
	Convey("A tracker of crashes under parts of prompts", t, func() {
		tt := newTestTracker()

		Convey("quarantines a part from the fourth crash in a row on, for all customers and no other service", func() {
			for i := range 3 {
				tt.crashParts(fmt.Sprintf("e-%d", i), fmt.Sprintf("first-%d", i), "bad")
				So(tt.quarantinedParts("bad"), ShouldBeEmpty)
			}
			tt.crashParts("e-3", "first-3", "bad")
			So(tt.quarantinedParts("bad", "first-3", "first-0"), ShouldResemble, []string{"bad"})
			So(tt.Suspects(PartScope(partService)), ShouldBeTrue)
			So(tt.Quarantined(PartOf("other", "bad").Digest), ShouldBeFalse)
			So(len(tt.changes), ShouldEqual, 1)
			So(tt.changes[0].Part, ShouldEqual, "bad")
			d, after := tt.Enter(PartOf(partService, "bad").Digest)
			So(d, ShouldEqual, Refuse)
			So(after, ShouldBeGreaterThan, time.Minute)
		})

		Convey("lets one run at a time go on after two crashes", func() {
			tt.crashParts("e-0", "bad")
			tt.crashParts("e-1", "bad")
			digest := PartOf(partService, "bad").Digest
			d, _ := tt.Enter(digest)
			So(d, ShouldEqual, Run)
			d, _ = tt.Enter(digest)
			So(d, ShouldEqual, Wait)
			So(tt.NoRetry(digest), ShouldBeTrue)
		})

		Convey("counts runs that overlapped only if their crashes are apart: a loss of power crashes many at once", func() {
			began := tt.now
			tt.now = tt.now.Add(time.Second)
			for i := range 12 {
				tt.RecordPartCrash(partService, partsOf("sound"), Crash{Run: fmt.Sprintf("e-%d", i), Began: began, Ended: tt.now})
			}
			So(tt.quarantinedParts("sound"), ShouldBeEmpty)
			for i := range 8 {
				tt.now = tt.now.Add(separateCrash)
				tt.RecordPartCrash(partService, partsOf("queued"), Crash{Run: fmt.Sprintf("f-%d", i), Began: began, Ended: tt.now})
			}
			So(tt.quarantinedParts("sound", "queued"), ShouldResemble, []string{"queued"})
		})

		Convey("clears a part by a run that wrote on it after a crash, and not by one that had begun before", func() {
			for i := range 3 {
				tt.crashParts(fmt.Sprintf("e-%d", i), "sound")
			}
			tt.RecordPartSuccess(partsOf("sound"), tt.now.Add(-time.Minute))
			So(tt.Suspected(PartOf(partService, "sound").Digest), ShouldBeTrue)
			tt.RecordPartSuccess(partsOf("sound"), tt.now)
			So(tt.Suspects(PartScope(partService)), ShouldBeFalse)
			tt.crashParts("e-3", "sound")
			So(tt.quarantinedParts("sound"), ShouldBeEmpty)
		})

		Convey("ignores a crash that is detected after a later run cleared the part", func() {
			began := tt.now
			tt.crashParts("e-0", "sound")
			tt.now = tt.now.Add(time.Second)
			tt.RecordPartSuccess(partsOf("sound"), tt.now)
			tt.RecordPartCrash(partService, partsOf("sound"), Crash{Run: "e-1", Began: began, Ended: began.Add(ranFor)})
			So(tt.Suspected(PartOf(partService, "sound").Digest), ShouldBeFalse)
		})

		Convey("blames the later one of two parts that are always together, and nothing that was caught with it", func() {
			for i := range 4 {
				endpoint := fmt.Sprintf("e-%d", i)
				began := tt.now
				tt.now = tt.now.Add(ranFor)
				for _, ids := range [][]string{{"together", "bad"}, {"caught"}} {
					tt.RecordPartCrash(partService, partsOf(ids...), Crash{Run: endpoint, Began: began, Ended: tt.now})
				}
				tt.now = tt.now.Add(separateCrash)
			}
			So(tt.quarantinedParts("together", "bad", "caught"), ShouldResemble, []string{"bad"})
			So(tt.Suspected(PartOf(partService, "together").Digest), ShouldBeFalse)
			Convey("also if they are caught by its crashes later", func() {
				for i := range 6 {
					tt.crashParts(fmt.Sprintf("f-%d", i), "together", "bad")
				}
				So(tt.quarantinedParts("together", "bad"), ShouldResemble, []string{"bad"})
			})
		})

		Convey("blames the part with more crashes first, wherever it stands in the prompt", func() {
			tt.crashParts("e-0", "bad", "other")
			for i := range 3 {
				tt.crashParts(fmt.Sprintf("f-%d", i), "bad", "often")
			}
			So(tt.quarantinedParts("bad", "often", "other"), ShouldResemble, []string{"bad"})
		})

		Convey("finds two parts that crash endpoints, each by itself", func() {
			for i := range 5 {
				tt.crashParts(fmt.Sprintf("e-%d", i), "first", "bad-1")
				tt.crashParts(fmt.Sprintf("f-%d", i), "first", "bad-2")
				tt.RecordPartSuccess(partsOf("first"), tt.now)
			}
			So(tt.quarantinedParts("first", "bad-1", "bad-2"), ShouldResemble, []string{"bad-1", "bad-2"})
		})

		Convey("tries a part once more on one instance when its quarantine has expired", func() {
			for i := range 4 {
				tt.crashParts(fmt.Sprintf("e-%d", i), "bad")
			}
			digest := PartOf(partService, "bad").Digest
			tt.now = tt.now.Add(partDuration + time.Second)
			d, _ := tt.Enter(digest)
			So(d, ShouldEqual, Refuse)
			tt.probing = true
			d, _ = tt.Enter(digest)
			So(d, ShouldEqual, Run)
			tt.crashParts("e-9", "bad")
			tt.Leave(digest)
			d, after := tt.Enter(digest)
			So(d, ShouldEqual, Refuse)
			So(after, ShouldBeGreaterThan, partDuration)
		})

		Convey("is bounded, and keeps quarantined parts", func() {
			for i := range 4 {
				tt.crashParts(fmt.Sprintf("e-%d", i), "bad")
			}
			for i := range 2 * maxRecords {
				tt.RecordPartCrash(partService, partsOf(fmt.Sprintf("p-%d", i)), Crash{Run: fmt.Sprintf("x-%d", i), Began: tt.now.Add(-ranFor), Ended: tt.now})
			}
			So(tt.customers[PartScope(partService)], ShouldBeLessThanOrEqualTo, maxCustomerRecords)
			So(tt.quarantinedParts("bad"), ShouldNotBeEmpty)
		})
	})
}

// TestPartsReachAllInstances checks that instances that exchange their records in any order quarantine a part that crashes
// endpoints, and not the parts that occur with it, as long as runs of others clear these.
func TestPartsReachAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members = 3
		now := time.Unix(1_000_000, 0)
		var list [members]*Tracker
		for i := range list {
			list[i] = New(WithNow(func() time.Time { return now }))
		}
		exchange := func() {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				records, _ := list[i].changedSince(0, "")
				for _, to := range list {
					for _, r := range records {
						to.merge(r, "", 0, sameCrashWindow)
					}
				}
			}
		}
		for i := range rapid.IntRange(8, 14).Draw(t, "crashes") {
			now = now.Add(time.Duration(rapid.IntRange(300, 900).Draw(t, "ms")) * time.Millisecond)
			parts := partsOf("popular", "bad", fmt.Sprintf("session-%d", i))
			list[rapid.IntRange(0, members-1).Draw(t, "member")].RecordPartCrash(partService, parts, Crash{
				Run: fmt.Sprintf("e-%d", i), Began: now.Add(-ranFor), Ended: now,
			})
			if rapid.Bool().Draw(t, "exchanged") {
				exchange()
			}
			now = now.Add(10 * time.Millisecond)
			list[rapid.IntRange(0, members-1).Draw(t, "server")].RecordPartSuccess(partsOf("popular"), now)
		}
		exchange()
		exchange()
		for i, tracker := range list {
			if !tracker.Quarantined(PartOf(partService, "bad").Digest) {
				t.Fatalf("instance %d does not quarantine the part", i)
			}
			if tracker.Quarantined(PartOf(partService, "popular").Digest) {
				t.Fatalf("instance %d quarantines a part that others write on", i)
			}
		}
	})
}

// Guards against a sound part being quarantined before all crashes of a message are known.
func TestPartsOfOneMessageAreEvaluatedTogether(t *testing.T) {
	Convey("An instance that receives the crashes of two parts in one message quarantines the cause only", t, func() {
		now := time.Unix(1_000_000, 0)
		clock := WithNow(func() time.Time { return now })
		sender, receiver := New(clock), New(clock)
		crash := func(to *Tracker, i int) {
			now = now.Add(time.Second)
			to.RecordPartCrash(partService, partsOf("popular", "bad"), Crash{Run: fmt.Sprintf("e-%d", i), Began: now.Add(-ranFor), Ended: now})
		}
		for i := range 3 {
			crash(sender, i)
		}
		crash(receiver, 3)
		reports, _ := sender.changedSince(0, "")
		So(reports[0].Part, ShouldEqual, "popular")
		receiver.mergeAll(reports, "", 0, sameCrashWindow)
		receiver.evaluateReceived()
		So(receiver.Quarantined(PartOf(partService, "bad").Digest), ShouldBeTrue)
		So(receiver.Quarantined(PartOf(partService, "popular").Digest), ShouldBeFalse)
	})
}

// interrupted records that a crash interrupted a run of a request with the part "popular".
func (tt *testTracker) interrupted(request string, c Crash) {
	tt.RecordCrash(requestNamed(request), "north", c)
	tt.RecordPartCrash(partService, partsOf("popular"), c)
}

func requestNamed(name string) Digest {
	return DigestOf("north", "POST", "api.example", "/draft/x", []byte(name))
}

// Guards against a part that all prompts share being quarantined for one request that crashes endpoints.
func TestPartIsNotBlamedForOneRequest(t *testing.T) {
	Convey("A tracker of crashes under requests whose prompts share a part", t, func() {
		tt := newTestTracker()
		popular := PartOf(partService, "popular").Digest

		Convey("does not blame it for one request that is sent again and again, and runs at several endpoints at a time", func() {
			for i := range 12 {
				began := tt.now
				ended := began.Add(130 * time.Millisecond)
				endpoint := fmt.Sprintf("e-%d", i)
				tt.now = ended
				tt.interrupted(fmt.Sprintf("caught-%d", i), Crash{Run: endpoint, Began: ended.Add(-time.Millisecond), Ended: ended})
				tt.interrupted("bad", Crash{Run: endpoint, Began: began, Ended: ended})
				tt.now = began.Add(100 * time.Millisecond)
			}
			So(tt.Quarantined(requestNamed("bad")), ShouldBeTrue)
			So(tt.Quarantined(popular), ShouldBeFalse)
			d, _ := tt.Enter(popular)
			So(d, ShouldEqual, Run)
			d, _ = tt.Enter(popular)
			So(d, ShouldEqual, Run)
		})

		Convey("blames it if requests with it crash endpoints, although each is sent three times", func() {
			for i := range 4 * 3 {
				endpoint := fmt.Sprintf("e-%d", i)
				began := tt.now
				tt.now = tt.now.Add(ranFor)
				tt.interrupted(fmt.Sprintf("bad-%d", i/3), Crash{Run: endpoint, Began: began, Ended: tt.now})
				tt.now = tt.now.Add(separateCrash)
			}
			So(tt.Quarantined(popular), ShouldBeTrue)
		})
	})
}

// exchange is a group of trackers that send each other their records.
type exchange struct {
	now     time.Time
	members []*Tracker
}

func newExchange(members int) *exchange {
	x := &exchange{now: time.Unix(1_000_000, 0)}
	for range members {
		x.members = append(x.members, New(WithNow(func() time.Time { return x.now })))
	}
	return x
}

// run has the members with the given indexes send all their records, one after the other.
func (x *exchange) run(order []int) {
	for _, i := range order {
		records, _ := x.members[i].changedSince(0, "")
		for _, to := range x.members {
			to.mergeAll(records, "", 0, sameCrashWindow)
			to.evaluateReceived()
		}
	}
}

// Guards against the same at instances that learn of the crashes from others, in any order.
func TestPartIsNotBlamedForOneRequestElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newExchange(3)
		crashes := rapid.IntRange(4, 10).Draw(t, "crashes")
		for i := range crashes {
			ended := f.now.Add(ranFor)
			caught := Crash{Run: fmt.Sprintf("e-%d", i), Began: ended.Add(-time.Millisecond), Ended: ended}
			f.now = ended
			observers := rapid.Permutation(f.members).Draw(t, "observers")
			observers[0].RecordCrash(requestNamed("bad"), "north", Crash{Run: caught.Run, Began: ended.Add(-ranFor), Ended: ended})
			observers[0].RecordPartCrash(partService, partsOf("popular"), caught)
			if rapid.Bool().Draw(t, "another is caught") {
				observers[1].RecordCrash(requestNamed(fmt.Sprintf("caught-%d", i)), "north", caught)
				observers[1].RecordPartCrash(partService, partsOf("popular"), caught)
			}
			f.run(rapid.Permutation([]int{0, 1, 2}).Draw(t, "order"))
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
		}
		for i, tracker := range f.members {
			if tracker.Quarantined(PartOf(partService, "popular").Digest) {
				t.Fatalf("instance %d quarantines a part for the crashes of one request", i)
			}
		}
	})
}
