package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// job is the dispatcher's state of an accepted job.
type job struct {
	def *workflow.Job
	// longRunning is set if the job runs until it is cancelled.
	longRunning bool
	offset      int64
	// queue is the policy under which the job was accepted.
	queue workflow.Queue
	// queueKnown is false while the queue isn't in the catalog.
	queueKnown bool
	// occurrences holds the occurrences that are due and not finished, by number.
	occurrences []*occurrence
	// nextOccurrence is the number of the next occurrence to become due.
	nextOccurrence int
	// All occurrences before finishedBefore are finished, and those in
	// finishedLater.
	finishedBefore int
	finishedLater  map[int]bool
	finalState     workflow.State
	endedAt        int64
	// cancelled jobs get no more starts.
	cancelled bool
	// excess is set if the job is beyond the rate of its account. excessOrder then orders it
	// among the excess jobs.
	excess      bool
	excessOrder int64
	// ordered is set once the start of a task was ordered, begun once a worker has shown that
	// it began one. Only begun is shown to callers.
	ordered, begun bool
	dirty          bool
	// finalRecorded is set once the final state is in the log.
	finalRecorded bool
	// expected holds the run times expected of the steps, criticalPath that of their longest
	// chain, in milliseconds, as of when the queue was set.
	expected     []int64
	criticalPath int64
	// remaining is the result of remainingPath in the round remainingRound.
	remaining, remainingRound int64
	// objective is when the job should be complete, in Unix milliseconds.
	objective int64
	// horizon is when the job is no longer of use, in Unix milliseconds.
	horizon int64
	// failedOn is a worker on which a task failed, empty if one was done since.
	// failedOnSeveral is set once tasks have failed on other workers, too.
	failedOn        string
	failedOnSeveral bool
	// restored is recorded progress that is not applied to occurrences yet.
	restored map[int]workflow.OccurrenceProgress
}

func (j *job) ended() bool { return j.cancelled || j.finalState != "" }

// occurrence is one execution of a job's steps.
type occurrence struct {
	job       *job
	number    int
	steps     []*step
	stepsLeft int
	// liveTasks counts the tasks of its steps that have a state of their own.
	liveTasks int
	// waitingSince is since when it could have been started, also under previous leaders.
	waitingSince time.Duration
	// pathEnds is reused by remainingPath.
	pathEnds []int64
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	def        *workflow.Step
	index      int
	tasks      stepTasks
	// blockers counts the dependencies that are not finished.
	blockers int
	// readyAt is when the step became ready.
	readyAt time.Duration
	ready   bool
	// queued is set while the step is in the list of waiting steps.
	queued bool
	// limited is set if its account may start none of its tasks now, overShare if its account
	// uses more than its share, both as of the current pass.
	limited, overShare bool
	// late is set if its job can't meet its objective any more, class ranks its job, both as
	// of the current pass.
	late  bool
	class int
	// overdue is set if one of its long-running tasks has waited for too long.
	overdue bool
	// runsPerWorker counts the live runs by worker, for steps that bound them.
	runsPerWorker map[*host]int
	// candidates are the candidate workers as of candidatesRound.
	candidates      []*host
	candidatesRound int64
	// nextPreempt is when work may next be stopped for the step.
	nextPreempt time.Duration
	advice      advice
	gang        gang
	// typical is how long the step's tasks take, as of typicalAt.
	typical, typicalAt time.Duration
	lastWait           waitReport
}

func (s *step) id() workflow.StepID {
	return workflow.StepID{Job: s.occurrence.job.def.ID, Occurrence: s.occurrence.number, Step: s.index}
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// failures counts the runs that ended as failed.
	failures int
	// crashes is unused for the tasks of a gang.
	crashes crashHistory
	// checkpoint is the newest checkpoint.
	checkpoint string
	// runs holds the live runs: starting, running or being stopped.
	runs []*run
	// starts counts the task's starts in this term, to number them.
	starts int64
	// runTime is how long a full run took, as of the run that ended as done.
	runTime time.Duration
	// avoidHost is the worker on which the task failed last. It isn't used at all
	// until avoidUntil.
	avoidHost  *host
	avoidUntil time.Duration
	// notBefore delays the next start.
	notBefore time.Duration
	// waitingSince is when the task last began to wait.
	waitingSince time.Duration
}

func (t *task) id() workflow.TaskID { return workflow.TaskID{StepID: t.step.id(), Index: t.index} }

// pending reports whether the task should be started as soon as it fits.
func (t *task) pending(now time.Duration) bool {
	return !t.done && len(t.runs) == 0 && now >= t.notBefore && !t.awaitsCrashRecord(now)
}

// waitTime is how long the task has waited for a start since its step became ready.
func (c *Core) waitTime(t *task) time.Duration { return c.now - max(t.step.readyAt, t.waitingSince) }

func (t *task) dropRun(r *run) {
	for i, x := range t.runs {
		if x == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			return
		}
	}
}

// newOccurrence returns the state of occurrence k with its recorded progress. Its tasks
// have waited since the given time.
func newOccurrence(j *job, k int, since time.Duration) *occurrence {
	o := &occurrence{job: j, number: k, steps: make([]*step, len(j.def.Steps)), waitingSince: since}
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		s := &step{occurrence: o, def: def, index: i, blockers: len(def.DependsOn)}
		if def.MaxPerWorker > 0 {
			s.runsPerWorker = map[*host]int{}
		}
		o.steps[i] = s
	}
	o.stepsLeft = len(o.steps)
	return o
}

// dropOccurrence forgets an occurrence that is finished or of a job that has ended.
func (j *job) dropOccurrence(o *occurrence) {
	if i := slices.Index(j.occurrences, o); i >= 0 {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
	}
}

// restoreOccurrence applies the recorded progress of an occurrence.
func (c *Core) restoreOccurrence(o *occurrence, p workflow.OccurrenceProgress) {
	for i := range p.Steps {
		if n := p.Steps[i].Step; n >= 0 && n < len(o.steps) {
			c.restoreStep(o.steps[n], &p.Steps[i])
		}
	}
}

func (c *Core) restoreStep(s *step, p *workflow.StepProgress) {
	for i := range min(8*len(p.Done), s.count()) {
		if p.Done.Has(i) {
			s.markDone(i)
		}
	}
	unfinished := func(i int) *task {
		if i < 0 || i >= s.count() || s.tasks.done.has(i) {
			return &task{step: s} // there is nothing to restore
		}
		t := s.task(i)
		c.keep(t)
		return t
	}
	for i, n := range p.Failures {
		unfinished(i).failures = n
	}
	for i, n := range p.Crashes {
		unfinished(i).crashes.restore(n, p.Trials.Has(i))
	}
	for i := range 8 * len(p.Trials) {
		if p.Trials.Has(i) {
			unfinished(i).crashes.restore(p.Crashes[i], true)
		}
	}
	for i, checkpoint := range p.Checkpoints {
		unfinished(i).checkpoint = checkpoint
	}
	if s.def.Gang {
		s.gang.failures, s.gang.checkpoint = p.Failures[0], p.Checkpoints[0]
		s.gang.crashes.restore(p.Crashes[0], p.Trials.Has(0))
	}
	if s.finished() {
		s.occurrence.stepsLeft--
		s.occurrence.unblockDependents(s)
	}
}

// unblockDependents decrements the blockers of the steps that depend on a finished
// step.
func (o *occurrence) unblockDependents(done *step) {
	for _, s := range o.steps[done.index+1:] {
		for _, d := range s.def.DependsOn {
			if d == done.index {
				s.blockers--
			}
		}
	}
}

// maxListedFinished is how many finished occurrences are listed one by one, as versions that
// don't know workflow.Progress.FinishedLater read them.
const maxListedFinished = 500

// progress returns the progress of the job that is to be recorded.
func (j *job) progress() workflow.Progress {
	p := workflow.Progress{Ordered: j.ordered, Begun: j.begun, Final: j.finalState, EndedMillis: j.endedAt, FinishedOccurrences: j.finishedBefore}
	if j.finalState != "" {
		return p
	}
	for k := range j.finishedLater {
		if len(j.finishedLater) > maxListedFinished {
			p.FinishedLater.Set(k - j.finishedBefore)
			continue
		}
		p.Occurrences = append(p.Occurrences, workflow.OccurrenceProgress{Number: k, Finished: true})
	}
	for _, o := range j.occurrences {
		if op := o.progress(); len(op.Steps) > 0 {
			p.Occurrences = append(p.Occurrences, op)
		}
	}
	return p
}

func (o *occurrence) progress() workflow.OccurrenceProgress {
	op := workflow.OccurrenceProgress{Number: o.number}
	for _, s := range o.steps {
		if sp, touched := s.progress(); touched {
			op.Steps = append(op.Steps, sp)
		}
	}
	return op
}

// progress returns the step's progress, and false if there is none.
func (s *step) progress() (sp workflow.StepProgress, touched bool) {
	sp = workflow.StepProgress{Step: s.index, Done: s.tasks.done.bitmap()}
	touched = s.tasks.doneCount > 0
	for _, t := range s.tasks.live {
		if t.failures > 0 && !s.def.LongRunning {
			if sp.Failures == nil {
				sp.Failures = map[int]int{}
			}
			sp.Failures[t.index] = t.failures
			touched = true
		}
		if t.crashes.suspicion() > 0 && !t.done {
			addCrashes(&sp, t.index, &t.crashes)
			touched = true
		}
		if t.checkpoint != "" && !t.done {
			if sp.Checkpoints == nil {
				sp.Checkpoints = map[int]string{}
			}
			sp.Checkpoints[t.index] = t.checkpoint
			touched = true
		}
	}
	if s.def.Gang && !s.finished() && (s.gang.failures > 0 || s.gang.checkpoint != "" || s.gang.crashes.suspicion() > 0) {
		addCrashes(&sp, 0, &s.gang.crashes)
		sp.Failures = map[int]int{0: s.gang.failures}
		sp.Checkpoints = map[int]string{0: s.gang.checkpoint}
		touched = true
	}
	return sp, touched
}

func addCrashes(p *workflow.StepProgress, index int, k *crashHistory) {
	crashes, trial := k.recorded()
	if crashes > 0 {
		if p.Crashes == nil {
			p.Crashes = map[int]int{}
		}
		p.Crashes[index] = crashes
	}
	if trial {
		p.Trials.Set(index)
	}
}
