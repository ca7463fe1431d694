// Package ctl is the operators' command line.
package ctl

import (
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	control "github.com/mimosaspool/mimosaspool/api/control"
	"github.com/mimosaspool/mimosaspool/internal/platform"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Scheduler string `flag:"scheduler-url" validate:"required,url"`
}

// callTimeout bounds one call to a scheduler.
const callTimeout = 10 * time.Second

// Main runs the program and returns its exit code.
func Main() int {
	var f flags
	cmd := &cobra.Command{Use: "mimosaspoolctl", Short: "Send statements to a scheduler"}
	cmd.PersistentFlags().StringVar(&f.Scheduler, "scheduler-url", "", "base URL of a scheduler")
	cmd.AddCommand(&cobra.Command{
		Use:   "exec STATEMENTS",
		Short: "Execute statements",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return execute(cmd, f, args[0]) },
	})
	cmd.AddCommand(&cobra.Command{
		Use:   "apply FILE",
		Short: "Execute the statements of a file, all or none",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := read(args[0])
			if err != nil {
				return err
			}
			return execute(cmd, f, text)
		},
	})
	return settings.Execute(cmd)
}

func read(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(os.Stdin)
		return string(data), errors.WithStack(err)
	}
	data, err := os.ReadFile(path)
	return string(data), errors.WithStack(err)
}

func execute(cmd *cobra.Command, f flags, text string) error {
	if err := settings.Validate(f); err != nil {
		return err
	}
	client := control.NewOperatorProtobufClient(f.Scheduler, platform.NewHTTPClient(callTimeout))
	reply, err := client.Execute(cmd.Context(), &control.ExecuteRequest{Text: text, Actor: actor(), ChangeId: uuid.NewString()})
	if err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), string(reply.ResultJson))
	return nil
}

func actor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}
