package bench

import (
	"container/heap"
	"container/list"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/ledgemount/ledgemount/internal/pool"
)

// Workload describes the seeded workload on which the policies are compared.
type Workload struct {
	Engines        int
	Routers        int
	Capacity       int     // requests that an engine serves concurrently
	Load           float64 // request rate as a share of the engines' capacity
	Requests       int
	Prefixes       int // groups of requests that share a prompt prefix
	CacheSize      int // prefixes that an engine caches
	ReportLag      float64
	EventLag       float64
	EventLossShare float64 // share of cache events that are lost
	SlowShare      float64 // share of engines that are slower
	SlowFactor     float64
	Seed           uint64
}

// DefaultWorkload returns the workload of one of the fleet's larger zones at 85% load, with delayed load reports and some
// lost cache events.
func DefaultWorkload() Workload {
	return Workload{
		Engines: 52, Routers: 15, Capacity: 16, Load: 0.85, Requests: 60_000, Prefixes: 2_000, CacheSize: 60,
		ReportLag: 1, EventLag: 2, EventLossShare: 0.2, SlowShare: 0.1, SlowFactor: 2.5, Seed: 1,
	}
}

// Times of an ordinary engine, in seconds.
const (
	prefill      = 0.25
	cachedSaving = 0.7 // share of the prefill that a cached prefix saves
	perToken     = 0.02
	meanTokens   = 120.0
)

// PolicyResult holds the measurements of one policy. Times are in milliseconds.
type PolicyResult struct {
	Policy     string  `json:"policy"`
	FirstP50   float64 `json:"first_token_p50_ms"`
	FirstP95   float64 `json:"first_token_p95_ms"`
	BetweenP95 float64 `json:"between_tokens_p95_ms"`
	CacheHits  float64 `json:"cache_hit_share"`
	Imbalance  float64 `json:"imbalance"` // busiest engine's requests over the mean
}

// BalanceTable compares all policies on the same workload.
func BalanceTable(w Workload) []PolicyResult {
	policies := []pool.Chooser[pool.Candidate]{
		pool.Random{}, pool.PowerOfTwo{}, pool.LeastExpected{}, pool.DefaultChooser(),
	}
	out := make([]PolicyResult, 0, len(policies))
	for _, p := range policies {
		out = append(out, newSimulation(w, p).run())
	}
	return out
}

type simEngine struct {
	running int
	queue   []simRequest
	speed   float64 // factor on an ordinary engine's times
	cache   *list.List
	keys    map[int]*list.Element
	served  int
}

// lookUp reports whether a prefix is cached, and makes it the most recently used. evicted is the prefix that was evicted
// for it, or -1.
func (e *simEngine) lookUp(prefix, size int) (hit bool, evicted int) {
	if el, ok := e.keys[prefix]; ok {
		e.cache.MoveToFront(el)
		return true, -1
	}
	e.keys[prefix] = e.cache.PushFront(prefix)
	if e.cache.Len() <= size {
		return false, -1
	}
	back := e.cache.Back()
	old, _ := back.Value.(int)
	e.cache.Remove(back)
	delete(e.keys, old)
	return false, old
}

type simRequest struct {
	arrived float64
	prefix  int
	tokens  float64
	router  int
}

// simRouter is the state of one router: the exact number of its own requests, the requests of the other routers as last
// reported, and an estimate of the engines' caches.
type simRouter struct {
	own      []int
	reported []int // the other routers' requests by engine, as last reported
	first    []float64
	table    *pool.PrefixTable
}

type event struct {
	at float64
	fn func(now float64)
}

type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(x any) {
	e, ok := x.(event)
	if ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	w       Workload
	policy  pool.Chooser[pool.Candidate]
	rng     *rand.Rand
	choice  *rand.Rand
	zipf    *rand.Zipf
	engines []*simEngine
	routers []*simRouter
	events  events
	first   []float64
	between []float64
	hits    int
	ids     []string
	started int
}

func newSimulation(w Workload, p pool.Chooser[pool.Candidate]) *simulation {
	s := &simulation{
		w: w, policy: p,
		rng:    rand.New(rand.NewPCG(w.Seed, 1)), //nolint:gosec // a simulation
		choice: rand.New(rand.NewPCG(w.Seed, 2)), //nolint:gosec // a simulation
	}
	s.zipf = rand.NewZipf(s.rng, 1.1, 8, uint64(w.Prefixes-1))
	for i := range w.Engines {
		e := &simEngine{speed: 1, cache: list.New(), keys: make(map[int]*list.Element)}
		if float64(i) < w.SlowShare*float64(w.Engines) {
			e.speed = w.SlowFactor
		}
		s.engines = append(s.engines, e)
		s.ids = append(s.ids, string(rune('a'+i%26))+string(rune('0'+i/26)))
	}
	for range w.Routers {
		s.routers = append(s.routers, &simRouter{
			own: make([]int, w.Engines), reported: make([]int, w.Engines), first: make([]float64, w.Engines),
			table: pool.NewPrefixTable(1 << 16),
		})
	}
	return s
}

// at schedules f at a time.
func (s *simulation) at(t float64, f func(now float64)) { heap.Push(&s.events, event{at: t, fn: f}) }

// rate returns the requests per second that result in the workload's load.
func (s *simulation) rate() float64 {
	var capacity float64
	for _, e := range s.engines {
		service := e.speed * (prefill*1.3 + meanTokens*perToken*slowdown(s.w.Load))
		capacity += float64(s.w.Capacity) / service
	}
	return s.w.Load * capacity
}

// slowdown returns the factor by which load increases the time per token.
func slowdown(load float64) float64 { return 1 + 0.6*load*load }

func (s *simulation) run() PolicyResult {
	gap := 1 / s.rate()
	t := 0.0
	for i := range s.w.Requests {
		t += s.rng.ExpFloat64() * gap
		r := simRequest{
			arrived: t, prefix: int(s.zipf.Uint64()), tokens: 1 + s.rng.ExpFloat64()*meanTokens, router: i % s.w.Routers, //nolint:gosec // small
		}
		s.at(t, func(now float64) { s.arrive(r, now) })
	}
	for at := s.w.ReportLag; at < t; at += s.w.ReportLag {
		s.at(at, func(float64) { s.exchangeReports() })
	}
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(event)
		e.fn(e.at)
	}
	return s.result()
}

// exchangeReports gives every router the current request counts of the others.
func (s *simulation) exchangeReports() {
	for _, r := range s.routers {
		for e := range s.engines {
			n := 0
			for _, o := range s.routers {
				if o != r {
					n += o.own[e]
				}
			}
			r.reported[e] = n
		}
	}
}

func (s *simulation) arrive(req simRequest, now float64) {
	r := s.routers[req.router]
	blocks := []uint64{uint64(req.prefix)} //nolint:gosec // small
	cs := make([]pool.Candidate, len(s.engines))
	for i := range s.engines {
		cs[i] = pool.Candidate{
			ID: s.ids[i], Own: r.own[i], Zone: r.reported[i], Limit: s.w.Capacity, FirstToken: r.first[i], Cached: r.table.Share(s.ids[i], blocks),
		}
	}
	i := s.policy.Pick(cs, s.choice)
	r.own[i]++
	r.table.Add(s.ids[i], blocks)
	e := s.engines[i]
	e.served++
	if e.running >= s.w.Capacity {
		e.queue = append(e.queue, req)
		return
	}
	s.start(i, req, now)
}

func (s *simulation) start(i int, req simRequest, now float64) {
	e := s.engines[i]
	e.running++
	load := float64(e.running) / float64(s.w.Capacity)
	hit, evicted := e.lookUp(req.prefix, s.w.CacheSize)
	first := prefill * e.speed * slowdown(load)
	if hit {
		first *= 1 - cachedSaving
		s.hits++
	}
	if evicted >= 0 && s.rng.Float64() >= s.w.EventLossShare {
		s.at(now+s.w.EventLag, func(float64) { s.evict(i, evicted) })
	}
	token := perToken * e.speed * slowdown(load)
	s.started++
	if s.started > s.w.Requests/10 { // skip the warm-up, when the routers have no estimates yet
		s.first = append(s.first, now+first-req.arrived)
		s.between = append(s.between, token)
	}
	s.at(now+first, func(float64) { s.updateEstimate(req.router, i, now+first-req.arrived, load) })
	s.at(now+first+req.tokens*token, func(end float64) { s.end(i, req, end) })
}

// updateEstimate updates a router's estimate of an engine's time to the first token without load.
func (s *simulation) updateEstimate(router, engine int, first, load float64) {
	r := s.routers[router]
	sample := first / (1 + load)
	if r.first[engine] == 0 {
		r.first[engine] = sample
		return
	}
	r.first[engine] += 0.2 * (sample - r.first[engine])
}

func (s *simulation) evict(engine, prefix int) {
	for _, r := range s.routers {
		r.table.Remove(s.ids[engine], uint64(prefix)) //nolint:gosec // small
	}
}

func (s *simulation) end(i int, req simRequest, now float64) {
	e := s.engines[i]
	e.running--
	s.routers[req.router].own[i]--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.start(i, next, now)
	}
}

func (s *simulation) result() PolicyResult {
	sort.Float64s(s.first)
	sort.Float64s(s.between)
	busiest, total := 0, 0
	for _, e := range s.engines {
		busiest = max(busiest, e.served)
		total += e.served
	}
	return PolicyResult{
		Policy: s.policy.Name(), FirstP50: 1000 * quantile(s.first, 0.5), FirstP95: 1000 * quantile(s.first, 0.95),
		BetweenP95: 1000 * quantile(s.between, 0.95), CacheHits: float64(s.hits) / float64(s.w.Requests),
		Imbalance: float64(busiest) * float64(len(s.engines)) / float64(max(total, 1)),
	}
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
