package dispatch

import "time"

const (
	// failuresToQuarantine is how many jobs in a row must fail on a worker before
	// it is quarantined.
	failuresToQuarantine = 2
	// minQuarantine is the duration of the first quarantine. It doubles each time.
	minQuarantine = 1500 * time.Millisecond
	// maxQuarantine bounds the doubling.
	maxQuarantine = 6 * time.Second
)

// health tracks the failures of a worker.
type health struct {
	// failures counts the jobs that failed in a row.
	failures         int
	lastFailedJob    string
	quarantinedUntil time.Duration
	quarantineLength time.Duration
	// pauseUntil keeps new work away for a short time.
	pauseUntil time.Duration
	// probing is set after a quarantine: only one task may run until one succeeds.
	probing bool
}

// recordFailure counts a failed task and reports whether it begins a quarantine.
func (q *health) recordFailure(now time.Duration, job string) bool {
	if job == q.lastFailedJob && !q.probing {
		return false
	}
	q.lastFailedJob = job
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
	q.failures, q.lastFailedJob, q.probing, q.quarantineLength = 0, "", false, 0
	q.quarantinedUntil = 0
	return restored
}

func (q *health) quarantined(now time.Duration) bool {
	return now < q.quarantinedUntil || now < q.pauseUntil
}
