package dispatch

import (
	"slices"
	"strconv"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// WorkerView is the dispatcher's view of a worker.
type WorkerView struct {
	ID, Address, Pool, Rack string
	// State is "ready" or the first reason why the worker gets no new work.
	State          string
	Capacity, Free workflow.Size
	// Starting counts the runs that were ordered and that the worker hasn't shown, Running
	// those that it has, and Stopping those whose resources are held until their end is
	// known.
	Starting, Running, Stopping int
	// LastContact is the time since the worker last answered.
	LastContact time.Duration
}

// JobView is the dispatcher's view of a job.
type JobView struct {
	// Known is false if the dispatcher doesn't have the job. No other field is set
	// then.
	Known     bool
	Cancelled bool
	Final     workflow.State
	// TimeLeft is the time until the job's objective, negative if that has passed.
	// It is 0 for a job without an objective.
	TimeLeft time.Duration
	Steps    []StepView
	// NextDue is when the next occurrence is due, in Unix milliseconds, or 0 if
	// there is none.
	NextDue int64
}

// StepView is the state of a step of an occurrence.
type StepView struct {
	Occurrence, Step int
	// Tasks is the total. Done are done; each of the others is Starting (ordered, and not
	// known to have begun), Running, Stopping or Waiting. Copies aren't counted.
	Tasks, Done, Starting, Running, Stopping, Waiting int
	// Reason and Detail state why tasks wait, if some do.
	Reason, Detail string
	// Waited is how long the task that has waited longest has been waiting.
	Waited time.Duration
	// Workers are the workers with a run of the step, in order.
	Workers []string
}

// workerReady is the state of a worker that may get new work. reasonDependsOn applies
// to a whole step, unlike the other reasons, which apply to its tasks.
const (
	workerReady     = "ready"
	reasonDependsOn = "depends-on"
)

// InspectWorkers returns the views of all workers, ordered by ID.
func (c *Core) InspectWorkers() []WorkerView {
	out := make([]WorkerView, 0, len(c.sortedHosts))
	for _, h := range c.sortedHosts {
		v := WorkerView{ID: h.info.ID, Address: h.info.Address, Pool: h.info.Pool, Rack: h.info.Rack(), State: c.workerState(h),
			Capacity: h.info.Capacity, Free: h.free, LastContact: c.now - h.lastContact}
		for _, r := range h.runs {
			switch {
			case r.state == stopping:
				v.Stopping++
			case r.begun:
				v.Running++
			default:
				v.Starting++
			}
		}
		out = append(out, v)
	}
	return out
}

// workerState returns why a worker isn't usable, in terms that an operator can act
// on.
func (c *Core) workerState(h *host) string {
	switch {
	case c.usable(h) && h.health.probing:
		return "probing"
	case c.usable(h):
		return workerReady
	case !h.listed:
		return "not-listed"
	case h.drainingSince > 0:
		return "draining"
	case h.unanswered > 0 || h.contact != contactNormal || c.now-h.lastContact >= maxContactAge:
		return "no-contact"
	case !h.fenced:
		return "not-fenced"
	case !h.registered || c.recordedUnreached[h.info.ID]:
		return "not-engaged"
	}
	return "resting"
}

// InspectJob returns the state of a job and why its tasks wait.
func (c *Core) InspectJob(id string) JobView {
	j := c.jobs[id]
	if j == nil {
		return JobView{}
	}
	v := JobView{Known: true, Cancelled: j.cancelled, Final: j.finalState}
	if j.queueKnown && j.def.ScheduledOccurrences == 0 && !j.longRunning {
		v.TimeLeft = time.Duration(j.objective-c.wall) * time.Millisecond
	}
	if j.ended() {
		return v
	}
	if j.nextOccurrence < j.def.Occurrences() {
		v.NextDue = j.def.DueMillis(j.nextOccurrence)
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			v.Steps = append(v.Steps, c.inspectStep(s))
		}
	}
	return v
}

func (c *Core) inspectStep(s *step) StepView {
	v := StepView{Occurrence: s.occurrence.number, Step: s.index, Tasks: s.count(), Done: s.tasks.doneCount, Waiting: s.unstartedCount()}
	seen := map[*host]bool{}
	if s.ready && v.Waiting > 0 {
		v.Waited = c.waitTime(s.task(s.nextUnstarted()))
	}
	for _, t := range s.tasks.live {
		for _, r := range t.runs {
			seen[r.host] = true
		}
		switch {
		case t.done:
		case len(t.runs) == 0:
			v.Waiting++
			if s.ready {
				v.Waited = max(v.Waited, c.waitTime(t))
			}
		case t.allRunsStopping():
			v.Stopping++
		case !t.hasBegunRun():
			v.Starting++
		default:
			v.Running++
		}
	}
	for _, h := range c.sortedHosts {
		if seen[h] {
			v.Workers = append(v.Workers, h.info.ID)
		}
	}
	if v.Waiting == 0 {
		return v
	}
	if !s.ready {
		v.Reason, v.Detail = reasonDependsOn, s.missing()
		return v
	}
	if t := s.firstPendingTask(c.now); t != nil {
		v.Reason, v.Detail = c.waitReason(t)
	}
	return v
}

// missing names the dependencies of the step that are not finished.
func (s *step) missing() string {
	list := ""
	for _, d := range s.def.DependsOn {
		if s.occurrence.steps[d].finished() {
			continue
		}
		if list != "" {
			list += ", "
		}
		list += strconv.Itoa(d)
	}
	return "on step " + list
}

// hasBegunRun reports whether a run of the task that isn't being stopped has begun.
func (t *task) hasBegunRun() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool { return r.begun && r.state != stopping })
}
