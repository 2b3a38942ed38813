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
	"github.com/ledgemount/ledgemount/internal/pool"
	"github.com/ledgemount/ledgemount/internal/retry"
	"github.com/ledgemount/ledgemount/internal/step"
	"github.com/ledgemount/ledgemount/internal/targets"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// longOutput is the output limit from which a request counts as long, in tokens.
const longOutput = 512

// job is one request on its way through this instance.
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
	tokens      int64 // the most that it can cost
	accepted    time.Time

	body   []byte // as it is sent to an engine
	blocks []uint64
	long   bool
	plain  *plainJob

	out         *transcript
	hold        *budget.Hold
	claimed     bool
	claimRun    string // the run that the claim was made for
	provisional bool   // the home of the key could not be asked whether another instance has the request
	formerOwner string // the process from which an undispatched request was taken over
	mayHaveRun  bool   // some attempt may have run: the request as a whole cannot be called not run any more
	tried       []string
	attempts    int
	entered     bool // what it asks for is under suspicion, and it was let in
	dispatched  bool // an endpoint may have been sent the request
	begun       bool // a piece of the answer has come
	firstToken  time.Duration
	slowestGap  time.Duration
}

// plainJob is what a call of a plain service needs beside the rest.
type plainJob struct {
	route       declare.Route
	path        string
	method      string
	contentType string
	body        []byte
}

func (j *job) keyed() bool { return j.key != "" }

// run carries the request to its end: admitted, dispatched, settled, recorded.
func (j *job) run(ctx context.Context) {
	err := j.serve(ctx)
	j.finish(ctx, err)
}

func (j *job) serve(ctx context.Context) error {
	if err := j.g.hook(ctx, step.Admit); err != nil {
		return err
	}
	if err := j.enter(); err != nil {
		return err
	}
	defer j.leave()
	if err := j.opens(); err != nil {
		return err
	}
	leave, err := j.g.gate(j.pool).Admit(ctx, admit.Request{Priority: j.priority, Customer: j.customer, Long: j.long, Deadline: j.deadline})
	if err != nil {
		return err
	}
	defer leave()
	j.g.retries.Earn(j.customer)
	return j.attemptAll(ctx)
}

// attemptAll dispatches until an attempt succeeds or another one is not worth it.
func (j *job) attemptAll(ctx context.Context) error {
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
			Delivered: j.out.delivered(), Remaining: j.deadline.Sub(j.g.now()),
		}
		if ctx.Err() != nil || (e.Verdict() != verdict.NotRun && j.lone()) || !retry.ShouldRetry(f) || !j.g.retries.Spend(j.customer) || !j.out.reset() {
			return err
		}
		j.g.metrics.retries.Inc(1)
		select {
		case <-time.After(retry.Backoff(j.attempts, j.g.rng())):
		case <-ctx.Done():
			return err
		}
	}
}

// attempt picks an endpoint, makes sure that the request may run there, and reads its answer.
func (j *job) attempt(ctx context.Context) error {
	t, ok := j.g.targets.Pick(j.pool, j.blocks, j.tried)
	if !ok {
		return j.noEndpoint(j.g.targets.Opens(j.pool))
	}
	defer t.Lease.Done(pool.EndNeutral)
	j.tried = append(j.tried, t.ID)
	place := budget.Place{Run: ulid.Make().String(), Endpoint: t.ID, Attempt: j.attempts}
	place, err := j.secure(ctx, place)
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
	began := j.g.now()
	err = j.dispatch(ctx, t, place)
	if err != nil && ctx.Err() == nil {
		j.sawEnd(ctx, t, began, err)
	}
	j.judge(t, err)
	return err
}

func (j *job) dispatch(ctx context.Context, t targets.Target, place budget.Place) error {
	if j.plain != nil {
		return j.invoke(ctx, t, place)
	}
	s, err := j.g.driver.Dispatch(ctx, endpoint.Call{
		URL: t.URL, Run: place.Run, Attempt: place.Attempt, Priority: j.priority, Fence: t.Fence, Body: j.body, OnNotice: j.onNotice(t),
	})
	if err != nil {
		j.abandon(place, err)
		return err
	}
	return j.read(ctx, t.URL, place, s)
}

func (j *job) invoke(ctx context.Context, t targets.Target, place budget.Place) error {
	a, err := j.g.driver.Invoke(ctx, endpoint.PlainCall{
		URL: t.URL + j.plain.path, Method: j.plain.method, ContentType: j.plain.contentType,
		Run: place.Run, Attempt: place.Attempt, Key: j.key, Body: j.plain.body, OnNotice: j.onNotice(t),
	})
	if err != nil {
		return err
	}
	j.firstToken = j.g.now().Sub(j.accepted)
	j.out.setAnswer(a)
	return nil
}

// onNotice takes what the endpoint reports of itself in its answer.
func (j *job) onNotice(t targets.Target) endpoint.NoticeFunc {
	return func(w pool.Notice, status int) {
		t.Lease.ObserveNotice(w, pool.Answer{Request: j.id, Status: status})
		if status < http.StatusMultipleChoices {
			t.Lease.Accepted()
		}
	}
}

const (
	resumeTries = 3
	resumePause = 20 * time.Millisecond
	stopWithin  = time.Second
)

// read copies a stream into the transcript. A broken one is resumed where it broke off, if the engine still has it.
func (j *job) read(ctx context.Context, url string, place budget.Place, s *endpoint.Stream) error {
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
		if verdict.From(err).Code() != verdict.CodeTruncated || try == resumeTries {
			return err
		}
		next, rerr := j.resume(ctx, url, place, offset)
		if rerr != nil {
			return err
		}
		j.g.metrics.resumes.Inc(1)
		s = next
	}
}

func (j *job) resume(ctx context.Context, url string, place budget.Place, offset int64) (*endpoint.Stream, error) {
	var last error
	for range resumeTries {
		s, err := j.g.driver.Resume(ctx, url, place.Run, place.Attempt, offset)
		if err == nil || verdict.From(err).Code() == verdict.CodeNotFound {
			return s, err
		}
		last = err
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, last
}

// abandon stops a run whose fate is unknown, so that it does not go on unread.
func (j *job) abandon(place budget.Place, err error) {
	if verdict.Of(err) == verdict.NotRun {
		return
	}
	j.g.work.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
		defer cancel()
		_, _, _, _ = j.g.stopper.StopRun(ctx, place)
	})
}

// judge notes how the endpoint did.
func (j *job) judge(t targets.Target, err error) {
	if err == nil {
		if j.g.suspects.Suspects(j.customer) {
			j.g.suspects.RecordSuccess(j.asks())
		}
		t.Lease.Done(pool.EndGood)
		t.Lease.ObserveLatency(j.firstToken, j.slowestGap)
		return
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

// copyStream adds the stream's pieces to the transcript until it ends.
func (j *job) copyStream(ctx context.Context, s *endpoint.Stream) error {
	last := j.g.now()
	for {
		p, err := s.Next()
		if err != nil {
			return endOf(err)
		}
		now := j.g.now()
		if !j.begun {
			j.begun = true
			j.firstToken = now.Sub(j.accepted)
			if err := j.g.hook(ctx, step.FirstToken); err != nil {
				return err
			}
		} else {
			j.slowestGap = max(j.slowestGap, now.Sub(last))
			if err := j.g.hook(ctx, step.MidStream); err != nil {
				return err
			}
		}
		last = now
		if p.Usage != nil {
			if err := j.g.hook(ctx, step.LastToken); err != nil {
				return err
			}
		}
		j.out.add(p)
	}
}

// overall is the request's error given that of its last attempt: an earlier attempt may have run.
func (j *job) overall(err error) error {
	if err == nil || !j.mayHaveRun || verdict.Of(err) != verdict.NotRun {
		return err
	}
	e := verdict.From(err)
	return verdict.New(verdict.MayHaveRun, e.Code(), e.Detail(), verdict.WithRetryAfter(e.RetryAfter()), verdict.WithCause(err))
}

// finish settles the bill, records the end and lets the callers have it.
func (j *job) finish(ctx context.Context, err error) {
	err = j.overall(err)
	used := j.used(ctx, err)
	if j.hold != nil {
		if j.provisional && used > 0 {
			j.g.deferSettle(j, used)
		} else {
			j.hold.Settle(used)
		}
	}
	j.conclude(ctx, err, used)
	j.g.record(j, err, used)
	j.out.end(err)
}

// used is what the request is billed: what the endpoint says, or what is known to have been generated.
func (j *job) used(ctx context.Context, err error) int64 {
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
		j.out.mu.Lock()
		defer j.out.mu.Unlock()
		return j.out.usage.TotalTokens
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
	defer cancel()
	n, known, _, serr := j.g.stopper.StopRun(c, j.hold.Place())
	if serr == nil && known {
		return n
	}
	return j.out.tokens()
}

// conclude tells the home of the key how the request ended, and gives a claim back if it has surely not run.
func (j *job) conclude(ctx context.Context, err error, used int64) {
	if !j.keyed() {
		return
	}
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWithin)
	defer cancel()
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if notRun {
		if j.claimRun != "" {
			j.g.claims.Release(c, j.id, j.claimRun)
		}
		if !j.provisional {
			j.g.keys.Drop(c, j.customer, j.record(budget.Place{}, false, 0))
		}
		j.g.forget(j.id, j)
		return
	}
	if !j.provisional && j.hold != nil {
		_, _ = j.g.keys.Note(c, j.customer, j.record(j.hold.Place(), true, used))
	}
}

func (g *Gateway) rng() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // jitter
}

// endOf turns the end marker into success.
func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
