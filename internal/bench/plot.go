package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	dirMode    = 0o755
)

// Plots writes a plot of every slope as an SVG file to a directory.
func (r *Result) Plots(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return eris.Wrap(err, "creating the directory")
	}
	for _, s := range r.Slopes() {
		if err := s.plot(dir); err != nil {
			return eris.Wrapf(err, "plotting %s", s.Name)
		}
	}
	return nil
}

func (s Slope) plot(dir string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.XUnit, s.YUnit
	xys := make(plotter.XYs, len(s.Points))
	for i, pt := range s.Points {
		xys[i].X, xys[i].Y = pt.X, pt.Y
	}
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Base + s.PerX*x })
	p.Add(points, line, plotter.NewGrid())
	name := strings.Map(func(c rune) rune {
		if c == ' ' || c == ',' {
			return '-'
		}
		return c
	}, s.Name)
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, fmt.Sprintf("%s.svg", strings.ReplaceAll(name, "--", "-"))))
}
