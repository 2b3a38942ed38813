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

// result is how one attempt ended.
type result int

const (
	resultDone      result = iota // the caller has a whole answer
	resultUnsent                  // the endpoint could not be reached: nothing was sent
	resultNotRun                  // the endpoint reports that it did not run the request
	resultFailed                  // the endpoint answered that it failed; the answer is kept
	resultBroken                  // the request may have run; its answer is lost or broken off
	resultLeft                    // the caller left, or does not take the answer
	resultWithdrawn               // nothing was sent: the endpoint has said meanwhile that it takes nothing
)

// kept is a failed answer that the caller gets if nothing better comes.
type kept struct {
	status int
	header http.Header
	body   []byte
}

// dispatch sends the request until it is answered or nothing more can be tried.
func (j *job) dispatch(ctx context.Context) error {
	var failure *kept
	for {
		if j.heldMeanwhile() {
			return j.giveUpHeld(ctx, failure)
		}
		lease := j.pick()
		if lease == nil {
			return j.giveUp(ctx, failure, resultUnsent)
		}
		res, answer := j.try(ctx, lease)
		switch res {
		case resultDone:
			j.endedWell()
			return nil
		case resultWithdrawn:
			continue
		case resultFailed:
			failure = answer
		case resultUnsent:
			j.dials++
			if j.dials < mostDials && ctx.Err() == nil {
				continue
			}
		case resultNotRun, resultBroken, resultLeft:
		}
		if !j.again(ctx, res) {
			return j.giveUp(ctx, failure, res)
		}
	}
}

// query is what an endpoint is picked for.
func (j *job) query() pool.Query {
	q := pool.Query{
		Service: j.service.Name, Affinity: j.req.AffinityKey(), Prompt: j.req.TokensIn, Shared: j.req.SharedTokens(),
		Target: j.route.Objective, Gap: j.route.Gap, Tried: j.tried,
		Regions: route.AllowedRegions(j.route, j.customer),
	}
	if j.core.apart {
		q.Affinity = ""
	}
	return q
}

func (j *job) pick() *pool.Lease {
	q := j.query()
	lease := j.core.Pool.Pick(q)
	if lease == nil {
		j.opening = j.core.Pool.Availability(q)
		return nil
	}
	j.tried[lease.Endpoint().ID] = true
	return lease
}

// opens refuses a request at once that no endpoint takes now, before anything is reserved for it.
func (j *job) opens() error {
	if j.opening = j.core.Pool.Availability(j.query()); j.opening.Open {
		return nil
	}
	return j.noEndpoint()
}

// noEndpoint tells the caller that no endpoint takes the request. Where endpoints have asked for rest it comes back when the first of them does,
// and some time later: all who are refused meanwhile would come back at that moment.
func (j *job) noEndpoint() error {
	rest := j.opening.Rest
	switch {
	case j.opening.Full:
		return refuse(verdict.CodeEndpointRefused, "the endpoints have as much as they bear", retryNow)
	case j.opening.Limited:
		return refuse(verdict.CodeEndpointLimit, "the endpoints have had as many requests as they say that they take", j.turn())
	case rest <= 0:
		return refuse(verdict.CodeNoEndpoint, "no endpoint takes work or can be reached", retrySoon)
	}
	spread := j.core.random() * float64(max(retrySoon, min(rest, mostSpread)))
	return refuse(verdict.CodeNoEndpoint, "all endpoints that take work have asked for rest", rest+time.Duration(spread))
}

// turn is when this caller's turn comes at endpoints that take a few requests a second.
func (j *job) turn() time.Duration {
	return j.core.turns.next(j.service.Name, j.opening.Rate, j.core.now()) + time.Duration(j.core.random()*float64(retrySoon))
}

// mostSpread bounds the time over which callers come back who were refused while all endpoints rested.
const mostSpread = 2 * time.Second

// again reports whether the request goes to another endpoint.
func (j *job) again(ctx context.Context, res result) bool {
	if ctx.Err() != nil || j.attempts >= j.route.MaxAttempts {
		return false
	}
	switch res {
	case resultNotRun:
	case resultFailed, resultBroken:
		if !j.route.Repeatable() || (res == resultBroken && j.lone()) {
			return false
		}
	case resultDone, resultUnsent, resultLeft, resultWithdrawn:
		return false
	}
	if left, ok := j.left(); ok && left < leastLeft {
		return false
	}
	return j.core.Retries.Take(j.service.Name)
}

// leastLeft is the time below which another attempt cannot help.
const leastLeft = 30 * time.Millisecond

// giveUp tells the caller how it ended.
func (j *job) giveUp(ctx context.Context, failure *kept, res result) error {
	switch {
	case j.begun:
		return j.broken(ctx, res)
	case failure != nil:
		j.begin(failure.status, failure.header, int64(len(failure.body)))
		_ = j.out.Write(failure.body)
		return nil
	case errors.Is(ctx.Err(), context.DeadlineExceeded), j.over(ctx):
		return j.timedOut()
	case ctx.Err() != nil:
		return verdict.New(j.verdict(), verdict.CodeCancelled, "the caller left")
	case !j.ran && res == resultUnsent:
		return j.noEndpoint()
	case !j.ran:
		return refuse(verdict.CodeEndpointRefused, "the endpoints did not run it", retryNow)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeEndpointFailed, "the endpoint's answer was lost")
}

// broken tells why an answer that has begun is not completed.
func (j *job) broken(ctx context.Context, res result) error {
	code, detail := verdict.CodeTruncated, "the endpoint broke its answer off, and nothing else could complete it"
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), j.over(ctx):
		code, detail = verdict.CodeTimeout, "the time was up in the middle of the answer"
	case ctx.Err() != nil, res == resultLeft:
		code, detail = verdict.CodeCancelled, "the caller left in the middle of the answer"
	}
	return verdict.New(verdict.Ran, code, detail, verdict.WithCause(ErrBroken))
}

func (j *job) timedOut() error {
	if j.ran {
		return verdict.New(verdict.MayHaveRun, verdict.CodeTimeout, "the time was up before an answer came")
	}
	return refuse(verdict.CodeDeadline, "the time was up before an endpoint could run it", retryNow)
}

func (j *job) verdict() verdict.Verdict {
	if j.ran {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// try sends the request to one endpoint and passes on what comes.
func (j *job) try(ctx context.Context, lease *pool.Lease) (result, *kept) {
	began := j.core.now()
	events := j.events
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := j.watch(lease, cancel)
	res, answer := j.exchange(ctx, lease, watch)
	watch.stop()
	if res == resultBroken && ctx.Err() != nil && !watch.stalled() {
		res = resultLeft
	}
	if watch.stalled() {
		j.core.Client.CloseIdle(lease.Endpoint().Addr) // other kept connections there may have fallen silent too
	}
	lease.Done(endOf(res))
	j.outcome.Endpoints = append(j.outcome.Endpoints, AttemptOutcome{
		Endpoint: lease.Endpoint().ID, Reason: string(lease.Reason()), SkipReason: string(lease.Exclusion()), Result: resultNames[res], At: began.Sub(j.req.Arrived),
		ProcessExited: res == resultBroken && !watch.stalled() && j.sawEnd(lease, began, j.events > events),
	})
	return res, answer
}

var resultNames = map[result]string{
	resultDone: "done", resultUnsent: "unreachable", resultNotRun: "not-run", resultFailed: "failed", resultBroken: "broken",
	resultLeft: "left", resultWithdrawn: "withdrawn",
}

func endOf(res result) pool.End {
	switch res {
	case resultDone:
		return pool.EndGood
	case resultFailed:
		return pool.EndFailed
	case resultUnsent:
		return pool.EndUnreachable
	case resultBroken:
		return pool.EndBroken
	case resultNotRun:
		return pool.EndBusy
	case resultWithdrawn:
		return pool.EndUnsent
	case resultLeft:
	}
	return pool.EndNeutral
}

// exchange sends the request and reads the answer's head.
func (j *job) exchange(ctx context.Context, lease *pool.Lease, watch *watchdog) (result, *kept) {
	e := lease.Endpoint()
	a := Attempt{Endpoint: e.ID, LastEventID: j.last}
	if a.LastEventID == "" {
		a.LastEventID = j.req.LastEventID
	}
	if j.customer != nil {
		a.Customer = j.customer.Name
	}
	if left, ok := j.left(); ok {
		a.Remaining = max(left, time.Millisecond)
	}
	out := j.core.Dialect.Outbound(j.req, a)
	sent := j.core.now()
	out.OnDial = func(took time.Duration) { j.core.dialed(e.Zone, took) }
	out.ShouldSend = lease.StillValid
	res, err := j.core.Client.Do(ctx, e.Addr, out)
	switch {
	case errors.Is(err, upstream.ErrWithdrawn):
		return resultWithdrawn, nil
	case errors.Is(err, upstream.ErrNotSent):
		return resultUnsent, nil
	}
	j.attempts++
	if err != nil {
		j.ran = true
		return resultBroken, nil
	}
	defer func() { _ = res.Body.Close() }()
	watch.received()
	reading := j.core.Dialect.Read(j.req, res)
	if reading.Genuine || (reading.NotRun && !reading.Moved) {
		lease.ObserveNotice(reading.Notice, pool.Answer{Request: j.req.ID, Status: res.Status})
	}
	if reading.Genuine && res.Status < http.StatusInternalServerError {
		lease.Accepted()
	}
	switch {
	case reading.Moved:
		lease.Done(pool.EndMoved)
		return resultNotRun, nil
	case reading.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, drainMost))
		return resultNotRun, nil
	case !reading.Genuine:
		j.ran = true
		return resultBroken, nil
	}
	j.ran = true
	if j.streams(res) {
		return j.stream(res, watch, lease, sent), nil
	}
	return j.whole(res, watch)
}

// drainMost is how much of an answer that nobody wants is read to keep its connection.
const drainMost = 4 << 10

// mostWhole is the size in bytes up to which an answer is read before the caller sees any of it.
const mostWhole = 256 << 10

// whole passes on an answer that is no stream. A failure may still be repeated, so it is kept.
func (j *job) whole(res *upstream.Response, watch *watchdog) (result, *kept) {
	body, err := io.ReadAll(io.LimitReader(res.Body, mostWhole))
	watch.received()
	if err != nil {
		return resultBroken, nil
	}
	if res.Length >= 0 && int64(len(body)) < min(res.Length, mostWhole) {
		return resultBroken, nil
	}
	if res.Status >= http.StatusInternalServerError {
		return resultFailed, &kept{status: res.Status, header: res.Header, body: body}
	}
	j.wholeMetered = res.Status < http.StatusMultipleChoices
	if len(body) < mostWhole {
		j.begin(res.Status, res.Header, int64(len(body)))
		if j.out.Write(body) != nil {
			return resultLeft, nil
		}
		return resultDone, nil
	}
	return j.long(res, body), nil
}

// long passes on an answer that is too long to be read first.
func (j *job) long(res *upstream.Response, first []byte) result {
	j.begin(res.Status, res.Header, res.Length)
	if j.out.Write(first) != nil {
		return resultLeft
	}
	buf := make([]byte, copyBuffer)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 && j.out.Write(buf[:n]) != nil {
			return resultLeft
		}
		if errors.Is(err, io.EOF) {
			return resultDone
		}
		if err != nil {
			return resultBroken
		}
	}
}

const copyBuffer = 16 << 10
