// Command prove plays generated histories under faults and prints which
// promises held.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/proof"
)

func main() {
	var histories int
	cmd := &cobra.Command{
		Use:   "prove",
		Short: "Play generated histories under faults and judge the promises",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			if proof.Report(os.Stdout, proof.Matrix(histories)) > 0 {
				os.Exit(1)
			}
		},
	}
	cmd.Flags().IntVar(&histories, "histories", 0, "number of histories; at least one for each combination of faults")
	cmd.AddCommand(&cobra.Command{
		Use:   "outages",
		Short: "Measure what still runs and starts in each outage",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { proof.Outages(os.Stdout) },
	})
	cmd.AddCommand(generate())
	if cmd.Execute() != nil {
		os.Exit(2)
	}
}

// generate returns the command that writes a trace.
func generate() *cobra.Command {
	var c proof.Case
	var faults []string
	var host string
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Write the trace of one scheduler of a generated history",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, f := range faults {
				c.Faults = append(c.Faults, proof.Fault(f))
			}
			return proof.Generate(os.Stdout, c, host)
		},
	}
	cmd.Flags().Uint64Var(&c.Seed, "seed", 0, "seed of the history")
	cmd.Flags().StringSliceVar(&faults, "faults", nil, "faults that strike")
	cmd.Flags().StringVar(&host, "host", "d1-h1", "host whose scheduler is traced")
	return cmd
}
