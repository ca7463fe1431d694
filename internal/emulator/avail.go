package emulator

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// presence is since when a lasting task isn't at work, and whether an order has
// ended it.
type presence struct {
	lost    time.Time
	ordered bool
}

// budgeted reports whether a run is of a step whose tasks may be away only so many at a time.
func (r *run) budgeted() bool {
	return r.step != nil && r.step.LongRunning && r.step.DisruptionBudget > 0
}

// atWork reports whether a lasting task's run is at work.
func (r *run) atWork(now time.Time) bool {
	if !r.crew.over {
		r.crew.advance(now)
	}
	return r.stopAt.IsZero() && r.crew.complete && r.crew.percent() >= 100
}

// disrupts judges an order that ends a run at once or by a stop.
func (j *Judge) disrupts(r *run) {
	now := time.Now()
	if !r.budgeted() || !r.atWork(now) {
		return
	}
	w, k := r.life, j.fleet.jobs[r.task.Job]
	sound := w.drains.IsZero() && !w.failing && !w.hung && w.slow == 1
	if sound && k.cancelled.IsZero() {
		if away := j.away(r, k, now); away >= r.step.DisruptionBudget {
			j.breach(r, RuleAvail, "%d others of the step are away, %d may be", away, r.step.DisruptionBudget)
		}
	}
	r.disrupted = true
	j.fleet.presences[r.task] = presence{lost: now, ordered: true}
}

// away counts the other tasks of a run's step that were ended by an order and
// aren't back, or weren't at work for the notice.
func (j *Judge) away(r *run, k *knownJob, now time.Time) int {
	n := 0
	for i := range r.step.Count {
		id := workflow.TaskID{StepID: r.task.StepID, Index: i}
		if id == r.task || j.present(id, now) {
			continue
		}
		p, known := j.fleet.presences[id]
		if !known {
			p.lost = k.first
		}
		if p.ordered || now.Sub(p.lost) >= j.fleet.cfg.Limits.Notice {
			n++
		}
	}
	return n
}

func (j *Judge) present(id workflow.TaskID, now time.Time) bool {
	for _, r := range j.fleet.live[id] {
		if r.atWork(now) {
			return true
		}
	}
	return false
}

// leaves notes that a run ends by itself or with its worker, before it is taken
// out of the lists.
func (j *Judge) leaves(r *run) {
	now := time.Now()
	if r.budgeted() && !r.disrupted && r.atWork(now) {
		j.fleet.presences[r.task] = presence{lost: now}
	}
}
