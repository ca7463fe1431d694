package proof

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Histories int      `flag:"histories" validate:"min=0"`
	Seed      uint64   `flag:"seed"`
	Faults    []string `flag:"faults"`
	Host      string   `flag:"host" validate:"required"`
}

// errBroken marks a run in which a promise did not hold.
var errBroken = errors.New("promises were broken")

// Main plays histories and returns the exit code.
func Main() int {
	var f flags
	cmd := settings.Command("mimosaspool-prove", "Play generated histories under faults and judge the promises", func(context.Context) error {
		if Report(os.Stdout, Matrix(f.Histories)) > 0 {
			return errBroken
		}
		return nil
	})
	cmd.Flags().IntVar(&f.Histories, "histories", 0, "number of histories; at least one for each combination of faults")
	cmd.AddCommand(settings.Command("outages", "Measure what still runs and starts in each outage", func(context.Context) error {
		Outages(os.Stdout)
		return nil
	}))
	trace := settings.Command("trace", "Write the trace of one scheduler of a generated history", func(context.Context) error {
		return Generate(os.Stdout, f.history(), f.Host)
	})
	trace.Flags().Uint64Var(&f.Seed, "seed", 0, "seed of the history")
	trace.Flags().StringSliceVar(&f.Faults, "faults", nil, "faults that strike")
	trace.Flags().StringVar(&f.Host, "host", "d1-h1", "host whose scheduler is traced")
	cmd.AddCommand(trace)
	return settings.Execute(cmd, &f)
}

// history returns the history that the settings name.
func (f *flags) history() Case {
	c := Case{Seed: f.Seed}
	for _, x := range f.Faults {
		c.Faults = append(c.Faults, Fault(x))
	}
	return c
}

// Check implements settings.Checker.
func (f *flags) Check() []settings.Problem {
	var bad []settings.Problem
	for _, x := range f.Faults {
		if !slices.Contains(Faults, Fault(x)) {
			bad = append(bad, settings.Problem{Flag: "faults", Value: x, Requirement: "must be a fault of docs/design/proof.md, such as " + string(ProcessKilled)})
		}
	}
	var domain, host int
	site := f.history().site()
	if _, err := fmt.Sscanf(f.Host, "d%d-h%d", &domain, &host); f.Host != "" &&
		(err != nil || f.Host != hostName(domain, host) || min(domain, host) < 1 || domain > site.Domains || host > site.Schedulers) {
		bad = append(bad, settings.Problem{Flag: "host", Value: f.Host, Requirement: fmt.Sprintf("must be between d1-h1 and %s with this seed", hostName(site.Domains, site.Schedulers))})
	}
	return bad
}
