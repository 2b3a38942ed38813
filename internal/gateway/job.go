package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ledgemount/ledgemount/internal/admit"
	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/declare"
	"github.com/ledgemount/ledgemount/internal/endpoint"
	"github.com/ledgemount/ledgemount/internal/httpcheck"
	"github.com/ledgemount/ledgemount/internal/once"
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// longOutput is the output limit, in tokens, above which a request counts as long.
const longOutput = 512

// job is a request that this instance serves.
type job struct {
	g *Gateway

	id          string
	key         string // the caller's idempotency key, or empty
	fingerprint uint64
	customer    string
	budget      string
	class       string
	priority    int
	deadline    time.Time
	pool        string
	repeatable  bool
	tokens      int64 // upper bound of the cost
	accepted    time.Time

	body   []byte // as sent to an engine
	blocks []uint64
	long   bool
	plain  *plainCall

	transcript        *transcript
	hold              *budget.Hold
	claimed           bool
	claimRun          string              // the run for which the claim was made
	term              int64               // of this job's ownership of the key's record
	registered        bool                // the key's registrar has had a record of this job's ownership
	provisional       bool                // the key's registrar did not answer: another instance may have the request too
	formerOwner       string              // ID of the incarnation from which an undispatched request was taken over
	settledBefore     *budget.ReserveResp // the response of a holder that has billed the request before; nil: there was none
	joined            once.Record         // of the run that this job has taken over; zero: it has taken none over
	mayHaveRun        bool                // an earlier attempt may have run, so the request cannot end as not run
	tried             []string            // IDs of the endpoints of all attempts so far
	attempts          int
	admittedAsSuspect bool // admitted although requests with its digest are suspected of crashing endpoints
	dispatched        bool // the request may have reached an endpoint
	streamed          bool // a piece of the response has arrived
	firstToken        time.Duration
	slowestGap        time.Duration
}

// plainCall holds what only a call of a plain service needs.
type plainCall struct {
	route       declare.Route
	path        string
	method      string
	contentType string
	body        []byte
}

func (j *job) keyed() bool { return j.key != "" }

// run serves the request and finishes it.
func (j *job) run(ctx context.Context) {
	err := j.serve(ctx)
	j.finish(ctx, err)
}

func (j *job) serve(ctx context.Context) error {
	if err := j.g.hook(ctx, step.Admit); err != nil {
		return err
	}
	if err := j.admitSuspect(); err != nil {
		return err
	}
	defer j.releaseSuspect()
	if err := j.checkAvailability(); err != nil {
		return err
	}
	leave, err := j.g.gate(j.pool).Admit(ctx, admit.Request{Priority: j.priority, Customer: j.customer, Long: j.long, Deadline: j.deadline})
	if err != nil {
		return err
	}
	defer leave()
	j.g.retries.Earn(j.customer)
	return j.attemptWithRetries(ctx)
}

// attemptWithRetries makes attempts until one succeeds or another one is not allowed.
func (j *job) attemptWithRetries(ctx context.Context) error {
	for {
		j.attempts++
		err := j.attempt(ctx)
		if err == nil {
			return nil
		}
		e := verdict.From(err)
		j.mayHaveRun = j.mayHaveRun || e.Verdict() != verdict.NotRun
		f := retry.Failure{
			Verdict: e.Verdict(), Code: e.Code(), Attempt: j.attempts, Repeatable: j.repeatable,
			Delivered: j.transcript.delivered(), Remaining: j.deadline.Sub(j.g.now()),
		}
		if ctx.Err() != nil || (e.Verdict() != verdict.NotRun && j.noRetry()) || !retry.ShouldRetry(f) || !j.g.retries.Spend(j.customer) || !j.transcript.reset() {
			return err
		}
		j.g.metrics.retries.Inc(1)
		select {
		case <-time.After(retry.Backoff(j.attempts, j.g.newRand())):
		case <-ctx.Done():
			return err
		}
	}
}

// attempt picks an endpoint, ensures that the request may run there, dispatches it and reads the response.
func (j *job) attempt(ctx context.Context) error {
	t, ok := j.g.targets.Pick(j.pool, j.blocks, j.tried)
	if !ok {
		return j.noEndpoint(j.g.targets.Availability(j.pool))
	}
	defer t.Lease.Done(pool.EndNeutral)
	j.tried = append(j.tried, t.ID)
	place := budget.Place{Run: ulid.Make().String(), Endpoint: t.ID, Attempt: j.attempts}
	place, err := j.prepareRun(ctx, place)
	if err != nil {
		return err
	}
	if err := j.g.hook(ctx, step.Dispatch); err != nil {
		return err
	}
	if !t.Lease.StillValid() {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "the endpoint takes no new work now")
	}
	if err := j.hold.Dispatch(); err != nil {
		j.hold.Settle(0)
		j.hold = nil
		return err
	}
	j.dispatched = true
	started := j.g.now()
	err = j.dispatch(ctx, t, place)
	if err != nil && ctx.Err() == nil {
		j.detectCrash(ctx, t, started, err)
	}
	j.reportOutcome(t, err)
	return err
}

func (j *job) dispatch(ctx context.Context, t targets.Target, place budget.Place) error {
	if j.plain != nil {
		return j.invoke(ctx, t, place)
	}
	s, err := j.g.driver.Dispatch(ctx, endpoint.Call{
		URL: t.URL, Run: place.Run, Attempt: place.Attempt, Priority: j.priority, Fence: t.Fence, Body: j.body, OnNotice: j.noticeHandler(t),
	})
	if err != nil {
		j.stopRun(place, err)
		return err
	}
	return j.readStream(ctx, t.URL, place, s)
}

func (j *job) invoke(ctx context.Context, t targets.Target, place budget.Place) error {
	resp, err := j.g.driver.Invoke(ctx, endpoint.PlainCall{
		URL: t.URL + j.plain.path, Method: j.plain.method, ContentType: j.plain.contentType,
		Run: place.Run, Attempt: place.Attempt, Key: j.key, Body: j.plain.body, OnNotice: j.noticeHandler(t),
	})
	if err != nil {
		return err
	}
	j.firstToken = j.g.now().Sub(j.accepted)
	j.transcript.setResponse(resp)
	return nil
}

// noticeHandler returns a function that applies the notice in the endpoint's response header to the pool.
func (j *job) noticeHandler(t targets.Target) endpoint.NoticeFunc {
	return func(notice pool.Notice, status int) {
		t.Lease.ObserveNotice(notice, pool.ResponseInfo{Request: j.id, Status: status})
		if status < http.StatusMultipleChoices {
			t.Lease.Accepted()
		}
	}
}

const (
	maxResumeAttempts = 3
	resumePause       = 20 * time.Millisecond
	stopTimeout       = time.Second
)

// readStream copies a stream into the transcript. An interrupted stream is resumed where it ended, if the engine still
// has the run.
func (j *job) readStream(ctx context.Context, url string, place budget.Place, s *endpoint.Stream) error {
	for try := 0; ; try++ {
		err := j.copyStream(ctx, s)
		offset := s.Offset()
		_ = s.Close()
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return verdict.New(verdict.Ran, verdict.CodeCancelled, "the caller hung up or the time ran out", verdict.WithCause(err))
		}
		if verdict.From(err).Code() != verdict.CodeTruncated || try == maxResumeAttempts {
			return err
		}
		resumed, resumeErr := j.resume(ctx, url, place, offset)
		if resumeErr != nil {
			return err
		}
		j.g.metrics.resumes.Inc(1)
		s = resumed
	}
}

func (j *job) resume(ctx context.Context, url string, place budget.Place, offset int64) (*endpoint.Stream, error) {
	var lastErr error
	for range maxResumeAttempts {
		s, err := j.g.driver.Resume(ctx, url, place.Run, place.Attempt, offset)
		if err == nil || verdict.From(err).Code() == verdict.CodeNotFound {
			return s, err
		}
		lastErr = err
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, lastErr
}

// stopRun stops a run whose outcome is unknown, so that the endpoint does not generate tokens that nobody reads.
func (j *job) stopRun(place budget.Place, err error) {
	if verdict.Of(err) == verdict.NotRun {
		return
	}
	j.g.work.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_, _, _, _ = j.g.stopper.StopRun(ctx, place)
	})
}

// reportOutcome reports the outcome of an attempt to the pool, and a success also to the quarantine.
func (j *job) reportOutcome(t targets.Target, err error) {
	if err == nil {
		if j.g.suspects.Suspects(j.customer) {
			j.g.suspects.RecordSuccess(j.requestDigest())
		}
		t.Lease.Done(pool.EndGood)
		t.Lease.ObserveLatency(j.firstToken, j.slowestGap)
		return
	}
	if httpcheck.Cause(err) != nil {
		j.g.metrics.invalid.Inc(1)
	}
	switch verdict.From(err).Code() {
	case verdict.CodeOverloaded:
		t.Lease.Done(pool.EndBusy)
	case verdict.CodeCancelled, verdict.CodeBadRequest, verdict.CodeStopping:
		t.Lease.Done(pool.EndNeutral)
	default:
		t.Lease.Done(pool.EndBroken)
	}
}

// copyStream adds the pieces of a stream to the transcript until the stream ends.
func (j *job) copyStream(ctx context.Context, s *endpoint.Stream) error {
	lastPiece := j.g.now()
	for {
		p, err := s.Next()
		if err != nil {
			return ignoreEOF(err)
		}
		now := j.g.now()
		if !j.streamed {
			j.streamed = true
			j.firstToken = now.Sub(j.accepted)
			if err := j.g.hook(ctx, step.FirstToken); err != nil {
				return err
			}
		} else {
			j.slowestGap = max(j.slowestGap, now.Sub(lastPiece))
			if err := j.g.hook(ctx, step.MidStream); err != nil {
				return err
			}
		}
		lastPiece = now
		if p.Usage != nil {
			if err := j.g.hook(ctx, step.LastToken); err != nil {
				return err
			}
		}
		j.transcript.add(p)
	}
}

// requestError turns the error of the last attempt into that of the request. If an earlier attempt may have run, so may
// the request.
func (j *job) requestError(err error) error {
	if err == nil || !j.mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	e := verdict.From(err)
	return verdict.New(verdict.MayHaveRun, e.Code(), e.Detail(), verdict.WithRetryAfter(e.RetryAfter()), verdict.WithCause(err))
}

// finish settles the reservation, records the outcome and ends the transcript.
func (j *job) finish(ctx context.Context, err error) {
	err = j.requestError(err)
	used := j.tokensUsed(ctx, err)
	if j.keyed() {
		j.settleKeyed(ctx, err, used)
	} else if j.hold != nil {
		j.hold.Settle(used)
	}
	j.g.recordOutcome(j, err, used)
	if j.keyed() && j.hold == nil && verdict.From(err).RetryAfter() > 0 {
		// A retry must look the request up again. Otherwise it would get this error for as long as the job is kept.
		j.g.removeJob(j.id, j)
	}
	j.transcript.end(err)
}

// tokensUsed returns the number of tokens to bill: the usage that the endpoint reports, or else the number of tokens
// received. A call of a plain service costs its reservation.
func (j *job) tokensUsed(ctx context.Context, err error) int64 {
	if err != nil && verdict.Of(err) == verdict.NotRun {
		return 0
	}
	if j.hold == nil || !j.dispatched {
		return 0
	}
	if j.plain != nil {
		return j.tokens
	}
	if err == nil {
		j.transcript.mu.Lock()
		defer j.transcript.mu.Unlock()
		return j.transcript.usage.TotalTokens
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	n, known, _, stopErr := j.g.stopper.StopRun(stopCtx, j.hold.Place())
	if stopErr == nil && known {
		return n
	}
	return j.transcript.tokens()
}

// settleKeyed settles a keyed request. The key's registrar records the billed run before the run is billed, so that no
// other run of the request is.
func (j *job) settleKeyed(ctx context.Context, err error, used int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	switch {
	case err != nil && verdict.Of(err) == verdict.NotRun:
		j.releaseKey(ctx)
	case j.hold == nil:
		j.recordUnbilled(ctx)
	case used > 0 && (j.provisional || !j.bill(ctx, used)):
		j.g.deferSettlement(ctx, j, used)
	case used == 0:
		j.hold.Settle(0)
		j.recordEnd(ctx, j.hold.Place(), 0)
	}
}

// releaseKey releases the reservation, the claim and the record of a request that has not run.
func (j *job) releaseKey(ctx context.Context) {
	if j.hold != nil {
		j.hold.Settle(0)
	}
	if j.claimRun != "" {
		j.g.claims.Release(ctx, j.id, j.claimRun)
	}
	if j.registered || !j.provisional {
		j.g.keys.Drop(ctx, j.customer, j.keyRecord(budget.Place{}, false, 0))
	}
	j.g.removeJob(j.id, j)
}

// bill settles the reservation, if this job still owns the request. It returns false if that is not known, or if another
// job may bill the request.
func (j *job) bill(ctx context.Context, used int64) bool {
	owner, err := j.g.keys.Update(ctx, j.customer, j.keyRecord(j.hold.Place(), true, used))
	if err != nil || !owner {
		return false
	}
	j.hold.Settle(used)
	return true
}

// leaveBilling gives up a reservation, because another run of the request is billed, or another instance bills this one.
func (j *job) leaveBilling(used int64) {
	j.g.log.Info().Str("event", "duplicate_unbilled").Str("request", j.id).Int64("tokens", used).
		Msg("another job bills the request; this run is not billed")
	j.hold.Settle(0)
}

// recordUnbilled records that this job bills nothing, if it has taken over a run without its reservation, or if the
// request has been billed before.
func (j *job) recordUnbilled(ctx context.Context) {
	if j.settledBefore != nil {
		j.recordEnd(ctx, j.settledBefore.Place, j.settledBefore.Tokens)
	} else if j.joined.Place.Run != "" {
		j.recordEnd(ctx, j.joined.Place, 0)
	}
}

// recordEnd reports to the key's registrar how the request has ended.
func (j *job) recordEnd(ctx context.Context, place budget.Place, tokens int64) {
	if j.provisional {
		return
	}
	if _, err := j.g.keys.Update(ctx, j.customer, j.keyRecord(place, true, tokens)); err != nil {
		j.g.log.Debug().Str("event", "key_unrecorded").Str("request", j.id).Err(err).Msg("the key's registrar has not recorded how the request has ended")
	}
}

func (g *Gateway) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter
}

// ignoreEOF returns nil for io.EOF, which stands for a complete response.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
