package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ledgemount/ledgemount/internal/chat"
	"github.com/ledgemount/ledgemount/internal/gateway"
	"github.com/ledgemount/ledgemount/internal/standin/engine"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// callKind is a kind of request that callers send.
type callKind int

const (
	chatStream callKind = iota
	chatNonStreaming
	lookup
	payment
)

// call is one request of a caller, with everything that the auditor needs.
type call struct {
	serial    int
	kind      callKind
	customer  int
	budget    string
	key       string // idempotency key, or empty
	prompt    string
	maxTokens int64
	maxCost   int64

	// The outcome.
	attempts  int
	verdicts  []verdict.Verdict
	code      verdict.Code
	complete  bool
	text      string
	id        string
	cutByStop bool // a planned stop interrupted it

	refusedCount int
	started      time.Time
	ended        time.Time
	firstToken   time.Duration
}

func (c *call) lastVerdict() verdict.Verdict {
	if len(c.verdicts) == 0 {
		return verdict.MayHaveRun
	}
	return c.verdicts[len(c.verdicts)-1]
}

// refusals returns how often instances refused the call as not run.
func (c *call) refusals() int { return c.refusedCount }

// mayHaveRun reports whether any attempt may have run.
func (c *call) mayHaveRun() bool {
	for _, v := range c.verdicts {
		if v != verdict.NotRun {
			return true
		}
	}
	return false
}

// behavior is the set of faults on the callers' side.
type behavior struct {
	mu                sync.Mutex
	disconnect        bool // some callers disconnect in mid-stream and do not retry
	retryDisconnected bool // some callers disconnect and retry with the same key
	retryElsewhere    bool // callers that disconnected retry in the other zone
}

func (b *behavior) set(f func(*behavior)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

func (b *behavior) get() behavior {
	b.mu.Lock()
	defer b.mu.Unlock()
	return behavior{disconnect: b.disconnect, retryDisconnected: b.retryDisconnected, retryElsewhere: b.retryElsewhere}
}

// callers send requests until their context ends, and record each of them.
type callers struct {
	f        *fleet
	seed     uint64
	behavior behavior
	http     *http.Client
	accounts *accounts

	mu     sync.Mutex
	serial int
	calls  []*call
}

func newCallers(f *fleet, seed uint64) *callers {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{f: f, seed: seed, http: &http.Client{Transport: t}, accounts: newAccounts()}
}

const (
	workersPerZone = 8
	retryPause     = 40 * time.Millisecond
	callTimeout    = 25 * time.Second
	maxAttempts    = 40
	maxRetryAfter  = 2 // seconds; a caller gives up if Retry-After is at least this long
	maxRefusals    = 3 // refusals after which a caller gives up
)

// run sends requests from every zone until ctx ends, then waits for those in progress.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for z, zone := range zoneNames {
		for w := range workersPerZone {
			rng := rand.New(rand.NewPCG(c.seed, uint64(z*workersPerZone+w))) //nolint:gosec // test load
			wg.Go(func() {
				for ctx.Err() == nil {
					c.runCall(zone, rng)
				}
			})
		}
	}
	wg.Wait()
}

func (c *callers) newCall(rng *rand.Rand) *call {
	c.mu.Lock()
	c.serial++
	serial := c.serial
	c.mu.Unlock()
	cl := &call{serial: serial, customer: rng.IntN(customers), started: time.Now()}
	cl.budget = budgetName(cl.customer, rng.IntN(budgetsPerCustomer))
	cl.prompt = fmt.Sprintf("request %d: please summarise report %d", serial, rng.IntN(1000))
	cl.maxTokens = int64(8 + rng.IntN(40))
	switch n := rng.IntN(100); {
	case n < 55:
		cl.kind = chatStream
	case n < 70:
		cl.kind = chatNonStreaming
	case n < 85:
		cl.kind = lookup
	default:
		cl.kind = payment
	}
	if cl.kind == payment || rng.IntN(2) == 0 {
		cl.key = fmt.Sprintf("key-%d-%d", c.seed, serial)
	}
	cl.maxCost = c.maxCostOf(cl)
	return cl
}

func (c *callers) maxCostOf(cl *call) int64 {
	switch cl.kind {
	case payment:
		return 40
	case lookup:
		return 5
	default:
	}
	req, err := chat.ParseRequest(cl.body())
	if err != nil {
		return 0
	}
	return req.TotalLimit()
}

func (c *call) body() []byte {
	if c.kind == payment || c.kind == lookup {
		return []byte(fmt.Sprintf(`{"order":%q}`, c.prompt))
	}
	return []byte(fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, c.kind == chatStream, c.maxTokens, c.prompt))
}

func (c *call) path() string {
	switch c.kind {
	case payment:
		return "/payments/pay"
	case lookup:
		return "/accounts/find"
	default:
		return "/v1/chat/completions"
	}
}

// runCall sends a call, and retries it while the verdict and its key allow a retry.
func (c *callers) runCall(zone string, rng *rand.Rand) {
	cl := c.newCall(rng)
	c.accounts.callStarted(cl)
	b := c.behavior.get()
	disconnect := (b.disconnect || b.retryDisconnected) && cl.kind == chatStream && rng.IntN(3) == 0
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for cl.attempts < maxAttempts && cl.refusals() < maxRefusals && ctx.Err() == nil {
		cl.attempts++
		retry := c.attempt(ctx, cl, zone, rng, disconnect && cl.attempts == 1)
		if disconnect && cl.attempts == 1 && cl.lastVerdict() != verdict.NotRun {
			if cl.key == "" || !b.retryDisconnected {
				break
			}
			if b.retryElsewhere {
				zone = otherZone(zone)
			}
			continue
		}
		if !retry {
			break
		}
		select {
		case <-time.After(retryPause + time.Duration(rng.Int64N(int64(retryPause)))):
		case <-ctx.Done():
		}
	}
	cl.ended = time.Now()
	c.accounts.callEnded(cl)
	c.mu.Lock()
	c.calls = append(c.calls, cl)
	c.mu.Unlock()
}

func otherZone(zone string) string {
	if zone == zoneNames[0] {
		return zoneNames[1]
	}
	return zoneNames[0]
}

// pick acts as the platform's load balancer: it returns a random live instance of the zone, or of any zone if the zone
// has none.
func (c *callers) pick(zone string, rng *rand.Rand) *node {
	live := c.f.live(zone)
	if len(live) == 0 {
		live = c.f.live("")
	}
	if len(live) == 0 {
		return nil
	}
	return live[rng.IntN(len(live))]
}

// attempt sends the call once. It reports whether the caller should try again with the same key.
func (c *callers) attempt(ctx context.Context, cl *call, zone string, rng *rand.Rand, disconnect bool) bool {
	n := c.pick(zone, rng)
	if n == nil {
		cl.verdicts = append(cl.verdicts, verdict.NotRun)
		return true
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.in.CallersAddr()+cl.path(), bytes.NewReader(cl.body()))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+customerKey(cl.customer))
	req.Header.Set(gateway.HeaderBudget, cl.budget)
	if cl.key != "" {
		req.Header.Set(gateway.HeaderKey, cl.key)
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return c.connectionFailed(cl, n, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(chat.HeaderRequestID); id != "" {
		cl.id = id
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return c.readProblem(cl, resp)
	}
	return c.readResponse(cl, n, resp, start, disconnect)
}

// connectionFailed records the verdict of a failed connection. A refused connection has not run; after any other failure
// the outcome is unknown.
func (c *callers) connectionFailed(cl *call, n *node, err error) bool {
	if strings.Contains(err.Error(), "connection refused") {
		cl.verdicts = append(cl.verdicts, verdict.NotRun)
		return true
	}
	cl.verdicts = append(cl.verdicts, verdict.MayHaveRun)
	if n.isStopping() {
		cl.cutByStop = true
	}
	return cl.key != ""
}

func (c *callers) readProblem(cl *call, resp *http.Response) bool {
	var p gateway.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	v := verdict.Parse(p.Verdict)
	cl.verdicts = append(cl.verdicts, v)
	if v == verdict.NotRun {
		cl.refusedCount++
	}
	cl.code = verdict.Code(p.Title)
	if cl.code == verdict.CodeBudgetExhausted || cl.code == verdict.CodeBudgetUnavailable {
		c.accounts.recordRefusal(cl)
	}
	if cl.code == verdict.CodeBudgetExhausted || cl.code == verdict.CodeClaimTaken {
		return false
	}
	if v == verdict.NotRun && p.RetryAfter >= maxRetryAfter {
		return false // the caller gives up
	}
	return v == verdict.NotRun || (cl.key != "" && p.RetryAfter > 0)
}

func (c *callers) readResponse(cl *call, n *node, resp *http.Response, start time.Time, disconnect bool) bool {
	var err error
	switch cl.kind {
	case chatStream:
		err = readStream(cl, resp.Body, start, disconnect)
	case chatNonStreaming:
		err = readCompletion(cl, resp.Body)
	default:
		err = readPlain(cl, resp)
	}
	var pe *problemError
	switch {
	case err == nil:
		cl.verdicts = append(cl.verdicts, verdict.Ran)
		cl.code = ""
		return false
	case errors.As(err, &pe):
		cl.verdicts = append(cl.verdicts, verdict.Parse(pe.p.Verdict))
		cl.code = verdict.Code(pe.p.Title)
		return cl.key != "" && pe.p.RetryAfter > 0
	case errors.Is(err, errDisconnected):
		cl.verdicts = append(cl.verdicts, verdict.MayHaveRun)
		return cl.key != ""
	}
	return c.connectionFailed(cl, n, err)
}

var errDisconnected = errors.New("the caller disconnected")

func readStream(cl *call, r io.Reader, start time.Time, disconnect bool) error {
	var text strings.Builder
	sc := bufio.NewScanner(r)
	chunks := 0
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.Done {
			cl.text, cl.complete = text.String(), true
			return nil
		}
		var ev struct {
			chat.Chunk
			Error *gateway.Problem `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return err
		}
		if ev.Error != nil {
			return &problemError{p: *ev.Error}
		}
		if chunks == 0 {
			cl.firstToken = time.Since(start)
		}
		chunks++
		if len(ev.Choices) > 0 && ev.Choices[0].Delta != nil {
			text.WriteString(ev.Choices[0].Delta.Content)
		}
		if disconnect && chunks == 2 {
			return errDisconnected
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func readCompletion(cl *call, r io.Reader) error {
	var out chat.Completion
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return err
	}
	if len(out.Choices) != 1 || out.Choices[0].Message == nil {
		return io.ErrUnexpectedEOF
	}
	cl.text, cl.complete = out.Choices[0].Message.Content, true
	return nil
}

func readPlain(cl *call, resp *http.Response) error {
	var out struct {
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return err
	}
	cl.text, cl.complete = out.Echo, true
	return nil
}

// expectedText returns the response text that the call must get.
func (c *call) expectedText() string {
	if c.kind == payment || c.kind == lookup {
		return string(c.body())
	}
	p, n := c.generated()
	return strings.Join(engine.Text(p, n), "")
}

func (c *call) generated() (prompt []byte, tokens int64) {
	req, err := chat.ParseRequest(c.body())
	if err != nil {
		return nil, 0
	}
	p := engine.Prompt(req)
	return p, engine.Length(p, req.OutputLimit())
}

// price returns the cost of a complete response.
func (c *call) price() int64 {
	if c.kind == payment || c.kind == lookup {
		return c.maxCost
	}
	p, n := c.generated()
	return engine.PromptTokens(p) + n
}
