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

// The letter's size, for the store.
const (
	LetterRequests = 920.0 // a second
	LetterZones    = 25
	perZone        = 15 // instances
)

// StoreResult is what the store is asked for, by duty.
type StoreResult struct {
	Writes  Slope                            `json:"writes_per_s"`
	Reads   Slope                            `json:"reads_per_s"`
	Bytes   Slope                            `json:"bytes_written_per_s"`
	ByDuty  map[external.Duty]external.Calls `json:"by_duty_at_size"` // in the measured time
	Seconds int                              `json:"measured_s"`
	Away    Slope                            `json:"writes_by_away_share"`
	Refused int                              `json:"refused"`
	Pages   int                              `json:"largest_page_bytes"`
	Assumed string                           `json:"assumed"`
}

// The simulated traffic: budgets are popular by Zipf's law; the most popular are drawn on from every zone, the others
// mostly from their own.
const (
	zipfS        = 1.05
	zipfV        = 20
	everywhere   = 100  // budgets that are used from every zone
	awayShare    = 0.01 // of the others' requests come from any zone
	costTokens   = 348  // 320,000 tokens a second over 920 requests
	reserveMost  = 1_000
	warmSeconds  = 30
	countSeconds = 20
	storeFlush   = 5 * time.Second
	storeBeat    = 10 * time.Second
)

const assumption = "Zipf s=1.05 v=20 over 80,000 budgets; the first 100 from every zone, the others from their own zone but for 1%; " +
	"15 instances a zone, 4 of them holders; every budget used in its zone before; 30 s of traffic to warm, 20 s counted"

// storeSim is every holder of the fleet on one store, without the wires.
type storeSim struct {
	clock *clock.Clock
	store *external.Meter
	mem   *memstore.Store
	zones [][]mesh.Peer
	homes map[string]*budget.Home
	rng   *rand.Rand
	zipf  *rand.Zipf
	n     int
	miss  int
	away  float64 // share of requests that come from a foreign zone
}

func newStoreSim(ctx context.Context, zones, budgets int, away float64) (*storeSim, error) {
	s := &storeSim{
		away:  away,
		clock: clock.New(), mem: memstore.New(), homes: make(map[string]*budget.Home),
		rng: rand.New(rand.NewPCG(7, 7)), //nolint:gosec // a simulation
	}
	s.store = external.NewMeter(s.mem)
	s.zipf = rand.NewZipf(s.rng, zipfS, zipfV, uint64(budgets-1)) //nolint:gosec // positive
	if _, err := fillPages(ctx, s.mem, budgets); err != nil {
		return nil, err
	}
	times := budget.DefaultTimes()
	times.Flush, times.RefreshInterval = storeFlush, storeBeat
	times.DeadTimeout = time.Hour // nobody dies here
	for z := range zones {
		peers := peersOf(fmt.Sprintf("z%02d", z), perZone)
		s.zones = append(s.zones, peers)
		for _, p := range peers {
			s.homes[p.ID] = budget.NewHome(s.store, fixedMembers{self: p, zone: peers}, nil, mesh.NewRouter(), noStopper{},
				budget.WithTimes(times), budget.WithClock(s.clock.Now))
		}
	}
	return s, nil
}

// second plays one second of traffic.
func (s *storeSim) second(ctx context.Context, requests int) error {
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

func (s *storeSim) request(ctx context.Context) error {
	rank := int(s.zipf.Uint64()) //nolint:gosec // below the number of budgets
	zone := rank % len(s.zones)
	if rank < everywhere || s.rng.Float64() < s.away {
		zone = s.rng.IntN(len(s.zones))
	}
	return s.requestFor(ctx, rank, zone)
}

func (s *storeSim) requestFor(ctx context.Context, rank, zone int) error {
	s.n++
	return s.play(ctx, fmt.Sprintf("r-%d", s.n), rank, zone, s.zones[zone][s.rng.IntN(perZone)])
}

// touch makes a request of a budget at both of its homes: that of the zone, and that of requests which the zone's home
// serves itself.
func (s *storeSim) touch(ctx context.Context, req string, rank int, client mesh.Peer) error {
	zone := rank % len(s.zones)
	if err := s.play(ctx, req, rank, zone, client); err != nil {
		return err
	}
	home := budget.Homes(budgetID(rank), s.zones[zone], client.ID)[0]
	return s.play(ctx, req+"-own", rank, zone, home)
}

func (s *storeSim) play(ctx context.Context, req string, rank, zone int, client mesh.Peer) error {
	id := budgetID(rank)
	peers := s.zones[zone]
	h := s.homes[budget.Homes(id, peers, client.ID)[0].ID]
	_, err := h.Reserve(ctx, client.IncarnationID(), budget.ReserveReq{
		Request: req, Budget: id, Customer: benchCustomer, Tokens: reserveMost, Place: budget.Place{Run: req},
	})
	if err != nil {
		if verdict.Of(err) == verdict.NotRun {
			s.miss++
			return nil
		}
		return err
	}
	return h.Settle(ctx, budget.SettleReq{Request: req, Budget: id, Run: req, Holder: h.Holder(), Tokens: costTokens})
}

func sum(calls map[external.Duty]external.Calls) (out external.Calls) {
	for _, c := range calls {
		out.Writes += c.Writes
		out.Reads += c.Reads
		out.Bytes += c.Bytes
	}
	return out
}

// storeRun is what one simulation has counted.
type storeRun struct {
	calls   map[external.Duty]external.Calls
	refused int
	page    int
}

func runStore(ctx context.Context, rate int, away float64) (storeRun, error) {
	s, err := newStoreSim(ctx, LetterZones, LetterBudgets, away)
	if err != nil {
		return storeRun{}, err
	}
	calls, err := s.count(ctx, rate)
	if err != nil {
		return storeRun{}, err
	}
	most, _ := s.mem.Largest(budget.PagePrefix)
	return storeRun{calls: calls, refused: s.miss, page: most}, nil
}

// MeasureStore counts the calls of the fleet's holders at several request rates.
func MeasureStore(ctx context.Context) (*StoreResult, error) {
	res := &StoreResult{Seconds: countSeconds, Assumed: assumption}
	var writes, reads, bytes []Point
	rates := []float64{230, 460, 690, LetterRequests}
	runs := make([]storeRun, len(rates))
	shares := []float64{0, 0.05, 0.1} // and awayShare, which the runs by rate have
	away := make([]storeRun, len(shares))
	var g errgroup.Group
	for i, share := range shares {
		g.Go(func() (err error) {
			away[i], err = runStore(ctx, int(LetterRequests), share)
			return err
		})
	}
	for i, rate := range rates {
		g.Go(func() (err error) {
			runs[i], err = runStore(ctx, int(rate), awayShare)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	for i, run := range runs {
		all := sum(run.calls)
		writes = append(writes, Point{rates[i], float64(all.Writes) / countSeconds})
		reads = append(reads, Point{rates[i], float64(all.Reads) / countSeconds})
		bytes = append(bytes, Point{rates[i], float64(all.Bytes) / countSeconds})
		res.ByDuty, res.Refused, res.Pages = run.calls, run.refused, run.page
	}
	foreign := []Point{{awayShare, writes[len(writes)-1].Y}}
	for i, run := range away {
		foreign = append(foreign, Point{shares[i], float64(sum(run.calls).Writes) / countSeconds})
	}
	res.Away = fit("store writes by the share of requests from a foreign zone", "share", "writes/s", awayShare, foreign)
	res.Writes = fit("store writes", "requests/s", "writes/s", LetterRequests, writes)
	res.Reads = fit("store reads", "requests/s", "reads/s", LetterRequests, reads)
	res.Bytes = fit("bytes read and written", "requests/s", "bytes/s", LetterRequests, bytes)
	return res, nil
}

// touchAll makes one request for every budget in its own zone, as hours of traffic would have, and lets the holders
// write what follows.
func (s *storeSim) touchAll(ctx context.Context) error {
	type group struct {
		page uint16
		zone int
	}
	byPage := make(map[group][]int)
	for rank := range LetterBudgets {
		g := group{budget.PageOf(budgetID(rank)), rank % len(s.zones)}
		byPage[g] = append(byPage[g], rank)
	}
	for _, ranks := range byPage { // together, so that few writes serve them
		var g errgroup.Group
		for _, rank := range ranks {
			s.n++
			req := fmt.Sprintf("first-%d", rank)
			client := s.zones[rank%len(s.zones)][s.rng.IntN(perZone)]
			g.Go(func() error { return s.touch(ctx, req, rank, client) })
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	for range 2 * int(storeBeat/time.Second) {
		s.clock.Advance(time.Second)
		for _, h := range s.homes {
			h.Tick(ctx)
		}
	}
	return nil
}

// count warms the holders and returns the calls of the time after.
func (s *storeSim) count(ctx context.Context, rate int) (map[external.Duty]external.Calls, error) {
	if err := s.touchAll(ctx); err != nil {
		return nil, err
	}
	for range warmSeconds {
		if err := s.second(ctx, rate); err != nil {
			return nil, err
		}
	}
	before := s.store.Calls()
	for range countSeconds {
		if err := s.second(ctx, rate); err != nil {
			return nil, err
		}
	}
	after := s.store.Calls()
	for d, c := range after {
		after[d] = external.Calls{Reads: c.Reads - before[d].Reads, Writes: c.Writes - before[d].Writes, Bytes: c.Bytes - before[d].Bytes}
	}
	return after, nil
}
