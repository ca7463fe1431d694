package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/mimosaspool/mimosaspool/internal/language"
)

func (t *tool) shell() *cobra.Command {
	return &cobra.Command{
		Use:   "shell",
		Short: "Read statements interactively",
		Long:  "Read statements interactively. A statement ends with a semicolon and may span lines; an empty end of input leaves.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rl, err := readline.NewEx(&readline.Config{Prompt: "mimosaspool> ", AutoComplete: completer()})
			if err != nil {
				return errors.WithStack(err)
			}
			defer rl.Close()
			return t.loop(cmd.Context(), rl)
		},
	}
}

// lines is where the shell reads from.
type lines interface {
	Readline() (string, error)
	SetPrompt(string)
}

// loop executes statements until the input ends. A failure is printed and
// doesn't end the shell.
func (t *tool) loop(ctx context.Context, in lines) error {
	var text strings.Builder
	for {
		in.SetPrompt(map[bool]string{true: "mimosaspool> ", false: "        ...> "}[text.Len() == 0])
		line, err := in.Readline()
		switch {
		case errors.Is(err, readline.ErrInterrupt):
			text.Reset()
			continue
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.WithStack(err)
		}
		text.WriteString(line + "\n")
		switch trimmed := strings.TrimSpace(text.String()); {
		case trimmed == "":
			text.Reset()
		case trimmed == "exit" || trimmed == "quit":
			return nil
		case strings.HasSuffix(trimmed, ";"):
			if err := t.run(ctx, call{text: text.String()}); err != nil && err.Error() != "" {
				fmt.Fprintln(t.err, "error:", err)
			}
			text.Reset()
		}
	}
}

func completer() readline.AutoCompleter {
	var words []readline.PrefixCompleterInterface
	for _, w := range language.Keywords() {
		words = append(words, readline.PcItem(w))
	}
	for _, verb := range []string{"list"} {
		var what []readline.PrefixCompleterInterface
		for _, n := range language.ListNames() {
			what = append(what, readline.PcItem(n))
		}
		words = append(words, readline.PcItem(verb, what...))
	}
	return readline.NewPrefixCompleter(words...)
}
