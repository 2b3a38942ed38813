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

// LetterBudgets is the number of budgets in the users' letter.
const LetterBudgets = 80_000

// BudgetResult is what a holder costs.
type BudgetResult struct {
	Budgets       int     `json:"budgets"`
	ReserveNS     float64 `json:"reserve_settle_ns"`
	ReserveAllocs float64 `json:"reserve_settle_allocs"`
	RowBytes      float64 `json:"row_bytes"`
	LargestPage   int     `json:"largest_page_bytes"`
	StartMS       float64 `json:"first_draw_of_all_ms"` // every budget drawn once by one holder
	IdleMemory    Slope   `json:"idle_memory"`
	BusyMemory    Slope   `json:"busy_memory"`
}

// newHolder makes a holder with a store of n budgets.
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
	return h.Settle(ctx, budget.SettleReq{Request: request, Budget: budgetID(i), Run: request, Holder: h.ID(), Tokens: 200})
}

// MeasureBudget measures reservations, settlements and memory of a holder.
func MeasureBudget(ctx context.Context) (*BudgetResult, error) {
	res := &BudgetResult{Budgets: LetterBudgets}
	var idle, busy []Point
	for _, n := range []int{10_000, 20_000, 40_000, LetterBudgets} {
		p, err := measureMemory(ctx, n, res)
		if err != nil {
			return nil, err
		}
		idle = append(idle, Point{float64(n), p.idle})
		busy = append(busy, Point{float64(n), p.busy})
	}
	res.IdleMemory = fit("memory of a holder, idle accounts", "accounts", "bytes", LetterBudgets, idle)
	res.BusyMemory = fit("memory of a holder, one open reservation each", "accounts", "bytes", LetterBudgets, busy)
	return res, nil
}

type memoryPoint struct{ idle, busy float64 }

// measureMemory draws every budget once and opens a reservation on each. The last size gives the times too.
func measureMemory(ctx context.Context, n int, res *BudgetResult) (memoryPoint, error) {
	h, store, row, err := newHolder(ctx, n)
	if err != nil {
		return memoryPoint{}, err
	}
	before := inUse() - storeBytes(store)
	start := time.Now()
	if err := touchEach(ctx, h, n); err != nil {
		return memoryPoint{}, err
	}
	res.StartMS = float64(time.Since(start).Milliseconds())
	h.Tick(ctx)
	idle := inUse() - storeBytes(store) - before
	for i := range n {
		if err := reserve(ctx, h, fmt.Sprintf("busy-%d", i), i); err != nil {
			return memoryPoint{}, err
		}
	}
	busy := inUse() - storeBytes(store) - before
	res.RowBytes = row
	res.LargestPage, _ = store.Largest(budget.PagePrefix)
	err = measureReserve(ctx, h, n, res)
	runtime.KeepAlive(h)
	return memoryPoint{idle: idle, busy: busy}, err
}

// touchEach makes one request on every budget, those of a page together, so that few writes serve them.
func touchEach(ctx context.Context, h *budget.Holder, n int) error {
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
	_, total := s.Largest("")
	return float64(total)
}

const reserveRounds = 100_000

// measureReserve times reserve and settle on random budgets that are drawn already.
func measureReserve(ctx context.Context, h *budget.Holder, n int, res *BudgetResult) error {
	rng := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a benchmark
	ids := make([]string, reserveRounds)
	at := make([]int, reserveRounds)
	for i := range ids {
		ids[i], at[i] = fmt.Sprintf("r-%d", i), rng.IntN(n)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i, id := range ids {
		if err := reserve(ctx, h, id, at[i]); err != nil {
			return err
		}
		if err := settle(ctx, h, id, at[i]); err != nil {
			return err
		}
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	res.ReserveNS = float64(took.Nanoseconds()) / reserveRounds
	res.ReserveAllocs = float64(after.Mallocs-before.Mallocs) / reserveRounds
	return nil
}
