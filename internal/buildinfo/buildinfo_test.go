package buildinfo

import (
	"runtime/debug"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRevision(t *testing.T) {
	Convey("Revision identifies a build by the revision of its source", t, func() {
		So(Revision(), ShouldNotBeEmpty)
		So(revision(nil), ShouldEqual, "unknown")
		vcs := []debug.BuildSetting{{Key: "vcs.revision", Value: "176af51d0c2f4b6a8e"}, {Key: "vcs.modified", Value: "false"}}
		So(revision(vcs), ShouldEqual, "176af51d0c2f")
		vcs[1].Value = "true"
		So(revision(vcs), ShouldEqual, "176af51d0c2f+")
		So(revision([]debug.BuildSetting{{Key: "vcs.revision", Value: "17"}}), ShouldEqual, "17")
	})
}
