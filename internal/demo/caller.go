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

// callKind is a sort of request that callers make.
type callKind int

const (
	chatStream callKind = iota
	chatWhole
	lookup
	payment
)

// call is one request of a caller with everything that the auditor needs.
type call struct {
	serial   int
	kind     callKind
	customer int
	budget   string
	key      string // idempotency key, or empty
	prompt   string
	limit    int64
	need     int64

	// How it ended.
	tries    int
	verdicts []verdict.Verdict
	code     verdict.Code
	whole    bool
	text     string
	id       string
	cut      bool // a planned stop broke it

	turnedAway int
	started    time.Time
	ended      time.Time
	first      time.Duration
}

func (c *call) last() verdict.Verdict {
	if len(c.verdicts) == 0 {
		return verdict.MayHaveRun
	}
	return c.verdicts[len(c.verdicts)-1]
}

// refusals is how often the call was refused as not run, with an instance at the other end.
func (c *call) refusals() int { return c.turnedAway }

// everRan reports whether any try may have run.
func (c *call) everRan() bool {
	for _, v := range c.verdicts {
		if v != verdict.NotRun {
			return true
		}
	}
	return false
}

// habits are faults on the callers' side.
type habits struct {
	mu        sync.Mutex
	hangUp    bool // some callers hang up in mid-stream and do not come back
	comeBack  bool // some hang up and ask again with the same key
	elsewhere bool // and ask in the other zone
}

func (h *habits) set(f func(*habits)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

func (h *habits) get() habits {
	h.mu.Lock()
	defer h.mu.Unlock()
	return habits{hangUp: h.hangUp, comeBack: h.comeBack, elsewhere: h.elsewhere}
}

// callers make requests until their context ends, and keep a record of each.
type callers struct {
	f      *fleet
	seed   uint64
	habits habits
	http   *http.Client
	books  *books

	mu     sync.Mutex
	serial int
	calls  []*call
}

func newCallers(f *fleet, seed uint64) *callers {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	return &callers{f: f, seed: seed, http: &http.Client{Transport: t}, books: newBooks()}
}

const (
	workersPerZone = 8
	retryPause     = 40 * time.Millisecond
	callLimit      = 25 * time.Second
	triesLimit     = 40
	longWait       = 2 // seconds that no caller waits for
	patience       = 3 // refusals after which a caller comes back another day
)

// run makes requests from every zone until ctx ends, then waits for those in progress.
func (c *callers) run(ctx context.Context) {
	var wg sync.WaitGroup
	for z, zone := range zoneNames {
		for w := range workersPerZone {
			rng := rand.New(rand.NewPCG(c.seed, uint64(z*workersPerZone+w))) //nolint:gosec // test load
			wg.Go(func() {
				for ctx.Err() == nil {
					c.one(zone, rng)
				}
			})
		}
	}
	wg.Wait()
}

func (c *callers) next(rng *rand.Rand) *call {
	c.mu.Lock()
	c.serial++
	serial := c.serial
	c.mu.Unlock()
	cl := &call{serial: serial, customer: rng.IntN(customers), started: time.Now()}
	cl.budget = budgetName(cl.customer, rng.IntN(budgetsPerClient))
	cl.prompt = fmt.Sprintf("request %d: please summarise report %d", serial, rng.IntN(1000))
	cl.limit = int64(8 + rng.IntN(40))
	switch n := rng.IntN(100); {
	case n < 55:
		cl.kind = chatStream
	case n < 70:
		cl.kind = chatWhole
	case n < 85:
		cl.kind = lookup
	default:
		cl.kind = payment
	}
	if cl.kind == payment || rng.IntN(2) == 0 {
		cl.key = fmt.Sprintf("key-%d-%d", c.seed, serial)
	}
	cl.need = c.cost(cl)
	return cl
}

func (c *callers) cost(cl *call) int64 {
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
		modelName, c.kind == chatStream, c.limit, c.prompt))
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

// one makes a call, and makes it again with its key while that is allowed and useful.
func (c *callers) one(zone string, rng *rand.Rand) {
	cl := c.next(rng)
	c.books.begin(cl)
	h := c.habits.get()
	hangUp := (h.hangUp || h.comeBack) && cl.kind == chatStream && rng.IntN(3) == 0
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	for cl.tries < triesLimit && cl.refusals() < patience && ctx.Err() == nil {
		cl.tries++
		again := c.try(ctx, cl, zone, rng, hangUp && cl.tries == 1)
		if hangUp && cl.tries == 1 && cl.last() != verdict.NotRun {
			if cl.key == "" || !h.comeBack {
				break
			}
			if h.elsewhere {
				zone = otherZone(zone)
			}
			continue
		}
		if !again {
			break
		}
		select {
		case <-time.After(retryPause + time.Duration(rng.Int64N(int64(retryPause)))):
		case <-ctx.Done():
		}
	}
	cl.ended = time.Now()
	c.books.end(cl)
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

// pick is the platform's balancer: a live instance of the zone, or of another one.
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

// try makes one attempt. It reports whether another one with the same key makes sense.
func (c *callers) try(ctx context.Context, cl *call, zone string, rng *rand.Rand, hangUp bool) bool {
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
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return c.broken(cl, n, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(chat.HeaderRequestID); id != "" {
		cl.id = id
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return c.refused(cl, resp)
	}
	return c.read(cl, n, resp, began, hangUp)
}

// broken judges a connection that broke: without an answer the fate is unknown, but for one that never came about.
func (c *callers) broken(cl *call, n *node, err error) bool {
	if strings.Contains(err.Error(), "connection refused") {
		cl.verdicts = append(cl.verdicts, verdict.NotRun)
		return true
	}
	cl.verdicts = append(cl.verdicts, verdict.MayHaveRun)
	if n.isStopping() {
		cl.cut = true
	}
	return cl.key != ""
}

func (c *callers) refused(cl *call, resp *http.Response) bool {
	var p gateway.Problem
	_ = json.NewDecoder(resp.Body).Decode(&p)
	v := verdict.Parse(p.Verdict)
	cl.verdicts = append(cl.verdicts, v)
	if v == verdict.NotRun {
		cl.turnedAway++
	}
	cl.code = verdict.Code(p.Title)
	if cl.code == verdict.CodeBudgetExhausted || cl.code == verdict.CodeBudgetUnavailable {
		c.books.refused(cl)
	}
	if cl.code == verdict.CodeBudgetExhausted || cl.code == verdict.CodeClaimTaken {
		return false
	}
	if v == verdict.NotRun && p.RetryAfter >= longWait {
		return false // the caller comes back another day
	}
	return v == verdict.NotRun || (cl.key != "" && p.RetryAfter > 0)
}

func (c *callers) read(cl *call, n *node, resp *http.Response, began time.Time, hangUp bool) bool {
	var err error
	switch cl.kind {
	case chatStream:
		err = readStream(cl, resp.Body, began, hangUp)
	case chatWhole:
		err = readWhole(cl, resp.Body)
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
	case errors.Is(err, errHungUp):
		cl.verdicts = append(cl.verdicts, verdict.MayHaveRun)
		return cl.key != ""
	}
	return c.broken(cl, n, err)
}

var errHungUp = errors.New("the caller hung up")

func readStream(cl *call, r io.Reader, began time.Time, hangUp bool) error {
	var text strings.Builder
	sc := bufio.NewScanner(r)
	pieces := 0
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == chat.Done {
			cl.text, cl.whole = text.String(), true
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
		if pieces == 0 {
			cl.first = time.Since(began)
		}
		pieces++
		if len(ev.Choices) > 0 && ev.Choices[0].Delta != nil {
			text.WriteString(ev.Choices[0].Delta.Content)
		}
		if hangUp && pieces == 2 {
			return errHungUp
		}
	}
	if err := sc.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

func readWhole(cl *call, r io.Reader) error {
	var out chat.Completion
	if err := json.NewDecoder(r).Decode(&out); err != nil {
		return err
	}
	if len(out.Choices) != 1 || out.Choices[0].Message == nil {
		return io.ErrUnexpectedEOF
	}
	cl.text, cl.whole = out.Choices[0].Message.Content, true
	return nil
}

func readPlain(cl *call, resp *http.Response) error {
	var out struct {
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return err
	}
	cl.text, cl.whole = out.Echo, true
	return nil
}

// expected is the answer that the call must get.
func (c *call) expected() string {
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

// price is what a whole answer costs.
func (c *call) price() int64 {
	if c.kind == payment || c.kind == lookup {
		return c.need
	}
	p, n := c.generated()
	return engine.PromptTokens(p) + n
}
