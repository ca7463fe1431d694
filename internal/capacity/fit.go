// Package capacity measures how the cost of control grows.
package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

// fit puts a straight line through the points.
func fit(name, of, unit string, points []sizing.Point) sizing.Slope {
	s := sizing.Slope{Name: name, Of: of, Unit: unit, Points: points}
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
func exponent(points []sizing.Point) float64 {
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
