package capacity

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

//go:embed measured.json
var measured []byte

// Embedded returns the measurements that the repository holds.
func Embedded() (Measured, error) {
	var m Measured
	return m, errors.WithStack(json.Unmarshal(measured, &m))
}

// Main measures, and writes the measurements, the plots and the page's tables.
// It returns the exit code.
func Main() int {
	var root string
	var again bool
	cmd := &cobra.Command{
		Use:   "mimosaspool-slopes",
		Short: "Measure how the cost of control grows",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if !again {
				return remake(root)
			}
			m, err := Embedded()
			if err != nil {
				return err
			}
			return rewrite(filepath.Join(root, "docs/CAPACITY.md"), m)
		},
	}
	cmd.Flags().BoolVar(&again, "again", false, "only work the page's tables out anew, from the last measurements")
	cmd.Flags().StringVar(&root, "root", ".", "root of the repository")
	if err := cmd.Execute(); err != nil {
		return 1
	}
	return 0
}

func remake(root string) error {
	slopes, err := Measure(func(s Slope) {
		fmt.Printf("%s against %s: base %s, per one %s %s, residual %.0f%%, %s\n", s.Name, s.Of, number(s.Base), number(s.Per), s.Unit, s.Residual*100, points(s))
	})
	if err != nil {
		return err
	}
	incidents, err := Incidents()
	if err != nil {
		return err
	}
	m := Measured{Slopes: slopes, Incidents: incidents}
	data, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.WithStack(err)
	}
	if err := os.WriteFile(filepath.Join(root, "internal/capacity/measured.json"), append(data, '\n'), 0o644); err != nil {
		return errors.WithStack(err)
	}
	if err := drawAll(filepath.Join(root, "docs/capacity"), slopes); err != nil {
		return err
	}
	return rewrite(filepath.Join(root, "docs/CAPACITY.md"), m)
}

func drawAll(dir string, slopes []Slope) error {
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

// Sections are the parts of docs/CAPACITY.md that come out of measurements,
// by the name in their markers.
func Sections(m Measured) map[string][]byte {
	var tables, slopes, incidents bytes.Buffer
	Tables(&tables, m, Target())
	SlopeTable(&slopes, m)
	IncidentTable(&incidents, m)
	return map[string][]byte{"tables": tables.Bytes(), "slopes": slopes.Bytes(), "incidents": incidents.Bytes()}
}

// Replace puts the sections between their markers in a page.
func Replace(page []byte, m Measured) ([]byte, error) {
	for name, text := range Sections(m) {
		begin, end := []byte("<!-- begin "+name+" -->\n"), []byte("<!-- end "+name+" -->")
		i, j := bytes.Index(page, begin), bytes.Index(page, end)
		if i < 0 || j < i {
			return nil, errors.Errorf("the page has no section %s", name)
		}
		page = bytes.Join([][]byte{page[:i+len(begin)], page[j:]}, text)
	}
	return page, nil
}

func rewrite(path string, m Measured) error {
	page, err := os.ReadFile(path)
	if err != nil {
		return errors.WithStack(err)
	}
	page, err = Replace(page, m)
	if err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(path, page, 0o644))
}
