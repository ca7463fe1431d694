package story

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// stillBound is how long nothing of a job runs before its story says why.
const stillBound = time.Second

// still is a time in which nothing of an open job ran.
type still struct {
	from, to time.Time
	// node is the one whose line began it.
	node string
	// open tells that the logs end before anything ran again.
	open bool
	// waits is the newest line that says what the job waited for.
	waits *Line
}

func (s *still) length() time.Duration { return s.to.Sub(s.from) }

// stills returns the times of more than the bound in which nothing of a job
// ran, from its acceptance to its end or that of the logs.
func stills(own []Line, end time.Time) []still {
	running := map[string]bool{}
	var all []still
	var now *still
	begin := func(l *Line, at time.Time) { now = &still{from: at, node: l.Node} }
	finish := func(at time.Time, open bool) {
		if now != nil && at.Sub(now.from) >= stillBound {
			now.to, now.open = at, open
			all = append(all, *now)
		}
		now = nil
	}
	taken := false
	for i := range own {
		l := &own[i]
		run := l.Text("task") + " " + l.Text("run")
		switch l.Kind {
		case "job-accepted", "job-unknown":
			if !taken {
				begin(l, l.Time)
			}
			taken = true
		case "job-waits":
			if !taken {
				begin(l, l.Time.Add(-l.millis("age_ms")))
			}
			taken = true
			if now != nil {
				now.waits = l
			}
		case "task-started", "run-adopted":
			taken, running[run] = true, true
			finish(l.Time, false)
		case "task-ended", "task-stopped", "run-lost", "start-refused":
			delete(running, run)
			if len(running) == 0 && now == nil {
				begin(l, l.Time)
			}
		case "job-ended", "job-cancelled":
			finish(l.Time, false)
			return all
		}
	}
	if len(running) == 0 {
		finish(end, true)
	}
	return all
}

// missing says in words what a step lacked, by the outcome of job-waits.
var missing = map[string]string{
	"queue-unknown":    "its queue was not in the configuration in force",
	"takeover":         "runs of the former holder might have been unseen",
	"backoff":          "its last attempt had failed",
	"unrecorded-crash": "the log did not have the crashes of workers under it yet",
	"no-worker":        "its pool had no worker",
	"unusable":         "its pool's workers were leaving, resting after failures or out of contact",
	"label":            "its pool's workers lacked the label that it requires",
	"room":             "too little was free on its pool's workers",
	"most-per-worker":  "as many of its tasks as may run on one worker ran there",
	"account-limit":    "its client account had as much running as it may have",
	"task-limit":       "as many tasks were started and not done as the leader can hold",
	"reserved":         "the room was kept for a larger step",
	"probing":          "the workers with room were on probation",
	"failed-there":     "it had just failed on the workers with room",
	"kept-apart":       "a worker had crashed under it or under a task there, and it must not run beside others",
	"no-ticket":        "the policy service had approved no worker with room",
	"fits":             "there was room, but not for all tasks of its gang at once",
}

// why tells what kept a job: refusals, times in which nothing of it ran, and
// attempts that failed.
func (l *Log) why(own []Line, f *facts, c *cluster) []string {
	var out []string
	if f.refused != nil {
		out = append(out, c.refusal(f.refused, f.refusals))
	}
	if f.unknown != nil {
		out = append(out, c.refusal(f.unknown, 1))
	}
	for _, s := range stills(own, c.end) {
		text, _ := c.stillness(&s)
		out = append(out, text)
	}
	if f.ended != nil && f.ended.Text("outcome") == "failed" {
		out = append(out, l.blame(own, f.ended)...)
	}
	out = append(out, l.slowest(own), c.endedAgain(f), c.queries(f))
	return slices.DeleteFunc(out, func(s string) bool { return s == "" })
}

// endedAgain tells that a job's end was lost with its holder: callers saw it
// only when the next one had recorded it.
func (c *cluster) endedAgain(f *facts) string {
	if f.ended == nil || f.endedFirst == f.ended {
		return ""
	}
	text := fmt.Sprintf("it had ended at %s, and its end was recorded anew by %s at %s, %.1f s later", f.endedFirst.Time.Format(clockLayout),
		f.ended.Node, f.ended.Time.Format(clockLayout), f.ended.Time.Sub(f.endedFirst.Time).Seconds())
	if over := c.takeovers(f.endedFirst.Time, f.ended.Time); len(over) > 0 {
		text += ": " + strings.Join(over, "; ")
	}
	return text
}

// queries tells of a caller's questions that were refused.
func (c *cluster) queries(f *facts) string {
	if len(f.queries) == 0 {
		return ""
	}
	first, last := f.queries[0], f.queries[len(f.queries)-1]
	text := fmt.Sprintf("%d questions for its state were refused from %s to %s%s", len(f.queries), first.Time.Format(clockLayout),
		last.Time.Format(clockLayout), because(last))
	if far := c.loading(last.Node, last.Time); far != "" && last.Text("reason") == "view-loading" {
		return text + ": " + far
	}
	if out := c.storeOut(last.Node, last.Time); out != "" && ofStore[last.Text("reason")] {
		text += ": " + out
	}
	return text
}

// ofStore are the reasons of refusals that the store has to do with.
var ofStore = map[string]bool{
	"no-configuration": true, "configuration-stale": true, "view-stale": true, "view-loading": true, "store-unreachable": true,
	"store-refused": true, "store-unanswered": true, "repeat-unanswered": true, "too-many-accepts": true,
}

// refusal tells what lay behind a refusal or an unknown outcome.
func (c *cluster) refusal(l *Line, times int) string {
	said := "refused"
	if l.Kind == "job-unknown" {
		said = "told that the outcome is unknown"
	}
	text := fmt.Sprintf("%s by %s at %s%s", said, l.Node, l.Time.Format(clockLayout), because(l))
	if times > 1 {
		text += fmt.Sprintf(", the last of %d times", times)
	}
	if !ofStore[l.Text("reason")] {
		return text
	}
	if far := c.loading(l.Node, l.Time); far != "" && l.Text("reason") == "view-loading" {
		return text + ": " + far
	}
	began := l.Time.Add(-l.millis("took_ms"))
	behind := c.takeovers(began.Add(-time.Second), l.Time.Add(afterwards))
	if out := c.storeOut(l.Node, l.Time); out != "" {
		behind = append([]string{out}, behind...)
	}
	if len(behind) == 0 {
		return text
	}
	return text + ": " + strings.Join(behind, "; ")
}

// stillness tells why nothing of a job ran for a time, and whether any line says it.
func (c *cluster) stillness(s *still) (text string, explained bool) {
	text = fmt.Sprintf("nothing of it ran for %.1f s from %s", s.length().Seconds(), s.from.Format(clockLayout))
	if s.open {
		text += ", when the logs end"
	}
	var causes []string
	if s.waits != nil {
		what := missing[s.waits.Text("outcome")]
		if what == "" {
			what = s.waits.Text("outcome")
		}
		if needs := s.waits.Text("needs"); needs != "" {
			what = "it needs " + needs + "; " + what
		}
		causes = append(causes, what+because(s.waits))
	}
	causes = append(causes, c.takeovers(s.from, s.to)...)
	if out := c.storeOut(c.holder(s.from, s.node), s.from.Add(s.length()/2)); out != "" && s.waits == nil {
		causes = append(causes, out)
	}
	if len(causes) == 0 {
		return text + ": no line says why; a job with times of its own waits for them without a line", false
	}
	return text + ": " + strings.Join(causes, "; "), true
}

// holder returns the node that held the right to place at a time, the given one
// if no line tells it.
func (c *cluster) holder(at time.Time, node string) string {
	for i := range c.terms {
		if !c.terms[i].began.After(at) {
			node = c.terms[i].node
		}
	}
	return node
}

// tally counts the ends of runs on one worker.
type tally struct{ failed, all int }

// manyFailed is the share of a worker's other runs that speaks for its own fault.
const manyFailed = 0.5

// blame tells of each task of a failed job that used its attempts where it
// failed, and how other tasks fared there.
func (l *Log) blame(own []Line, ended *Line) []string {
	task := ""
	for _, word := range strings.Fields(ended.Text("reason")) {
		if strings.HasPrefix(word, ended.Job+".") {
			task = word
		}
	}
	onWorker := map[string]int{}
	failed := 0
	for i := range own {
		x := &own[i]
		if x.Kind == "task-ended" && x.Text("outcome") == "failed" && (task == "" || x.Text("task") == task) {
			onWorker[x.Text("worker")]++
			failed++
		}
	}
	if failed == 0 {
		return nil
	}
	others := tally{}
	for w, n := range onWorker {
		if t := l.ends[w]; t != nil {
			others.failed += t.failed - n
			others.all += t.all - n
		}
	}
	text := fmt.Sprintf("%s failed %d times on %s", strings.TrimPrefix(task, ended.Job+"."), failed, strings.Join(sortedKeys(onWorker), ", "))
	if others.all == 0 {
		return []string{text}
	}
	text += fmt.Sprintf("; of the other %d runs that ended there, %d failed", others.all, others.failed)
	switch {
	case float64(others.failed) >= manyFailed*float64(others.all):
		text += ": look after the workers"
	case len(onWorker) > 1:
		text += ": the task's own fault"
	}
	return []string{text}
}
