// Package settings runs a program's command with settings from flags and
// environment variables. All settings are validated before the command runs, and
// every invalid one is reported in a single error.
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

// Exit codes shared by all programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// EnvPrefix is the prefix of all environment variable names.
const EnvPrefix = "MIMOSASPOOL_"

// Problem describes one invalid setting.
type Problem struct {
	Flag, Value, Requirement string
}

// Error lists all invalid settings.
type Error struct{ Problems []Problem }

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("--%s=%q: %s", p.Flag, p.Value, p.Requirement))
	}
	return "bad settings:\n  " + strings.Join(lines, "\n  ")
}

// Checker is an options struct with rules that validate tags can't express.
type Checker interface {
	// Check returns a problem for each setting that breaks a rule.
	Check() []Problem
}

// ExitCoder is an error that sets the program's exit code.
type ExitCoder interface {
	error
	ExitCode() int
}

// EnvVar returns the name of a flag's environment variable: for example,
// --log-url is read from MIMOSASPOOL_LOG_URL.
func EnvVar(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// withoutEnvVar holds the flags that have no environment variable.
var withoutEnvVar = map[string]bool{"help": true, "version": true}

// collectingValue collects the error of an invalid flag value instead of
// returning it, so that parsing continues and all invalid flags are reported.
type collectingValue struct {
	pflag.Value
	name     string
	problems *[]Problem
}

// Set implements pflag.Value.
func (c collectingValue) Set(s string) error {
	if err := c.Value.Set(s); err != nil {
		*c.problems = append(*c.problems, Problem{c.name, s, "must be of type " + c.Type() + ": " + rootCause(err)})
	}
	return nil
}

func rootCause(err error) string {
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return err.Error()
}

// run is one execution of a program's command.
type run struct {
	options   []any
	problems  []Problem
	logFormat string
	// validated is set once all settings have been found valid.
	validated bool
}

// Execute runs a command and returns the exit code. The options are pointers
// to structs with validate and flag tags; they are validated before the command runs.
func Execute(cmd *cobra.Command, options ...any) int {
	r := &run{options: options}
	r.prepare(cmd)
	err := cmd.Execute()
	return r.exitCode(os.Stderr, err)
}

func (r *run) prepare(cmd *cobra.Command) {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.Version = Version()
	if !cmd.HasSubCommands() {
		cmd.Flags().StringVar(&r.logFormat, "log-format", "text", "form of log lines: text or json")
		cmd.InitDefaultCompletionCmd()
	}
	r.wrapFlags(cmd)
	cmd.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return r.check(c) }
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		if len(r.problems) > 0 {
			return fmt.Errorf("%w\n%w", err, &Error{r.problems})
		}
		return err
	})
}

// wrapFlags makes the flags of a command and its subcommands collect errors, and
// adds the environment variable to each flag's usage text.
func (r *run) wrapFlags(cmd *cobra.Command) {
	visit := func(f *pflag.Flag) {
		if _, done := f.Value.(collectingValue); done || withoutEnvVar[f.Name] {
			return
		}
		if f.DefValue == "[]" {
			f.DefValue = ""
		}
		f.Usage += " [" + EnvVar(f.Name) + "]"
		f.Value = collectingValue{f.Value, f.Name, &r.problems}
	}
	cmd.PersistentFlags().VisitAll(visit)
	cmd.Flags().VisitAll(visit)
	for _, c := range cmd.Commands() {
		r.wrapFlags(c)
	}
}

// check applies the environment variables and returns an Error that lists all
// invalid settings.
func (r *run) check(cmd *cobra.Command) error {
	if strings.HasPrefix(cmd.Name(), "__") || cmd.Name() == "help" || cmd.HasParent() && cmd.Parent().Name() == "completion" {
		return nil
	}
	r.applyEnvironment(cmd.Flags())
	invalidFlags := map[string]bool{}
	for _, p := range r.problems {
		invalidFlags[p.Flag] = true
	}
	for _, o := range r.options {
		problems := findProblems(o)
		if c, ok := o.(Checker); ok {
			problems = append(problems, c.Check()...)
		}
		for _, p := range problems {
			if !invalidFlags[p.Flag] {
				r.problems = append(r.problems, p)
			}
		}
	}
	switch r.logFormat {
	case "", "text":
	case "json":
		logrus.SetFormatter(&logrus.JSONFormatter{})
	default:
		r.problems = append(r.problems, Problem{"log-format", r.logFormat, "must be one of text, json"})
	}
	if len(r.problems) > 0 {
		return &Error{r.problems}
	}
	r.validated = true
	return nil
}

// applyEnvironment sets each flag not given on the command line from its environment variable.
func (r *run) applyEnvironment(flags *pflag.FlagSet) {
	flags.VisitAll(func(f *pflag.Flag) {
		v, ok := os.LookupEnv(EnvVar(f.Name))
		if !ok || f.Changed || withoutEnvVar[f.Name] {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			r.problems = append(r.problems, Problem{f.Name, v, rootCause(err)})
		}
	})
}

func (r *run) exitCode(w io.Writer, err error) int {
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
	case errors.As(err, &settings), !r.validated:
		return ExitSettings
	}
	return ExitFailed
}

// Version returns the module version of the build, or the VCS revision of a
// development build.
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
