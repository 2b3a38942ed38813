package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/route"
	"github.com/ledgemount/ledgemount/internal/upstream"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// result is the outcome of one attempt.
type result int

const (
	resultDone           result = iota // the caller has received a complete response
	resultUnsent                       // the endpoint could not be reached, so nothing was sent
	resultRemoteUnsent                 // another instance, which has a path to endpoints, could not reach it either
	resultNoPath                       // this instance has lost its path to all endpoints; nothing was sent
	resultNotRun                       // the endpoint reports that it did not run the request
	resultFailed                       // the endpoint responded with a server error; the response is stored if it may still be sent
	resultFailureSent                  // the caller has received a complete response with a server error
	resultFailureDropped               // the same with a response too long to store; another attempt has been granted
	resultBroken                       // the request may have run; its response is lost or incomplete
	resultUnrelated                    // the request ran, and its response does not continue the one that the caller has in part
	resultCallerLeft                   // the caller disconnected, or does not accept the response
	resultWithdrawn                    // nothing was sent, because the endpoint no longer accepts the request
)

// failedResponse is a response with a server error. The caller gets it if no other attempt succeeds.
type failedResponse struct {
	status int
	header http.Header
	length int64 // as the header states it; -1: not stated
	body   []byte
}

// dispatch sends the request to endpoints until one responds or no further attempt is possible.
func (j *job) dispatch(ctx context.Context) error {
	var failure *failedResponse
	for {
		if detail := j.quarantinedMeanwhile(); detail != "" {
			return j.giveUpQuarantined(ctx, failure, detail)
		}
		if j.pathLost() {
			return j.giveUp(ctx, failure, resultUnsent)
		}
		lease := j.pick()
		if lease == nil {
			j.noteResumption(ResumptionNoEndpoint)
			return j.giveUp(ctx, failure, resultUnsent)
		}
		j.noteResumption(ResumptionSame)
		res, response := j.try(ctx, lease)
		switch res {
		case resultDone:
			j.clearSuspicion()
			j.endStream()
			return nil
		case resultFailureSent:
			return nil
		case resultWithdrawn, resultFailureDropped:
			continue
		case resultFailed:
			failure = response
		case resultUnsent, resultRemoteUnsent, resultNoPath:
			if res == resultNoPath {
				delete(j.tried, lease.Endpoint().ID) // it may be reached through another instance
			}
			j.countDial(res)
			if j.mayDial(ctx) {
				continue
			}
			res = resultUnsent
		case resultNotRun, resultBroken, resultUnrelated, resultCallerLeft:
		}
		if !j.shouldRetry(ctx, res) {
			return j.giveUp(ctx, failure, res)
		}
	}
}

// countDial counts a connection attempt that failed with the given result.
func (j *job) countDial(res result) {
	if res == resultRemoteUnsent || j.dialFailure == upstream.DialRefused {
		j.refusedDials++
	} else {
		j.failedDials++
	}
}

// mayDial reports whether another endpoint is tried after connection attempts that failed.
func (j *job) mayDial(ctx context.Context) bool {
	return j.failedDials < maxDials && j.refusedDials < maxRefusedDials && ctx.Err() == nil && !j.pathLost()
}

// query returns the criteria by which an endpoint is picked.
func (j *job) query() pool.Query {
	q := pool.Query{
		Service: j.service.Name, Affinity: j.req.AffinityKey(), Prompt: j.req.TokensIn, Shared: j.req.SharedTokens(),
		Target: j.route.Objective, Gap: j.route.Gap, Tried: j.tried,
		Regions: route.AllowedRegions(j.route, j.customer), Software: j.software,
	}
	if j.core.noAffinity {
		q.Affinity = ""
	}
	return q
}

func (j *job) pick() *pool.Lease {
	q := j.query()
	lease := j.core.Pool.Pick(q)
	if lease == nil {
		j.availability = j.core.Pool.Availability(q)
		return nil
	}
	j.tried[lease.Endpoint().ID] = true
	return lease
}

// checkEndpoints rejects a request that no endpoint accepts now, before tokens are reserved for it.
func (j *job) checkEndpoints() error {
	if j.availability = j.core.Pool.Availability(j.query()); j.availability.Open && !j.pathLost() {
		return nil
	}
	return j.noEndpoint()
}

// noEndpoint returns the error for a request that no endpoint accepts. If the endpoints have asked for a back-off, the
// caller may retry a random delay after the first of them is available again. Without the random delay, all callers
// that were rejected in the meantime would retry at the same moment.
func (j *job) noEndpoint() error {
	backoff := j.availability.Backoff
	switch {
	case j.availability.Full:
		return refuse(verdict.CodeEndpointRefused, "the endpoints have as much as they bear", retryAfterShort)
	case j.availability.Limited:
		return refuse(verdict.CodeEndpointLimit, "the endpoints have had as many requests as they say that they take", j.nextRetry())
	case j.pathLost():
		return refuse(verdict.CodeNoEndpoint, "this instance reaches no endpoint, neither itself nor through another instance", retryAfterLong)
	case backoff <= 0 && j.software != "" && j.core.Pool.FormerSoftware(j.service.Name, j.software):
		return refuse(verdict.CodeNoEndpoint, "no endpoint of the software version at which the stream began is left", retryAfterGone)
	case backoff <= 0:
		return refuse(verdict.CodeNoEndpoint, "no endpoint takes work or can be reached", retryAfterLong)
	}
	spread := j.core.random() * float64(max(retryAfterLong, min(backoff, maxSpread)))
	return refuse(verdict.CodeNoEndpoint, "all endpoints that take work have asked for rest", backoff+time.Duration(spread))
}

// nextRetry returns the delay until the retry slot that is assigned to this caller, if the endpoints accept only a few
// requests per second.
func (j *job) nextRetry() time.Duration {
	return j.core.retrySlots.next(j.service.Name, j.availability.Rate, j.core.now()) + time.Duration(j.core.random()*float64(retryAfterLong))
}

// maxSpread limits the random delay of callers that were rejected while all endpoints asked for a back-off.
const maxSpread = 2 * time.Second

// shouldRetry reports whether the request is sent to another endpoint.
func (j *job) shouldRetry(ctx context.Context, res result) bool {
	if ctx.Err() != nil || j.attempts >= j.route.MaxAttempts {
		return false
	}
	if !j.mayContinue() {
		if j.softwareUnknown() {
			j.noteResumption(ResumptionUnknown)
		}
		return false
	}
	switch res {
	case resultNotRun:
	case resultFailed, resultBroken, resultUnrelated:
		if !j.route.Repeatable() || (res == resultBroken && j.onlyCallerMayRetry()) {
			return false
		}
	case resultDone, resultUnsent, resultRemoteUnsent, resultNoPath, resultCallerLeft, resultWithdrawn, resultFailureSent, resultFailureDropped:
		return false
	}
	if remaining, ok := j.remaining(); ok && remaining < minRemaining {
		return false
	}
	return j.core.Retries.Take(j.service.Name)
}

// minRemaining is the remaining time below which another attempt cannot succeed.
const minRemaining = 30 * time.Millisecond

// giveUp ends a request for which no further attempt is made. It sends the caller the last failed response if there is
// one, and returns an error otherwise.
func (j *job) giveUp(ctx context.Context, failure *failedResponse, res result) error {
	switch {
	case j.delivered.started():
		return j.truncated(ctx, res)
	case failure != nil:
		j.sendHeader(failure.status, failure.header, failure.length, partSent)
		_ = j.forward(failure.body)
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded), j.deadlinePassed(ctx):
		return j.timedOut()
	case ctx.Err() != nil:
		return verdict.New(j.verdict(), verdict.CodeCancelled, "the caller left")
	case !j.mayHaveRun && res == resultUnsent:
		return j.noEndpoint()
	case !j.mayHaveRun:
		return refuse(verdict.CodeEndpointRefused, "the endpoints did not run it", retryAfterShort)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the endpoint's answer was lost")
}

// truncated returns the error for a response that has been started and cannot be completed.
func (j *job) truncated(ctx context.Context, res result) error {
	code, detail := verdict.CodeTruncated, "the endpoint broke its answer off, and nothing else could complete it"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), j.deadlinePassed(ctx):
		code, detail = verdict.CodeTimeout, "the time was up in the middle of the answer"
	case ctx.Err() != nil, res == resultCallerLeft:
		code, detail = verdict.CodeCancelled, "the caller left in the middle of the answer"
	}
	return verdict.New(verdict.Ran, code, detail, verdict.WithCause(ErrBroken))
}

func (j *job) timedOut() error {
	if j.mayHaveRun {
		return verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "the time was up before an answer came")
	}
	return refuse(verdict.CodeDeadline, "the time was up before an endpoint could run it", retryAfterShort)
}

func (j *job) verdict() verdict.Verdict {
	if j.mayHaveRun {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// try makes one attempt: it sends the request to an endpoint and forwards the response.
func (j *job) try(ctx context.Context, lease *pool.Lease) (result, *failedResponse) {
	began := j.core.now()
	events, forwarded := j.events, j.forwarded
	j.dialFailure, j.fault, j.via, j.wroteAt = "", "", "", time.Time{}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wd := j.watch(lease, cancel)
	res, failure := j.exchange(ctx, lease, wd)
	wd.stop()
	if res == resultBroken && ctx.Err() != nil && !wd.stalled() {
		res = resultCallerLeft
	}
	if wd.stalled() {
		j.core.Client.CloseIdle(lease.Endpoint().Addr) // other idle connections to it may be dead too
	}
	lease.Done(poolEnd(res))
	j.outcome.Endpoints = append(j.outcome.Endpoints, AttemptOutcome{
		Endpoint: lease.Endpoint().ID, Software: lease.Endpoint().Software, Reason: string(lease.Reason()), SkipReason: string(lease.Exclusion()), Result: resultNames[res], At: began.Sub(j.req.Arrived), Forwarded: j.forwarded - forwarded,
		DialFailure: j.dialFailure, ProtocolFault: j.fault, Via: j.via, ProcessExited: res == resultBroken && !wd.stalled() && j.recordExit(lease, began, j.events > events),
	})
	return res, failure
}

var resultNames = map[result]string{
	resultDone: "done", resultUnsent: "unreachable", resultRemoteUnsent: "unreachable-forwarded", resultNoPath: "no-path", resultNotRun: "not-run", resultFailed: "failed", resultBroken: "broken",
	resultFailureSent: "failed-sent", resultFailureDropped: "failed-dropped", resultUnrelated: "unrelated", resultCallerLeft: "left", resultWithdrawn: "withdrawn",
}

func poolEnd(res result) pool.End {
	switch res {
	case resultDone:
		return pool.EndGood
	case resultFailed, resultFailureSent, resultFailureDropped:
		return pool.EndFailed
	case resultUnsent:
		return pool.EndUnreachable
	case resultRemoteUnsent:
		return pool.EndRemoteFailed
	case resultNoPath:
		return pool.EndUnsent
	case resultBroken:
		return pool.EndBroken
	case resultNotRun:
		return pool.EndBusy
	case resultWithdrawn:
		return pool.EndUnsent
	case resultCallerLeft, resultUnrelated:
	}
	return pool.EndNeutral
}

// exchange sends the request, reads the response header, and forwards the response if it is acceptable.
func (j *job) exchange(ctx context.Context, lease *pool.Lease, wd *watchdog) (result, *failedResponse) {
	e := lease.Endpoint()
	a := Attempt{Endpoint: e.ID, LastEventID: j.delivered.lastEventID}
	if a.LastEventID == "" {
		a.LastEventID = j.req.LastEventID
	}
	if j.customer != nil {
		a.Customer = j.customer.Name
	}
	if remaining, ok := j.remaining(); ok {
		a.Remaining = max(remaining, time.Millisecond)
	}
	outbound := j.core.Dialect.Outbound(j.req, a)
	sent := j.core.now()
	outbound.OnDial = func(took time.Duration, err error) { j.core.onDial(e.Zone, took, err) }
	outbound.ShouldSend = lease.StillValid
	outbound.HeaderTimeout = j.headerTimeout()
	j.setPath(outbound, e)
	res, err := j.core.Client.Do(ctx, e.Addr, outbound)
	switch {
	case errors.Is(err, upstream.ErrWithdrawn):
		return resultWithdrawn, nil
	case errors.Is(err, upstream.ErrNotSent):
		return j.unsentResult(ctx, e, outbound, err), nil
	}
	j.attempts++
	if err != nil {
		j.mayHaveRun = true
		j.fault = upstream.ProtocolFaultOf(err)
		return resultBroken, nil
	}
	defer func() { _ = res.Body.Close() }()
	wd.received()
	reading := j.core.Dialect.Read(j.req, res)
	if reading.Genuine || (reading.NotRun && !reading.Moved) {
		lease.ObserveNotice(reading.Notice, pool.ResponseInfo{Request: j.req.ID, Status: res.Status})
	}
	if reading.Genuine && res.Status < http.StatusInternalServerError {
		lease.Accepted()
	}
	switch {
	case reading.Moved:
		lease.Done(pool.EndMoved)
		return resultNotRun, nil
	case reading.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxDrain))
		return resultNotRun, nil
	case !reading.Genuine:
		j.mayHaveRun = true
		return resultBroken, nil
	}
	j.mayHaveRun = true
	if j.isStream(res) {
		return j.relayStream(res, wd, lease, sent), nil
	}
	if j.delivered.started() {
		return unrelatedResult(res.Status), nil
	}
	return j.relayBuffered(ctx, res, wd)
}

// headerTimeout returns the time from the first bytes of a header to its end; 0: the default. If the request may be retried
// at another endpoint, a slow header is treated like a silent endpoint.
func (j *job) headerTimeout() time.Duration {
	if !j.hasOtherAttempt() {
		return 0
	}
	return j.core.stallTimeout
}

// hasOtherAttempt reports whether the request may be sent to another endpoint if the attempt in progress fails.
func (j *job) hasOtherAttempt() bool {
	return j.route.Repeatable() && j.attempts+1 < j.route.MaxAttempts
}

// unrelatedResult returns the result of an attempt to resume a stream whose response is no stream. It is not forwarded.
func unrelatedResult(status int) result {
	if status >= http.StatusInternalServerError {
		return resultFailed
	}
	return resultUnrelated
}

// maxDrain limits how many bytes of an unneeded response are read so that its connection can be reused.
const maxDrain = 4 << 10
