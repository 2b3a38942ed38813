package follow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
)

// pagedSource is a Source whose snapshot has a number of parts with one endpoint each.
type pagedSource struct {
	parts  int
	at     int64
	newest int64
	reads  []Part
	failed map[int]error // by number of the read; the read has no result
}

func (s *pagedSource) Snapshot(_ context.Context, _ Cursor, from Part) (Update, error) {
	s.reads = append(s.reads, from)
	if err := s.failed[len(s.reads)-1]; err != nil {
		return Update{}, err
	}
	u := Update{At: from.At, Newest: s.newest}
	n := 0
	if from == (Part{}) {
		u.At, u.Config = s.at, &route.Config{Version: 5}
	} else {
		_, _ = fmt.Sscan(from.After, &n)
		n++
	}
	u.Endpoints = []pool.Endpoint{{ID: fmt.Sprint(n), Service: "s", Addr: "1:1"}}
	if n+1 < s.parts {
		u.Partial, u.Next = true, Part{At: u.At, After: fmt.Sprint(n)}
	}
	return u, nil
}

func (s *pagedSource) Changes(context.Context, Cursor, bool) (Update, error) {
	return Update{}, errors.New("not used")
}

func TestPartialSnapshot(t *testing.T) {
	errLost := errors.New("the response did not arrive")
	Convey("A snapshot of several parts", t, func() {
		now := time.Unix(1000, 0)
		src := &pagedSource{parts: 4, at: 10, failed: make(map[int]error)}
		p := pool.New("z")
		f := New(src, p, WithNow(func() time.Time { return now }))
		step := func() error { return f.Step(context.Background()) }

		Convey("is read in one step, and carries the revision of its first part", func() {
			So(step(), ShouldBeNil)
			So(src.reads, ShouldHaveLength, 4)
			So(p.Len(), ShouldEqual, 4)
			So(f.since.At, ShouldEqual, 10)
		})

		Convey("continues after a failure, and reads no part twice", func() {
			src.failed[2], src.failed[3] = errLost, errLost
			So(errors.Is(step(), errLost), ShouldBeTrue)
			So(errors.Is(step(), errLost), ShouldBeTrue)

			Convey("while the first parts are in force, and are not sent to other instances", func() {
				So(f.Table().Version(), ShouldEqual, 5)
				So(p.Len(), ShouldEqual, 2)
				_, ok := f.UpdateSince(Cursor{})
				So(ok, ShouldBeFalse)
			})

			So(step(), ShouldBeNil)
			So(src.reads, ShouldHaveLength, 6) // four parts, and two failures
			So(p.Len(), ShouldEqual, 4)
		})

		Convey("starts again if the store was restored meanwhile, or if its first part is too old", func() {
			src.failed[2] = external.ErrHistoryGone
			So(step(), ShouldNotBeNil)
			So(step(), ShouldBeNil)
			So(src.reads[3], ShouldResemble, Part{})

			src.failed[len(src.reads)+1] = errLost
			f.since.At = 0
			So(step(), ShouldNotBeNil)
			now = now.Add(maxPartialAge + 1)
			So(step(), ShouldBeNil)
			So(src.reads[len(src.reads)-4], ShouldResemble, Part{})
		})
	})
}

// TestQuietHistory counts the calls after a history without changes.
func TestQuietHistory(t *testing.T) {
	Convey("A long snapshot that is read because nothing changes ends with its first part if that has nothing new", t, func() {
		now := time.Unix(1000, 0)
		src := &pagedSource{parts: 20, at: 10, newest: 10}
		f := New(src, pool.New("z"), WithNow(func() time.Time { return now }))
		So(f.Step(context.Background()), ShouldBeNil)
		So(src.reads, ShouldHaveLength, 20)
		f.historySuspect = true
		So(f.Step(context.Background()), ShouldBeNil)
		So(src.reads, ShouldHaveLength, 21)
		So(f.LastContact(), ShouldEqual, now)

		Convey("and is read whole if changes were withheld", func() {
			f.historySuspect, src.newest, src.at = true, 12, 14
			So(f.Step(context.Background()), ShouldBeNil)
			So(src.reads, ShouldHaveLength, 41)
			So(f.since.At, ShouldEqual, 14)
		})
	})
}

// TestReadsBySize counts the calls of a snapshot whose connection fails at every third call.
func TestReadsBySize(t *testing.T) {
	Convey("The calls for a snapshot grow with its size, not faster, although calls fail", t, func() {
		for _, parts := range []int{10, 100, 200} {
			src := &pagedSource{parts: parts, at: 1, failed: make(map[int]error)}
			for i := 2; i < 2*parts; i += 3 {
				src.failed[i] = errors.New("the response did not arrive")
			}
			f := New(src, pool.New("z"))
			for f.since.At == 0 {
				_ = f.Step(context.Background())
			}
			So(len(src.reads), ShouldBeLessThanOrEqualTo, parts*3/2+1)
		}
	})
}

// TestUpdatesAfterReread counts the endpoints that are sent on after everything was read again.
func TestUpdatesAfterReread(t *testing.T) {
	Convey("After everything was read again, only the difference is sent to those that follow this instance", t, func() {
		list := func(n int) []pool.Endpoint {
			out := make([]pool.Endpoint, 0, n)
			for i := range n {
				out = append(out, pool.Endpoint{ID: fmt.Sprint(i), Service: "s", Addr: "1:1"})
			}
			return out
		}
		src := &scriptedSource{snapshot: Update{At: 10, Config: &route.Config{Version: 5}, Endpoints: list(1000)}}
		f := New(src, pool.New("z"))
		So(f.Step(context.Background()), ShouldBeNil)
		follower := f.since

		src.snapshot.At, src.snapshot.Endpoints = 20, list(1001)[1:]
		f.historySuspect = true
		So(f.Step(context.Background()), ShouldBeNil)
		u, ok := f.UpdateSince(follower)
		So(ok, ShouldBeTrue)
		So(u.Complete, ShouldBeFalse)
		So(u.Endpoints, ShouldHaveLength, 1)
		So(u.Removed, ShouldResemble, []string{"0"})
		So(u.At, ShouldEqual, 20)

		Convey("but all of it to those that follow an earlier epoch of the store", func() {
			src.snapshot.At = external.Revision(2, 3)
			f.historySuspect = true
			So(f.Step(context.Background()), ShouldBeNil)
			u, ok := f.UpdateSince(follower)
			So(ok, ShouldBeTrue)
			So(u.Complete, ShouldBeTrue)
		})
	})
}
