package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// waitReport is the last reported reason why a step waits.
type waitReport struct {
	at     time.Duration
	reason string
}

const (
	// waitReportAfter is how long a step waits before the reason is reported.
	waitReportAfter = time.Second
	// waitReportInterval is how often the reason is checked again. Only a change is
	// reported.
	waitReportInterval = 3 * time.Second
	// maxWaitReports bounds the steps of a pass whose reasons are looked for.
	maxWaitReports = 100
)

// Reasons why tasks wait, in addition to those of single workers.
const (
	reasonNoQueue  = "queue-unknown"
	reasonTakeover = "takeover"
	reasonBackoff  = "backoff"
	reasonRecord   = "unrecorded-crash"
	reasonNoWorker = "no-worker"
	reasonLimit    = "account-limit"
	reasonTasks    = "task-limit"
)

// reportWait reports a decision about why a step still waits, if it has waited for
// long and the reason has changed.
func (c *Core) reportWait(s *step) {
	if c.now-s.readyAt < waitReportAfter || c.now-s.lastWait.at < waitReportInterval && s.lastWait.at != 0 {
		return
	}
	if c.waitReports++; c.waitReports > maxWaitReports {
		return
	}
	s.lastWait.at = c.now
	t := s.firstPendingTask(c.now)
	if t == nil {
		return // all tasks run, or their last runs are being stopped
	}
	reason, detail := c.waitReason(t)
	if reason == s.lastWait.reason {
		return
	}
	s.lastWait.reason = reason
	needs := ""
	if slices.Contains(refusals, reason) {
		needs = c.describeNeeds(s)
	}
	c.recordDecision(Decision{Kind: "job-waits", Job: s.occurrence.job.def.ID, Task: t.id().String(), Outcome: reason, Reason: detail,
		Needs: needs, Age: c.waitTime(t)})
}

// describeNeeds describes what a step requests, and how many workers of its pool
// could run one of its tasks if they were empty.
func (c *Core) describeNeeds(s *step) string {
	z, able := s.def.ReservedSize(), 0
	for _, h := range c.pools[s.occurrence.job.queue.Pool] {
		if h.hasLabel(s.def.Requires) && z.FitsIn(h.info.Capacity) {
			able++
		}
	}
	together := ""
	if s.def.Gang {
		together = " at once"
	}
	return fmt.Sprintf("%d tasks%s, each %g cores, %d MiB, %d accelerators; workers large enough: %d", s.def.Count, together,
		float64(z.MilliCPU)/1000, z.MemoryMiB, z.Accelerators, able)
}

// firstPendingTask returns a task without a run, preferably one that may start now.
func (s *step) firstPendingTask(now time.Duration) *task {
	var found *task
	for t := range s.unfinished() {
		if t.pending(now) {
			return t
		}
		if found == nil && len(t.runs) == 0 {
			found = t
		}
	}
	return found
}

// waitReason returns what keeps a task from starting: the most frequent reason among
// the workers, with the counts of all reasons as the detail.
func (c *Core) waitReason(t *task) (reason, detail string) {
	j := t.step.occurrence.job
	switch {
	case !j.queueKnown:
		return reasonNoQueue, ""
	case c.barrier && c.mayPredateTerm(j):
		return reasonTakeover, "a former holder's runs may be unseen"
	case c.now < t.notBefore:
		return reasonBackoff, strconv.Itoa(t.failures) + " failed attempts"
	}
	if n := t.step.startsTogether(); !c.withinLimit(t.step, n) {
		return reasonLimit, c.describeLimit(t.step, n)
	}
	if n := t.step.unstartedCount(); n > 0 && !c.mayStart(t.step, min(n, t.step.startsTogether())) {
		return reasonTasks, strconv.FormatInt(c.liveTasks.Held(), 10) + " tasks have been started and are not done"
	}
	if t.awaitsCrashRecord(c.now) {
		return reasonRecord, strconv.Itoa(t.crashHistory().suspicion()) + " workers may have crashed under it"
	}
	pool := c.pools[j.queue.Pool]
	counts := map[string]int{}
	for _, h := range pool {
		counts[c.refusal(t, h)]++
	}
	if len(pool) == 0 {
		return reasonNoWorker, "pool " + j.queue.Pool
	}
	for _, r := range refusals {
		n := counts[r]
		if n == 0 {
			continue
		}
		if detail != "" {
			detail += ", "
		}
		detail += r + " " + strconv.Itoa(n)
		if n > counts[reason] || reason == "" {
			reason = r
		}
	}
	return reason, detail + ", of " + strconv.Itoa(len(pool)) + " workers"
}

// startsTogether returns how many tasks of the step start at the same time. The members of a
// gang that have a run already do not start again.
func (s *step) startsTogether() int {
	if !s.def.Gang {
		return 1
	}
	return s.count() - s.withRuns()
}

// describeLimit describes the usage and the limit of the step's account.
func (c *Core) describeLimit(s *step, n int) string {
	name := s.occurrence.job.def.Account
	used := c.accounts.usage.Used(name)
	return fmt.Sprintf("account %s uses %v of %v, and may have %v unseen; the step needs %v more", name, used,
		vectorOf(c.catalog.Accounts[name].Maximum), c.accounts.usage.Unseen(name), vectorOf(s.def.Size).Scale(int64(n)))
}

// refusals are the reasons why a worker doesn't get a task, in the order in which
// they are checked.
var refusals = []string{"unusable", "label", "room", "most-per-worker", "reserved", "probing", "failed-there", "kept-apart", "no-ticket", "fits"}

// refusal returns the first reason why the worker doesn't get the task. "fits" is
// returned for gangs, whose tasks start together, and for capacity that has
// just become free.
func (c *Core) refusal(t *task, h *host) string {
	s := t.step
	switch {
	case !c.usable(h):
		return "unusable"
	case !h.hasLabel(s.def.Requires):
		return "label"
	case !s.def.ReservedSize().FitsIn(h.free):
		return "room"
	case s.runsPerWorker != nil && s.runsPerWorker[h] >= s.def.MaxPerWorker:
		return "most-per-worker"
	case h.reservedFor != nil && h.reservedFor != s:
		return "reserved"
	case !h.mayProbe(s):
		return "probing"
	case t.avoidHost == h && c.now < t.avoidUntil:
		return "failed-there"
	case c.keptApart(t, h):
		return "kept-apart"
	}
	if _, ok := c.ticketFor(s, h); !ok {
		return "no-ticket"
	}
	return "fits"
}

// mayPredateTerm reports whether a previous leader may have started the job.
func (c *Core) mayPredateTerm(j *job) bool {
	return j.offset < c.set.TermOffset || j.def.MaybeDuplicate
}
