package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/ledgemount/ledgemount/internal/budget"
	"github.com/ledgemount/ledgemount/internal/mesh"
	"github.com/ledgemount/ledgemount/internal/standin/memstore"
)

// ReferenceBudgets is the number of budgets at the reference size, as specified by the users.
const ReferenceBudgets = 80_000

// BudgetResult is the cost of a holder in time and memory.
type BudgetResult struct {
	Budgets       int     `json:"budgets"`
	ReserveNS     float64 `json:"reserve_settle_ns"`
	ReserveAllocs float64 `json:"reserve_settle_allocs"`
	RowBytes      float64 `json:"row_bytes"`
	LargestPage   int     `json:"largest_page_bytes"`
	StartMS       float64 `json:"first_draw_of_all_ms"` // time of one request on every budget
	IdleMemory    Slope   `json:"idle_memory"`
	BusyMemory    Slope   `json:"busy_memory"`
}

// newHolder makes a holder and a store with n budgets. It also returns the average size of a row in bytes.
func newHolder(ctx context.Context, n int) (*budget.Holder, *memstore.Store, float64, error) {
	store := memstore.New()
	row, err := fillPages(ctx, store, n)
	if err != nil {
		return nil, nil, 0, err
	}
	zone := peersOf("zone", 2)
	times := budget.DefaultTimes()
	h := budget.NewHolder(store, fixedMembers{self: zone[0], zone: zone}, nil, mesh.NewRouter(), noStopper{}, budget.WithTimes(times))
	return h, store, row, nil
}

const benchClient = "zone-1~x"

func reserve(ctx context.Context, h *budget.Holder, request string, i int) error {
	_, err := h.Reserve(ctx, benchClient, budget.ReserveReq{
		Request: request, Budget: budgetID(i), Customer: benchCustomer, Tokens: 500, Place: budget.Place{Run: request},
	})
	return err
}

func settle(ctx context.Context, h *budget.Holder, request string, i int) error {
	return h.Settle(ctx, benchClient, budget.SettleReq{Request: request, Budget: budgetID(i), Run: request, Holder: h.ID(), Tokens: 200})
}

// MeasureBudget measures reservations, settlements and memory of a holder.
func MeasureBudget(ctx context.Context) (*BudgetResult, error) {
	res := &BudgetResult{Budgets: ReferenceBudgets}
	var idle, busy []Point
	for _, n := range []int{10_000, 20_000, 40_000, ReferenceBudgets} {
		p, err := measureMemory(ctx, n, res)
		if err != nil {
			return nil, err
		}
		idle = append(idle, Point{float64(n), p.idle})
		busy = append(busy, Point{float64(n), p.busy})
	}
	res.IdleMemory = fit("memory of a holder, idle accounts", "accounts", "bytes", ReferenceBudgets, idle)
	res.BusyMemory = fit("memory of a holder, one open reservation each", "accounts", "bytes", ReferenceBudgets, busy)
	return res, nil
}

type memoryUse struct{ idle, busy float64 }

// measureMemory makes one request on every budget, then opens a reservation on each. It also measures times; res contains
// those of the last call.
func measureMemory(ctx context.Context, n int, res *BudgetResult) (memoryUse, error) {
	h, store, row, err := newHolder(ctx, n)
	if err != nil {
		return memoryUse{}, err
	}
	before := memoryInUse() - storeBytes(store)
	start := time.Now()
	if err := requestEach(ctx, h, n); err != nil {
		return memoryUse{}, err
	}
	res.StartMS = float64(time.Since(start).Milliseconds())
	h.Tick(ctx)
	idle := memoryInUse() - storeBytes(store) - before
	for i := range n {
		if err := reserve(ctx, h, fmt.Sprintf("busy-%d", i), i); err != nil {
			return memoryUse{}, err
		}
	}
	busy := memoryInUse() - storeBytes(store) - before
	res.RowBytes = row
	res.LargestPage, _ = store.ValueSizes(budget.PagePrefix)
	err = measureReserve(ctx, h, n, res)
	runtime.KeepAlive(h)
	return memoryUse{idle: idle, busy: busy}, err
}

// requestEach makes one request on every budget. The requests of a page run concurrently, so that few writes suffice.
func requestEach(ctx context.Context, h *budget.Holder, n int) error {
	byPage := make(map[uint16][]int)
	for i := range n {
		p := budget.PageOf(budgetID(i))
		byPage[p] = append(byPage[p], i)
	}
	for _, list := range byPage {
		var g errgroup.Group
		for _, i := range list {
			g.Go(func() error {
				id := fmt.Sprintf("first-%d", i)
				if err := reserve(ctx, h, id, i); err != nil {
					return err
				}
				return settle(ctx, h, id, i)
			})
		}
		if err := g.Wait(); err != nil {
			return err
		}
	}
	return nil
}

func storeBytes(s *memstore.Store) float64 {
	_, total := s.ValueSizes("")
	return float64(total)
}

const reserveRounds = 100_000

// measureReserve measures the time of a reservation and its settlement on random budgets for which the holder already has
// a grant.
func measureReserve(ctx context.Context, h *budget.Holder, n int, res *BudgetResult) error {
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a benchmark
	ids := make([]string, reserveRounds)
	budgets := make([]int, reserveRounds)
	for i := range ids {
		ids[i], budgets[i] = fmt.Sprintf("r-%d", i), rng.IntN(n)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i, id := range ids {
		if err := reserve(ctx, h, id, budgets[i]); err != nil {
			return err
		}
		if err := settle(ctx, h, id, budgets[i]); err != nil {
			return err
		}
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	res.ReserveNS = float64(took.Nanoseconds()) / reserveRounds
	res.ReserveAllocs = float64(after.Mallocs-before.Mallocs) / reserveRounds
	return nil
}
