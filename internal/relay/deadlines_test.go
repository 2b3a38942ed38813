package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// TestCancelExpired checks that CancelExpired enforces deadlines, since the timers of requests do not advance while the
// machine is suspended.
func TestCancelExpired(t *testing.T) {
	Convey("Requests whose deadlines passed while the machine was suspended are cancelled", t, func() {
		now := time.Unix(1000, 0)
		c := New(Deps{}, WithNow(func() time.Time { return now }))
		short := &job{core: c, req: &Request{}, deadline: now.Add(2 * time.Second)}
		long := &job{core: c, req: &Request{}, deadline: now.Add(20 * time.Second)}
		ctxShort, cancelShort := context.WithCancel(context.Background())
		ctxLong, cancelLong := context.WithCancel(context.Background())
		defer cancelShort()
		defer cancelLong()
		doneShort, doneLong := c.deadlines.add(short, cancelShort), c.deadlines.add(long, cancelLong)
		now = now.Add(8 * time.Second)
		c.CancelExpired()
		So(ctxShort.Err(), ShouldNotBeNil)
		So(ctxLong.Err(), ShouldBeNil)

		Convey("and end with a deadline error, not as if their callers had disconnected", func() {
			So(verdict.From(short.giveUp(ctxShort, nil, resultCallerLeft)).Code(), ShouldEqual, verdict.CodeDeadline)
			short.mayHaveRun = true
			So(verdict.From(short.giveUp(ctxShort, nil, resultCallerLeft)).Code(), ShouldEqual, verdict.CodeTimeout)
			cancelLong()
			So(verdict.From(long.giveUp(ctxLong, nil, resultCallerLeft)).Code(), ShouldEqual, verdict.CodeCancelled)
		})

		Convey("and requests that have ended are removed", func() {
			doneShort()
			doneLong()
			So(c.deadlines.jobs, ShouldBeEmpty)
		})
	})
}
