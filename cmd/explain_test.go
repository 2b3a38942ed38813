package cmd

import (
	"bytes"
	"context"
	"testing"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestExplain(t *testing.T) {
	Convey("explain describes the course of a request from a log", t, func() {
		g := goldie.New(t, goldie.WithFixtureDir("testdata"))
		for name, request := range map[string]string{
			"explain-refused":  "fbbaab824e52037a",
			"explain-cut":      "7ac4bf74bc8e4d54",
			"explain-late":     "28704ada8ff11b83",
			"explain-restored": "0c5a1e77f2b94d10",
		} {
			var out, errOut bytes.Buffer
			code := execute(context.Background(), []string{"explain", request, "testdata/router.log"}, &out, &errOut)
			So(errOut.String(), ShouldBeEmpty)
			So(code, ShouldEqual, exitOK)
			g.Assert(t, name, out.Bytes())
		}
	})
	Convey("explain reports an error if no line is about the request", t, func() {
		var out, errOut bytes.Buffer
		So(execute(context.Background(), []string{"explain", "nobody", "testdata/router.log"}, &out, &errOut), ShouldEqual, exitFailed)
		So(errOut.String(), ShouldContainSubstring, "no line tells of request nobody")
	})
}
