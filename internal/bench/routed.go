package bench

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/ledgemount/ledgemount/internal/chat"
)

// RoutedResult compares streams through an instance with streams directly from the endpoint. Times are in milliseconds.
type RoutedResult struct {
	FirstDirectP50 float64 `json:"first_token_direct_p50_ms"`
	FirstRoutedP50 float64 `json:"first_token_routed_p50_ms"`
	FirstDirectP95 float64 `json:"first_token_direct_p95_ms"`
	FirstRoutedP95 float64 `json:"first_token_routed_p95_ms"`
	AddedP50       float64 `json:"added_p50_ms"`
	AddedP95       float64 `json:"added_p95_ms"`
	GapDirectP95   float64 `json:"between_tokens_direct_p95_ms"`
	GapRoutedP95   float64 `json:"between_tokens_routed_p95_ms"`
	TokensDirect   float64 `json:"tokens_per_s_direct"`
	TokensRouted   float64 `json:"tokens_per_s_routed"`
	TokenShare     float64 `json:"routed_over_direct"`
	CPUPerToken    float64 `json:"instance_cpu_us_per_token"`
	StreamMemory   Slope   `json:"memory_per_open_stream"`
}

const (
	firstTokenRounds  = 250
	concurrentStreams = 48
	throughputTokens  = 1500
	callerKey         = "bench-caller"
)

// caller requests streams from an endpoint or an instance.
type caller struct {
	http *http.Client
	base string
}

func newCaller(base string) *caller {
	return &caller{base: base, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
}

// timing holds the measurements of one stream.
type timing struct {
	first  time.Duration
	gaps   []time.Duration
	tokens int
}

func (c *caller) stream(ctx context.Context, n int, tokens int) (timing, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"bench %d"}]}`, benchModel, tokens, n)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(chat.HeaderRequestID, fmt.Sprintf("bench-%s-%d", c.base[len(c.base)-5:], n))
	req.Header.Set(chat.HeaderAttempt, "1")
	req.Header.Set(chat.HeaderFence, "1000000")
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return timing{}, eris.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return readTiming(resp.Body, start)
}

func readTiming(r io.Reader, start time.Time) (timing, error) {
	var t timing
	sc := bufio.NewScanner(r)
	last := start
	for sc.Scan() {
		if !strings.HasPrefix(sc.Text(), "data: ") {
			continue
		}
		if strings.HasSuffix(sc.Text(), chat.Done) {
			return t, nil
		}
		now := time.Now()
		if t.tokens == 0 {
			t.first = now.Sub(start)
		} else {
			t.gaps = append(t.gaps, now.Sub(last))
		}
		t.tokens++
		last = now
	}
	return t, eris.New("a stream ended early")
}

// MeasureRouted compares direct and routed streams in one run, in alternation.
func MeasureRouted(ctx context.Context) (*RoutedResult, error) {
	tb, err := startTestbed()
	if err != nil {
		return nil, err
	}
	defer tb.close()
	res := &RoutedResult{}
	for _, measure := range []func(context.Context, *testbed, *RoutedResult) error{measureFirstToken, measureThroughput, measureStreamMemory} {
		if err := measure(ctx, tb, res); err != nil {
			return nil, err
		}
	}
	return res, nil
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// quantileMillis returns a quantile of a histogram of microseconds, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

func measureFirstToken(ctx context.Context, tb *testbed, res *RoutedResult) error {
	direct, routed := newCaller(tb.engineURL), newCaller(tb.callersURL)
	firstDirect, firstRouted, gapsDirect, gapsRouted := histogram(), histogram(), histogram(), histogram()
	for i := range firstTokenRounds {
		for _, side := range []struct {
			c                  *caller
			firstHist, gapHist *hdrhistogram.Histogram
		}{{direct, firstDirect, gapsDirect}, {routed, firstRouted, gapsRouted}} {
			t, err := side.c.stream(ctx, i, 8)
			if err != nil {
				return eris.Wrap(err, "measuring the first token")
			}
			if i < firstTokenRounds/10 {
				continue // warm-up of connections and code
			}
			_ = side.firstHist.RecordValue(t.first.Microseconds())
			for _, g := range t.gaps {
				_ = side.gapHist.RecordValue(max(1, g.Microseconds()))
			}
		}
	}
	res.FirstDirectP50, res.FirstRoutedP50 = quantileMillis(firstDirect, 50), quantileMillis(firstRouted, 50)
	res.FirstDirectP95, res.FirstRoutedP95 = quantileMillis(firstDirect, 95), quantileMillis(firstRouted, 95)
	res.AddedP50, res.AddedP95 = res.FirstRoutedP50-res.FirstDirectP50, res.FirstRoutedP95-res.FirstDirectP95
	res.GapDirectP95, res.GapRoutedP95 = quantileMillis(gapsDirect, 95), quantileMillis(gapsRouted, 95)
	return nil
}

// measureThroughput runs many concurrent streams against an engine that generates tokens without delay.
func measureThroughput(ctx context.Context, tb *testbed, res *RoutedResult) error {
	tb.engine.SetTimes(0, 0)
	defer tb.engine.SetTimes(benchFirstToken, benchPerToken)
	var cpuDirect, cpuRouted float64
	var err error
	if res.TokensDirect, cpuDirect, err = throughput(ctx, newCaller(tb.engineURL), 10_000); err != nil {
		return err
	}
	if res.TokensRouted, cpuRouted, err = throughput(ctx, newCaller(tb.callersURL), 20_000); err != nil {
		return err
	}
	res.TokenShare = res.TokensRouted / res.TokensDirect
	res.CPUPerToken = cpuRouted - cpuDirect
	return nil
}

// throughput returns the token rate of concurrent streams, and the CPU time of the process per token in microseconds.
// firstNumber is the lowest number in the requests' IDs.
func throughput(ctx context.Context, c *caller, firstNumber int) (tokensPerS, cpuMicros float64, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	total := 0
	startCPU, start := cpuTime(), time.Now()
	for i := range concurrentStreams {
		wg.Go(func() {
			for k := range 3 {
				t, serr := c.stream(ctx, firstNumber+i*10+k, throughputTokens)
				mu.Lock()
				total += t.tokens
				if serr != nil {
					err = serr
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	if total == 0 {
		return 0, 0, err
	}
	return float64(total) / took.Seconds(), float64((cpuTime() - startCPU).Microseconds()) / float64(total), err
}

// measureStreamMemory measures the memory of open streams: that of routed streams, minus that of as many direct streams.
func measureStreamMemory(ctx context.Context, tb *testbed, res *RoutedResult) error {
	tb.engine.SetTimes(10*time.Millisecond, 50*time.Millisecond)
	defer tb.engine.SetTimes(benchFirstToken, benchPerToken)
	sizes := []int{100, 200, 400, 800}
	points := make([]Point, 0, len(sizes))
	for i, n := range sizes {
		direct := memoryOfStreams(ctx, newCaller(tb.engineURL), n, 100_000*(i+1))
		routed := memoryOfStreams(ctx, newCaller(tb.callersURL), n, 1_000_000*(i+1))
		points = append(points, Point{float64(n), routed - direct})
	}
	res.StreamMemory = fit("memory of an instance", "open streams", "bytes", 920.0/380*6.4, points)
	return nil
}

// memoryOfStreams keeps n streams open and returns the memory that they use, in bytes.
func memoryOfStreams(ctx context.Context, c *caller, n, firstNumber int) float64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { _, _ = c.stream(ctx, firstNumber+i, 2000) })
	}
	time.Sleep(600 * time.Millisecond)
	used := memoryInUse() - before
	cancel()
	wg.Wait()
	c.http.CloseIdleConnections()
	time.Sleep(200 * time.Millisecond)
	return used
}
