package dispatch

import "time"

const (
	// failuresToQuarantine is how many jobs in a row must fail on a worker before
	// it is quarantined.
	failuresToQuarantine = 2
	// maxQuarantinedDivisor bounds the workers on probation after failures: the workers of the
	// pool divided by it.
	maxQuarantinedDivisor = 2
	// failureMemory is how long a failure counts if nothing succeeds or fails after it.
	failureMemory = 30 * time.Second
	// minQuarantine is the duration of the first quarantine. It doubles each time.
	minQuarantine = 1500 * time.Millisecond
	// maxQuarantine bounds the doubling.
	maxQuarantine = 6 * time.Second
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

// recordFailure counts a failed task of a job and reports whether it is reason for a
// quarantine. On probation, only a probe counts, and only if its job hasn't failed on other workers.
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
	return q.failures >= failuresToQuarantine || q.probing
}

// quarantine keeps new work away for a time that doubles until a task succeeds.
func (q *health) quarantine(now time.Duration) {
	q.quarantineLength = min(max(2*q.quarantineLength, minQuarantine), maxQuarantine)
	q.quarantinedUntil, q.probing = now+q.quarantineLength, true
}

// isolate quarantines a worker, unless too many are on probation already.
func (c *Core) isolate(h *host, job, reason string) {
	if !c.mayQuarantine(h) {
		c.reasons["quarantine-withheld"]++
		return
	}
	h.health.quarantine(c.now)
	c.recordDecision(Decision{Kind: "worker-isolated", Worker: h.info.ID, Job: job, Reason: reason, Age: h.health.quarantineLength})
}

// mayQuarantine reports whether enough other workers of the pool are not on probation. A fault
// that shows on most workers lies with the work.
func (c *Core) mayQuarantine(h *host) bool {
	if h.health.probing {
		return true
	}
	probing, all := 1, 0
	for _, x := range c.pools[h.info.Pool] {
		if x.listed && !x.contactLost() {
			all++
		}
		if x != h && x.health.probing {
			probing++
		}
	}
	return probing*maxQuarantinedDivisor <= all
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

// recordFailure records that a task of the job failed on a worker. It reports whether tasks
// have failed on another worker as well, with no success since.
func (j *job) recordFailure(worker string) (elsewhere bool) {
	if j.failedOn == "" {
		j.failedOn = worker
	}
	j.failedOnSeveral = j.failedOnSeveral || j.failedOn != worker
	return j.failedOnSeveral
}

// recordSuccess records that a task of the job is done.
func (j *job) recordSuccess() { j.failedOn, j.failedOnSeveral = "", false }
