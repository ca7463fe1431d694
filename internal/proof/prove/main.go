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
	if cmd.Execute() != nil {
		os.Exit(2)
	}
}
