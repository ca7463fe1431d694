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
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// marks are the sizes of today and of the target, by variable.
func marks(of string) map[string]float64 {
	today, target := Today().share(), Target().share()
	switch of {
	case "workers":
		return map[string]float64{"today": today.workers, "target": target.workers}
	case "tasks":
		return map[string]float64{"today": today.tasks, "target": target.tasks}
	case "tasks on the worker":
		return map[string]float64{"today": today.perWorker, "target": target.perWorker}
	case "workloads":
		return map[string]float64{"today": today.JobsPerDay, "target": target.JobsPerDay}
	case "teams":
		return map[string]float64{"today": today.Teams, "target": target.Teams}
	case "endpoints":
		return map[string]float64{"today": today.endpoints, "target": target.endpoints}
	case "hosts":
		return map[string]float64{"today": today.EntryHosts * today.Domains, "target": target.EntryHosts * target.Domains}
	}
	return nil
}

// Draw writes a slope as PNG and SVG into dir.
func Draw(dir string, s Slope) error {
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

func addMarks(p *plot.Plot, s Slope) error {
	top := 0.0
	for _, q := range s.Points {
		top = max(top, q.Y)
	}
	for i, name := range []string{"today", "target"} {
		x, ok := marks(s.Of)[name]
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
func FileName(s Slope) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' {
			return r
		}
		return '-'
	}, strings.ReplaceAll(strings.ReplaceAll(strings.ToLower(s.Name), ", ", " "), ": ", " ")), "-")
}
