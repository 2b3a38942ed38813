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

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestLogNeverBlocks(t *testing.T) {
	Convey("Lines for a reader that has stalled cost the writer nothing, and those that are lost are counted", t, func() {
		set := router.Defaults()
		w := &stalled{release: make(chan struct{})}
		var dropped bytes.Buffer
		log, closeLog := routerLog(&set, w, &dropped)
		for range 5 * logLines {
			log.Info().Str("event", "request_ended").Msg("a request has ended")
		}
		close(w.release)
		closeLog()
		So(dropped.String(), ShouldContainSubstring, "log_lines_dropped")
		So(strings.Count(w.got.String(), "\n"), ShouldBeLessThanOrEqualTo, 5*logLines)
	})
}

func TestRouterSettings(t *testing.T) {
	Convey("A router without settings, or with faults in them, says so by field", t, func() {
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
