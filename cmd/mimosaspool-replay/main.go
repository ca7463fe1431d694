// Command mimosaspool-replay runs a recorded trace of a scheduler through the
// core again, checks every effect, and prints what the trace came to.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/trace"
)

func main() {
	cmd := &cobra.Command{
		Use:           "mimosaspool-replay FILE",
		Short:         "Replay a recorded trace and check every effect",
		Args:          cobra.ExactArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(_ *cobra.Command, args []string) error { return replay(args[0]) },
	}
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func replay(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	out, err := trace.Replay(f)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}
