package dispatch

import "time"

const (
	// failuresToQuarantine is how many jobs in a row must fail on a worker
	// before it is left alone.
	failuresToQuarantine = 2
	// quarantineTime is how long it is left alone at first; it doubles.
	quarantineTime = 1500 * time.Millisecond
	// quarantineMost bounds the doubling.
	quarantineMost = 6 * time.Second
)

// health is what is known of a worker's soundness.
type health struct {
	// failures counts the jobs that failed in a row.
	failures int
	lastJob  string
	until    time.Duration
	length   time.Duration
	// pauseUntil keeps new work away for a moment.
	pauseUntil time.Duration
	// probing allows one task until one succeeds.
	probing bool
}

func (q *health) failed(now time.Duration, job string) {
	if job == q.lastJob && !q.probing {
		return
	}
	q.lastJob = job
	q.failures++
	if q.failures < failuresToQuarantine && !q.probing {
		return
	}
	q.isolate(now)
}

// isolate keeps new work away for a time that doubles until a task succeeds.
func (q *health) isolate(now time.Duration) {
	q.length = min(max(2*q.length, quarantineTime), quarantineMost)
	q.until, q.probing = now+q.length, true
}

func (q *health) succeeded() {
	q.failures, q.lastJob, q.probing, q.length = 0, "", false, 0
	q.until = 0
}

func (q *health) quarantined(now time.Duration) bool { return now < q.until || now < q.pauseUntil }
