// Package buildinfo identifies the build of the program.
package buildinfo

import "runtime/debug"

// Version is the release that this source belongs to.
const Version = "0.1.0-dev"

// revisionDigits is the number of digits of a shortened revision.
const revisionDigits = 12

// Revision returns the shortened revision of the source that the program was built from, with a + if the source had been
// modified. It returns "unknown" if the build did not record the revision.
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
			rev = s.Value[:min(revisionDigits, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+"
		}
	}
	return rev + changed
}
