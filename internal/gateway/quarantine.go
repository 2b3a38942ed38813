package gateway

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/ledgemount/ledgemount/internal/endpoint/wire"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// Prober detects whether an endpoint's process has exited. upstream.Client implements it.
type Prober interface {
	// Refused reports whether a new connection to an address is refused now.
	Refused(ctx context.Context, addr string) bool
	// RefusedSoon reports whether a new connection is refused now or shortly afterwards.
	RefusedSoon(ctx context.Context, addr string) bool
}

// Times after which a rejected caller may retry.
const (
	retryAfterRunning    = 400 * time.Millisecond // another run of the request is in progress
	retryAfterNoEndpoint = time.Second            // no endpoint accepts work
)

// requestDigest returns the digest of the request's customer and content, which does not depend on the request's ID.
func (j *job) requestDigest() quarantine.Digest {
	if j.plain != nil {
		return quarantine.DigestOf(j.customer, j.plain.method, j.pool, j.plain.path, j.plain.body)
	}
	return quarantine.DigestOf(j.customer, http.MethodPost, j.pool, wire.PathCompletions, j.body)
}

// admitSuspect rejects a request that is quarantined because several endpoints crashed while they ran it. After two
// crashes in a row it admits one run of the request at a time.
func (j *job) admitSuspect() error {
	if !j.g.suspects.Suspects(j.customer) {
		return nil
	}
	decision, after := j.g.suspects.Enter(j.requestDigest())
	switch decision {
	case quarantine.Refuse:
		return quarantineError("several endpoints ended while they ran this request before; it is kept from the others for a while", after)
	case quarantine.Wait:
		return quarantineError("the endpoints that ran this request before have ended, and another run of it is under way", retryAfterRunning)
	case quarantine.Run:
	}
	j.admittedAsSuspect = true
	return nil
}

func quarantineError(detail string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, detail, verdict.WithRetryAfter(after))
}

func (j *job) releaseSuspect() {
	if j.admittedAsSuspect {
		j.g.suspects.Leave(j.requestDigest())
	}
}

// noRetry reports whether only the caller may retry the request, because two endpoints in a row crashed while they ran it.
func (j *job) noRetry() bool {
	return j.g.suspects.Suspects(j.customer) && j.g.suspects.NoRetry(j.requestDigest())
}

// detectCrash records a crash if the endpoint's process exited during an attempt that was interrupted. An endpoint
// that is leaving (it drains, announced its exit or was removed) has not crashed.
func (j *job) detectCrash(ctx context.Context, t targets.Target, started time.Time, err error) {
	if code := verdict.From(err).Code(); code != verdict.CodeTruncated && code != verdict.CodeEndpointFailed {
		return
	}
	u, parseErr := url.Parse(t.URL)
	if parseErr != nil || t.Lease.ProcessState() == pool.ProcessLeaving {
		return
	}
	digest, customer := j.requestDigest(), j.customer
	crash := quarantine.Crash{Run: t.ID, Began: started, Ended: j.g.now(), Streamed: j.streamed}
	if j.g.prober.Refused(ctx, u.Host) {
		j.g.recordCrash(digest, customer, crash)
		return
	}
	j.g.work.run(func() {
		if j.g.prober.RefusedSoon(context.Background(), u.Host) {
			j.g.recordCrash(digest, customer, crash)
		}
	})
}

// recordCrash records that an endpoint crashed while it ran a request.
func (g *Gateway) recordCrash(digest quarantine.Digest, customer string, crash quarantine.Crash) {
	quarantine.LogCrash(g.log, crash.Run, digest.String())
	g.suspects.RecordCrash(digest, customer, crash)
}

// onQuarantineChange logs that a request enters or leaves quarantine, and counts those that enter.
func (g *Gateway) onQuarantineChange(c quarantine.Change) {
	if c.Quarantined {
		g.metrics.quarantined.Inc(1)
	}
	quarantine.LogChanges(g.log)(c)
}

// checkAvailability rejects a request immediately if no endpoint of its pool accepts it now. A pool that is merely full
// does not count: the request waits at the gate.
func (j *job) checkAvailability() error {
	if o := j.g.targets.Availability(j.pool); !o.Open && !o.Full {
		return j.noEndpoint(o)
	}
	return nil
}

func (j *job) noEndpoint(o pool.Availability) error {
	detail, after := "no endpoint of pool "+j.pool+" can take the request", retryAfterNoEndpoint
	if o.Backoff > 0 {
		detail, after = "all endpoints of pool "+j.pool+" that take work have asked for rest", o.Backoff
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, detail, verdict.WithRetryAfter(after))
}
