package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
)

// Result holds all measurements of a run.
type Result struct {
	Routed  *RoutedResult  `json:"routed"`
	Budget  *BudgetResult  `json:"budget"`
	Balance []PolicyResult `json:"balance"`
	Control *ControlResult `json:"control"`
	Store   *StoreResult   `json:"store"`
	Took    float64        `json:"took_s"`
}

// section is one part of a run.
type section struct {
	name    string
	measure func(ctx context.Context, r *Result) error
}

// sections returns the parts of a run in order. The timed sections run first and one at a time. The sections that only
// count follow.
func sections() []section {
	return []section{
		{"routed", func(ctx context.Context, r *Result) (err error) { r.Routed, err = MeasureRouted(ctx); return err }},
		{"control", func(ctx context.Context, r *Result) (err error) { r.Control, err = MeasureControl(ctx); return err }},
		{"budget", func(ctx context.Context, r *Result) (err error) { r.Budget, err = MeasureBudget(ctx); return err }},
		{"balance", func(_ context.Context, r *Result) error { r.Balance = BalanceTable(DefaultWorkload()); return nil }},
		{"store", func(ctx context.Context, r *Result) (err error) { r.Store, err = MeasureStore(ctx); return err }},
	}
}

// Run measures all sections, or only the named ones.
func Run(ctx context.Context, only []string) (*Result, error) {
	start := time.Now()
	r := &Result{}
	for _, s := range sections() {
		if len(only) > 0 && !slices.Contains(only, s.name) {
			continue
		}
		if err := s.measure(ctx, r); err != nil {
			return nil, eris.Wrapf(err, "measuring %s", s.name)
		}
	}
	r.Took = time.Since(start).Seconds()
	return r, nil
}

// JSON writes the result as one line of JSON.
func (r *Result) JSON(w io.Writer) error {
	b, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encoding the result")
	}
	_, err = fmt.Fprintln(w, string(b))
	return err
}

// Slopes returns all slopes of the result.
func (r *Result) Slopes() []Slope {
	var out []Slope
	if r.Routed != nil {
		out = append(out, r.Routed.StreamMemory)
	}
	if r.Control != nil {
		out = append(out, r.Control.CPU, r.Control.Bytes, r.Control.Memory, r.Control.FleetCPU)
	}
	if r.Budget != nil {
		out = append(out, r.Budget.IdleMemory, r.Budget.BusyMemory)
	}
	if r.Store != nil {
		out = append(out, r.Store.Writes, r.Store.Reads, r.Store.Bytes, r.Store.WritesByRemoteShare)
	}
	return out
}

// Text writes the result as tables.
func (r *Result) Text(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if x := r.Routed; x != nil {
		_, _ = fmt.Fprintf(tw, "routed\tfirst token p95\tdirect %.2f ms\trouted %.2f ms\tadded %.2f ms\n", x.FirstDirectP95, x.FirstRoutedP95, x.AddedP95)
		_, _ = fmt.Fprintf(tw, "routed\ttokens/s\tdirect %.0f\trouted %.0f\tshare %.2f\n", x.TokensDirect, x.TokensRouted, x.TokenShare)
	}
	if x := r.Budget; x != nil {
		_, _ = fmt.Fprintf(tw, "budget\treserve+settle\t%.0f ns\t%.1f allocations\trow %.0f bytes\n", x.ReserveNS, x.ReserveAllocs, x.RowBytes)
	}
	for _, p := range r.Balance {
		_, _ = fmt.Fprintf(tw, "balance\t%s\tfirst p50 %.0f ms\tp95 %.0f ms\tbetween p95 %.1f ms\thits %.2f\timbalance %.2f\n",
			p.Policy, p.FirstP50, p.FirstP95, p.BetweenP95, p.CacheHits, p.Imbalance)
	}
	for _, s := range r.Slopes() {
		_, _ = fmt.Fprintf(tw, "slope\t%s\t%.4g + %.4g %s\tr2 %.3f\tat %.4g %s: %.4g\n", s.Name, s.Base, s.PerX, s.YUnit, s.R2, s.Size, s.XUnit, s.AtSize)
	}
	_, _ = fmt.Fprintf(tw, "took %.1f s\n", r.Took)
	return tw.Flush()
}
