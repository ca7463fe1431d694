package story

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// A run is slow if it takes so many times as long as the median of its step's
// runs, and so much longer.
const (
	slowFactor = 1.5
	slowBound  = time.Second
)

// doneRun is a run that has ended as done.
type doneRun struct {
	task, worker   string
	started, ended time.Time
}

func (r *doneRun) took() time.Duration { return r.ended.Sub(r.started) }

// slowest tells of a job's slowest run, if it is slow among those of its step,
// and what was seen of its worker.
func (l *Log) slowest(own []Line) string {
	var worst *doneRun
	var usual time.Duration
	for _, runs := range doneRuns(own) {
		slices.SortFunc(runs, func(a, b *doneRun) int { return int(a.took() - b.took()) })
		last, median := runs[len(runs)-1], runs[(len(runs)-1)/2].took()
		if last.took().Seconds() < slowFactor*median.Seconds() || last.took()-median < slowBound {
			continue
		}
		if worst == nil || last.took()-median > worst.took()-usual {
			worst, usual = last, median
		}
	}
	if worst == nil {
		return ""
	}
	return fmt.Sprintf("%s ran for %.1f s on %s, half of its step's tasks for %.1f s or less%s", strings.TrimPrefix(worst.task, own[0].Job+"."),
		worst.took().Seconds(), worst.worker, usual.Seconds(), l.seenOf(worst))
}

// doneRuns returns the runs that have ended as done, by step.
func doneRuns(own []Line) map[string][]*doneRun {
	started := map[string]time.Time{}
	byStep := map[string][]*doneRun{}
	for i := range own {
		x := &own[i]
		task := x.Text("task")
		run := task + " " + x.Text("run")
		switch {
		case x.Kind == "task-started":
			started[run] = x.Time
		case x.Kind == "task-ended" && x.Text("outcome") == "done" && !started[run].IsZero():
			step := task[:max(0, strings.LastIndexByte(task, '.'))]
			byStep[step] = append(byStep[step], &doneRun{task, x.Text("worker"), started[run], x.Time})
			delete(started, run)
		}
	}
	return byStep
}

// seenOf tells what the lines say of a run's worker during the run.
func (l *Log) seenOf(r *doneRun) string {
	var seen []string
	for i := range l.others {
		x := &l.others[i]
		if x.Text("worker") != r.worker || x.Time.Before(r.started) || x.Time.After(r.ended) {
			continue
		}
		seen = append(seen, fmt.Sprintf("%s at %s%s", x.Kind, x.Time.Format(clockLayout), because(x)))
	}
	if len(seen) == 0 {
		return ""
	}
	return "; its worker: " + strings.Join(seen, ", ")
}
