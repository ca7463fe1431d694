// Package settings runs a program's command with settings from flags and
// environment variables.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
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

// FromEnvironment sets each flag that was not given from its variable:
// --log-url from MIMOSASPOOL_LOG_URL.
func FromEnvironment(flags *pflag.FlagSet) error {
	var problems []Problem
	flags.VisitAll(func(f *pflag.Flag) {
		v, ok := os.LookupEnv(Prefix + strings.ToUpper(strings.ReplaceAll(f.Name, "-", "_")))
		if !ok || f.Changed {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			problems = append(problems, Problem{f.Name, v, err.Error()})
		}
	})
	if len(problems) > 0 {
		return &Error{problems}
	}
	return nil
}

// Validate checks a struct by its validate tags. Fields name their flag in a
// flag tag.
func Validate(options any) error {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("flag") })
	err := v.Struct(options)
	if err == nil {
		return nil
	}
	invalid, ok := err.(validator.ValidationErrors)
	if !ok {
		return err
	}
	e := &Error{}
	for _, f := range invalid {
		e.Problems = append(e.Problems, Problem{f.Field(), fmt.Sprint(f.Value()), strings.TrimSpace("must be " + f.Tag() + " " + f.Param())})
	}
	return e
}

// Execute runs a command and returns the exit code.
func Execute(cmd *cobra.Command) int {
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.PersistentPreRunE = func(c *cobra.Command, _ []string) error { return FromEnvironment(c.Flags()) }
	err := cmd.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	if _, ok := err.(*Error); ok {
		return ExitSettings
	}
	return ExitFailed
}
