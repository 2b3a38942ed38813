package relay

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/quarantine"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// endings finds out whether an endpoint's process has ended, once for all requests that broke off there at the same moment.
type endings struct{ looks singleflight.Group }

// look asks once for all that ask at the same moment.
func (e *endings) look(what, addr string, f func(context.Context, string) bool) bool {
	ended, _, _ := e.looks.Do(what+addr, func() (any, error) { return f(context.Background(), addr), nil })
	return ended.(bool) //nolint:forcetypeassert // the function above returns nothing else
}

// ended looks whether the endpoint of an attempt that broke off has ended with it. An endpoint whose planned end is known proves nothing.
// What a first look does not show is looked for again beside the request, and told by late.
func (j *job) ended(lease *pool.Lease, late func()) bool {
	switch lease.ProcessState() {
	case pool.ProcessLeaving:
		return false
	case pool.ProcessEnded:
		return true
	case pool.ProcessRunning:
	}
	addr := lease.Endpoint().Addr
	if j.core.endings.look("now ", addr, j.core.Client.Refused) {
		return true
	}
	go func() {
		if j.core.endings.look("soon ", addr, j.core.Client.RefusedSoon) {
			late()
		}
	}()
	return false
}

// sawEnd notes whether the endpoint of an attempt that broke off has ended with it. events reports whether the attempt had passed events on.
func (j *job) sawEnd(lease *pool.Lease, began time.Time, events bool) bool {
	digest, customer, endpoint := j.digest(), j.outcome.Customer, lease.Endpoint()
	j.outcome.Digest = digest.String()
	end := quarantine.Crash{Run: endpoint.Run(), Began: began, Ended: j.core.now(), Streamed: events}
	ended := j.ended(lease, func() {
		j.core.suspects.RecordCrash(digest, customer, end)
		j.core.late(DelayedExit{Digest: digest.String(), Endpoint: endpoint.ID})
	})
	if ended {
		j.core.suspects.RecordCrash(digest, customer, end)
	}
	return ended
}

// enter refuses a request at once that several endpoints did not outlive, before anything is reserved for it. Each further run would break off
// all else that its endpoint runs.
func (j *job) enter() error {
	if !j.core.suspects.Suspects(j.outcome.Customer) {
		return nil
	}
	decision, after := j.core.suspects.Enter(j.digest())
	switch decision {
	case quarantine.Refuse:
		j.outcome.Digest = j.digest().String()
		return refuse(verdict.CodeQuarantined, heldDetail, after)
	case quarantine.Wait:
		j.outcome.Digest = j.digest().String()
		return refuse(verdict.CodeQuarantined, "the endpoints that ran this request before have ended, and another run of it is under way", retrySoon)
	case quarantine.Run:
	}
	j.entered = true
	return nil
}

const heldDetail = "several endpoints ended while they ran this request before; it is kept from the others for a while and has not run this time"

func (j *job) leave() {
	if j.entered {
		j.core.suspects.Leave(j.digest())
	}
}

// heldMeanwhile reports whether a request that was let in is kept back by now: it waited for its budget, or for its second attempt.
func (j *job) heldMeanwhile() bool {
	return j.core.suspects.Suspects(j.outcome.Customer) && j.core.suspects.Quarantined(j.digest())
}

// giveUpHeld tells the caller that the request does not go to another endpoint.
func (j *job) giveUpHeld(ctx context.Context, failure *kept) error {
	j.outcome.Digest = j.digest().String()
	if !j.ran && !j.begun && failure == nil {
		return refuse(verdict.CodeQuarantined, heldDetail, retrySoon)
	}
	return j.giveUp(ctx, failure, resultBroken)
}

// lone reports whether only its caller may send a request again: two endpoints in a row did not outlive it.
func (j *job) lone() bool {
	return j.core.suspects.Suspects(j.outcome.Customer) && j.core.suspects.NoRetry(j.digest())
}

// endedWell clears a request of suspicion.
func (j *job) endedWell() {
	if j.core.suspects.Suspects(j.outcome.Customer) {
		j.core.suspects.RecordSuccess(j.digest())
	}
}

// DelayedExit reports that an endpoint was seen to have ended only after the request that broke off there had been told of.
type DelayedExit struct {
	Digest   string // of the request
	Endpoint string
}

// digest names the request by what it asks, whatever its ID.
func (j *job) digest() quarantine.Digest {
	if j.known == nil {
		customer := ""
		if j.customer != nil {
			customer = j.customer.Name
		}
		p := quarantine.Of(customer, j.req.Method, j.req.Host, j.req.Target, j.req.Body)
		j.known = &p
	}
	return *j.known
}
