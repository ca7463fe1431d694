// Package capacity measures how the cost of control grows and works out what
// it comes to at a given size.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a quantity measured against one variable, with the straight line
// through the points.
type Slope struct {
	Name string `json:"name"`
	// Of is the variable; Unit is the quantity's unit.
	Of     string  `json:"of"`
	Unit   string  `json:"unit"`
	Points []Point `json:"points"`
	Base   float64 `json:"base"`
	Per    float64 `json:"per"`
	// Residual is the largest distance of a point from the line, relative to
	// the largest value.
	Residual float64 `json:"residual"`
	// Exponent is the power with which the part above Base grows between the
	// two largest points; 1 is linear.
	Exponent float64 `json:"exponent"`
}

// At returns the line's value.
func (s Slope) At(x float64) float64 { return s.Base + s.Per*x }

// fit puts a straight line through the points.
func fit(name, of, unit string, points []Point) Slope {
	s := Slope{Name: name, Of: of, Unit: unit, Points: points}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	top := 0.0
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
		top = max(top, math.Abs(p.Y))
	}
	s.Base, s.Per = stat.LinearRegression(xs, ys, nil, false)
	for _, p := range points {
		if top > 0 {
			s.Residual = max(s.Residual, math.Abs(p.Y-s.At(p.X))/top)
		}
	}
	s.Exponent = exponent(points)
	return s
}

// exponent is the growth between the two largest points, less the smallest
// point's value as the constant part; 0 where nothing grows.
func exponent(points []Point) float64 {
	n := len(points)
	if n < 3 {
		return 0
	}
	base := points[0].Y
	a, b := points[n-2], points[n-1]
	if a.Y-base <= 0 || b.Y-base <= 0 || b.Y-base < 0.02*b.Y {
		return 0
	}
	return math.Log((b.Y-base)/(a.Y-base)) / math.Log((b.X-points[0].X)/(a.X-points[0].X))
}
