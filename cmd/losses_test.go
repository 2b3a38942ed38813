package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestLosses(t *testing.T) {
	run := func(args ...string) (code int, out, errOut bytes.Buffer) {
		code = execute(context.Background(), append([]string{"losses"}, args...), &out, &errOut)
		return code, out, errOut
	}
	Convey("losses reports from a log where requests failed or were late", t, func() {
		g := goldie.New(t, goldie.WithFixtureDir("testdata"))

		Convey("as tables", func() {
			code, out, errOut := run("testdata/losses.log")
			So(errOut.String(), ShouldBeEmpty)
			So(code, ShouldEqual, exitOK)
			g.Assert(t, "losses", out.Bytes())
		})

		Convey("as JSON, with a plot", func() {
			dir := t.TempDir()
			code, out, errOut := run("--json", "--plots", dir, "testdata/losses.log")
			So(errOut.String(), ShouldBeEmpty)
			So(code, ShouldEqual, exitOK)
			g.Assert(t, "losses-json", out.Bytes())
			svg, err := os.ReadFile(filepath.Join(dir, "losses.svg"))
			So(err, ShouldBeNil)
			So(string(svg), ShouldContainSubstring, "long pause")
		})

		Convey("as calls to the store, by purpose and by role", func() {
			code, out, errOut := run("--duties", "testdata/duties.log")
			So(errOut.String(), ShouldBeEmpty)
			So(code, ShouldEqual, exitOK)
			g.Assert(t, "duties", out.Bytes())
		})
	})
	Convey("losses reports an error if a log has no request, or does not exist", t, func() {
		code, _, errOut := run(os.DevNull)
		So(code, ShouldEqual, exitFailed)
		So(errOut.String(), ShouldContainSubstring, "no line tells of a request that has ended")
		code, _, errOut = run("testdata/none.log")
		So(code, ShouldEqual, exitFailed)
		So(errOut.String(), ShouldContainSubstring, "opening a log")
	})
}
