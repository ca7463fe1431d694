package measure

import (
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// ErrBreach marks a run in which a promise was broken.
var ErrBreach = errors.New("breach")

// flags are the program's settings.
type flags struct {
	Seed     uint64   `flag:"seed"`
	Policies []string `flag:"policy" validate:"required"`
	Faults   []bool   `flag:"faults" validate:"required"`
}

// Check implements settings.Checker.
func (f *flags) Check() []settings.Problem {
	var bad []settings.Problem
	for _, p := range f.Policies {
		if !slices.Contains(Policies, p) {
			bad = append(bad, settings.Problem{Flag: "policy", Value: p, Requirement: "must be one of " + strings.Join(Policies, ", ")})
		}
	}
	return bad
}

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := &cobra.Command{
		Use:   "mimosaspool-measure TRACE...",
		Short: "Replay recorded days of work under every policy",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				t, err := load(path)
				if err != nil {
					return err
				}
				table := NewTable(t, f.Policies, f.Faults, f.Seed)
				table.Print(cmd.OutOrStdout())
				if table.breaches() > 0 {
					return errors.Wrap(ErrBreach, path)
				}
			}
			return nil
		},
	}
	cmd.Flags().Uint64Var(&f.Seed, "seed", 1, "seed of delays and faults")
	cmd.Flags().StringSliceVar(&f.Policies, "policy", Policies, "policies to run")
	cmd.Flags().BoolSliceVar(&f.Faults, "faults", []bool{false, true}, "run without faults, with them, or both")
	generate := &cobra.Command{
		Use:   "generate SITE",
		Short: "Write a day of a site, tallowood or agency, from a seed",
		Args:  cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs), ValidArgs: []string{"tallowood", "agency"},
		RunE: func(cmd *cobra.Command, args []string) error {
			return Generate(args[0], f.Seed).Write(cmd.OutOrStdout())
		},
	}
	generate.Flags().Uint64Var(&f.Seed, "seed", 1, "seed of the day")
	cmd.AddCommand(generate)
	return settings.Execute(cmd, &f)
}

func load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()
	t, err := Read(f)
	return t, errors.WithMessage(err, path)
}
