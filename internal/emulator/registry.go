package emulator

import (
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// knownJob is a job that a caller handed in, and what became of it.
type knownJob struct {
	job      *workflow.Job
	pools    map[string]bool
	attempts int
	// cancelled is when the cancelling was acknowledged.
	cancelled time.Time
	refused   bool
	// done has the units that ended done, stepDone how many of a step.
	done     map[workflow.TaskID]bool
	stepDone map[workflow.StepID]int
	// begun counts the runs of a unit that got to work.
	begun map[workflow.TaskID]int
	// failed is set when a unit has used up its attempts.
	failed          bool
	first, finished time.Time
}

// unitOf returns what ends as one: the task, or index -1 for all of a gang.
func unitOf(task workflow.TaskID, step *workflow.Step) workflow.TaskID {
	if step != nil && step.Gang {
		task.Index = -1
	}
	return task
}

func unitsOf(step *workflow.Step) int {
	if step.Gang {
		return 1
	}
	return step.Count
}

// units returns how many ends done complete the job.
func (k *knownJob) units() int {
	n := 0
	for i := range k.job.Steps {
		n += unitsOf(&k.job.Steps[i])
	}
	return n * k.job.Occurrences()
}

// step returns the step of a task, nil if the job has no such task.
func (k *knownJob) step(task workflow.TaskID) *workflow.Step {
	if k == nil || task.Step < 0 || task.Step >= len(k.job.Steps) || task.Occurrence < 0 || task.Occurrence >= k.job.Occurrences() {
		return nil
	}
	s := &k.job.Steps[task.Step]
	if task.Index < 0 || task.Index >= s.Count {
		return nil
	}
	return s
}

// ended notes that a unit is done.
func (k *knownJob) ended(unit workflow.TaskID, now time.Time) {
	if k.done[unit] {
		return
	}
	k.done[unit] = true
	k.stepDone[unit.StepID]++
	if len(k.done) == k.units() {
		k.finished = now
	}
}

// waitsFor returns the number of a step that the task's step has to wait for, -1
// when there is none.
func (k *knownJob) waitsFor(task workflow.TaskID) int {
	for _, d := range k.job.Steps[task.Step].DependsOn {
		before := task.StepID
		before.Step = d
		if k.stepDone[before] < unitsOf(&k.job.Steps[d]) {
			return d
		}
	}
	return -1
}

func (f *Fleet) stepOf(task workflow.TaskID) *workflow.Step { return f.jobs[task.Job].step(task) }

// Know registers a job that was handed in, the pool that a configuration sends
// it to, and how many runs of a task may fail (0 is without bound). Called
// again it adds a pool and sets the attempts. The job must not change any more.
func (f *Fleet) Know(job *workflow.Job, pool string, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job.ID]
	if k == nil {
		k = &knownJob{
			job:      job,
			pools:    map[string]bool{},
			done:     map[workflow.TaskID]bool{},
			stepDone: map[workflow.StepID]int{},
			begun:    map[workflow.TaskID]int{},
		}
		f.jobs[job.ID] = k
	}
	k.pools[pool], k.attempts = true, attempts
}

// Refused tells that all attempts to hand a job in were rejected.
func (f *Fleet) Refused(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job]
	if k == nil {
		return
	}
	k.refused = true
	if !k.first.IsZero() {
		f.judge.record(RuleUnasked, workflow.TaskID{StepID: workflow.StepID{Job: job}}, 0, "", "the job was refused but has started")
	}
}

// Cancelled tells that the cancelling of a job was acknowledged just now.
func (f *Fleet) Cancelled(job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job]
	if k == nil || !k.cancelled.IsZero() {
		return
	}
	k.cancelled = time.Now()
	f.judge.watchCancelled(k)
}

// JobProgress is how far a job is by what its workers did. Times are zero for
// what hasn't happened.
type JobProgress struct {
	// Started is when the first task began, Finished when the last one was done.
	Started, Finished time.Time
	// Failed is set when a task, or a gang, has used up its attempts.
	Failed bool
	// Done and Units count the tasks (a gang is one) that are done, and all.
	Done, Units int
}

// Progress returns how far a job is, and false for one that isn't known.
func (f *Fleet) Progress(job string) (JobProgress, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.jobs[job]
	if k == nil {
		return JobProgress{}, false
	}
	return JobProgress{k.first, k.finished, k.failed, len(k.done), k.units()}, true
}
