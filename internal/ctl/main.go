// Package ctl is the operators' command line.
package ctl

import (
	"io"
	"os"
	"os/user"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// flags are the program's settings.
type flags struct {
	Schedulers []string      `flag:"scheduler-url" validate:"dive,http_url"`
	Nodes      []string      `flag:"node-url" validate:"dive,http_url"`
	Output     string        `flag:"output" validate:"oneof=table json"`
	Actor      string        `flag:"actor" validate:"required,max=128"`
	IfVersion  int64         `flag:"if-version" validate:"min=-1"`
	ChangeID   string        `flag:"change-id" validate:"max=128"`
	Timeout    time.Duration `flag:"timeout" validate:"gt=0"`
	Offline    bool          `flag:"offline"`
}

// defaultTimeout bounds one command, retries included.
const defaultTimeout = 30 * time.Second

// Main runs the program and returns its exit code.
func Main() int {
	t := &tool{in: os.Stdin, out: os.Stdout, err: os.Stderr}
	return settings.Execute(t.command(), &t.flags)
}

// tool is one run of the program.
type tool struct {
	flags flags
	in    io.Reader
	out   io.Writer
	err   io.Writer
}

func (t *tool) command() *cobra.Command {
	f := &t.flags
	cmd := &cobra.Command{
		Use:   "mimosaspoolctl",
		Short: "Declare work, ask what runs and why, and change policy",
		Long: `Declare work, ask what runs and why, and change policy.

Exit codes:
  0  done
  1  no scheduler or node answered, or it failed
  2  a setting or argument can't be used
  3  a statement has a fault; nothing was changed
  4  the change was refused, or lost to another one; nothing was changed
  5  it is not known yet whether the change is accepted: ask again with its id
  6  diff: the file differs from what is in force`,
	}
	p := cmd.PersistentFlags()
	p.StringSliceVar(&f.Schedulers, "scheduler-url", nil, "base URL of a scheduler; several are tried in turn")
	p.StringSliceVar(&f.Nodes, "node-url", nil, "base URLs between nodes, of all nodes, for statements about jobs and nodes")
	p.StringVarP(&f.Output, "output", "o", "table", "form of the output: table or json")
	p.StringVar(&f.Actor, "actor", actor(), "name that changes are recorded under")
	p.Int64Var(&f.IfVersion, "if-version", -1, "version that the changed objects must have; -1 for the one in force")
	p.StringVar(&f.ChangeID, "change-id", "", "id of the change; give that of an earlier try to ask what became of it")
	p.DurationVar(&f.Timeout, "timeout", defaultTimeout, "longest time to try for")
	cmd.AddCommand(t.exec(), t.apply(), t.check(), t.diff(), t.list(), t.explain(), t.history(), t.trace(), t.shell(), t.version(), capacityCommand())
	return cmd
}

func actor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// read returns the text of a file, or of the standard input for "-".
func (t *tool) read(path string) (string, error) {
	if path == "-" {
		data, err := io.ReadAll(t.in)
		return string(data), errors.WithStack(err)
	}
	data, err := os.ReadFile(path)
	return string(data), errors.WithStack(err)
}
