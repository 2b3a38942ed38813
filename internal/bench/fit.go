package bench

import "gonum.org/v1/gonum/stat"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line fitted to measurements.
type Slope struct {
	Name   string  `json:"name"`
	XUnit  string  `json:"x_unit"`
	YUnit  string  `json:"y_unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`    // y at x = 0
	PerX   float64 `json:"per_x"`   // y for each x
	R2     float64 `json:"r2"`      // coefficient of determination, at most 1
	AtSize float64 `json:"at_size"` // y at the reference size
	Size   float64 `json:"size"`    // the reference size
}

// fit fits a line to points and evaluates it at a size.
func fit(name, xUnit, yUnit string, size float64, points []Point) Slope {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	base, per := stat.LinearRegression(xs, ys, nil, false)
	return Slope{
		Name: name, XUnit: xUnit, YUnit: yUnit, Points: points, Base: base, PerX: per,
		R2: stat.RSquared(xs, ys, nil, base, per), Size: size, AtSize: base + per*size,
	}
}
