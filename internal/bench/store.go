package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/external"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/standin/clock"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
	"github.com/ledgemount/ledgemount/internal/verdict"
)

// The reference size, as specified by the users.
const (
	ReferenceRequestRate = 920.0 // requests per second
	ReferenceZones       = 25
	instancesPerZone     = 15
)

// StoreResult is the load on the store, in total and by the purpose of the calls.
type StoreResult struct {
	Writes              Slope                            `json:"writes_per_s"`
	Reads               Slope                            `json:"reads_per_s"`
	Bytes               Slope                            `json:"bytes_written_per_s"`
	ByDuty              map[external.Duty]external.Calls `json:"by_duty_at_size"` // calls in the measured time
	Seconds             int                              `json:"measured_s"`
	WritesByRemoteShare Slope                            `json:"writes_by_away_share"`
	Refused             int                              `json:"refused"`
	LargestPage         int                              `json:"largest_page_bytes"`
	Assumptions         string                           `json:"assumed"`
}

// The simulated traffic. The popularity of budgets follows Zipf's law. The most popular budgets are used in every zone,
// the others mostly in their own zone.
const (
	zipfS              = 1.05
	zipfV              = 20
	globalBudgets      = 100  // number of budgets that are used in every zone
	defaultRemoteShare = 0.01 // share of the other budgets' requests that are made in a random zone
	tokensPerRequest   = 348  // 320,000 tokens per second at 920 requests per second
	reservedTokens     = 1_000
	warmUpSeconds      = 30
	measuredSeconds    = 20
	flushInterval      = 5 * time.Second
	refreshInterval    = 10 * time.Second
)

const assumptions = "Zipf s=1.05 v=20 over 80,000 budgets; the first 100 from every zone, the others from their own zone but for 1%; " +
	"15 instances a zone, 4 of them holders; every budget used in its zone before; 30 s of traffic to warm, 20 s counted"

// storeSim simulates all holders of the fleet on one store, without a network.
type storeSim struct {
	clock       *clock.Clock
	store       *external.Meter
	mem         *memstore.Store
	zones       [][]mesh.Peer
	homes       map[string]*budget.Holder
	rng         *rand.Rand
	zipf        *rand.Zipf
	requests    int
	rejected    int
	remoteShare float64 // share of the requests on less popular budgets that are made in a random zone
}

func newStoreSim(ctx context.Context, zones, budgets int, remoteShare float64) (*storeSim, error) {
	s := &storeSim{
		remoteShare: remoteShare,
		clock:       clock.New(), mem: memstore.New(), homes: make(map[string]*budget.Holder),
		rng: rand.New(rand.NewPCG(7, 7)), //nolint:gosec // a simulation
	}
	s.store = external.NewMeter(s.mem)
	s.zipf = rand.NewZipf(s.rng, zipfS, zipfV, uint64(budgets-1)) //nolint:gosec // positive
	if _, err := fillPages(ctx, s.mem, budgets); err != nil {
		return nil, err
	}
	times := budget.DefaultTimes()
	times.Flush, times.RefreshInterval = flushInterval, refreshInterval
	times.DeadTimeout = time.Hour // no holder crashes in the simulation
	for z := range zones {
		peers := peersOf(fmt.Sprintf("z%02d", z), instancesPerZone)
		s.zones = append(s.zones, peers)
		for _, p := range peers {
			s.homes[p.ID] = budget.NewHolder(s.store, fixedMembers{self: p, zone: peers}, nil, mesh.NewRouter(), noStopper{},
				budget.WithTimes(times), budget.WithClock(s.clock.Now))
		}
	}
	return s, nil
}

// simulateSecond simulates one second of traffic.
func (s *storeSim) simulateSecond(ctx context.Context, requests int) error {
	step := time.Second / time.Duration(max(requests, 1))
	for range requests {
		s.clock.Advance(step)
		if err := s.request(ctx); err != nil {
			return err
		}
	}
	for _, h := range s.homes {
		h.Tick(ctx)
	}
	return nil
}

// request makes one request on a random budget, in a zone that depends on the budget's popularity.
func (s *storeSim) request(ctx context.Context) error {
	rank := int(s.zipf.Uint64()) //nolint:gosec // below the number of budgets
	zone := rank % len(s.zones)
	if rank < globalBudgets || s.rng.Float64() < s.remoteShare {
		zone = s.rng.IntN(len(s.zones))
	}
	return s.requestFor(ctx, rank, zone)
}

func (s *storeSim) requestFor(ctx context.Context, rank, zone int) error {
	s.requests++
	return s.reserveAndSettle(ctx, fmt.Sprintf("r-%d", s.requests), rank, zone, s.zones[zone][s.rng.IntN(instancesPerZone)])
}

// requestAtBothHolders makes one request at each of a budget's two holders in its zone: the usual one, and the one that
// reserves for requests that the usual holder itself serves.
func (s *storeSim) requestAtBothHolders(ctx context.Context, req string, rank int, client mesh.Peer) error {
	zone := rank % len(s.zones)
	if err := s.reserveAndSettle(ctx, req, rank, zone, client); err != nil {
		return err
	}
	home := budget.HolderCandidates(budgetID(rank), s.zones[zone], client.ID)[0]
	return s.reserveAndSettle(ctx, req+"-own", rank, zone, home)
}

// reserveAndSettle makes one request on a budget at its holder. It counts a request that was rejected as not run.
func (s *storeSim) reserveAndSettle(ctx context.Context, req string, rank, zone int, client mesh.Peer) error {
	id := budgetID(rank)
	peers := s.zones[zone]
	h := s.homes[budget.HolderCandidates(id, peers, client.ID)[0].ID]
	_, err := h.Reserve(ctx, client.IncarnationID(), budget.ReserveReq{
		Request: req, Budget: id, Customer: benchCustomer, Tokens: reservedTokens, Place: budget.Place{Run: req},
	})
	if err != nil {
		if verdict.Of(err) == verdict.NotRun {
			s.rejected++
			return nil
		}
		return err
	}
	return h.Settle(ctx, client.IncarnationID(), budget.SettleReq{Request: req, Budget: id, Run: req, Holder: h.ID(), Tokens: tokensPerRequest})
}

// totalCalls adds up the calls for all purposes.
func totalCalls(calls map[external.Duty]external.Calls) (out external.Calls) {
	for _, c := range calls {
		out.Writes += c.Writes
		out.Reads += c.Reads
		out.Bytes += c.Bytes
	}
	return out
}

// storeRun holds the counts of one simulation.
type storeRun struct {
	calls       map[external.Duty]external.Calls
	refused     int
	largestPage int
}

func runStore(ctx context.Context, rate int, remoteShare float64) (storeRun, error) {
	s, err := newStoreSim(ctx, ReferenceZones, ReferenceBudgets, remoteShare)
	if err != nil {
		return storeRun{}, err
	}
	calls, err := s.measure(ctx, rate)
	if err != nil {
		return storeRun{}, err
	}
	largest, _ := s.mem.ValueSizes(budget.PagePrefix)
	return storeRun{calls: calls, refused: s.rejected, largestPage: largest}, nil
}

// MeasureStore counts the holders' calls to the store at several request rates and several shares of remote requests.
func MeasureStore(ctx context.Context) (*StoreResult, error) {
	res := &StoreResult{Seconds: measuredSeconds, Assumptions: assumptions}
	var writes, reads, bytes []Point
	rates := []float64{230, 460, 690, ReferenceRequestRate}
	runs := make([]storeRun, len(rates))
	shares := []float64{0, 0.05, 0.1} // defaultRemoteShare is covered by the runs by rate
	remoteRuns := make([]storeRun, len(shares))
	var g errgroup.Group
	for i, share := range shares {
		g.Go(func() (err error) {
			remoteRuns[i], err = runStore(ctx, int(ReferenceRequestRate), share)
			return err
		})
	}
	for i, rate := range rates {
		g.Go(func() (err error) {
			runs[i], err = runStore(ctx, int(rate), defaultRemoteShare)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for i, run := range runs {
		all := totalCalls(run.calls)
		writes = append(writes, Point{rates[i], float64(all.Writes) / measuredSeconds})
		reads = append(reads, Point{rates[i], float64(all.Reads) / measuredSeconds})
		bytes = append(bytes, Point{rates[i], float64(all.Bytes) / measuredSeconds})
		res.ByDuty, res.Refused, res.LargestPage = run.calls, run.refused, run.largestPage
	}
	remotePoints := []Point{{defaultRemoteShare, writes[len(writes)-1].Y}}
	for i, run := range remoteRuns {
		remotePoints = append(remotePoints, Point{shares[i], float64(totalCalls(run.calls).Writes) / measuredSeconds})
	}
	res.WritesByRemoteShare = fit("store writes by the share of requests from a foreign zone", "share", "writes/s", defaultRemoteShare, remotePoints)
	res.Writes = fit("store writes", "requests/s", "writes/s", ReferenceRequestRate, writes)
	res.Reads = fit("store reads", "requests/s", "reads/s", ReferenceRequestRate, reads)
	res.Bytes = fit("bytes read and written", "requests/s", "bytes/s", ReferenceRequestRate, bytes)
	return res, nil
}

// requestEveryBudget makes one request for every budget in its own zone, as hours of traffic would, and then ticks the
// holders until they have written the results.
func (s *storeSim) requestEveryBudget(ctx context.Context) error {
	type group struct {
		page uint16
		zone int
	}
	byPage := make(map[group][]int)
	for rank := range ReferenceBudgets {
		g := group{budget.PageOf(budgetID(rank)), rank % len(s.zones)}
		byPage[g] = append(byPage[g], rank)
	}
	for _, ranks := range byPage { // concurrent requests on a page need few writes
		var g errgroup.Group
		for _, rank := range ranks {
			s.requests++
			req := fmt.Sprintf("first-%d", rank)
			client := s.zones[rank%len(s.zones)][s.rng.IntN(instancesPerZone)]
			g.Go(func() error { return s.requestAtBothHolders(ctx, req, rank, client) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	for range 2 * int(refreshInterval/time.Second) {
		s.clock.Advance(time.Second)
		for _, h := range s.homes {
			h.Tick(ctx)
		}
	}
	return nil
}

// measure warms up the holders, then returns the calls to the store in the measured time.
func (s *storeSim) measure(ctx context.Context, rate int) (map[external.Duty]external.Calls, error) {
	if err := s.requestEveryBudget(ctx); err != nil {
		return nil, err
	}
	for range warmUpSeconds {
		if err := s.simulateSecond(ctx, rate); err != nil {
			return nil, err
		}
	}
	before := s.store.Calls()
	for range measuredSeconds {
		if err := s.simulateSecond(ctx, rate); err != nil {
			return nil, err
		}
	}
	after := s.store.Calls()
	for d, c := range after {
		after[d] = external.Calls{Reads: c.Reads - before[d].Reads, Writes: c.Writes - before[d].Writes, Bytes: c.Bytes - before[d].Bytes}
	}
	return after, nil
}
