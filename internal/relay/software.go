package relay

import (
	"context"

	"github.com/ledgemount/ledgemount/internal/continuity"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Endpoints of several software versions may serve side by side, and they do not check who began a stream. The rest of a
// stream from another version does not fit to its beginning, and no caller can detect that.

// Streams records at which software version streams begin. *continuity.Replicator implements it.
type Streams interface {
	// Begin records the software version of the endpoint that sent the first event of the response to a request.
	Begin(service, customer, request, software string)
	// End records that the response to a request was sent completely.
	End(customer, request string)
	// Resolve determines the version at which the stream began whose first event was in the response to a request.
	Resolve(ctx context.Context, service, customer, request string) continuity.Resolution
}

// unknownStreams has no origins.
type unknownStreams struct{}

func (unknownStreams) Begin(string, string, string, string) {}

func (unknownStreams) End(string, string) {}

func (unknownStreams) Resolve(context.Context, string, string, string) continuity.Resolution {
	return continuity.Resolution{Source: continuity.SourceUnknown, Conclusive: true}
}

// bindToOrigin binds a request that takes a stream up again to the software version at which the stream began. It rejects
// the request if that version is not known: a caller can begin anew, but cannot detect a wrong continuation.
func (j *job) bindToOrigin(ctx context.Context) error {
	if j.req.LastEventID == "" || j.route.Kind != route.Streaming {
		return nil
	}
	origin := j.core.streams.Resolve(ctx, j.service.Name, j.outcome.Customer, j.req.Resumes)
	j.outcome.Origin = origin
	switch {
	case origin.Software != "":
		j.bound, j.software = true, origin.Software
		return j.useService(origin.Service)
	case origin.Conclusive:
		return refuse(verdict.CodeStreamUnknown, "no instance knows at which software version the stream began", retryAfterGone)
	}
	return refuse(verdict.CodeStreamUnknown, "the instances that may know at which software version the stream began did not answer", retryAfterLong)
}

// useService makes the request run at the service at which its stream began, which may be another one than its route has
// chosen now. An empty name is unknown.
func (j *job) useService(name string) error {
	if name == "" || name == j.service.Name {
		return nil
	}
	if table := j.core.Table(); j.route.Allows(name) && table != nil {
		if service, ok := table.Service(name); ok {
			j.service, j.outcome.Service, j.cachedParts = service, name, nil
			return nil
		}
	}
	return refuse(verdict.CodeStreamUnknown, "the route no longer allows the service at which the stream began", retryAfterGone)
}

// bind binds a stream to the software version of the endpoint that sends its first event.
func (j *job) bind(software string) {
	if j.bound {
		return
	}
	j.bound, j.software = true, software
	if j.route.Resumable {
		j.core.streams.Begin(j.service.Name, j.outcome.Customer, j.req.ID, software)
	}
}

// endStream records that a stream that began in this response is complete.
func (j *job) endStream() {
	if j.bound && j.route.Resumable && j.req.LastEventID == "" {
		j.core.streams.End(j.outcome.Customer, j.req.ID)
	}
}

// mayContinue reports whether the response of another run may follow what the caller has received. A stream that began at
// an unknown software version cannot be continued: no endpoint is known to have the same one.
func (j *job) mayContinue() bool { return j.delivered.resumable() && !j.softwareUnknown() }

// softwareUnknown reports whether a stream began at an endpoint whose software version is not known.
func (j *job) softwareUnknown() bool { return j.bound && j.software == "" }

// noteResumption records whether an interrupted stream is resumed. Before the first event there is nothing to resume.
func (j *job) noteResumption(r Resumption) {
	if j.delivered.started() {
		j.outcome.Resumed = r
	}
}
