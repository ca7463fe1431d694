package dispatch

import (
	"fmt"
	"time"
)

const (
	// failuresToQuarantine is how many jobs in a row must fail on a worker before
	// it is quarantined.
	failuresToQuarantine = 2
	// failureMemory is how long a failure counts if nothing succeeds or fails after it.
	failureMemory = 30 * time.Second
	// minQuarantine is the duration of the first quarantine. It doubles each time.
	minQuarantine = 1500 * time.Millisecond
	// maxQuarantine bounds the doubling.
	maxQuarantine = 6 * time.Second
	// maxProbeTime is how long a probe must run, without an end, for the worker to
	// get any work again; maxLongRunningProbeTime is the same for a long-running task,
	// of which no end as done is to be expected.
	maxProbeTime            = 6 * time.Second
	maxLongRunningProbeTime = 3 * time.Second
)

// health tracks the failures of a worker. After a quarantine, the worker is on
// probation: of new work it gets one probe at a time. A task that is done ends the
// probation, and so does a probe that runs for long. A probe that fails begins the next
// quarantine, unless its job has failed on other workers as well.
type health struct {
	// failures counts the jobs that failed in a row.
	failures         int
	lastFailedJob    string
	lastFailureAt    time.Duration
	quarantinedUntil time.Duration
	quarantineLength time.Duration
	// pauseUntil keeps new work away for a short time.
	pauseUntil time.Duration
	// probing is set from the first quarantine to the end of the probation.
	probing bool
}

// recordFailure counts a failed task of a job and reports whether it begins a quarantine.
// On probation, only a probe counts, and only if its job hasn't failed on other workers.
func (q *health) recordFailure(now time.Duration, job *job, probe, elsewhere bool) bool {
	if q.probing && (!probe || elsewhere) {
		return false
	}
	if now-q.lastFailureAt > failureMemory && !q.probing {
		q.failures, q.lastFailedJob, q.quarantineLength = 0, "", 0
	}
	q.lastFailureAt = now
	if job.def.ID == q.lastFailedJob && !q.probing {
		return false
	}
	q.lastFailedJob = job.def.ID
	q.failures++
	if q.failures < failuresToQuarantine && !q.probing {
		return false
	}
	q.quarantine(now)
	return true
}

// quarantine keeps new work away for a time that doubles until a task succeeds.
func (q *health) quarantine(now time.Duration) {
	q.quarantineLength = min(max(2*q.quarantineLength, minQuarantine), maxQuarantine)
	q.quarantinedUntil, q.probing = now+q.quarantineLength, true
}

// recordSuccess forgets all failures and reports whether it ends a probation.
func (q *health) recordSuccess() bool {
	restored := q.probing
	*q = health{pauseUntil: q.pauseUntil}
	return restored
}

// endProbation ends the probation on weaker evidence than a success: the next failure
// begins a longer quarantine.
func (q *health) endProbation() {
	q.probing = false
	q.failures, q.lastFailedJob = failuresToQuarantine-1, ""
}

func (q *health) quarantined(now time.Duration) bool {
	return now < q.quarantinedUntil || now < q.pauseUntil
}

// failedElsewhere notes that a task of the job failed on a worker, and reports whether
// others have failed on another worker, with no success since.
func (j *job) failedElsewhere(worker string) bool {
	if j.failedOn == "" {
		j.failedOn = worker
	}
	j.failedOnSeveral = j.failedOnSeveral || j.failedOn != worker
	return j.failedOnSeveral
}

// forgetFailures notes that a task of the job is done.
func (j *job) forgetFailures() { j.failedOn, j.failedOnSeveral = "", false }

// isProbe reports whether the run was started on probation, after the newest quarantine.
func (r *run) isProbe() bool {
	return r.host.health.probing && r.sentAt >= r.host.health.quarantinedUntil
}

// mayProbe reports whether the worker may get a task of the step as far as its probation
// is concerned. The tasks of a gang share one probe, since they start and end together.
func (h *host) mayProbe(s *step) bool {
	if !h.health.probing {
		return true
	}
	for _, r := range h.runs {
		if r.isProbe() && !(s.def.Gang && r.task != nil && r.task.step == s) {
			return false
		}
	}
	return true
}

// checkProbes ends the probation of a worker on which a probe has run for long.
func (c *Core) checkProbes(h *host) {
	if !h.health.probing {
		return
	}
	for _, r := range h.sortedRuns() {
		if r.state != running || !r.isProbe() || r.task == nil {
			continue
		}
		enough := maxProbeTime
		if r.task.step.def.LongRunning {
			enough = maxLongRunningProbeTime
		}
		if lasted := h.clockAt - r.beganAt; lasted >= enough {
			h.health.endProbation()
			c.dirty = true
			c.recordDecision(Decision{Kind: "worker-restored", Worker: h.info.ID, Job: r.taskID.Job,
				Reason: fmt.Sprintf("its probe has run for %d ms", lasted.Milliseconds())})
			return
		}
	}
}
