package relay

// Endpoints of several software versions may serve side by side, and they do not check who began a stream. The rest of a
// stream from another version does not fit to its beginning, and no caller can detect that.

// bind binds a stream to the software version of the endpoint that sent its first event.
func (j *job) bind(software string) {
	if j.bound {
		return
	}
	j.bound, j.software = true, software
}

// mayResume reports whether another endpoint may continue the response. A stream that began at an unknown software version
// cannot be continued: no endpoint is known to have the same one.
func (j *job) mayResume() bool { return !j.bound || j.software != "" }
