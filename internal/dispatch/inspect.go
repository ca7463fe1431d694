package dispatch

import (
	"strconv"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// WorkerView is what the dispatcher has in its book of a worker.
type WorkerView struct {
	ID, Address, Pool, Rack string
	// State is "ready", or the first reason for which it gets nothing new.
	State          string
	Capacity, Free workflow.Size
	// Running counts the runs that are starting or running, Stopping those
	// whose room is held until their end is known.
	Running, Stopping int
	// Heard is how long ago the worker last answered.
	Heard time.Duration
}

// JobView is what the dispatcher has to say of a job.
type JobView struct {
	// Known is false for a job that the dispatcher doesn't have; then nothing
	// else is set.
	Known     bool
	Cancelled bool
	Final     workflow.State
	// Left is the time until the job's objective, below 0 if that has passed; it
	// is 0 for a job without one.
	Left  time.Duration
	Steps []StepView
	// NextDue is the due time of the next occurrence in Unix milliseconds, 0 if
	// there is none.
	NextDue int64
}

// StepView is how a step of an occurrence stands.
type StepView struct {
	Occurrence, Step int
	// Of the tasks, Done are done, and each other one is Running (or starting),
	// Stopping or waits. Copies aren't counted.
	Tasks, Done, Running, Stopping, Waiting int
	// Reason and Detail tell why tasks wait, if some do.
	Reason, Detail string
	// Waited is for how long the task that has waited longest has done so.
	Waited time.Duration
	// Workers are those with a run of the step, in order.
	Workers []string
}

// The states of a worker that gets nothing new, and the reasons of steps that
// are no reasons of their tasks.
const (
	workerReady     = "ready"
	reasonDependsOn = "depends-on"
)

// InspectWorkers returns the books of all workers, in order of their names.
func (c *Core) InspectWorkers() []WorkerView {
	out := make([]WorkerView, 0, len(c.order))
	for _, h := range c.order {
		v := WorkerView{ID: h.info.ID, Address: h.info.Address, Pool: h.info.Pool, Rack: h.info.Rack(), State: c.workerState(h),
			Capacity: h.info.Capacity, Free: h.free, Heard: c.now - h.heardAt}
		for _, r := range h.runs {
			if r.state == stopping {
				v.Stopping++
			} else {
				v.Running++
			}
		}
		out = append(out, v)
	}
	return out
}

// workerState names why a worker isn't usable, by what an operator can act on.
func (c *Core) workerState(h *host) string {
	switch {
	case c.usable(h) && h.health.probing:
		return "probing"
	case c.usable(h):
		return workerReady
	case !h.listed:
		return "not-listed"
	case h.draining > 0:
		return "draining"
	case h.silent > 0 || h.silence != silenceNone || c.now-h.heardAt >= contactBound:
		return "no-contact"
	case !h.fenced:
		return "not-fenced"
	case !h.engaged:
		return "not-engaged"
	}
	return "resting"
}

// InspectJob returns how a job stands, and why tasks of it wait.
func (c *Core) InspectJob(id string) JobView {
	j := c.jobs[id]
	if j == nil {
		return JobView{}
	}
	v := JobView{Known: true, Cancelled: j.cancelled, Final: j.final}
	if j.known && j.def.Times == 0 && !j.def.LongRunning() {
		v.Left = time.Duration(j.objective-c.wall) * time.Millisecond
	}
	if j.over() {
		return v
	}
	if j.next < j.def.Occurrences() {
		v.NextDue = j.def.Due(j.next)
	}
	for _, o := range j.active {
		for _, s := range o.steps {
			v.Steps = append(v.Steps, c.inspectStep(s))
		}
	}
	return v
}

func (c *Core) inspectStep(s *step) StepView {
	v := StepView{Occurrence: s.occ.number, Step: s.index, Tasks: len(s.tasks), Done: s.done}
	seen := map[*host]bool{}
	for i := range s.tasks {
		t := &s.tasks[i]
		for _, r := range t.runs {
			seen[r.host] = true
		}
		switch {
		case t.done:
		case len(t.runs) == 0:
			v.Waiting++
			if s.ready {
				v.Waited = max(v.Waited, c.waited(t))
			}
		case t.stoppingOnly():
			v.Stopping++
		default:
			v.Running++
		}
	}
	for _, h := range c.order {
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
	if t := s.firstWaiting(c.now); t != nil {
		v.Reason, v.Detail = c.waitReason(t)
	}
	return v
}

// missing names the steps that must be done first and aren't.
func (s *step) missing() string {
	list := ""
	for _, d := range s.def.DependsOn {
		if s.occ.steps[d].finished() {
			continue
		}
		if list != "" {
			list += ", "
		}
		list += strconv.Itoa(d)
	}
	return "on step " + list
}
