package relay

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// The timers of requests stand still while the machine is suspended.
func TestEndOverdue(t *testing.T) {
	Convey("Of the requests under way those end whose time was up while the machine was suspended", t, func() {
		now := time.Unix(1000, 0)
		c := New(Deps{}, WithNow(func() time.Time { return now }))
		short := &job{core: c, req: &Request{}, end: now.Add(2 * time.Second)}
		long := &job{core: c, req: &Request{}, end: now.Add(20 * time.Second)}
		ctxShort, cancelShort := context.WithCancel(context.Background())
		ctxLong, cancelLong := context.WithCancel(context.Background())
		defer cancelShort()
		defer cancelLong()
		doneShort, doneLong := c.overdue.add(short, cancelShort), c.overdue.add(long, cancelLong)
		now = now.Add(8 * time.Second)
		c.CancelExpired()
		So(ctxShort.Err(), ShouldNotBeNil)
		So(ctxLong.Err(), ShouldBeNil)

		Convey("and are told that their time was up, not that their callers left", func() {
			So(verdict.From(short.giveUp(ctxShort, nil, resultLeft)).Code(), ShouldEqual, verdict.CodeDeadline)
			short.ran = true
			So(verdict.From(short.giveUp(ctxShort, nil, resultLeft)).Code(), ShouldEqual, verdict.CodeTimeout)
			cancelLong()
			So(verdict.From(long.giveUp(ctxLong, nil, resultLeft)).Code(), ShouldEqual, verdict.CodeCancelled)
		})

		Convey("and those that have ended are forgotten", func() {
			doneShort()
			doneLong()
			So(c.overdue.jobs, ShouldBeEmpty)
		})
	})
}
