package router

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
)

func TestStartRecorder(t *testing.T) {
	Convey("A start is logged as a single line with the time of each step, after a request has been served", t, func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		recorded := make(map[Step]time.Duration)
		recorder := newStartRecorder(zerolog.New(&out), func(s Step, d time.Duration) { recorded[s] = d })
		recorder.started, recorder.now = now, func() time.Time { return now }
		ready := false
		w := &startWatcher{recorder: recorder, steps: map[Step]func() bool{
			StepFleet: func() bool { return true },
			StepReady: func() bool { return ready },
		}}
		now = now.Add(40 * time.Millisecond)
		So(w.poll(), ShouldBeFalse)
		now = now.Add(60 * time.Millisecond)
		ready = true
		So(w.poll(), ShouldBeTrue)
		So(out.String(), ShouldBeEmpty)
		recorder.reached(StepServed)
		now = now.Add(time.Second)
		recorder.reached(StepServed)

		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		cancel()
		So(<-ended, ShouldBeNil)
		recorder.write()
		So(bytes.Count(out.Bytes(), []byte("start_measured")), ShouldEqual, 1)
		for _, want := range []string{`"fleet":40`, `"ready":100`, `"served":100`} {
			So(out.String(), ShouldContainSubstring, want)
		}
		So(recorded[StepReady], ShouldEqual, 100*time.Millisecond)
	})
}
