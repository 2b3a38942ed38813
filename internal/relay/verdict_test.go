package relay

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

// notRunStatuses are the HTTP statuses that guarantee that a request has not run and will not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

func TestNotRunVerdict(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	late, cancelLate := context.WithTimeout(context.Background(), 0)
	defer cancelLate()
	contexts := map[string]context.Context{"in time": context.Background(), "caller left": cancelled, "deadline passed": late}
	Convey("A request that an endpoint may have run never ends with the verdict not-run", t, func() {
		for name, ctx := range contexts {
			for res := range resultNames {
				for _, ran := range []bool{false, true} {
					for _, started := range []bool{false, true} {
						if started && !ran {
							continue // without a run, there is no response to start
						}
						j := &job{core: New(Deps{}), mayHaveRun: ran}
						if started {
							j.delivered.extent = partSent
						}
						e := verdict.From(j.giveUp(ctx, nil, res))
						Convey(fmt.Sprintf("%s, %s, ran %v, response started %v: %s", name, resultNames[res], ran, started, e.Code()), func() {
							if ran {
								So(e.Verdict(), ShouldNotEqual, verdict.NotRun)
								So(notRunStatuses[e.Code().Status()], ShouldBeFalse)
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
