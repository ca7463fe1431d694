// Package settings runs a program's command with settings from flags and
// environment variables. All settings are checked before the command runs, and
// every bad one is named at once.
package settings

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// The exit codes of every program.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// Prefix begins the name of every environment variable.
const Prefix = "MIMOSASPOOL_"

// Problem is one setting that can't be used.
type Problem struct {
	Flag, Value, Allowed string
}

// Error lists every setting that can't be used.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("--%s=%q: %s", p.Flag, p.Value, p.Allowed))
	}
	return "bad settings:\n  " + strings.Join(lines, "\n  ")
}

// Checker is an options struct with rules that validate tags can't express.
type Checker interface {
	// Check returns what breaks the rules.
	Check() []Problem
}

// ExitCoder is an error that sets the program's exit code.
type ExitCoder interface {
	error
	ExitCode() int
}

// Variable returns the environment variable of a flag: --log-url is read from
// MIMOSASPOOL_LOG_URL.
func Variable(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// unset names flags that have no environment variable.
var unset = map[string]bool{"help": true, "version": true}

// checked keeps a value's error instead of ending the parse with it.
type checked struct {
	pflag.Value
	name     string
	problems *[]Problem
}

// Set implements pflag.Value.
func (c checked) Set(s string) error {
	if err := c.Value.Set(s); err != nil {
		*c.problems = append(*c.problems, Problem{c.name, s, "must be of type " + c.Type() + ": " + cause(err)})
	}
	return nil
}

func cause(err error) string {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

// run is one run of a program's command.
type run struct {
	options  []any
	problems []Problem
	format   string
	// started is set once the settings are known to be good.
	started bool
}

// Execute runs a command and returns the exit code. The options are pointers
// to structs with validate and flag tags; they are checked before the command runs.
func Execute(cmd *cobra.Command, options ...any) int {
	r := &run{options: options}
	r.prepare(cmd)
	err := cmd.Execute()
	return r.exit(os.Stderr, err)
}

func (r *run) prepare(cmd *cobra.Command) {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.Version = Version()
	if !cmd.HasSubCommands() {
		cmd.Flags().StringVar(&r.format, "log-format", "text", "form of log lines: text or json")
		cmd.InitDefaultCompletionCmd()
	}
	r.checkFlags(cmd)
	cmd.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return r.check(c) }
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		if len(r.problems) > 0 {
			return fmt.Errorf("%w\n%w", err, &Error{r.problems})
		}
		return err
	})
}

// checkFlags prepares the flags of a command and of those below it.
func (r *run) checkFlags(cmd *cobra.Command) {
	visit := func(f *pflag.Flag) {
		if _, done := f.Value.(checked); done || unset[f.Name] {
			return
		}
		if f.DefValue == "[]" {
			f.DefValue = ""
		}
		f.Usage += " [" + Variable(f.Name) + "]"
		f.Value = checked{f.Value, f.Name, &r.problems}
	}
	cmd.PersistentFlags().VisitAll(visit)
	cmd.Flags().VisitAll(visit)
	for _, c := range cmd.Commands() {
		r.checkFlags(c)
	}
}

// check reads the environment and names every setting that can't be used.
func (r *run) check(cmd *cobra.Command) error {
	if strings.HasPrefix(cmd.Name(), "__") || cmd.Name() == "help" || cmd.HasParent() && cmd.Parent().Name() == "completion" {
		return nil
	}
	r.fromEnvironment(cmd.Flags())
	bad := map[string]bool{}
	for _, p := range r.problems {
		bad[p.Flag] = true
	}
	for _, o := range r.options {
		found := invalid(o)
		if c, ok := o.(Checker); ok {
			found = append(found, c.Check()...)
		}
		for _, p := range found {
			if !bad[p.Flag] {
				r.problems = append(r.problems, p)
			}
		}
	}
	switch r.format {
	case "", "text":
	case "json":
		logrus.SetFormatter(&logrus.JSONFormatter{})
	default:
		r.problems = append(r.problems, Problem{"log-format", r.format, "must be one of text, json"})
	}
	if len(r.problems) > 0 {
		return &Error{r.problems}
	}
	r.started = true
	return nil
}

// fromEnvironment sets each flag that was not given from its variable.
func (r *run) fromEnvironment(flags *pflag.FlagSet) {
	flags.VisitAll(func(f *pflag.Flag) {
		v, ok := os.LookupEnv(Variable(f.Name))
		if !ok || f.Changed || unset[f.Name] {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			r.problems = append(r.problems, Problem{f.Name, v, cause(err)})
		}
	})
}

func (r *run) exit(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(w, "error:", text)
	}
	var settings *Error
	var coder ExitCoder
	switch {
	case errors.As(err, &coder):
		return coder.ExitCode()
	case errors.As(err, &settings), !r.started:
		return ExitSettings
	}
	return ExitFailed
}

// Version returns the version that the program was built from.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && info.Main.Version == "(devel)" {
			return s.Value
		}
	}
	return info.Main.Version
}
