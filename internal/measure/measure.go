package measure

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/checker"
	"github.com/mimosaspool/mimosaspool/internal/configuration"
	"github.com/mimosaspool/mimosaspool/internal/placement"
)

// Class is a kind of work and its urgency.
type Class struct {
	Kind    configuration.WorkloadKind
	Urgency configuration.Urgency
}

// Packing is the share of each resource in use over the trace's length, by
// the larger of declared and used sizes.
type Packing struct{ CPU, Memory, Accelerators float64 }

// Row is the outcome of one policy on one trace.
type Row struct {
	Policy configuration.Policy
	Faults bool
	// Waits holds the time from request to first start.
	Waits     map[Class][]time.Duration
	All       []time.Duration
	Packing   Packing
	Starts    int
	Restarts  int
	Unstarted int
	// Messages and Bytes count writes and replies between scheduler and
	// workers over the trace's length, without transport headers.
	Messages int64
	Bytes    int64
	Appends  int64
	CoreTime time.Duration
	Reasons  map[string]int64
	Breaches []string
	area     [3]float64
}

// breachesKept bounds the breaches that a row spells out.
const breachesKept = 10

func (r *Row) breach(list []checker.Breach) {
	for _, b := range list[:min(len(list), breachesKept-len(r.Breaches))] {
		r.Breaches = append(r.Breaches, b.String())
	}
}

func (r *Row) wait(c Class, d time.Duration) {
	r.Waits[c] = append(r.Waits[c], d)
	r.All = append(r.All, d)
}

// Policies are the rows of a table, in order.
var Policies = []string{
	string(configuration.Fast), string(configuration.Thrifty), string(configuration.Careful),
	string(placement.RandomBaseline), string(placement.FirstFitBaseline),
}

// Run replays the trace under one policy.
func Run(t *Trace, policy configuration.Policy, faults bool, seed uint64) *Row {
	row := &Row{Policy: policy, Faults: faults, Waits: map[Class][]time.Duration{}, Reasons: map[string]int64{}}
	for d := range domains {
		newSimulation(t, fmt.Sprint("d", d), row, seed+uint64(d)).run()
	}
	var total [3]float64
	for _, w := range t.Workers {
		total = plus(total, amounts(w.Capacity.MilliCPU, w.Capacity.MemoryMiB, w.Capacity.Accelerators), t.Length.Seconds())
	}
	row.Packing = Packing{row.area[0] / total[0], row.area[1] / total[1], row.area[2] / total[2]}
	slices.Sort(row.All)
	for _, list := range row.Waits {
		slices.Sort(list)
	}
	return row
}

// quantile returns the q-quantile of a sorted list.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// Classes are the kinds of work that a table tells apart.
var Classes = []Class{
	{configuration.Batch, configuration.Urgent}, {configuration.Batch, configuration.Normal},
	{configuration.Batch, configuration.Low}, {configuration.Gang, configuration.Normal},
}

// Table holds the rows of one trace.
type Table struct {
	Trace *Trace
	Bound Bound
	Rows  []*Row
}

// NewTable runs policies on the trace, without faults, with them, or both.
func NewTable(t *Trace, policies []string, faults []bool, seed uint64) *Table {
	table := &Table{Trace: t, Bound: bounds(t)}
	for _, f := range faults {
		for _, p := range policies {
			table.Rows = append(table.Rows, Run(t, configuration.Policy(p), f, seed))
		}
	}
	return table
}

// Row returns the row of a policy, or nil.
func (t *Table) Row(p configuration.Policy, faults bool) *Row {
	for _, r := range t.Rows {
		if r.Policy == p && r.Faults == faults {
			return r
		}
	}
	return nil
}

// Print writes the table as Markdown and the verdict on each goal.
func (t *Table) Print(w io.Writer) {
	fmt.Fprintf(w, "\n### %s\n\nWaits in seconds as p50 / p99 / p999.\n\n", t.Trace.Site)
	fmt.Fprintln(w, "| policy | faults | all | urgent | normal batch | low batch | gangs | starts (again) | unstarted | breaches |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	b := t.Bound
	fmt.Fprintf(w, "| bound | no | %s / %s / %s | | | | | | | |\n", seconds(b.P50), seconds(b.P99), seconds(b.P999))
	for _, r := range t.Rows {
		fmt.Fprintf(w, "| %s | %s | %s |", r.Policy, yes(r.Faults), waits(r.All))
		for _, c := range Classes {
			fmt.Fprintf(w, " %s |", waits(r.Waits[c]))
		}
		fmt.Fprintf(w, " %d (%d) | %d | %d |\n", r.Starts, r.Restarts, r.Unstarted, len(r.Breaches))
	}
	fmt.Fprintln(w, "\n| policy | faults | cpu | memory | accelerators | messages a start | bytes a start | appends | core time a start |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|")
	fmt.Fprintf(w, "| bound | no | %.1f %% | %.1f %% | %.1f %% | | | | |\n", 100*b.Packing.CPU, 100*b.Packing.Memory, 100*b.Packing.Accelerators)
	for _, r := range t.Rows {
		n := int64(max(r.Starts, 1))
		fmt.Fprintf(w, "| %s | %s | %.1f %% | %.1f %% | %.1f %% | %.1f | %d | %d | %s |\n", r.Policy, yes(r.Faults),
			100*r.Packing.CPU, 100*r.Packing.Memory, 100*r.Packing.Accelerators,
			float64(r.Messages)/float64(n), r.Bytes/n, r.Appends, (r.CoreTime / time.Duration(n)).Round(time.Microsecond))
	}
	t.judge(w)
}

// breaches counts the breaches of all rows.
func (t *Table) breaches() int {
	n := 0
	for _, r := range t.Rows {
		n += len(r.Breaches)
	}
	return n
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func waits(list []time.Duration) string {
	return seconds(quantile(list, 0.5)) + " / " + seconds(quantile(list, 0.99)) + " / " + seconds(quantile(list, 0.999))
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }

// The goals.
const (
	fastOfBound     = 1.25
	fastOfFirstFit  = 1.0 / 3
	thriftyPacking  = 0.95
	thriftyOfFast   = 0.5
	urgentStartMost = 600 * time.Millisecond
)

// judge writes for each goal whether it is met.
func (t *Table) judge(w io.Writer) {
	fast, thrifty, first := t.Row(configuration.Fast, false), t.Row(configuration.Thrifty, false), t.Row(placement.FirstFitBaseline, false)
	if fast == nil || thrifty == nil || first == nil {
		return
	}
	p99 := quantile(fast.All, 0.99)
	urgent := quantile(fast.Waits[Classes[0]], 0.99)
	breaches := t.breaches()
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out)
	goal := func(met bool, format string, args ...any) {
		verdict := "not met"
		if met {
			verdict = "met"
		}
		fmt.Fprintf(out, "- %s: %s\n", verdict, fmt.Sprintf(format, args...))
	}
	goal(float64(p99) <= fastOfBound*float64(t.Bound.P99), "fast's p99 wait %s s is at most 1.25 times the bound's %s s", seconds(p99), seconds(t.Bound.P99))
	ff := quantile(first.All, 0.99)
	goal(float64(p99) <= fastOfFirstFit*float64(ff), "fast's p99 wait %s s is at most a third of first-fit's %s s", seconds(p99), seconds(ff))
	b := t.Bound.Packing
	goal(thrifty.Packing.CPU >= thriftyPacking*b.CPU && thrifty.Packing.Memory >= thriftyPacking*b.Memory && thrifty.Packing.Accelerators >= thriftyPacking*b.Accelerators,
		"thrifty's packing is at least 95 %% of the bound's: cpu %.1f %%, memory %.1f %%, accelerators %.1f %%",
		100*thrifty.Packing.CPU/b.CPU, 100*thrifty.Packing.Memory/b.Memory, 100*thrifty.Packing.Accelerators/b.Accelerators)
	goal(float64(thrifty.Bytes) <= thriftyOfFast*float64(fast.Bytes), "thrifty's control bytes are at most half of fast's: %.2f", float64(thrifty.Bytes)/float64(fast.Bytes))
	goal(urgent <= urgentStartMost, "urgent work starts within 0.6 s at p99 under fast: %s s", seconds(urgent))
	goal(breaches == 0, "no breach in any row: %d", breaches)
	_ = out.Flush()
	for _, r := range t.Rows {
		for _, b := range r.Breaches {
			fmt.Fprintf(w, "breach, %s: %s\n", r.Policy, b)
		}
	}
}
