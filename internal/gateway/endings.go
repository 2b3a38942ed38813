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

// Prober finds out whether an endpoint's process has ended: upstream.Client.
type Prober interface {
	// Refused reports whether a new connection to an address is refused now.
	Refused(ctx context.Context, addr string) bool
	// RefusedSoon reports whether it is within a moment.
	RefusedSoon(ctx context.Context, addr string) bool
}

// Times after which a caller that was refused may come back.
const (
	retryRunning  = 400 * time.Millisecond // another run of the request is under way
	retryEndpoint = time.Second            // no endpoint takes work
)

// asks names what the request asks for, whatever its ID.
func (j *job) asks() quarantine.Digest {
	if j.plain != nil {
		return quarantine.Of(j.customer, j.plain.method, j.pool, j.plain.path, j.plain.body)
	}
	return quarantine.Of(j.customer, http.MethodPost, j.pool, wire.PathCompletions, j.body)
}

// enter refuses a request at once that several endpoints did not outlive, and lets one run of it at a time after two.
func (j *job) enter() error {
	if !j.g.suspects.Suspects(j.customer) {
		return nil
	}
	decision, after := j.g.suspects.Enter(j.asks())
	switch decision {
	case quarantine.Refuse:
		return quarantined("several endpoints ended while they ran this request before; it is kept from the others for a while", after)
	case quarantine.Wait:
		return quarantined("the endpoints that ran this request before have ended, and another run of it is under way", retryRunning)
	case quarantine.Run:
	}
	j.entered = true
	return nil
}

func quarantined(detail string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeQuarantined, detail, verdict.WithRetryAfter(after))
}

func (j *job) leave() {
	if j.entered {
		j.g.suspects.Leave(j.asks())
	}
}

// lone reports whether only its caller may send the request again: two endpoints in a row did not outlive it.
func (j *job) lone() bool {
	return j.g.suspects.Suspects(j.customer) && j.g.suspects.NoRetry(j.asks())
}

// sawEnd notes that the endpoint of an attempt that broke off has ended with it.
func (j *job) sawEnd(ctx context.Context, t targets.Target, began time.Time, err error) {
	if code := verdict.From(err).Code(); code != verdict.CodeTruncated && code != verdict.CodeEndpointFailed {
		return
	}
	u, uerr := url.Parse(t.URL)
	if uerr != nil || t.Lease.ProcessState() == pool.ProcessLeaving {
		return
	}
	digest, customer := j.asks(), j.customer
	end := quarantine.Crash{Run: t.ID, Began: began, Ended: j.g.now(), Streamed: j.begun}
	if j.g.looker.Refused(ctx, u.Host) {
		j.g.endedUnder(digest, customer, end)
		return
	}
	j.g.work.run(func() {
		if j.g.looker.RefusedSoon(context.Background(), u.Host) {
			j.g.endedUnder(digest, customer, end)
		}
	})
}

// endedUnder notes that an endpoint has ended under a request.
func (g *Gateway) endedUnder(digest quarantine.Digest, customer string, end quarantine.Crash) {
	quarantine.LogCrash(g.log, end.Run, digest.String())
	g.suspects.RecordCrash(digest, customer, end)
}

// quarantined logs and counts that a request is kept from endpoints from now on, or logs that it is not any more.
func (g *Gateway) quarantined(c quarantine.Change) {
	if c.Quarantined {
		g.metrics.held.Inc(1)
	}
	quarantine.LogChanges(g.log)(c)
}

// opens refuses a request at once that no endpoint of its pool takes now.
func (j *job) opens() error {
	if o := j.g.targets.Opens(j.pool); !o.Open && !o.Full {
		return j.noEndpoint(o)
	}
	return nil
}

func (j *job) noEndpoint(o pool.Availability) error {
	detail, after := "no endpoint of pool "+j.pool+" can take the request", retryEndpoint
	if o.Rest > 0 {
		detail, after = "all endpoints of pool "+j.pool+" that take work have asked for rest", o.Rest
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoEndpoint, detail, verdict.WithRetryAfter(after))
}
