package dispatch

import (
	"fmt"
	"time"

	"github.com/mimosaspool/mimosaspool/internal/workflow"
)

// A task may crash each worker that starts it, and takes with it all that runs
// there. Nothing tells which of the runs did it, so that each crash makes all of
// them suspects:
//
//   - After one crash, a task is started where the least other work is at risk, and
//     for trialTime nothing else is started there before or after it. A crash within
//     that time convicts it.
//   - After isolationCrashes, it runs alone. A crash then convicts it.
//   - After maxCrashes, the most suspected of the tasks there is convicted, and each
//     that was started shortly before all of its crashes.
//   - Only crashes under runs that are known to have begun convict. Starts that may have
//     been carried out make a task suspected, but not guilty.
//   - A convicted task's job has failed. The crashes under it are explained, and count
//     no longer for the tasks beside it.
//
// The start of a suspect is a trial, which is in the log before the start. If the log
// can't be written, only the more suspected tasks wait for it for long. Unless the run
// shows up, the next leader takes it that it may have crashed its worker.
//
// A long-running task that has been at work for settleTime is no suspect, as it is
// on its worker for long and sees many crashes.

// lossCause says how a run came to be lost.
type lossCause string

const (
	// lossCrash: the incarnation of its worker ended without notice.
	lossCrash lossCause = "crash"
	// lossDeparture: its worker left, or was taken away.
	lossDeparture lossCause = "departure"
	// lossLease: its lease expired while the worker was silent.
	lossLease lossCause = "lease-expired"
	// lossUnlisted: its worker goes on without it.
	lossUnlisted lossCause = "unlisted"
)

const (
	// minCrashes is how many unexplained crashes a conviction takes at least, maxCrashes
	// how many convict the most suspected task in any case.
	minCrashes, maxCrashes = 2, 3
	// isolationCrashes is the number of crashes from which on a task runs alone.
	isolationCrashes = 2
	// isolationTime is how long nothing else is started beside a task that runs alone.
	isolationTime = 5 * time.Second
	// maxIsolationWait bounds the wait of a suspect for a worker where a crash would be
	// conclusive.
	maxIsolationWait = 1500 * time.Millisecond
	// trialTime is how long nothing is started on the worker of a suspect, before its
	// start and after.
	trialTime = 300 * time.Millisecond
	// settleTime is how long a long-running task must have been at work so that it is
	// not suspected of a crash.
	settleTime = 5 * time.Second
	// rackFailureWindow is the time between crashes in a rack within which they are
	// taken for a failure of the rack.
	rackFailureWindow = time.Second
)

// crash is the crash of a worker with the tasks that may have caused it.
type crash struct {
	suspects  []suspect
	explained bool
}

// suspect is a task under which a worker has crashed.
type suspect struct {
	task *task
	// begun is set if its run is known to have begun.
	begun bool
}

// crashHistory holds the crashes of workers under a task or, for a gang, under any
// of its tasks.
type crashHistory struct {
	// count is how many workers have crashed under runs that had begun, for an unknown
	// cause, possible under runs that may have begun.
	count, possible int
	// crashes holds those of this term.
	crashes []*crash
	// trial is set while the suspect is being started, or runs.
	trial bool
	// presumed is set while possible includes a trial of a previous leader of which nothing
	// has been seen.
	presumed bool
	// unrecorded is set while the log lacks a change.
	unrecorded bool
	// early is how many crashes came shortly after its run had begun, explained or not.
	early int
	// lastRun is the run that was counted last. The tasks of a gang share it.
	lastRun int64
	// machine is where the last crash was, or empty if a previous leader saw it.
	machine string
}

// crashHistory returns the crashes under the task or its gang.
func (t *task) crashHistory() *crashHistory {
	if t.step.def.Gang {
		return &t.step.gang.crashes
	}
	return &t.crashes
}

// suspicion is how many workers may have crashed under it, for an unknown cause.
func (k *crashHistory) suspicion() int { return k.count + k.possible }

// sameUnit reports whether the tasks are the same one, or of one gang.
func sameUnit(a, b *task) bool { return a == b || a.step == b.step && a.step.def.Gang }

// rackCrash is the crash of a worker of a rack.
type rackCrash struct {
	rack string
	at   time.Duration
}

// machine identifies the worker's machine over its incarnations.
func (h *host) machine() string {
	if h.info.Machine != "" {
		return h.info.Machine
	}
	return h.info.ID
}

// settled reports whether the run can't be the cause of a crash of its worker.
func (r *run) settled() bool {
	return r.task.step.def.LongRunning && r.host.lastContact-r.beganAt >= settleTime
}

// mayHaveBegun reports whether the worker may have carried out the run's start before
// it crashed.
func (r *run) mayHaveBegun() bool {
	return r.host.refusedSince == 0 || r.state != starting || r.unconfirmed || r.orderSentAt < r.host.refusedSince
}

// recordCrash counts the crash of a worker for the tasks that may have caused it, and
// returns those that are convicted.
func (c *Core) recordCrash(h *host) []*task {
	if len(h.runs) == 0 {
		return nil
	}
	var suspects []*run
	alone, newest := true, time.Duration(0)
	for _, r := range h.sortedRuns() {
		newest = max(newest, r.sentAt)
		switch {
		case r.task == nil || r.carriedOver:
			alone = false
		case r.settled():
			*r.task.crashHistory() = crashHistory{}
		case r.mayHaveBegun():
			suspects = append(suspects, r)
			alone = alone && sameUnit(r.task, suspects[0].task)
		}
	}
	c.recordDecision(Decision{Kind: "worker-crashed", Worker: h.info.ID, Age: c.now - h.lastContact,
		Reason: fmt.Sprintf("%d runs, the newest sent %d ms before its last answer", len(h.runs), (h.lastContact - newest).Milliseconds())})
	if c.rackFails(h) {
		return c.findCulprits(suspects, nil)
	}
	if alone && len(suspects) > 0 {
		return c.findCulprits(suspects, suspects[0].task)
	}
	return c.findCulprits(suspects, h.onTrial())
}

// onTrial returns the task of which the crash of its worker shows that it caused it:
// nothing else was started there shortly before the crash. It is nil if there is none.
func (h *host) onTrial() *task {
	var found *task
	for _, r := range h.sortedRuns() {
		switch age := r.ageAtCrash(); {
		case age >= 2*trialTime:
		case age >= trialTime || r.task == nil || found != nil && !sameUnit(r.task, found):
			return nil
		default:
			found = r.task
		}
	}
	return found
}

// ageAtCrash returns the time from the run's start to the crash of its worker: until calls
// were refused or, of a worker that fell silent, until its last answer.
func (r *run) ageAtCrash() time.Duration {
	if r.host.refusedSince > 0 {
		return r.host.refusedSince - r.sentAt
	}
	return max(r.host.lastContact-r.sentAt, 0)
}

// findCulprits counts a crash under its suspects and returns the tasks that are
// convicted. The crash tells of the prime suspect, if there is one, that it caused it.
func (c *Core) findCulprits(suspects []*run, prime *task) []*task {
	event := &crash{}
	var convicted []*task
	var culprit *run
	for _, r := range suspects {
		if r.task.done || r.task.step.occurrence.job.ended() {
			continue
		}
		k := r.task.crashHistory()
		elsewhere := k.machine != r.host.machine()
		if !c.countCrash(r, event) {
			continue
		}
		switch {
		case k.count < minCrashes:
		case prime != nil && sameUnit(r.task, prime) && elsewhere, k.early >= maxCrashes:
			convicted = append(convicted, r.task)
		case k.suspicion() >= maxCrashes && (culprit == nil || moreSuspected(r, culprit)):
			culprit = r
		}
	}
	if len(convicted) == 0 && culprit != nil {
		convicted = append(convicted, culprit.task)
	}
	return convicted
}

// moreSuspected reports whether a run's task is more likely to have caused a crash. Most
// tasks that crash their worker do it soon after their start.
func moreSuspected(a, b *run) bool {
	if x, y := a.task.crashHistory().suspicion(), b.task.crashHistory().suspicion(); x != y {
		return x > y
	}
	return a.sentAt > b.sentAt
}

// countCrash counts a crash under the run's task and reports whether it did. It counts
// once for a gang.
func (c *Core) countCrash(r *run, event *crash) bool {
	k := r.task.crashHistory()
	if k.lastRun == r.number {
		return false
	}
	if !r.begun {
		k.possible++
	} else if k.count++; r.ageAtCrash() < trialTime {
		k.early++
	}
	k.trial, k.presumed = false, false
	k.lastRun, k.machine = r.number, r.host.machine()
	k.crashes = append(k.crashes, event)
	event.suspects = append(event.suspects, suspect{r.task, r.begun})
	c.recordCrashHistory(r.task)
	return true
}

// recordCrashHistory records the crashes under the task at once.
func (c *Core) recordCrashHistory(t *task) {
	c.markDirty(t.step.occurrence.job)
	c.commits.recordCrash(t.crashHistory())
}

// awaitsCrashRecord reports whether the task must not be started yet, since a next leader
// would not know of the crashes under it or of its trial.
func (t *task) awaitsCrashRecord(now time.Duration) bool {
	k := t.crashHistory()
	return k.unrecorded && (k.suspicion() >= isolationCrashes || k.early > 0 || k.suspicion() > 0 && now-max(t.step.readyAt, t.waitingSince) < maxIsolationWait)
}

// openTrial prepares the start of a task for which there is a worker. It reports whether
// the task may be started now.
func (c *Core) openTrial(t *task) bool {
	k := t.crashHistory()
	if k.suspicion() == 0 {
		return true
	}
	if k.presumed {
		k.presumed = false
		if k.count >= minCrashes && k.suspicion() >= maxCrashes {
			c.giveUp(t)
			return false
		}
	}
	if !k.trial {
		k.trial = true
		c.recordCrashHistory(t)
	}
	return !t.awaitsCrashRecord(c.now)
}

// closeTrial notes that the run of a suspect is over, or was never started.
func (c *Core) closeTrial(t *task) {
	if k := t.crashHistory(); k.trial {
		k.trial = false
		c.markDirty(t.step.occurrence.job)
	}
}

// trialSeen notes that a run of a previous leader has shown up, running or ended.
func (t *task) trialSeen(runs bool) {
	if k := t.crashHistory(); k.presumed {
		k.possible--
		k.presumed, k.trial = false, runs
	}
}

// restore sets what a previous leader has recorded.
func (k *crashHistory) restore(crashes int, trial bool) {
	k.count, k.early, k.presumed = crashes, crashes, trial
	if trial {
		k.possible = 1
	}
}

// recorded returns what the log is to have.
func (k *crashHistory) recorded() (crashes int, trial bool) {
	return k.count, k.trial || k.possible > 0
}

// giveUp fails the job of a task that crashes workers. The crashes under it are
// explained.
func (c *Core) giveUp(t *task) {
	k := t.crashHistory()
	if t.step.occurrence.job.ended() {
		return
	}
	c.reasons["job-given-up"]++
	c.finishJob(t.step.occurrence.job, workflow.Failed, fmt.Sprintf("%d workers have crashed under task %s", k.count, t.id()))
	for _, event := range k.crashes {
		if event.explained {
			continue
		}
		event.explained = true
		for _, x := range event.suspects {
			if !sameUnit(x.task, t) {
				x.acquit()
				c.markDirty(x.task.step.occurrence.job)
			}
		}
	}
}

// acquit takes back that a crash counts for the suspect.
func (x *suspect) acquit() {
	k := x.task.crashHistory()
	if x.begun {
		k.count = max(k.count-1, 0)
	} else {
		k.possible = max(k.possible-1, 0)
	}
}

// rackFails reports whether other workers of the rack have failed at about the same
// time, and records the crash.
func (c *Core) rackFails(h *host) bool {
	rack, fails := h.info.Rack(), false
	kept := c.rackCrashes[:0]
	for _, x := range c.rackCrashes {
		if c.now-x.at < rackFailureWindow {
			kept = append(kept, x)
			fails = fails || x.rack == rack
		}
	}
	c.rackCrashes = append(kept, rackCrash{rack, c.now})
	for _, x := range c.sortedHosts {
		// A worker that has never answered may be an outdated entry.
		fails = fails || x != h && x.clock > 0 && x.unanswered > 0 && x.info.Rack() == rack
	}
	return fails
}

// keptApart reports whether the task must not be started on the worker, so that a
// crash hits little else and shows which task caused it.
func (c *Core) keptApart(t *task, h *host) bool {
	crashes := t.crashHistory().suspicion()
	if crashes == 0 && h.suspectRuns == 0 {
		return false
	}
	patient := c.waitTime(t) < maxIsolationWait
	for _, r := range h.runs {
		if r.task == nil || sameUnit(r.task, t) {
			continue
		}
		age := c.now - r.sentAt
		switch {
		case crashes >= isolationCrashes && patient && !r.settled():
			return true
		case r.crashesBefore >= isolationCrashes && age < isolationTime:
			return true
		case age < trialTime && (r.crashesBefore > 0 || crashes > 0 && patient):
			return true
		}
	}
	return false
}
