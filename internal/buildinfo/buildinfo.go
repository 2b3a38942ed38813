// Package buildinfo tells which build a program is.
package buildinfo

import "runtime/debug"

// Version is the release that this source belongs to.
const Version = "0.1.0-dev"

// shownRevision is the number of digits of a revision that are shown.
const shownRevision = 12

// Revision is the revision of the source that the program was built from, with a + where that had been changed; "unknown" where the build
// did not record it.
func Revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknown
	}
	return revision(info.Settings)
}

const unknown = "unknown"

func revision(settings []debug.BuildSetting) string {
	rev, changed := unknown, ""
	for _, s := range settings {
		switch {
		case s.Key == "vcs.revision":
			rev = s.Value[:min(shownRevision, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return rev + changed
}
