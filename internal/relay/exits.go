package relay

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// An exit is the end of an endpoint's process as this instance observes it: the endpoint's address refuses connections,
// or another process has started under its ID. The exit of an endpoint that was not known to be leaving is a crash, and
// only such exits are reported here and recorded as a quarantine.Crash.

// exitProber determines whether an endpoint's process has exited. Requests that are interrupted at the same endpoint at
// the same time share one probe.
type exitProber struct{ inFlight singleflight.Group }

// probe calls f once for all concurrent calls of the same kind and address.
func (p *exitProber) probe(kind, addr string, f func(context.Context) bool) bool {
	exited, _, _ := p.inFlight.Do(kind+addr, func() (any, error) { return f(context.Background()), nil })
	return exited.(bool) //nolint:forcetypeassert // the function above returns nothing else
}

// endpointExited reports whether the endpoint of an interrupted attempt has exited. The exit of an endpoint that is
// known to be leaving does not count. If a first probe does not detect an exit, further probes run in the background,
// and onDelayed is called if one of them detects it.
func (j *job) endpointExited(lease *pool.Lease, onDelayed func()) bool {
	switch lease.ProcessState() {
	case pool.ProcessLeaving:
		return false
	case pool.ProcessEnded:
		return true
	case pool.ProcessRunning:
	}
	e, c := lease.Endpoint(), j.core
	if c.exits.probe("now ", e.Addr, func(ctx context.Context) bool { return c.refuses(ctx, e, c.Client.Refused) }) {
		return true
	}
	go func() {
		if c.exits.probe("soon ", e.Addr, func(ctx context.Context) bool { return c.refuses(ctx, e, c.Client.RefusedSoon) }) {
			onDelayed()
		}
	}()
	return false
}

// recordExit reports whether the endpoint of an interrupted attempt has exited, and records the exit in the quarantine
// tracker. events states whether the attempt had forwarded events.
func (j *job) recordExit(lease *pool.Lease, began time.Time, events bool) bool {
	digest, endpoint := j.digest(), lease.Endpoint()
	j.outcome.Digest = digest.String()
	crash := quarantine.Crash{Run: endpoint.Run(), Began: began, Ended: j.core.now(), Streamed: events}
	record := j.crashRecorder(crash)
	exited := j.endpointExited(lease, func() {
		record()
		j.core.onDelayedExit(DelayedExit{Digest: digest.String(), Endpoint: endpoint.ID})
	})
	if exited {
		record()
	}
	return exited
}

// crashRecorder returns the function that records a crash under the request and, unless the attempt has shown that
// they are sound, under the parts of its prompt.
func (j *job) crashRecorder(crash quarantine.Crash) func() {
	digest, customer, service, tracker := j.digest(), j.outcome.Customer, j.service.Name, j.core.suspects
	var parts []quarantine.Part
	if !j.partsSurvived(crash.Ended) {
		parts = j.sharedParts()
	}
	return func() {
		tracker.RecordCrash(digest, customer, crash)
		tracker.RecordPartCrash(service, parts, crash)
	}
}

// partsSurvived reports whether the attempt in progress has written on the parts of its prompt for so long that none
// of them crashes endpoints.
func (j *job) partsSurvived(now time.Time) bool {
	return !j.wroteAt.IsZero() && now.Sub(j.wroteAt) >= quarantine.PartSurvival
}

// checkQuarantine rejects a request if several endpoints have exited while they ran it, or others with a part of its
// prompt. It does so before tokens are reserved for the request. Each further run might interrupt all other requests at
// its endpoint.
func (j *job) checkQuarantine() error {
	for _, s := range j.quarantineSubjects() {
		if !j.core.suspects.Suspected(s.digest) {
			continue
		}
		decision, after := j.core.suspects.Enter(s.digest)
		if decision == quarantine.Run {
			j.admitted = append(j.admitted, s.digest)
			continue
		}
		j.leaveQuarantine()
		j.outcome.Digest = j.digest().String()
		if decision == quarantine.Wait {
			return refuse(verdict.CodeQuarantined, s.waitDetail, retryAfterLong)
		}
		return refuse(verdict.CodeQuarantined, s.refusedDetail, after)
	}
	return nil
}

// quarantineSubject is the request, or a part of its prompt, that may be in quarantine.
type quarantineSubject struct {
	digest        quarantine.Digest
	waitDetail    string
	refusedDetail string
}

const (
	requestRefused = "several endpoints ended while they ran this request before; it is kept from the others for a while and has not run this time"
	requestWaits   = "the endpoints that ran this request before have ended, and another run of it is under way"
	partRefused    = "several endpoints ended while they ran requests with a part of this prompt; these are kept from the others for a while, and this one has not run"
	partWaits      = "endpoints have ended that ran requests with a part of this prompt, and another run of one is under way"
)

// quarantineSubjects returns the request and the parts of its prompt, unless nothing similar is under suspicion.
func (j *job) quarantineSubjects() []quarantineSubject {
	var out []quarantineSubject
	if j.core.suspects.Suspects(j.outcome.Customer) {
		out = append(out, quarantineSubject{digest: j.digest(), waitDetail: requestWaits, refusedDetail: requestRefused})
	}
	if j.partsSuspected() {
		for _, p := range j.sharedParts() {
			out = append(out, quarantineSubject{digest: p.Digest, waitDetail: partWaits, refusedDetail: partRefused})
		}
	}
	return out
}

// partsSuspected reports whether any part of the prompts of the request's service is under suspicion.
func (j *job) partsSuspected() bool {
	return len(j.req.SharedParts()) > 0 && j.core.suspects.Suspects(quarantine.PartScope(j.service.Name))
}

// maxSuspectParts limits the parts of one prompt that are recorded.
const maxSuspectParts = 16

// sharedParts returns the parts of the prompt that other requests may share.
func (j *job) sharedParts() []quarantine.Part {
	if j.cachedParts == nil {
		shared := j.req.SharedParts()
		j.cachedParts = make([]quarantine.Part, 0, len(shared))
		for _, p := range shared[:min(len(shared), maxSuspectParts)] {
			j.cachedParts = append(j.cachedParts, quarantine.PartOf(j.service.Name, p.ID))
		}
	}
	return j.cachedParts
}

func (j *job) leaveQuarantine() {
	for _, d := range j.admitted {
		j.core.suspects.Leave(d)
	}
	j.admitted = nil
}

// quarantinedMeanwhile returns why a request was quarantined after it was admitted, while it waited for its budget or
// for a second attempt. It returns an empty string if it was not.
func (j *job) quarantinedMeanwhile() (detail string) {
	for _, s := range j.quarantineSubjects() {
		if j.core.suspects.Quarantined(s.digest) {
			return s.refusedDetail
		}
	}
	return ""
}

// giveUpQuarantined ends a request that was quarantined after it was admitted.
func (j *job) giveUpQuarantined(ctx context.Context, failure *failedResponse, detail string) error {
	j.outcome.Digest = j.digest().String()
	if !j.mayHaveRun && !j.delivered.started() && failure == nil {
		return refuse(verdict.CodeQuarantined, detail, retryAfterLong)
	}
	return j.giveUp(ctx, failure, resultBroken)
}

// onlyCallerMayRetry reports whether this instance no longer retries the request, because two endpoints in a row have
// exited while they ran it, or others with a part of its prompt.
func (j *job) onlyCallerMayRetry() bool {
	return slices.ContainsFunc(j.quarantineSubjects(), func(s quarantineSubject) bool { return j.core.suspects.NoRetry(s.digest) })
}

// clearSuspicion records that the request was served completely, so that it is no longer under suspicion.
func (j *job) clearSuspicion() {
	if j.core.suspects.Suspects(j.outcome.Customer) {
		j.core.suspects.RecordSuccess(j.digest())
	}
	if j.partsSuspected() {
		j.core.suspects.RecordPartSuccess(j.sharedParts(), j.wroteAt)
	}
}

// partCheckInterval limits how often a stream clears parts that have come under suspicion.
const partCheckInterval = 100 * time.Millisecond

// notePartsWritten records that the endpoint has written an event. Once it has done so for a while, the parts of the
// prompt are cleared.
func (j *job) notePartsWritten(now time.Time) {
	if j.wroteAt.IsZero() {
		j.wroteAt = now
	}
	if !j.partsSurvived(now) || now.Before(j.nextPartCheck) || !j.partsSuspected() {
		return
	}
	j.nextPartCheck = now.Add(partCheckInterval)
	j.core.suspects.RecordPartSuccess(j.sharedParts(), j.wroteAt)
}

// DelayedExit describes the exit of an endpoint's process that was detected only after the outcome of the interrupted
// request was reported.
type DelayedExit struct {
	Digest   string // of the request
	Endpoint string
}

// digest identifies the request by its content, regardless of its ID.
func (j *job) digest() quarantine.Digest {
	if j.cachedDigest == nil {
		customer := ""
		if j.customer != nil {
			customer = j.customer.Name
		}
		d := quarantine.DigestOf(customer, j.req.Method, j.req.Host, j.req.Target, j.req.Body)
		j.cachedDigest = &d
	}
	return *j.cachedDigest
}
