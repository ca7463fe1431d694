package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/settings"
	"github.com/mimosaspool/mimosaspool/internal/sizing"
)

// flags are the program's settings.
type flags struct {
	Again bool   `flag:"again"`
	Root  string `flag:"root" validate:"required,dir"`
}

// Main measures, and writes the measurements, the plots and the page's tables.
// It returns the exit code.
func Main() int {
	var f flags
	cmd := settings.Command("mimosaspool-slopes", "Measure how the cost of control grows", func(context.Context) error {
		if !f.Again {
			return remake(f.Root)
		}
		m, err := sizing.Embedded()
		if err != nil {
			return err
		}
		return rewrite(filepath.Join(f.Root, "docs/CAPACITY.md"), m)
	})
	cmd.Flags().BoolVar(&f.Again, "again", false, "only work the page's tables out anew, from the last measurements")
	cmd.Flags().StringVar(&f.Root, "root", ".", "root of the repository")
	return settings.Execute(cmd, &f)
}

func remake(root string) error {
	slopes, err := Measure(func(s sizing.Slope) {
		fmt.Printf("%s against %s: base %s, per one %s %s, residual %.0f%%, %s\n", s.Name, s.Of, sizing.Number(s.Base), sizing.Number(s.Per), s.Unit, s.Residual*100, sizing.PointsText(s))
	})
	if err != nil {
		return err
	}
	incidents, err := Incidents()
	if err != nil {
		return err
	}
	m := sizing.Measured{Slopes: slopes, Incidents: incidents}
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(root, "internal/sizing/measured.json"), append(data, '\n'), 0o644); err != nil {
		return errors.WithStack(err)
	}
	if err := drawAll(filepath.Join(root, "docs/capacity"), slopes); err != nil {
		return err
	}
	return rewrite(filepath.Join(root, "docs/CAPACITY.md"), m)
}

func drawAll(dir string, slopes []sizing.Slope) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.WithStack(err)
	}
	for _, s := range slopes {
		if err := Draw(dir, s); err != nil {
			return err
		}
	}
	return nil
}

func rewrite(path string, m sizing.Measured) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	page, err = sizing.Replace(page, m)
	if err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(path, page, 0o644))
}
