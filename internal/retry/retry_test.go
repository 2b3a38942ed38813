package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/verdict"
)

func TestShouldRetry(t *testing.T) {
	base := Failure{Verdict: verdict.NotRun, Code: verdict.CodeEndpointRefused, Attempt: 1, Remaining: time.Minute}
	cases := []struct {
		name string
		edit func(*Failure)
		want bool
	}{
		{"refused, not run", func(*Failure) {}, true},
		{"may have run, not repeatable", func(f *Failure) { f.Verdict = verdict.MayHaveRun }, false},
		{"may have run, repeatable", func(f *Failure) { f.Verdict, f.Repeatable = verdict.MayHaveRun, true }, true},
		{"the caller has received a part", func(f *Failure) { f.Repeatable, f.Delivered = true, true }, false},
		{"the budget is exhausted", func(f *Failure) { f.Code = verdict.CodeBudgetExhausted }, false},
		{"no time left", func(f *Failure) { f.Remaining = 0 }, false},
		{"no attempts remain", func(f *Failure) { f.Attempt = maxAttempts }, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := base
			c.edit(&f)
			So(ShouldRetry(f), ShouldEqual, c.want)
		})
	}
}

func TestBudgets(t *testing.T) {
	Convey("In a full outage, retries stay below a tenth of the requests plus the initial budget", t, func() {
		b := NewBudgets()
		retries := 0
		const requests = 10_000
		for range requests {
			b.Earn("c")
			for b.Spend("c") {
				retries++
			}
		}
		So(retries, ShouldBeLessThanOrEqualTo, requests/10+int(maxBudget)+1)
	})
}
