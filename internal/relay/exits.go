package relay

import (
	"context"
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
	digest, customer, endpoint := j.digest(), j.outcome.Customer, lease.Endpoint()
	j.outcome.Digest = digest.String()
	crash := quarantine.Crash{Run: endpoint.Run(), Began: began, Ended: j.core.now(), Streamed: events}
	exited := j.endpointExited(lease, func() {
		j.core.suspects.RecordCrash(digest, customer, crash)
		j.core.onDelayedExit(DelayedExit{Digest: digest.String(), Endpoint: endpoint.ID})
	})
	if exited {
		j.core.suspects.RecordCrash(digest, customer, crash)
	}
	return exited
}

// checkQuarantine rejects a request if several endpoints have exited while they ran it. It does so before tokens are
// reserved for the request. Each further run might interrupt all other requests at its endpoint.
func (j *job) checkQuarantine() error {
	if !j.core.suspects.Suspects(j.outcome.Customer) {
		return nil
	}
	decision, after := j.core.suspects.Enter(j.digest())
	switch decision {
	case quarantine.Refuse:
		j.outcome.Digest = j.digest().String()
		return refuse(verdict.CodeQuarantined, quarantinedDetail, after)
	case quarantine.Wait:
		j.outcome.Digest = j.digest().String()
		return refuse(verdict.CodeQuarantined, "the endpoints that ran this request before have ended, and another run of it is under way", retryAfterLong)
	case quarantine.Run:
	}
	j.suspectAdmitted = true
	return nil
}

const quarantinedDetail = "several endpoints ended while they ran this request before; it is kept from the others for a while and has not run this time"

func (j *job) leaveQuarantine() {
	if j.suspectAdmitted {
		j.core.suspects.Leave(j.digest())
	}
}

// quarantinedMeanwhile reports whether a request was quarantined after it was admitted, while it waited for its budget
// or for a second attempt.
func (j *job) quarantinedMeanwhile() bool {
	return j.core.suspects.Suspects(j.outcome.Customer) && j.core.suspects.Quarantined(j.digest())
}

// giveUpQuarantined ends a request that was quarantined after it was admitted.
func (j *job) giveUpQuarantined(ctx context.Context, failure *failedResponse) error {
	j.outcome.Digest = j.digest().String()
	if !j.mayHaveRun && !j.headerSent && failure == nil {
		return refuse(verdict.CodeQuarantined, quarantinedDetail, retryAfterLong)
	}
	return j.giveUp(ctx, failure, resultBroken)
}

// onlyCallerMayRetry reports whether this instance no longer retries the request, because two endpoints in a row have
// exited while they ran it.
func (j *job) onlyCallerMayRetry() bool {
	return j.core.suspects.Suspects(j.outcome.Customer) && j.core.suspects.NoRetry(j.digest())
}

// clearSuspicion records that the request was served completely, so that it is no longer under suspicion.
func (j *job) clearSuspicion() {
	if j.core.suspects.Suspects(j.outcome.Customer) {
		j.core.suspects.RecordSuccess(j.digest())
	}
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
