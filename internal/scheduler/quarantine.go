package scheduler

import (
	"slices"
	"time"
)

// health tracks failures of tasks that a worker starts. A worker on which tasks
// of different workloads failed in a row is quarantined. Afterwards it gets one
// task at a time as a probe until one runs well.
type health struct {
	// failedWorkloads holds the workloads that failed in a row, each once;
	// failures counts their tasks, and firstFailureAt is when the first of them
	// failed.
	failedWorkloads []string
	failures        int
	firstFailureAt  time.Duration
	// until is when the newest quarantine ends; quarantines counts them.
	until       time.Duration
	quarantines int
	// probing is set from the first quarantine until a probe runs well.
	probing bool
}

// Quarantine limits.
const (
	minQuarantineFailures  = 4
	minQuarantineWorkloads = 2
	quarantineBase         = 30 * time.Second
	quarantineMax          = 16 * quarantineBase
	// quarantineDivisor limits the workers under quarantine: the number of all
	// workers divided by it.
	quarantineDivisor = 4
	// minProbeRunTime is how long a task must run to count as proof that its
	// worker is healthy.
	minProbeRunTime = 10 * time.Second
	// maxProbeWait is how long after a quarantine its worker waits for an expendable
	// task as the probe. Then it takes any.
	maxProbeWait = 10 * time.Second
)

// recordFailure records a failed task on a worker.
func (c *Core) recordFailure(w *worker, workload string) {
	h := &w.health
	if h.failures > 0 && !h.probing && c.hasStableTaskSince(w, h.firstFailureAt) {
		h.reset()
	}
	if h.failures == 0 {
		h.firstFailureAt = c.now
	}
	h.failures++
	if !slices.Contains(h.failedWorkloads, workload) {
		h.failedWorkloads = append(h.failedWorkloads, workload)
	}
	bad := h.failures >= minQuarantineFailures && len(h.failedWorkloads) >= minQuarantineWorkloads
	if c.now < h.until || !h.probing && (!bad || !c.mayQuarantine()) {
		return
	}
	c.reasons["quarantined"]++
	h.until = c.now + min(quarantineBase<<min(h.quarantines, 8), quarantineMax)
	h.quarantines++
	h.probing = true
}

// mayQuarantine reports whether few enough workers are under quarantine.
func (c *Core) mayQuarantine() bool {
	n := 0
	for _, name := range c.workerNames {
		if c.workers[name].health.probing {
			n++
		}
	}
	return n <= len(c.workerNames)/quarantineDivisor
}

// hasStableTaskSince reports whether a task that was bound after the given time
// has run long enough to count as healthy.
func (c *Core) hasStableTaskSince(w *worker, since time.Duration) bool {
	for _, t := range w.bound {
		if t.state == live && t.boundAt >= since && c.now-t.boundAt >= minProbeRunTime {
			return true
		}
	}
	return false
}

// anyProbeAt returns from when on any task may be the probe.
func (h *health) anyProbeAt() time.Duration { return h.until + maxProbeWait }

// reset clears the record after a task that ran well.
func (h *health) reset() { *h = health{} }

// endProbeIfStable ends the quarantine when a probe has run long enough.
func (c *Core) endProbeIfStable(w *worker) {
	if w.health.probing && c.now >= w.health.until && c.hasStableTaskSince(w, w.health.until) {
		w.health.reset()
	}
}

// probeRunning reports whether a probe is running.
func (c *Core) probeRunning(w *worker) bool {
	if !w.health.probing {
		return false
	}
	for _, t := range w.bound {
		if t.boundAt >= w.health.until {
			return true
		}
	}
	return false
}
