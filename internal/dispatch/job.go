package dispatch

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// job is the dispatcher's state of an accepted job.
type job struct {
	def    *workflow.Job
	offset int64
	// queue is the policy that the job was taken in under.
	queue workflow.Queue
	// known is false while the queue isn't in the catalog.
	known bool
	// active holds the occurrences that are due and not finished, by number.
	active []*occurrence
	// next is the number of the next occurrence to become due.
	next int
	// finished and later tell which occurrences are finished: all before
	// finished, and those in later.
	finished int
	later    map[int]bool
	final    workflow.State
	endedAt  int64
	// cancelled jobs get no more starts.
	cancelled bool
	started   bool
	dirty     bool
	// recorded tells that the final state is in the log.
	recorded bool
	// objective is when the job should be complete, in Unix milliseconds.
	objective int64
	// horizon is when it earns nothing any more, in Unix milliseconds.
	horizon int64
	// restored is progress not yet applied to occurrences.
	restored map[int]workflow.OccurrenceProgress
}

func (j *job) over() bool { return j.cancelled || j.final != "" }

// occurrence is one run through a job's steps.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	left   int
}

// step is one step of an occurrence.
type step struct {
	occ   *occurrence
	def   *workflow.Step
	index int
	tasks []task
	// blockers counts the steps that must be done first.
	blockers int
	done     int
	// readyAt is when the step's turn came.
	readyAt time.Duration
	ready   bool
	// queued tells that the step is in the list of waiting steps.
	queued bool
	// overdue tells that a task of it that lasts has waited for too long.
	overdue bool
	// perWorker counts live runs by worker, for steps with a bound on it.
	perWorker map[*host]int
	// candidates are the workers worked out in the round candidatesOf.
	candidates   []*host
	candidatesOf int64
	// preemptAt is when work may be stopped for the step again.
	preemptAt time.Duration
	advice    advice
	gang      gang
	// typical is how long the step's tasks take, as worked out at typicalAt.
	typical, typicalAt time.Duration
	wait               toldWait
}

func (s *step) id() workflow.StepID {
	return workflow.StepID{Job: s.occ.job.def.ID, Occurrence: s.occ.number, Step: s.index}
}

func (s *step) finished() bool { return s.done == len(s.tasks) }

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// failures counts runs that ended as failed.
	failures int
	// saved is the newest checkpoint.
	saved string
	// runs holds the live runs: starting, running or being stopped.
	runs []*run
	// starts numbers the task's starts in this term.
	starts int64
	// took is how long the run took that ended as done.
	took time.Duration
	// avoid is the worker on which the task failed last; until avoidUntil it
	// isn't taken at all.
	avoid      *host
	avoidUntil time.Duration
	// notBefore delays the next start.
	notBefore time.Duration
	// waitingSince is when the task last began to wait.
	waitingSince time.Duration
}

func (t *task) id() workflow.TaskID { return workflow.TaskID{StepID: t.step.id(), Index: t.index} }

// waits reports whether the task should be started when there is room.
func (t *task) waits(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore
}

// waited is how long the task has waited for a start since its step's turn came.
func (c *Core) waited(t *task) time.Duration { return c.now - max(t.step.readyAt, t.waitingSince) }

func (t *task) drop(r *run) {
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// newOccurrence builds the state of occurrence k, with the progress recorded of it.
func newOccurrence(j *job, k int, now time.Duration) *occurrence {
	o := &occurrence{job: j, number: k, steps: make([]*step, len(j.def.Steps))}
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		s := &step{occ: o, def: def, index: i, tasks: make([]task, def.Count), blockers: len(def.DependsOn)}
		for n := range s.tasks {
			s.tasks[n] = task{step: s, index: n, waitingSince: now}
		}
		if def.MostPerWorker > 0 {
			s.perWorker = map[*host]int{}
		}
		o.steps[i] = s
	}
	o.left = len(o.steps)
	if p, ok := j.restored[k]; ok {
		o.restore(p)
		delete(j.restored, k)
	}
	return o
}

func (o *occurrence) restore(p workflow.OccurrenceProgress) {
	for _, sp := range p.Steps {
		if sp.Step < 0 || sp.Step >= len(o.steps) {
			continue
		}
		s := o.steps[sp.Step]
		for i := range s.tasks {
			t := &s.tasks[i]
			if sp.Done.Has(i) && !t.done {
				t.done = true
				s.done++
			}
			t.failures = sp.Failures[i]
			t.saved = sp.Checkpoints[i]
		}
		if s.def.Gang {
			s.gang.failures, s.gang.saved = sp.Failures[0], sp.Checkpoints[0]
		}
		if s.finished() {
			o.left--
			o.unblock(s)
		}
	}
}

// unblock counts a finished step for those that depend on it.
func (o *occurrence) unblock(done *step) {
	for _, s := range o.steps[done.index+1:] {
		for _, d := range s.def.DependsOn {
			if d == done.index {
				s.blockers--
			}
		}
	}
}

// progress returns what is to be recorded of the job.
func (j *job) progress() workflow.Progress {
	p := workflow.Progress{Started: j.started, Final: j.final, EndedMillis: j.endedAt, Finished: j.finished}
	if j.final != "" {
		return p
	}
	for k := range j.later {
		p.Occurrences = append(p.Occurrences, workflow.OccurrenceProgress{Number: k, Finished: true})
	}
	for _, o := range j.active {
		if op := o.progress(); len(op.Steps) > 0 {
			p.Occurrences = append(p.Occurrences, op)
		}
	}
	return p
}

func (o *occurrence) progress() workflow.OccurrenceProgress {
	op := workflow.OccurrenceProgress{Number: o.number}
	for _, s := range o.steps {
		sp := workflow.StepProgress{Step: s.index}
		touched := false
		for i := range s.tasks {
			t := &s.tasks[i]
			if t.done {
				sp.Done.Set(i)
				touched = true
			}
			if t.failures > 0 && !s.def.LongRunning {
				if sp.Failures == nil {
					sp.Failures = map[int]int{}
				}
				sp.Failures[i] = t.failures
				touched = true
			}
			if t.saved != "" && !t.done {
				if sp.Checkpoints == nil {
					sp.Checkpoints = map[int]string{}
				}
				sp.Checkpoints[i] = t.saved
				touched = true
			}
		}
		if s.def.Gang && !s.finished() && (s.gang.failures > 0 || s.gang.saved != "") {
			sp.Failures = map[int]int{0: s.gang.failures}
			sp.Checkpoints = map[int]string{0: s.gang.saved}
			touched = true
		}
		if touched {
			op.Steps = append(op.Steps, sp)
		}
	}
	return op
}
