package trace

import (
	"encoding/json"
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// Main replays the trace in a file, prints its outcome and returns the exit code.
func Main() int {
	return settings.Execute(&cobra.Command{
		Use:   "mimosaspool-replay FILE",
		Short: "Replay a recorded trace and check every effect",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return replayFile(cmd.OutOrStdout(), args[0]) },
	})
}

func replayFile(w io.Writer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.WithStack(err)
	}
	defer f.Close()
	out, err := Replay(f)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(out))
}
