package ctl

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/console"
	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
	"github.com/mimosaspool/mimosaspool/internal/settings"
)

// forNodes reports whether a text is for nodes: it has a statement that only
// they can carry out, or only nodes are named.
func (t *tool) forNodes(text string) bool {
	if len(t.flags.Schedulers) == 0 && len(t.flags.Nodes) > 0 {
		return true
	}
	script, err := language.Parse(text)
	return err == nil && slices.ContainsFunc(script.Statements, (*language.Statement).OfNodes)
}

// runAtNodes carries a script out at the nodes.
func (t *tool) runAtNodes(ctx context.Context, c call) error {
	script, err := language.Parse(c.text)
	var faults language.Faults
	switch {
	case errors.As(err, &faults):
		return t.show(operator.Result{Faults: faults})
	case err != nil:
		return err
	case len(t.flags.Nodes) == 0:
		return &settings.Error{Problems: []settings.Problem{{Flag: "node-url", Requirement: "must be set"}}}
	case c.diff:
		return errors.New("jobs are not part of the configuration: there is nothing to compare them with")
	}
	ctx, cancel := context.WithTimeout(ctx, t.flags.Timeout)
	defer cancel()
	res, err := t.asker().Execute(ctx, script, c.check)
	if err != nil {
		return err
	}
	return t.show(res)
}

func (t *tool) asker() *console.Asker {
	return &console.Asker{Nodes: t.flags.Nodes, HTTP: &http.Client{Timeout: callTimeout}}
}

// showView prints how the job stands by the first node that answers; without an
// answer it says so and goes on.
func (t *tool) showView(ctx context.Context, id string) {
	a := t.asker()
	a.Once = true
	answer, err := a.ExplainJob(ctx, id)
	if err != nil {
		fmt.Fprintf(t.out, "how it stands now: %v\n\n", err)
		return
	}
	renderAnswer(t.out, answer)
	fmt.Fprintln(t.out)
}
