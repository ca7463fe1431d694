package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/mimosaspool/mimosaspool/internal/language"
	"github.com/mimosaspool/mimosaspool/internal/operator"
)

// show prints a result and returns the error that sets the exit code.
func (t *tool) show(res operator.Result) error {
	if t.flags.Output == "json" {
		enc := json.NewEncoder(t.out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(res); err != nil {
			return errors.WithStack(err)
		}
		return verdict(res)
	}
	if len(res.Faults) > 0 {
		fmt.Fprintln(t.err, res.Faults.Error())
	}
	Render(t.out, res)
	return verdict(res)
}

func verdict(res operator.Result) error {
	if len(res.Faults) > 0 {
		return exitError{exitFault}
	}
	for _, p := range res.Diff {
		if p.Action != operator.Keep {
			return exitError{exitDiffers}
		}
	}
	for _, j := range res.Jobs {
		switch j.State {
		case operator.Refused:
			return exitError{exitRefused}
		case operator.Unknown:
			return exitError{exitUnknown}
		}
	}
	if res.Change != nil {
		switch res.Change.State {
		case operator.Refused:
			return exitError{exitRefused}
		case operator.Unknown:
			return exitError{exitUnknown}
		}
	}
	return nil
}

// Render writes a result for people, without its faults.
func Render(w io.Writer, res operator.Result) {
	if res.Change != nil {
		renderChange(w, res.Change)
	}
	renderPlanned(w, res.Diff)
	renderJobs(w, res.Jobs)
	for i, a := range res.Answers {
		if i > 0 || res.Change != nil || res.Jobs != nil {
			fmt.Fprintln(w)
		}
		renderAnswer(w, a)
	}
	if res.Change == nil && res.Diff == nil && res.Answers == nil && res.Jobs == nil && res.Checked > 0 {
		fmt.Fprintf(w, "%d statements, no fault\n", res.Checked)
	}
}

func renderChange(w io.Writer, c *operator.Outcome) {
	switch c.State {
	case operator.Accepted:
		fmt.Fprintf(w, "accepted at offset %d\n", c.Offset)
	case operator.Unchanged:
		fmt.Fprintf(w, "nothing to change: it is in force at offset %d\n", c.Offset)
	case operator.Refused:
		fmt.Fprintf(w, "refused: %s\n", c.Reason)
		if x := c.Conflict; x != nil && x.Winner != "" {
			fmt.Fprintf(w, "%s %s was last changed by %s at offset %d\n", x.Kind, x.Name, x.Winner, x.Offset)
		}
	case operator.Unknown:
		fmt.Fprintf(w, "not known yet: %s\nask again with --change-id %s\n", c.Reason, c.ID)
	}
	renderPlanned(w, c.Objects)
}

var signs = map[operator.Action]string{operator.Add: "+", operator.Change: "~", operator.Drop: "-", operator.Keep: "="}

func renderPlanned(w io.Writer, list []operator.Planned) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range list {
		fmt.Fprintln(tw, strings.TrimRight(fmt.Sprintf("%s %s %s\t%s", signs[p.Action], p.Kind, p.Name, p.Detail), "\t"))
	}
	tw.Flush()
}

// renderJobs tells what became of each job.
func renderJobs(w io.Writer, jobs []operator.JobOutcome) {
	for _, j := range jobs {
		done := map[operator.Action]string{operator.Add: "accepted", operator.Drop: "cancelled"}[j.Action]
		switch j.State {
		case operator.Accepted:
			fmt.Fprintf(w, "%s job %s  %s by %s\n", signs[j.Action], j.ID, done, j.Node)
		case operator.Refused:
			fmt.Fprintf(w, "refused: job %s not %s: %s\n", j.ID, done, j.Reason)
		case operator.Unknown:
			fmt.Fprintf(w, "not known yet: job %s may be or become %s: %s\nsend the statement again: it has one effect\n", j.ID, done, j.Reason)
		}
	}
}

func renderAnswer(w io.Writer, a operator.Answer) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range a.Facts {
		fmt.Fprintf(tw, "%s\t%s\n", f.Name, f.Value)
	}
	tw.Flush()
	if a.Table != nil {
		renderTable(w, a.Table)
	}
	for _, c := range a.Changes {
		fmt.Fprintf(w, "to change: %s\n", c)
	}
	for _, m := range a.Missing {
		fmt.Fprintf(w, "out of reach: %s\n", m)
	}
}

// renderTable writes a table without the columns that say nothing throughout.
func renderTable(w io.Writer, t *operator.Table) {
	if len(t.Rows) == 0 {
		fmt.Fprintln(w, "none")
		return
	}
	var b bytes.Buffer
	tw := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	shown := columns(t)
	var names []string
	for _, i := range shown {
		names = append(names, strings.ToUpper(t.Columns[i]))
	}
	writeRow(tw, names)
	for _, row := range t.Rows {
		var cells []string
		for _, i := range shown {
			cells = append(cells, format(t.Columns[i], row[i]))
		}
		writeRow(tw, cells)
	}
	tw.Flush()
	for line := range strings.Lines(b.String()) {
		fmt.Fprintln(w, strings.TrimRight(line, " \n"))
	}
}

func writeRow(w io.Writer, cells []string) { fmt.Fprintln(w, strings.Join(cells, "\t")) }

func columns(t *operator.Table) []int {
	var shown []int
	for i := range t.Columns {
		for _, row := range t.Rows {
			if tells(t.Columns[i], row[i]) {
				shown = append(shown, i)
				break
			}
		}
	}
	return shown
}

// tells reports whether a cell says anything. No accelerators and nothing ended
// go without saying.
func tells(column string, c operator.Cell) bool {
	if c.Numeric {
		return c.Number != 0 || column != "ended" && !strings.HasSuffix(column, "accelerators")
	}
	return c.Text != ""
}

func format(column string, c operator.Cell) string {
	if c.Numeric && strings.HasSuffix(column, "memory") {
		return language.FormatMemory(int64(c.Number))
	}
	return c.String()
}
