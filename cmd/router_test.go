package cmd

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/ledgemount/ledgemount/internal/router"
	"github.com/ledgemount/ledgemount/platform"
)

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestLogNeverBlocks(t *testing.T) {
	Convey("A stalled output does not block the logger, and the dropped lines are counted", t, func() {
		set := router.Defaults()
		w := &stalledWriter{release: make(chan struct{})}
		var dropped bytes.Buffer
		log, closeLog := newRouterLog(&set, w, &dropped)
		for range 5 * logBufferLines {
			log.Info().Str("event", "request_ended").Msg("a request has ended")
		}
		close(w.release)
		closeLog()
		So(dropped.String(), ShouldContainSubstring, "log_lines_dropped")
		So(strings.Count(w.got.String(), "\n"), ShouldBeLessThanOrEqualTo, 5*logBufferLines)
	})
}

func TestRouterSettings(t *testing.T) {
	Convey("A router without settings reports that, and one with invalid settings names the fields", t, func() {
		t.Setenv(platform.SettingsVariable, "")
		var out, errOut bytes.Buffer
		So(execute(t.Context(), []string{"router"}, &out, &errOut), ShouldEqual, exitFailed)
		So(errOut.String(), ShouldContainSubstring, "no settings file is named")
		errOut.Reset()
		So(execute(t.Context(), []string{"router", "--settings", "testdata/router-bad.json"}, &out, &errOut), ShouldEqual, exitFailed)
		for _, want := range []string{"callers/listen", "store/address", "retry/ratio"} {
			So(errOut.String(), ShouldContainSubstring, want)
		}
	})
}
