package story

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Story is what became of one job.
type Story struct {
	ID    string
	Lines []Line
	// Cause says in one sentence how the job stands, and why.
	Cause string
	// Why tells what lay behind each refusal, and behind each time in which
	// nothing of the job ran.
	Why []string
	// Notes tell what the logs can't show.
	Notes []string
}

// ofNode are the kinds of lines that concern the jobs that a node has to do with.
var ofNode = map[string]bool{
	"started": true, "planned stop begins": true, "stopped": true, "stopped at once": true, "a server failed": true,
	"configuration in force": true, "dependency-lost": true, "dependency-regained": true,
}

// beforehand is how long before the job's first line others may have led to it.
const beforehand = 3 * time.Second

// afterwards is how long after a refusal the reads that led to it may be logged as failed.
const afterwards = 3 * time.Second

// Tell tells the story of the log's job.
func (l *Log) Tell() Story {
	s := Story{ID: l.id}
	if len(l.own) == 0 {
		s.Cause = "no line names the job: no process whose log was read has seen it, or its lines were left out"
		s.Notes = leftOut(l.others, nil)
		return s
	}
	all := l.sorted()
	// A job that was taken up and isn't over is told to the logs' end.
	first, last, open := -1, -1, false
	over := false
	nodes, workers := map[string]bool{}, map[string]bool{}
	for i := range all {
		if all[i].Job == "" {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		switch all[i].Kind {
		case "job-ended":
			over, open = true, false
		case "job-accepted", "job-unknown", "job-waits", "task-started":
			open = !over
		}
		nodes[all[i].Node] = true
		if w := all[i].Text("worker"); w != "" {
			workers[w] = true
		}
	}
	begin, end := all[first].Time.Add(-beforehand), all[last].Time
	if all[last].Kind == "job-refused" {
		end = end.Add(afterwards)
	}
	moved := map[string]bool{}
	var span []Line
	for _, x := range all {
		if x.Time.Before(begin) || !open && x.Time.After(end) {
			continue
		}
		span = append(span, x)
		if x.Job != "" || concerns(&x, nodes, workers, moved) {
			s.Lines = append(s.Lines, x)
		}
	}
	own := ownLines(s.Lines)
	f := newFacts(own)
	s.Cause, s.Why = f.cause(), l.why(own, f, newCluster(all))
	s.Notes = append(leftOut(span, nodes), clocks(s.Lines)...)
	return s
}

// ownLines returns the lines that name a job.
func ownLines(lines []Line) []Line {
	var own []Line
	for i := range lines {
		if lines[i].Job != "" {
			own = append(own, lines[i])
		}
	}
	return own
}

// concerns reports whether a line that names no job has to do with this one.
// That the right has moved is told once for each token.
func concerns(l *Line, nodes, workers, moved map[string]bool) bool {
	if w := l.Text("worker"); w != "" {
		return workers[w]
	}
	switch l.Kind {
	case "the right to place has moved":
		token := l.Text("token")
		seen := moved[token]
		moved[token] = true
		return !seen
	case "term begins", "term ends", "dispatching", "takeover-complete", "step-down":
		return true
	}
	return ofNode[l.Kind] && nodes[l.Node]
}

// leftOut notes the lines that the nodes have left out; nil is all nodes.
func leftOut(lines []Line, nodes map[string]bool) []string {
	var notes []string
	for i := range lines {
		l := &lines[i]
		if l.Kind != "lines-left-out" || nodes != nil && !nodes[l.Node] {
			continue
		}
		notes = append(notes, fmt.Sprintf("%s left out lines before %s:%s", l.Node, l.Time.Format(clockLayout),
			fields(l, map[string]bool{"kind": true})))
	}
	return notes
}

// clocks notes clocks that are surely apart.
func clocks(lines []Line) []string {
	var accepted, ordered *Line
	for i := range lines {
		l := &lines[i]
		if accepted == nil && l.Kind == "job-accepted" {
			accepted = l
		}
		if ordered == nil && l.Kind == "task-started" {
			ordered = l
		}
	}
	if accepted == nil || ordered == nil {
		return nil
	}
	// The answer to the caller may come a little after the first order.
	took, _ := time.ParseDuration(accepted.Text("took_ms") + "ms")
	apart := accepted.Time.Add(-took).Sub(ordered.Time)
	if apart <= 0 {
		return nil
	}
	return []string{fmt.Sprintf("the clock of %s is at least %d ms before that of %s", accepted.Node, apart.Milliseconds(), ordered.Node)}
}

// facts are the telling lines of one job, nil where there is none.
type facts struct {
	accepted, unknown, refused *Line
	// endedFirst and ended are the first and the last that tell its end.
	endedFirst, ended *Line
	// queries are questions for its state that were refused.
	queries []*Line
	// refusals counts the tries that were refused.
	refusals int
	// start is the first start, waited what it had waited for before; waits is
	// what tasks wait for since the last start.
	start, waited, waits *Line
	// failed counts ends and refused starts by outcome, but for those that are done.
	failed map[string]int
}

func newFacts(own []Line) *facts {
	f := &facts{failed: map[string]int{}}
	for i := range own {
		l := &own[i]
		switch l.Kind {
		case "task-started":
			if f.start == nil {
				f.start, f.waited = l, f.waits
			}
			f.waits = nil
		case "task-ended", "start-refused":
			if o := l.Text("outcome"); o != "done" {
				f.failed[o]++
			}
		case "job-waits":
			f.waits = l
		case "job-refused":
			f.refused = l
			f.refusals++
		case "job-unknown":
			f.unknown = l
		case "job-accepted":
			f.accepted = l
		case "job-ended":
			if f.endedFirst == nil {
				f.endedFirst = l
			}
			f.ended = l
		case "query-refused":
			f.queries = append(f.queries, l)
		}
	}
	return f
}

// taken reports whether the job was surely taken up.
func (f *facts) taken() bool {
	return f.ended != nil || f.start != nil || f.waits != nil || f.accepted != nil
}

// cause says how the job stands.
func (f *facts) cause() string {
	var b strings.Builder
	switch {
	case f.ended != nil:
		fmt.Fprintf(&b, "the job is over: %s%s", f.ended.Text("outcome"), because(f.ended))
	case f.start != nil:
		b.WriteString("the job has started, and no line tells its end")
		if f.waits != nil {
			fmt.Fprintf(&b, "; tasks still wait for %s%s", f.waits.Text("outcome"), because(f.waits))
		}
	case f.waits != nil:
		fmt.Fprintf(&b, "the job was never started: its tasks wait for %s%s", f.waits.Text("outcome"), because(f.waits))
	case f.accepted != nil:
		b.WriteString("the job is accepted, and no line tells of a start")
	case f.unknown != nil:
		fmt.Fprintf(&b, "the caller was told that the outcome is unknown by %s%s; no holder has taken the job up", f.unknown.Node, because(f.unknown))
	case f.refused != nil:
		fmt.Fprintf(&b, "the job was refused by %s%s; nothing was stored", f.refused.Node, because(f.refused))
	default:
		b.WriteString("the lines tell neither an acceptance nor an end")
	}
	f.before(&b)
	return b.String()
}

// before adds what went before the job stood so.
func (f *facts) before(b *strings.Builder) {
	if f.waited != nil {
		fmt.Fprintf(b, "; its first start came after %s ms, last for want of %s%s", f.start.Text("queued_ms"), f.waited.Text("outcome"), because(f.waited))
	}
	if f.ended == nil || f.ended.Text("outcome") != "completed" {
		for _, o := range sortedKeys(f.failed) {
			fmt.Fprintf(b, "; %d × %s", f.failed[o], o)
		}
	}
	if !f.taken() {
		return
	}
	if f.unknown != nil {
		fmt.Fprintf(b, "; at %s its caller was told that the outcome is unknown%s", f.unknown.Time.Format(clockLayout), because(f.unknown))
	}
	if f.refused != nil {
		fmt.Fprintf(b, "; at %s a try was refused%s", f.refused.Time.Format(clockLayout), because(f.refused))
	}
}

func because(l *Line) string {
	if r := l.Text("reason"); r != "" {
		return " (" + r + ")"
	}
	return ""
}

const clockLayout = "15:04:05.000"

// Render writes the story for people, a line a decision.
func (s *Story) Render(w io.Writer) error {
	width := 0
	for i := range s.Lines {
		width = max(width, len(s.Lines[i].Node))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "job %s\n", s.ID)
	for i := range s.Lines {
		l := &s.Lines[i]
		fmt.Fprintf(&b, "%s %+9.3f s  %-*s  %s%s\n", l.Time.Format(clockLayout), l.Time.Sub(s.Lines[0].Time).Seconds(),
			width, l.Node, l.Kind, fields(l, nil))
	}
	fmt.Fprintf(&b, "cause: %s\n", s.Cause)
	for _, w := range s.Why {
		fmt.Fprintf(&b, "why: %s\n", w)
	}
	for _, n := range s.Notes {
		fmt.Fprintf(&b, "note: %s\n", n)
	}
	_, err := io.WriteString(w, b.String())
	return errors.WithStack(err)
}

// told are the fields that every line of a story tells in its own place, or
// that say the same in all of them.
var told = map[string]bool{"time": true, "level": true, "msg": true, "node": true, "domain": true, "kind": true, "job": true}

// fields returns what else a line says, the outcome first and the reason last.
func fields(l *Line, but map[string]bool) string {
	var b strings.Builder
	put := func(k string) {
		v := l.Text(k)
		if v == "" || but[k] {
			return
		}
		if k == "task" {
			v = strings.TrimPrefix(v, l.Job+".")
		}
		if k == "error" {
			v = brief(v)
		}
		if strings.ContainsAny(v, " ") {
			v = "\"" + v + "\""
		}
		fmt.Fprintf(&b, " %s=%s", k, v)
	}
	put("outcome")
	for _, k := range sortedKeys(l.Fields) {
		if !told[k] && k != "outcome" && k != "reason" {
			put(k)
		}
	}
	put("reason")
	return b.String()
}

// brief leaves out the middle of a long error: what failed and why remain.
func brief(s string) string {
	parts := strings.Split(s, ": ")
	if len(s) <= 80 || len(parts) < 4 {
		return s
	}
	return parts[0] + ": … : " + parts[len(parts)-1]
}
