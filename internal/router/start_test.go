package router

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStartLine(t *testing.T) {
	Convey("A start is logged as one line with the time of each step, once a request was served", t, func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		recorded := make(map[Step]time.Duration)
		line := newStartLine(zerolog.New(&out), func(s Step, d time.Duration) { recorded[s] = d })
		line.begun, line.now = now, func() time.Time { return now }
		ready := false
		w := &startWatch{line: line, steps: map[Step]func() bool{
			StepFleet: func() bool { return true },
			StepReady: func() bool { return ready },
		}}
		now = now.Add(40 * time.Millisecond)
		So(w.look(), ShouldBeFalse)
		now = now.Add(60 * time.Millisecond)
		ready = true
		So(w.look(), ShouldBeTrue)
		So(out.String(), ShouldBeEmpty)
		line.reached(StepServed)
		now = now.Add(time.Second)
		line.reached(StepServed)

		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		cancel()
		So(<-ended, ShouldBeNil)
		line.write()
		So(bytes.Count(out.Bytes(), []byte("start_measured")), ShouldEqual, 1)
		for _, want := range []string{`"fleet":40`, `"ready":100`, `"served":100`} {
			So(out.String(), ShouldContainSubstring, want)
		}
		So(recorded[StepReady], ShouldEqual, 100*time.Millisecond)
	})
}
