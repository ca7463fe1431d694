package dispatch

import "time"

// A task may crash each worker that starts it, and takes with it all that runs
// there. Nothing tells which of the runs did it, so that each crash makes all of
// them suspects. Later crashes tell which one it was:
//
//   - After one crash, a task is started where the least other work is at risk, and
//     for trialTime nothing else is started there before or after it. A crash within
//     that time is attributed to it.
//   - From isolationCrashes on, it runs alone, and a crash is attributed to it.
//   - From maxCrashes on, a crash is attributed to the most suspected of the tasks
//     there, and to each that was started shortly before all of its crashes.
//   - While workers crash for other causes as well, more crashes are needed, so that
//     those under the task are unlikely to be a coincidence.
//   - Only crashes under runs that are known to have begun are attributed. Starts that
//     may have been carried out make a task suspected, no more.
//   - The job of a task that a crash is attributed to has failed. All crashes under the
//     task count no longer for the tasks beside it.
//
// The start of a suspect is a trial, which is in the log before the start. If the log
// can't be written, only the more suspected tasks wait for it for long. Unless the run
// shows up, the next leader assumes that it may have crashed its worker.
//
// A long-running task that has been at work for settleTime is no suspect, as it is
// on its worker for long and sees many crashes.

const (
	// minCrashes is how many crashes there must be under a task before one is attributed
	// to it, maxCrashes how many suffice without other evidence.
	minCrashes, maxCrashes = 2, 3
	// maxCoincidence is the probability above which the crashes under a task may as well
	// have had other causes. The rate of crashes is taken over crashRateWindow, with
	// minOtherCrashes more than there were; minExposure is the least time that counts
	// between a start and a crash.
	maxCoincidence  = 0.002
	crashRateWindow = 10 * time.Second
	minOtherCrashes = 0.5
	minExposure     = 20 * time.Millisecond
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
)

// crashHistory holds the crashes of workers under a task or, for a gang, under any
// of its tasks.
type crashHistory struct {
	// count is how many workers have crashed under runs that had begun, for an unknown
	// cause, possible under runs that may have begun.
	count, possible int
	// crashes holds those of this term, ages the times from the starts to the crashes.
	crashes []*crash
	ages    []time.Duration
	// trial is set while the suspect is being started, or runs.
	trial bool
	// presumed is set while possible includes a trial of a previous leader of which nothing
	// has been seen.
	presumed bool
	// unrecorded is set while the log lacks a change.
	unrecorded bool
	// early is how many crashes came shortly after the start of its run, also those that
	// are attributed to another task.
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

// onTrial returns the task of which the crash of its worker shows that it caused it:
// nothing else was started there shortly before the crash. It is nil if there is none.
func (c *Core) onTrial(h *host) *task {
	var found *task
	for _, r := range h.sortedRuns() {
		switch age := c.ageAtCrash(r); {
		case age >= 2*trialTime:
		case age >= trialTime || r.task == nil || found != nil && !sameUnit(r.task, found):
			return nil
		default:
			found = r.task
		}
	}
	return found
}

// ageAtCrash returns an upper bound of the time from the run's start to the crash of its
// worker, which is noticed now at the latest.
func (c *Core) ageAtCrash(r *run) time.Duration {
	if r.host.refusedSince > 0 {
		return r.host.refusedSince - r.sentAt
	}
	return c.now - r.sentAt
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
