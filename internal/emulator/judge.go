package emulator

import (
	"fmt"
	"slices"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/worker"
	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// speculationGrace is how long after an end was taken note of a copy may start.
const speculationGrace = time.Second

// A task that crashes each worker must not be started startsAfterCrashes times after
// maxCrashes crashes.
const (
	maxCrashes         = 3
	startsAfterCrashes = 3
)

// Rule names a rule of the platform.
type Rule string

// The rules.
const (
	// RuleOvercommit: a start brings a worker over its capacity.
	RuleOvercommit Rule = "overcommit"
	// RuleTwice: two runs of a task at a time, or a start after a done end.
	RuleTwice Rule = "twice"
	// RuleOrder: a start before the steps it depends on, or before its time.
	RuleOrder Rule = "order"
	// RuleRoute: a start in a wrong pool, without a label, or beyond a worker's bound.
	RuleRoute Rule = "route"
	// RuleBudget: a start after the task has failed, or has crashed workers, too often.
	RuleBudget Rule = "budget"
	// RuleAlone: a gang's member waited for the others in vain.
	RuleAlone Rule = "alone"
	// RuleUnasked: a start that nobody asked for, or a run after the cancelling.
	RuleUnasked Rule = "unasked"
	// RuleDrain: a start on a worker that has been draining.
	RuleDrain Rule = "drain"
)

// Breach is one rule broken once. The worker is empty, and the task names the
// job only, where there is no other.
type Breach struct {
	Rule   Rule
	Task   workflow.TaskID
	Run    int64
	Worker string
	Detail string
	At     time.Time
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: task %s run %d on %s: %s", b.Rule, b.Task, b.Run, b.Worker, b.Detail)
}

// startRecord is a start as the judge remembers it, with what it was found
// guilty of.
type startRecord struct {
	run           *run
	sequence      int
	at            time.Time
	twice, budget bool
}

// endRecord is an end that a worker lists.
type endRecord struct {
	unit     workflow.TaskID
	how      worker.ExitStatus
	run      int64
	sequence int
	// noted is when the end was taken note of; void is set when the worker's
	// lease lapsed before that.
	noted time.Time
	void  bool
}

// unit is the history of a task, or of a gang.
type unit struct {
	starts []*startRecord
	ends   []*endRecord
	// crashes counts the workers that crashed under a task, also of a gang, startsAfter
	// its starts after maxCrashes of them.
	crashes, startsAfter int
}

// Judge records the breaches of a fleet. Time-bound rules don't count for
// orders that a worker carried out late. The fleet's lock guards it.
type Judge struct {
	fleet    *Fleet
	sequence int
	units    map[workflow.TaskID]*unit
	breaches []Breach
}

// Breaches returns what was recorded so far, oldest first.
func (j *Judge) Breaches() []Breach {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	return slices.Clone(j.breaches)
}

// Disrupt tells of a disruption elsewhere, such as of the log, that excuses a
// gang's member left alone and a cancelled run that goes on, for Limits.Contact.
func (j *Judge) Disrupt() {
	j.fleet.mu.Lock()
	defer j.fleet.mu.Unlock()
	j.fleet.disrupted = time.Now()
}

func (j *Judge) record(rule Rule, task workflow.TaskID, run int64, worker, format string, args ...any) {
	j.breaches = append(j.breaches, Breach{rule, task, run, worker, fmt.Sprintf(format, args...), time.Now()})
}

func (j *Judge) breach(r *run, rule Rule, format string, args ...any) {
	j.record(rule, r.task, r.number, r.life.cfg.ID, format, args...)
}

func (j *Judge) unit(task workflow.TaskID) *unit {
	u := j.units[task]
	if u == nil {
		u = &unit{}
		j.units[task] = u
	}
	return u
}

// started judges a start; the run isn't in the fleet's lists yet.
func (j *Judge) started(r *run) {
	j.checkAsked(r)
	j.checkRoom(r)
	j.checkDrain(r)
	if r.step == nil {
		return
	}
	k := j.fleet.jobs[r.task.Job]
	if k.first.IsZero() {
		k.first = r.began
	}
	if !k.cancelled.IsZero() {
		j.watchCancelled(k)
	}
	j.checkOrder(r, k)
	j.checkRoute(r, k)
	j.sequence++
	s := &startRecord{run: r, sequence: j.sequence, at: r.began}
	j.checkLive(s)
	u := j.unit(unitOf(r.task, r.step))
	u.starts = append(u.starts, s)
	j.checkCrashes(r)
	j.review(u)
}

func (j *Judge) checkAsked(r *run) {
	k := j.fleet.jobs[r.task.Job]
	limits := j.fleet.cfg.Limits
	switch {
	case r.step == nil:
		j.breach(r, RuleUnasked, "no caller asked for this task")
	case k.refused:
		j.breach(r, RuleUnasked, "the job was refused")
	case r.spec != k.job.Spec:
		j.breach(r, RuleUnasked, "the spec differs")
	case !j.ownCheckpoint(r):
		j.breach(r, RuleUnasked, "checkpoint %q isn't the task's", r.checkpoint)
	case !k.cancelled.IsZero() && !r.late && r.began.Sub(k.cancelled) > limits.CancelBound:
		r.overdue = true
		j.breach(r, RuleUnasked, "started %v after the cancelling", r.began.Sub(k.cancelled))
	}
}

// ownCheckpoint reports whether the value is of the task or its gang, and the
// same as that of the other members.
func (j *Judge) ownCheckpoint(r *run) bool {
	if c := j.fleet.crews[crewKey{r.task.StepID, r.number}]; c != nil && c.members[0].checkpoint != r.checkpoint {
		return false
	}
	if r.checkpoint == "" {
		return true
	}
	p, ok := j.fleet.checkpoints[r.checkpoint]
	return ok && p.unit == unitOf(r.task, r.step)
}

func (j *Judge) checkRoom(r *run) {
	allowed := r.life.allowed(r.late)
	if sum := r.life.used().Add(r.size()); !sum.FitsIn(allowed) {
		j.breach(r, RuleOvercommit, "%+v of %+v", sum, allowed)
	}
}

// allowed returns what starts are held against: a capacity that has shrunk counts only
// after Limits.Contact and a heartbeat, and not for orders that are carried out late.
func (w *life) allowed(late bool) workflow.Size {
	if w.shrunk.IsZero() || !late && time.Since(w.shrunk) > w.fleet.cfg.Limits.Contact+Heartbeat {
		return w.cfg.Capacity
	}
	c, old := w.cfg.Capacity, w.largest
	return workflow.Size{MilliCPU: max(c.MilliCPU, old.MilliCPU), MemoryMiB: max(c.MemoryMiB, old.MemoryMiB), Accelerators: max(c.Accelerators, old.Accelerators)}
}

// crashed counts the crash of a worker under a run. A task with two of them may be given
// up.
func (j *Judge) crashed(r *run) {
	if r.step == nil {
		return
	}
	u, k := j.unit(r.task), j.fleet.jobs[r.task.Job]
	if u.crashes++; u.crashes >= 2 {
		k.failed = true
	}
}

// checkCrashes finds the third start after the third crash under a task that crashes
// each worker.
func (j *Judge) checkCrashes(r *run) {
	u := j.unit(r.task)
	if u.crashes < maxCrashes || j.fleet.cfg.Work(r.task).CrashAfter == 0 || r.late {
		return
	}
	if u.startsAfter++; u.startsAfter == startsAfterCrashes {
		j.breach(r, RuleBudget, "%d workers had crashed under it, and it was started %d times more", u.crashes, u.startsAfter)
	}
}

func (j *Judge) checkDrain(r *run) {
	drains := r.life.drains
	if !drains.IsZero() && !r.late && r.began.Sub(drains) > j.fleet.cfg.Limits.DrainBound {
		j.breach(r, RuleDrain, "started %v after the draining", r.began.Sub(drains))
	}
}

func (j *Judge) checkOrder(r *run, k *knownJob) {
	if d := k.waitsFor(r.task); d >= 0 {
		j.breach(r, RuleOrder, "step %d isn't done", d)
		return
	}
	early := time.Duration(k.job.DueMillis(r.task.Occurrence)-r.began.UnixMilli()) * time.Millisecond
	if k.job.ScheduledOccurrences > 0 && early > j.fleet.cfg.Limits.Early {
		j.breach(r, RuleOrder, "%v before its time", early)
	}
}

func (j *Judge) checkRoute(r *run, k *knownJob) {
	same := 0
	for _, o := range r.life.runs {
		if o.task.StepID == r.task.StepID {
			same++
		}
	}
	switch most := r.step.MaxPerWorker; {
	case !k.pools[r.life.cfg.Pool]:
		j.breach(r, RuleRoute, "pool %q", r.life.cfg.Pool)
	case r.step.Requires != "" && !slices.Contains(r.life.cfg.Labels, r.step.Requires):
		j.breach(r, RuleRoute, "the worker lacks label %q", r.step.Requires)
	case most > 0 && same >= most:
		j.breach(r, RuleRoute, "%d tasks of the step run there, at most %d may", same+1, most)
	}
}

// checkLive looks for another run of the task that goes on.
func (j *Judge) checkLive(s *startRecord) {
	others := j.fleet.live[s.run.task]
	if len(others) == 0 || s.run.step.Speculative {
		return
	}
	s.twice = true
	j.breach(s.run, RuleTwice, "run %d goes on on %s", others[0].number, others[0].life.cfg.ID)
}

// ended notes an end that a worker lists.
func (j *Judge) ended(r *run, how worker.ExitStatus) *endRecord {
	j.sequence++
	e := &endRecord{unit: unitOf(r.task, r.step), how: how, run: r.number, sequence: j.sequence}
	if r.step == nil {
		return e
	}
	u := j.unit(e.unit)
	u.ends = append(u.ends, e)
	k := j.fleet.jobs[r.task.Job]
	if how == worker.Done {
		k.ended(e.unit, time.Now())
	}
	if how == worker.Failed && !r.step.LongRunning && k.attempts > 0 {
		k.failed = k.failed || u.failures(func(*endRecord) bool { return true }) >= k.attempts
	}
	return e
}

// noted judges anew what began after an end that is taken note of.
func (j *Judge) noted(e *endRecord) {
	if e.void {
		return
	}
	e.noted = time.Now()
	if u := j.units[e.unit]; u != nil {
		j.review(u)
	}
}

// failures counts the runs with a failed end that counts.
func (u *unit) failures(counts func(*endRecord) bool) int {
	runs := map[int64]bool{}
	for _, e := range u.ends {
		if e.how == worker.Failed && counts(e) {
			runs[e.run] = true
		}
	}
	return len(runs)
}

// review holds each start against the ends before it that were taken note of.
func (j *Judge) review(u *unit) {
	for _, s := range u.starts {
		r, k := s.run, j.fleet.jobs[s.run.task.Job]
		before := func(e *endRecord) bool {
			if r.step.Speculative {
				return !r.late && !e.noted.IsZero() && s.at.Sub(e.noted) > speculationGrace
			}
			return !e.noted.IsZero() && e.sequence < s.sequence
		}
		done := slices.ContainsFunc(u.ends, func(e *endRecord) bool { return e.how == worker.Done && before(e) })
		if done && !s.twice {
			s.twice = true
			j.breach(r, RuleTwice, "the task had ended done")
		}
		if k.attempts > 0 && !r.step.LongRunning && !s.budget && u.failures(before) >= k.attempts {
			s.budget = true
			j.breach(r, RuleBudget, "%d runs had failed", k.attempts)
		}
	}
}

// alone judges a gang of which not all members came.
func (j *Judge) alone(c *crew, first *run) {
	k := j.fleet.jobs[first.task.Job]
	waited := time.Since(first.began)
	if !k.cancelled.IsZero() || j.fleet.disturbed(waited+j.fleet.cfg.Limits.Contact) {
		return
	}
	j.breach(first, RuleAlone, "%d of %d tasks came", c.present(), c.step.Count)
}

// watchCancelled looks for runs that go on too long after their job's
// cancelling, once nothing has been disturbed for long enough.
func (j *Judge) watchCancelled(k *knownJob) {
	limits := j.fleet.cfg.Limits
	bound := limits.CancelBound + limits.StopTimeout
	time.AfterFunc(bound+time.Millisecond, func() {
		j.fleet.mu.Lock()
		defer j.fleet.mu.Unlock()
		if j.overdue(k, bound) {
			j.watchCancelled(k)
		}
	})
}

// overdue records the runs that are too late, and reports whether to look again.
func (j *Judge) overdue(k *knownJob, bound time.Duration) bool {
	disturbed := j.fleet.disturbed(bound)
	again := false
	for task, runs := range j.fleet.live {
		if task.Job != k.job.ID {
			continue
		}
		for _, r := range runs {
			since := r.began
			if since.Before(k.cancelled) {
				since = k.cancelled
			}
			switch {
			case r.overdue:
			case disturbed || time.Since(since) <= bound:
				again = true
			default:
				r.overdue = true
				j.breach(r, RuleUnasked, "runs on %v after the cancelling", time.Since(k.cancelled))
			}
		}
	}
	return again
}
