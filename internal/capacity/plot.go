package capacity

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Draw writes a slope as PNG and SVG into dir.
func Draw(dir string, s sizing.Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text, p.Y.Label.Text = s.Of, s.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.Points))
	for i, q := range s.Points {
		points[i] = plotter.XY{X: q.X, Y: q.Y}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, s.Name)
	}
	line := plotter.NewFunction(s.At)
	line.Color = color.Gray{Y: 120}
	p.Add(plotter.NewGrid(), dots, line)
	p.Legend.Add("measured", dots)
	p.Legend.Add("line", line)
	if err := addMarks(p, s); err != nil {
		return err
	}
	for _, ext := range []string{".png", ".svg"} {
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, FileName(s)+ext)); err != nil {
			return errors.Wrap(err, s.Name)
		}
	}
	return nil
}

func addMarks(p *plot.Plot, s sizing.Slope) error {
	top := 0.0
	for _, q := range s.Points {
		top = max(top, q.Y)
	}
	for i, z := range []sizing.Size{sizing.Today(), sizing.Target()} {
		name := []string{"today", "target"}[i]
		x, ok := sizing.Variables(z)[s.Of]
		if !ok {
			continue
		}
		l, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: top}})
		if err != nil {
			return errors.Wrap(err, s.Name)
		}
		l.Color = []color.Color{color.RGBA{B: 200, A: 255}, color.RGBA{R: 200, A: 255}}[i]
		p.Add(l)
		p.Legend.Add(fmt.Sprintf("%s: %.0f", name, x), l)
	}
	return nil
}

// FileName is the name of a slope's plot without ending.
func FileName(s sizing.Slope) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r
		}
		return '-'
	}, strings.ReplaceAll(strings.ReplaceAll(strings.ToLower(s.Name), ", ", " "), ": ", " ")), "-")
}
