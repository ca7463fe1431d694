package ctl

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

func (t *tool) exec() *cobra.Command {
	return &cobra.Command{
		Use:   "exec STATEMENTS",
		Short: "Execute statements; their changes take effect all or none",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return t.run(cmd.Context(), call{text: ended(strings.Join(args, " "))})
		},
	}
}

// ended returns a text whose last statement is ended by a semicolon.
func ended(text string) string {
	if trimmed := strings.TrimSpace(text); trimmed == "" || strings.HasSuffix(trimmed, ";") {
		return text
	}
	return text + ";"
}

// fileVerb returns a command that takes a file of statements.
func (t *tool) fileVerb(verb, short string, c call) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " FILE",
		Short: short,
		Long:  short + ". FILE may be - for the standard input.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := t.read(args[0])
			if err != nil {
				return err
			}
			c.text = text
			return t.run(cmd.Context(), c)
		},
	}
}

func (t *tool) apply() *cobra.Command {
	return t.fileVerb("apply", "Execute the statements of a file, all or none", call{})
}

func (t *tool) diff() *cobra.Command {
	return t.fileVerb("diff", "Tell what the statements of a file would change", call{diff: true})
}

func (t *tool) check() *cobra.Command {
	cmd := t.fileVerb("check", "Check the statements of a file and change nothing", call{check: true})
	online := cmd.RunE
	cmd.Flags().BoolVar(&t.flags.Offline, "offline", false, "check without a server what can be checked so")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if !t.flags.Offline {
			return online(cmd, args)
		}
		text, err := t.read(args[0])
		if err != nil {
			return err
		}
		script, err := language.Parse(text)
		if faults, ok := err.(language.Faults); ok {
			return t.show(operator.Result{Faults: faults})
		}
		if err != nil {
			return err
		}
		return t.show(operator.Result{Checked: len(script.Statements)})
	}
	return cmd
}

// queryVerb returns a command whose arguments are the rest of a statement.
func (t *tool) queryVerb(verb, use, short string) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " " + use,
		Short: short,
		RunE: func(cmd *cobra.Command, args []string) error {
			return t.run(cmd.Context(), call{text: ended(strings.Join(append([]string{verb}, args...), " "))})
		},
	}
}

func (t *tool) list() *cobra.Command {
	cmd := t.queryVerb("list", "WHAT [where COLUMN = VALUE and ...] [order by COLUMN [desc]] [limit N]", "List objects")
	cmd.ValidArgs = language.ListNames()
	return cmd
}

func (t *tool) explain() *cobra.Command {
	cmd := t.queryVerb("explain", "KIND NAME", "Tell why an object stands as it does, and what would have to change")
	query := cmd.RunE
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(t.flags.Nodes) > 0 && len(args) == 2 && args[0] == "job" {
			return t.explainJob(cmd.Context(), args[1])
		}
		return query(cmd, args)
	}
	return cmd
}

func (t *tool) history() *cobra.Command {
	return t.queryVerb("history", "[KIND NAME] [limit N]", "Tell who changed what, and which hosts have it in force")
}

func (t *tool) version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(t.out, settings.Version())
			return err
		},
	}
}
