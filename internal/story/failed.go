package story

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Outcome is how a request failed.
type Outcome string

// The outcomes of failed requests.
const (
	// Refused was not taken up by any node.
	Refused Outcome = "refused"
	// Unknown may have been taken up, and no line tells that it was.
	Unknown Outcome = "unknown"
	// Failed was carried out in vain.
	Failed Outcome = "failed"
	// NotStarted was taken up, and had no start when the logs ended.
	NotStarted Outcome = "not-started"
	// Late was taken up, and nothing of it ran for a long time.
	Late Outcome = "late"
)

// Failure is one request that failed.
type Failure struct {
	// At is when the caller was answered, or when the wait began.
	At  time.Time
	Job string
	// Request is the caller's newest ID of the request, if it gave one.
	Request string
	Queue   string
	Node    string
	Outcome Outcome
	Why     string
}

// Failures returns the requests that failed, in order of time; those that
// stood still for at least the given time are late.
func (l *Log) Failures(late time.Duration) []Failure {
	all := l.sorted()
	c := newCluster(all)
	jobs, order := map[string][]Line{}, []string(nil)
	for _, x := range all {
		if x.Job == "" {
			continue
		}
		if jobs[x.Job] == nil {
			order = append(order, x.Job)
		}
		jobs[x.Job] = append(jobs[x.Job], x)
	}
	var out []Failure
	for _, id := range order {
		if f, failed := l.failure(jobs[id], c, late); failed {
			out = append(out, f)
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At.Before(out[b].At) })
	return out
}

// failure judges one job.
func (l *Log) failure(own []Line, c *cluster, late time.Duration) (Failure, bool) {
	f := newFacts(own)
	v := Failure{Job: own[0].Job}
	for i := range own {
		if q := own[i].Text("queue"); q != "" {
			v.Queue = q
		}
		if r := own[i].Text("request"); r != "" && strings.HasPrefix(own[i].Kind, "job-") {
			v.Request = r
		}
	}
	at := func(x *Line, o Outcome, why string) (Failure, bool) {
		v.At, v.Node, v.Outcome, v.Why = x.Time, x.Node, o, why
		return v, true
	}
	switch {
	case f.ended != nil && f.ended.Text("outcome") == "failed":
		return at(f.ended, Failed, strings.Join(append([]string{f.ended.Text("reason")}, l.blame(own, f.ended)...), "; "))
	case !f.taken() && f.unknown != nil:
		return at(f.unknown, Unknown, c.refusal(f.unknown, 1))
	case !f.taken() && f.refused != nil:
		return at(f.refused, Refused, c.refusal(f.refused, f.refusals))
	}
	if x, o, why := c.delay(own, f, late); x != nil {
		return at(x, o, why)
	}
	return v, false
}

// delay tells what held a job up for at least the given time, and from which
// line on; that is nil if nothing did.
func (c *cluster) delay(own []Line, f *facts, late time.Duration) (*Line, Outcome, string) {
	if f.ended != nil && f.ended.Time.Sub(f.endedFirst.Time) >= late {
		return f.endedFirst, Late, c.endedAgain(f)
	}
	if f.accepted != nil && f.refused != nil && f.accepted.Time.Sub(own[0].Time) >= late && f.refused.Time.Before(f.accepted.Time) {
		return &own[0], Late, c.refusal(f.refused, f.refusals)
	}
	for _, s := range stills(own, c.end) {
		why, explained := c.stillness(&s)
		if s.length() < late || !explained || s.waits == nil && s.open {
			continue // without a line that it waits, its time may not have come
		}
		o := Late
		if s.open && f.start == nil {
			o = NotStarted
		}
		return &Line{Time: s.from, Node: s.node}, o, why
	}
	return nil, "", ""
}

// dash stands for what no line tells.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// RenderFailures writes a line for each failure, and counts them by outcome.
func RenderFailures(w io.Writer, failures []Failure) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	counts := map[string]int{}
	for i := range failures {
		f := &failures[i]
		counts[string(f.Outcome)]++
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", f.At.Format(clockLayout), dash(f.Request), f.Job, dash(f.Queue), f.Node, f.Outcome, f.Why)
	}
	if err := t.Flush(); err != nil {
		return errors.WithStack(err)
	}
	var sums []string
	for _, o := range sortedKeys(counts) {
		sums = append(sums, fmt.Sprintf("%d %s", counts[o], o))
	}
	if len(sums) == 0 {
		sums = []string{"none"}
	}
	_, err := fmt.Fprintf(w, "failed requests: %s\n", strings.Join(sums, ", "))
	return errors.WithStack(err)
}
