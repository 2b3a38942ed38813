package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// promises are the statuses that report that a request has not run and never will.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

func TestNotRunIsTrue(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	late, cancelLate := context.WithTimeout(context.Background(), 0)
	defer cancelLate()
	contexts := map[string]context.Context{"in time": context.Background(), "caller left": ended, "time is up": late}
	Convey("However a request ends that an endpoint may have run, it is not called not run; one that cannot have run may be", t, func() {
		for name, ctx := range contexts {
			for res := range resultNames {
				for _, ran := range []bool{false, true} {
					for _, begun := range []bool{false, true} {
						if begun && !ran {
							continue // nothing has come of an endpoint
						}
						j := &job{core: New(Deps{}), ran: ran, begun: begun}
						e := verdict.From(j.giveUp(ctx, nil, res))
						Convey(fmt.Sprintf("%s, %s, ran %v, begun %v: %s", name, resultNames[res], ran, begun, e.Code()), func() {
							if ran {
								So(e.Verdict(), ShouldNotEqual, verdict.NotRun)
								So(promises[e.Code().Status()], ShouldBeFalse)
							}
							if e.Verdict() == verdict.NotRun {
								So(ran, ShouldBeFalse)
							}
						})
					}
				}
			}
		}
	})
}
