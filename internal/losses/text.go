package losses

import (
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// causes returns the causes of a count, most frequent first.
func (c Count) causes() []Cause {
	out := make([]Cause, 0, len(c))
	for cause := range c {
		out = append(out, cause)
	}
	slices.SortFunc(out, func(a, b Cause) int { return cmp.Or(cmp.Compare(c[b], c[a]), cmp.Compare(a, b)) })
	return out
}

// Write writes the report as tables of shares in per cent. Tables sorted by losses have at most maxRows rows, those sorted
// by name have all.
func (r Report) Write(w io.Writer, maxRows int) error {
	causes := r.All.causes()
	for i, t := range r.Tables {
		rows := t.Rows
		if !dimensions[i].sortByName {
			rows = rows[:min(len(rows), maxRows)]
		}
		if err := writeTable(w, t.Name, rows, causes); err != nil {
			return eris.Wrap(err, "writing a table")
		}
	}
	return nil
}

func writeTable(w io.Writer, name string, rows []Row, causes []Cause) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := name + "\trequests\t"
	for _, c := range causes {
		head += string(c) + "\t"
	}
	if _, err := fmt.Fprintln(tw, head); err != nil {
		return err
	}
	for _, row := range rows {
		var b strings.Builder
		_, _ = fmt.Fprintf(&b, "%s\t%d\t", row.Name, row.Count.Total())
		for _, c := range causes {
			_, _ = fmt.Fprintf(&b, "%.1f\t", 100*row.Count.Share(c))
		}
		if _, err := fmt.Fprintln(tw, b.String()); err != nil {
			return err
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	dirMode    = 0o755
)

// Plot writes a plot of the shares by second to losses.svg in dir.
func (r Report) Plot(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "creating the directory")
	}
	at := slices.IndexFunc(r.Tables, func(t Table) bool { return t.Name == "second" })
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "how requests ended, by second", "second", "part of requests"
	var lines []any
	for _, c := range r.All.causes() {
		xys := make(plotter.XYs, len(r.Tables[at].Rows))
		for i, row := range r.Tables[at].Rows {
			xys[i].X, xys[i].Y = float64(i), row.Count.Share(c)
		}
		lines = append(lines, string(c), xys)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "plotting")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, "losses.svg")), "writing the plot")
}
